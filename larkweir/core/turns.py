"""Rules: what of a call's time was this process's own, told from the turns of its event loop.

A turn: the loop asks the system for news (it polls), waits there if there is none, and handles what came. What is read
in a turn had not come when the poll before this turn's ended, and had come when this turn's did. So of the time between
writing a call and handling its answer, the upstream has surely had the part up to `since_ms`:

- where this turn's poll had to wait, the news came as it ended: `since_ms` is the beginning of this turn;
- where it did not, the news came while the turn before was busy, nobody knows when: `since_ms` is the beginning of that
  one. What is not told apart is at most one turn and a half, and counts as this process's own;
- where the poll ended later than a timer should have ended it, the process itself stood still (stopped, starved of its
  core, paged out): `since_ms` is when that timer was due. Again it is the least that is sure.

Times are milliseconds on one clock, and are handed in.
"""

from __future__ import annotations


class Turns:
    """Fed with the two ends of every poll that was seen to bring something."""

    __slots__ = ("asked_ms", "late_ms", "since_ms", "told_ms")

    # A poll has waited that took longer than this, and than half of the turn before: a busy machine may take the core
    # away for a while in a poll that had its news at once.
    WAITED_MS, WAITED_PART = 0.5, 0.5
    LATE_MS = 5.0  # a timer that is later than this was not late by the system's rounding

    def __init__(self, now_ms: float) -> None:
        self.asked_ms = now_ms  # when the poll began that this turn's news came from
        self.told_ms = now_ms  # when it ended
        self.since_ms = now_ms
        # For which what this turn brought may have waited unread: as long as the turn before was busy, or as this
        # turn's poll ended behind a timer that should have ended it.
        self.late_ms = 0.0

    def ask(self, now_ms: float) -> None:
        """A turn is over, and the loop polls."""
        self.asked_ms = now_ms

    def told(self, now_ms: float, due_ms: float) -> None:
        """The first of what a poll brought is handled. The next timer was due at `due_ms`; infinity: none was."""
        before, self.told_ms = self.told_ms, now_ms
        busy = self.asked_ms - before
        self.late_ms = 0.0
        if now_ms - self.asked_ms <= max(self.WAITED_MS, self.WAITED_PART * busy):
            self.since_ms = before
            self.late_ms = busy
        elif now_ms > due_ms + self.LATE_MS:
            self.since_ms = max(self.asked_ms, due_ms)
            self.late_ms = now_ms - self.since_ms
        else:
            self.since_ms = now_ms

    def spent_ms(self, begun_ms: float) -> float:
        """Of the time since then, what was surely not this process's own."""
        return max(0.0, self.since_ms - begun_ms)
