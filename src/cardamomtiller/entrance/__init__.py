"""Where datagrams and connections of callers enter, and where they go."""
