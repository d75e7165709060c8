"""Detects whether a peer still reads, from the bytes that the peer's system has acknowledged. Pure logic."""

from __future__ import annotations


class PeerProgress:
    """Measures how long a peer has read nothing. Time in which this process did not run is not counted.

    The size of this process's own write buffer is a poor indicator: the system accepts more only when a third of its
    send buffer is free, so a peer that reads 64 kB/s with some megabytes buffered changes it only every 10 s or 20 s.
    The number of bytes that the peer's system has acknowledged (SIOCOUTQ, tcp(7)) changes while the peer reads.
    """

    # The most time that counts between two updates, so that a stall of this process is not attributed to the peer.
    MAX_STEP_MS = 500.0

    __slots__ = ("_acknowledged", "_updated_ms", "long_answer_end", "silent_ms", "written")

    def __init__(self) -> None:
        self.written = 0  # bytes written since the connection was established
        self.long_answer_end = 0  # value of `written` at the end of the last streamed answer
        self.silent_ms = 0.0
        self._acknowledged = 0
        self._updated_ms: float | None = None

    def update(self, left: int, now_ms: float) -> float:
        """Update with `left`, the number of written bytes that the peer's system has not acknowledged. Returns for how
        many milliseconds the peer has acknowledged nothing although there were unacknowledged bytes.
        """
        taken = self.written - left
        before, self._updated_ms = self._updated_ms, now_ms
        if taken != self._acknowledged or left <= 0 or before is None:
            self._acknowledged = taken
            self.silent_ms = 0.0
        else:
            self.silent_ms += max(0.0, min(now_ms - before, self.MAX_STEP_MS))
        return self.silent_ms

    def pause(self) -> None:
        """Stop measuring: the time until the next update is not counted."""
        self._updated_ms = None

    @property
    def in_long_answer(self) -> bool:
        """Whether part of a streamed answer was still unacknowledged at the last update."""
        return self._acknowledged < self.long_answer_end
