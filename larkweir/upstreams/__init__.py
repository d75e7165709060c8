"""The pool of upstreams and the lifecycle of a call, independent of the protocol."""
