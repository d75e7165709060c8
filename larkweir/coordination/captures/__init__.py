"""Captures in a balancer: its requests' records, the file that they are written to, and messages to peers.

Imported only where `[captures]` is on.
"""
