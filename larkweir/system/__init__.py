"""The router fleet: routers that carry requests to model upstreams, and controllers that keep what routers must know."""
