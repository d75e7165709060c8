"""What captures need from the process that runs them."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol


class Transport(Protocol):
    """Datagrams to other processes. None of them is guaranteed to arrive."""

    def post(self, to: str, item: bytes) -> bool:
        """Send a message of up to 8 KiB, which may be lost, duplicated or delayed. Returns whether it was sent."""

    def alive(self) -> Sequence[str]:
        """The peers believed to be alive: a hint as to whom to ask, which may be wrong."""
