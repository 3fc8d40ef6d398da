"""Layer-4 load balancer whose instances keep no durable state."""
