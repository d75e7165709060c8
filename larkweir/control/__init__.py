"""Operators' calls: status, pause, resume, one line to a connection."""
