"""Who is there among the nodes: a pure core, its transport, and the part that runs beside a node."""
