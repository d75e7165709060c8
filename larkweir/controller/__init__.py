"""The controller: keeps the configuration with its peers, knows the upstreams, and tells the routers."""
