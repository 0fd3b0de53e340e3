"""Where the list of backends comes from. Another source would start and tell the same way."""
