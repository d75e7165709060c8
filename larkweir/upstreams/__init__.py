"""The pool of upstreams and the life of a call, whatever the protocol."""
