"""thornladder: an HTTP load balancer run as a small bank of nodes."""
