"""Serve the flows and requests of the upstreams that an instance owns."""
