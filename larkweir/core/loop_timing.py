"""Estimates from the timing of the event loop how much of a call's time was spent in this process, not upstream.

Pure logic: times are milliseconds of one clock, and are passed in.

In each iteration the loop polls the system for events, waits if there are none, and then handles them. An event that
is handled in an iteration arrived between the end of the previous iteration's poll and the end of this iteration's
poll. `since_ms` is the earliest time at which the events of this iteration can have arrived. Between sending a call
and handling its answer, therefore, at least the time up to `since_ms` was spent at the upstream. There are three cases:

- The poll had to wait: the event arrived when the poll ended, and `since_ms` is the end of this iteration's poll.
- The poll returned at once: the event arrived at an unknown time while the previous iteration handled other events,
  and `since_ms` is the end of the previous iteration's poll. The uncertainty is at most one and a half iterations, and
  counts as time of this process.
- The poll ended later than a timer should have ended it: the process did not run (it was stopped, got no CPU time, or
  waited for memory pages). `since_ms` is the time at which that timer was due, or the start of the poll if the timer
  was due earlier: again a lower bound.
"""

from __future__ import annotations


class LoopTiming:
    """The timing of the loop's current iteration. It is given the start and the end of each poll whose events were
    passed to a handler.
    """

    __slots__ = ("late_ms", "poll_began_ms", "poll_ended_ms", "since_ms")

    # A poll counts as having waited if it took longer than this time (ms) and than this share of the previous
    # iteration: on a busy machine, the process may lose the CPU during a poll that returns at once.
    WAITED_MS, WAITED_SHARE = 0.5, 0.5
    LATE_MS = 5.0  # more than the delay of a timer that rounding can explain

    def __init__(self, now_ms: float) -> None:
        self.poll_began_ms = now_ms  # when the poll began that returned this iteration's events
        self.poll_ended_ms = now_ms  # when that poll ended
        self.since_ms = now_ms
        # How long this iteration's events may have waited unread: either the time in which the previous iteration
        # handled other events, or the delay of this iteration's poll past a timer that should have ended it.
        self.late_ms = 0.0

    def poll_began(self, now_ms: float) -> None:
        """An iteration has ended, and the loop starts to poll."""
        self.poll_began_ms = now_ms

    def poll_ended(self, now_ms: float, due_ms: float) -> None:
        """A poll has ended, and its first event is being handled. The next timer was due at `due_ms`; infinity means
        that there was none.
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
        """The part of the time since `begun_ms` that was certainly not spent in this process."""
        return max(0.0, self.since_ms - begun_ms)
