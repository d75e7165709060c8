"""SWIM membership over listed addresses, and small items between peers: a pure protocol and a UDP transport for it."""
