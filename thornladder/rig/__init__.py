"""Test rig: a fleet on one machine, as processes or in virtual time, with stand-ins, load and faults."""
