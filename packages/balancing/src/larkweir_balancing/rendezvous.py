"""Rendezvous hashing (highest random weight): all processes rank the same members alike, without talking."""

from __future__ import annotations

from hashlib import blake2b


def rendezvous_weight(key: str, member: str) -> bytes:
    """The rank of a member for a key, 8 bytes; the lowest comes first."""
    return blake2b(f"{key}/{member}".encode(), digest_size=8).digest()
