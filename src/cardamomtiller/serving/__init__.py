"""Flows and requests of the upstreams that an instance owns."""
