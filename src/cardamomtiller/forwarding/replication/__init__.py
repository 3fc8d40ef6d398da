"""Local replica of the published records, and the sources it is read from."""
