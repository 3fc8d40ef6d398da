"""Stand-ins for the systems outside the balancer, for tests and experiments."""
