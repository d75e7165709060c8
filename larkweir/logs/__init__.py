"""The log as structured lines: what is told of requests and upstreams, and how it is written."""
