"""The end of a caller's connection: after the last answer its caller gets time to read that, while what it still sends
is read and dropped (RFC 9112, section 9.6). Closing with bytes unread would reset the connection, and the answer with
it. Pure logic.
"""

from __future__ import annotations


class LingeringClose:
    """The limits of one connection's lingering close. Times are the clock's milliseconds."""

    # Without a byte received, and in all. They run from the moment when the caller's system has the whole last answer.
    IDLE_MS, MAX_MS = 1_000.0, 6_000.0
    MAX_BYTES = 96 * 1024 * 1024  # received and dropped; past that reading stops

    __slots__ = ("_delivered_ms", "_since_ms", "discarded_bytes")

    def __init__(self, now_ms: float) -> None:
        self.discarded_bytes = 0
        self._since_ms = now_ms  # the last byte was received, or the answer was delivered
        self._delivered_ms = 0.0

    def start(self, now_ms: float) -> None:
        """The sending side was closed, or the last answer was not yet delivered at `now_ms`: limits run from then."""
        self._since_ms = self._delivered_ms = now_ms

    def discard(self, size: int, now_ms: float) -> bool:
        """`size` bytes were received and dropped; whether reading goes on."""
        self.discarded_bytes += size
        self._since_ms = now_ms
        return self.discarded_bytes <= self.MAX_BYTES

    def is_over(self, now_ms: float) -> bool:
        """Whether the caller has had its time."""
        return now_ms - self._since_ms > self.IDLE_MS or now_ms - self._delivered_ms > self.MAX_MS
