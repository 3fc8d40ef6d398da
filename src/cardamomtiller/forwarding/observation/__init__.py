"""State of flows and upstreams that is derived from the packets of clients."""
