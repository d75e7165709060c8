"""The controller: replicates the configuration, keeps the registry of upstreams, and serves both to routers.

`node` puts the parts together. State and its owner: the replicated configuration in `replica_driver` (durable), what
routers are sent of it in `configuration_history`, processes that pull in `subscriptions`, waiting prefill in
`prefill_load`, ejected upstreams in `upstream_ejection`, placed prompt prefixes in `prefix_placement` (hint on disk).
"""
