"""SWIM membership and small messages (items) among listed peers: a protocol without I/O, and its UDP transport."""
