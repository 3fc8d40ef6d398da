"""Message exchange between instances, and the configuration service client."""
