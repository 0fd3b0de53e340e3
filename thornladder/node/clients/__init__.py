"""The clients' side of a node: its listening socket, client connections and the responses sent on them."""
