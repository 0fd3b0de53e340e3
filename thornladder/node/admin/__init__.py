"""The second address: calls of operators, one to a connection."""
