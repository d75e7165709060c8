"""What the listener asks of a caller's connection, whatever protocol that speaks."""

from __future__ import annotations

import asyncio
from typing import Protocol


def peer_of(transport: asyncio.Transport | None) -> str:
    """The address at the other end, `unix` for a Unix socket, empty if there is none any more."""
    if transport is None:
        return ""
    name = transport.get_extra_info("peername")
    return str(name[0]) if isinstance(name, tuple) else "unix"


class Connection(Protocol):
    """A caller's connection. Must be an `asyncio.Protocol` too."""

    ending: bool  # no further request is taken
    fresh: bool  # no request was complete so far

    @property
    def awaits_request(self) -> bool:
        """Whether it holds no complete request, and its caller reads."""

    @property
    def has_partial_request(self) -> bool:
        """Whether it awaits a request of which a part was received."""

    @property
    def busy(self) -> bool:
        """Whether it holds a request, complete or in part, or bytes of an answer that its caller's system has not."""

    @property
    def unsent(self) -> int:
        """Bytes of answers that are lost if it is closed now."""

    def is_idle(self) -> bool:
        """Whether it awaits a request, and nothing waits unread in the system."""

    def check(self, now_ms: float) -> None:
        """End what has taken too long; called again and again. `now_ms` is the clock's."""

    def set_draining(self, draining: bool = True) -> None:
        """Begin no further request on it, where the protocol can say so; or again, if not `draining`."""

    def begin_lingering_close(self) -> None:
        """Take nothing more, close the sending side behind what is written, and give the caller time to read it."""

    def abort(self) -> None:
        """Close it now, with whatever is not sent or received."""

    def log_truncation(self, why: str) -> None:
        """It is about to end for that reason: log an answer that is truncated by it."""
