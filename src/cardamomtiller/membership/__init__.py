"""Which instances are alive, and which of them owns an upstream."""
