"""What a node takes of its memory limit: charges, the measure, and what is done as room goes."""
