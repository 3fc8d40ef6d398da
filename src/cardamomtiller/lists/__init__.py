"""Settings and published lists: reading, checking, and the snapshot in force."""
