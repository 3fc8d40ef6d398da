"""Gossip-based failure detection, and the assignment of upstreams to instances."""
