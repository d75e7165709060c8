"""The router fleet: routers forward requests to model upstreams; controllers keep the state that routers need."""
