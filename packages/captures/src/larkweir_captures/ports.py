"""What captures need of others."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Transport(Protocol):
    """The way to other processes."""

    def post(self, to: str, item: bytes) -> bool:
        """Send an item of up to 8 KiB, which may be lost, doubled or late; whether it was sent at all."""

    def alive(self) -> Sequence[str]:
        """Who is there, as far as is known: a hint whom to ask, never the truth."""
