"""Status endpoint and service-level reports for operators."""
