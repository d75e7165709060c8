"""Ranks processes for a duty by rendezvous hashing (Thaler and Ravishankar 1998). Pure logic."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def hash_weight(key: str, name: str) -> int:
    """Return the weight of a process for a duty; the process with the highest weight is preferred."""
    # The separator is a backslash and the digit zero. All processes must use it, or their rankings differ
    return int.from_bytes(blake2b(f"{key}\\0{name}".encode(), digest_size=8).digest(), "big")


def preference_order(key: str, names: Iterable[str], max_count: int) -> list[str]:
    """Return the first `max_count` processes for a duty, the preferred one first. A process's weight depends only on
    the key and its own name, so that a process that leaves moves only the duties it owned.
    """
    return sorted(set(names), key=lambda name: (hash_weight(key, name), name), reverse=True)[:max_count]
