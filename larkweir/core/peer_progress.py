"""Whether a peer still reads what it is sent, by what its system has acknowledged. Pure logic."""

from __future__ import annotations


class PeerProgress:
    """For how long a peer has read nothing, as far as this process ran to see it.

    What waits in this process's own buffer is a poor witness: the system wants a third of its buffer free before it
    takes more, so a reader of 64 kB/s behind some megabytes moves it once in 10 s or 20 s. What the peer's system has
    acknowledged (SIOCOUTQ, tcp(7)) moves as it reads.
    """

    # Counted between two looks: guards against taking a standstill of this process for the peer's.
    MAX_STEP_MS = 500.0

    __slots__ = ("_acknowledged", "_updated_ms", "long_answer_end", "silent_ms", "written")

    def __init__(self) -> None:
        self.written = 0  # bytes, since the connection came up
        self.long_answer_end = 0  # of these, up to the end of the last long answer
        self.silent_ms = 0.0
        self._acknowledged = 0
        self._updated_ms: float | None = None

    def update(self, left: int, now_ms: float) -> float:
        """`left`: bytes written that the peer's system has not acknowledged. For how many milliseconds it has taken
        nothing, though there was something to take.
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
        """Nothing was looked at meanwhile: the next look begins anew."""
        self._updated_ms = None

    @property
    def in_long_answer(self) -> bool:
        """Whether a part of a long answer was still to be taken at the last look."""
        return self._acknowledged < self.long_answer_end
