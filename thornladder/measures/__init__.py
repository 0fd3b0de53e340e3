"""What is promised, measured: each module prints one JSON object as its last line."""
