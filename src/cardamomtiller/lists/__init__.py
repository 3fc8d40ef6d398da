"""Settings and published lists: parsing, validation, and the snapshot in use."""
