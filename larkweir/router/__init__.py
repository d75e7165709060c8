"""The router: receives requests from clients and forwards each to an upstream of its route's service."""
