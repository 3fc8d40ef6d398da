"""Form of the datagrams: encoding, sealed cookies, outgoing requests."""
