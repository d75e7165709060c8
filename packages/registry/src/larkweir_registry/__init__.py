"""Replicated registry of upstreams: a state-based CRDT with version vectors, and a heartbeat failure detector."""
