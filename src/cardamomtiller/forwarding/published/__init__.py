"""Published state: configuration, upstreams and the records they come from."""
