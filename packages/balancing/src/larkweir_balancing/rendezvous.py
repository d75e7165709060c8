"""Rendezvous hashing (highest random weight): all processes rank members in the same order, without communication."""

from __future__ import annotations

from hashlib import blake2b


def rendezvous_weight(key: str, member: str) -> bytes:
    """The weight of a member for a key, as 8 bytes; the member with the lowest ranks first."""
    return blake2b(f"{key}/{member}".encode(), digest_size=8).digest()
