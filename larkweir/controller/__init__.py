"""The controller: replicates the configuration, keeps the registry of upstreams, and serves both to routers.

`node` creates and connects the parts. Each kind of state has one owner:

- `replica_driver`: the replicated configuration (durable)
- `configuration_history`: the configuration updates that routers are sent
- `subscriptions`: the processes that pull from this controller
- `prefill_load`: queued prefill tokens by engine
- `upstream_ejection`: ejected upstreams
- `prefix_placement`: the engine of each placed prompt prefix (saved to disk as a hint)
"""
