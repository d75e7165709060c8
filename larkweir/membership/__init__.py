"""Who the upstreams are."""
