"""Measurements of what the documentation promises. Each module prints one JSON object as its last line."""
