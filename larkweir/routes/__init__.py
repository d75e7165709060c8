"""Which pool of upstreams a request belongs to."""
