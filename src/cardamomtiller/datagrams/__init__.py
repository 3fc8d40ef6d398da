"""Datagram encoding, sealed cookies and the state of outgoing requests."""
