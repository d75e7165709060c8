"""HTTP/1.1: framing, the callers' side and the upstreams' side."""
