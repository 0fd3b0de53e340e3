"""A fleet on one machine: nodes as processes or in virtual time, what they need round them, and faults."""
