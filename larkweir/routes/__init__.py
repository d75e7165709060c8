"""Selects the pool of upstreams for a request."""
