"""Sockets, HTTP over them, and probes of upstreams."""
