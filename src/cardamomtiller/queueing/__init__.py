"""Work that waits for the slots of one upstream, and its order."""
