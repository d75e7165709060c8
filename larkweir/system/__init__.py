"""The router fleet: routers carry requests to model upstreams, controllers keep what routers must know."""
