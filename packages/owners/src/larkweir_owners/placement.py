"""Which processes are preferred for a duty: rendezvous hashing (Thaler and Ravishankar 1998). Pure logic."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def hash_weight(key: str, name: str) -> int:
    """The weight of one process for one duty; the highest is preferred."""
    # The separator is a backslash and a zero. It is part of the placement that every process has to agree on
    return int.from_bytes(blake2b(f"{key}\\0{name}".encode(), digest_size=8).digest(), "big")


def preference_order(key: str, names: Iterable[str], max_count: int) -> list[str]:
    """The first `max_count` processes for a duty, the preferred one first. Each process's weight depends on nothing but
    the key and its own name: a process that leaves moves only the duties that it had.
    """
    return sorted(set(names), key=lambda name: (hash_weight(key, name), name), reverse=True)[:max_count]
