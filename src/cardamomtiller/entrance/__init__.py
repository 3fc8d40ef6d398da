"""Receive datagrams and TCP connections of callers, and route them."""
