"""Admission of opening packets: concurrency limit, wait queue and their order."""
