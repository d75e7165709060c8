"""Which upstreams exist: records that join, version vectors, and heartbeats judged by several registries."""
