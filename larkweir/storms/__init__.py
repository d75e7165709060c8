"""Overload after an outage: detects it, limits it, and sends `Retry-After` advice. Off by default (`[storms]`)."""
