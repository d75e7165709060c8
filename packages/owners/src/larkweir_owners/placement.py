"""Where a duty is preferred to be: rendezvous hashing (Thaler and Ravishankar 1998) over who is alive."""

from __future__ import annotations

from collections.abc import Iterable
from hashlib import blake2b


def hash_weight(key: str, name: str) -> int:
    return int.from_bytes(blake2b(f"{key}\\0{name}".encode(), digest_size=8).digest(), "big")


def preference_order(key: str, names: Iterable[str], max_count: int) -> list[str]:
    """The first `most` places of a duty, the preferred one first. Each name's place rests on nothing but the key and
    those that are there: a name that goes moves only the duties that it had."""
    return sorted(set(names), key=lambda name: (hash_weight(key, name), name), reverse=True)[:max_count]
