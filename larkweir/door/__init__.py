"""Refusals at the door, where this process is what requests wait for."""
