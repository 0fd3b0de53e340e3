"""Connections to backends, and the pushes and probes sent on them."""
