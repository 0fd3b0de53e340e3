"""The backends' side: connections to backends, pushes and probes on them."""
