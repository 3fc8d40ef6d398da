"""Queueing and scheduling of the requests for the slots of one upstream."""
