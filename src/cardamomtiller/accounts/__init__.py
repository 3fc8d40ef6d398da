"""Limits of each client account, divided among the instances by leases."""
