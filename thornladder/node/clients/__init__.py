"""The clients' side: the listening socket, clients' connections and what is answered on them."""
