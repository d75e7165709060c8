"""Requests, answers and attempts without a protocol: engine, clock, room, ports."""
