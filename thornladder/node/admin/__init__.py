"""The admin server: requests of operators at an address of its own, one to a connection."""
