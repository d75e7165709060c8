"""How much of a call's time was spent in this process rather than at the upstream, from the timing of the event loop.

Pure logic: times are milliseconds of one clock, and are passed in.

In each iteration the loop polls the system for events, waits there if there are none, and then handles them. An event
that is handled in an iteration arrived after the poll of the iteration before had ended, and before this iteration's
poll ended. `since_ms` is the earliest time at which the events of this iteration can have arrived, so that of the
time between sending a call and handling its answer, at least the part up to `since_ms` was spent at the upstream:

- The poll had to wait: the event arrived as the poll ended, and `since_ms` is the beginning of this iteration.
- The poll returned at once: the event arrived at an unknown time while the iteration before handled others, and
  `since_ms` is the beginning of that one. The uncertainty is at most one and a half iterations, and counts as this
  process's own time.
- The poll ended later than a timer should have ended it: the process did not run (it was stopped, got no CPU, or
  waited for pages), and `since_ms` is when that timer was due: again a lower bound.
"""

from __future__ import annotations


class LoopTiming:
    """The timing of the loop's present iteration. It is fed with the beginning and the end of each poll that brought
    events which a handler has seen.
    """

    __slots__ = ("late_ms", "poll_began_ms", "poll_ended_ms", "since_ms")

    # A poll counts as one that waited if it took longer than this time and than this share of the iteration before:
    # on a busy machine a poll that returns at once may still lose the CPU for a while.
    WAITED_MS, WAITED_SHARE = 0.5, 0.5
    LATE_MS = 5.0  # a timer that is later than this is not late by rounding alone

    def __init__(self, now_ms: float) -> None:
        self.poll_began_ms = now_ms  # when the poll began that returned this iteration's events
        self.poll_ended_ms = now_ms  # when that poll ended
        self.since_ms = now_ms
        # For how long this iteration's events may have waited unread: for as long as the iteration before handled
        # others, or by how much this iteration's poll ended after a timer that should have ended it.
        self.late_ms = 0.0

    def poll_began(self, now_ms: float) -> None:
        """An iteration has ended, and the loop polls."""
        self.poll_began_ms = now_ms

    def poll_ended(self, now_ms: float, due_ms: float) -> None:
        """A poll has ended, and its first event is handled. The next timer was due at `due_ms`; infinity: there was
        none.
        """
        before, self.poll_ended_ms = self.poll_ended_ms, now_ms
        busy = self.poll_began_ms - before
        self.late_ms = 0.0
        if now_ms - self.poll_began_ms <= max(self.WAITED_MS, self.WAITED_SHARE * busy):
            self.since_ms = before
            self.late_ms = busy
        elif now_ms > due_ms + self.LATE_MS:
            self.since_ms = max(self.poll_began_ms, due_ms)
            self.late_ms = now_ms - self.since_ms
        else:
            self.since_ms = now_ms

    def remote_ms(self, begun_ms: float) -> float:
        """Of the time since `begun_ms`, the part that was certainly not spent in this process."""
        return max(0.0, self.since_ms - begun_ms)
