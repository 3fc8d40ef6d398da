"""Reports and status for operators."""
