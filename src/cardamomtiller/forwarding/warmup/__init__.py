"""Quota of the requests that upstreams in their slow-start period get."""
