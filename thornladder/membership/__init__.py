"""Fleet membership: the protocol core, its network transport, and the extension that runs it in a node."""
