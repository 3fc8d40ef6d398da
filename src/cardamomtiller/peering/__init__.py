"""Exchange of lists, membership and leases between instances, and its source."""
