"""One node on sockets: everything between the wire and the decisions."""
