"""Selection of the upstream for a new flow."""
