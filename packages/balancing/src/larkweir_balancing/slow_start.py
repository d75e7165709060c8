"""Slow start: how many requests a server that has just started may be sent. Pure logic."""

from __future__ import annotations

from random import Random

from larkweir_balancing.servers import SampleList, Server, ServerTable
from larkweir_balancing.settings import Settings


class SlowStart:
    """A cold server's budget, kept by one copy alone: `pace` times the load of a warm one, scaled by its capacity.

    Each request earns credit: the cold servers' present capacity share, from the settings' even growth, over the number
    of servers that share this copy's traffic when all are there. Guards the first that are back, for whom all call. A
    send to a cold server spends a whole credit, at once and at any of them: guards the only one of a zone, and those
    that start later, against what all copies have saved. Calls that fail lessen it, since they come again.
    """

    EXPECTED_FRACTION = 0.75  # of the most ready of late: all are there (a deploy moves as many)
    READY_DECAY = 0.999  # of those: still known, a hundredth of a start later
    FAILURE_LOSS_FRACTION = 0.25  # of what a request earns, that is lost where all calls fail
    CREDIT_CAP = 2.0  # no long saving up: a burst right after a start can spend a server's window

    def __init__(self, settings: Settings, rng: Random, table: ServerTable) -> None:
        self._rng, self._table = rng, table
        # Random: low-rate copies must not all start with a free send, nor all without.
        self.credit = rng.random()
        self._most_ready = 0.0  # servers at a time, of late
        self.earn_fraction = (
            1.0  # of a request, that earns: less where others know that far more come than usual
        )
        self.configure(settings, 0.0)

    def configure(self, settings: Settings, now_ms: float) -> None:
        """Take the figures; the credit is carried on."""
        self._initial_fraction, self._warmup_ms = settings.cold_share, settings.cold_ms
        self._pace = min(1.0, settings.fall_multiple * settings.tuning.cold_pace)
        self.refresh(now_ms)

    def refresh(self, now_ms: float) -> None:
        """Look at all servers by how long they are cold now: at each change of the list, and while any is."""
        self._most_ready = max(self._most_ready, self._table.ready_count)
        self.cold = SampleList(
            [s for s in self._table.servers.values() if s.ready and self.is_cold(s, now_ms)]
        )
        self._cold_capacity = sum(self.capacity_fraction(s, now_ms) for s in self.cold.items)
        self._refresh_at_ms = now_ms + self._warmup_ms / 100.0

    def is_cold(self, server: Server, now_ms: float) -> bool:
        """Whether the server started less than the warm-up time ago."""
        return server.started_ms > 0.0 and now_ms - server.started_ms < self._warmup_ms

    def capacity_fraction(self, server: Server, now_ms: float) -> float:
        """The part of its full capacity that a server bears at its age."""
        age = max(0.0, now_ms - server.started_ms)
        return (
            self._initial_fraction + (1.0 - self._initial_fraction) * min(1.0, age / self._warmup_ms)
            if self._warmup_ms
            else 1.0
        )

    def earn(self, now_ms: float, failure_rate: float = 0.0) -> None:
        """Called once a client's request, before its placement; its further attempts earn nothing."""
        if not self.cold.items:
            return
        if now_ms >= self._refresh_at_ms:  # refreshed a hundred times in a start, never per request
            self.refresh(now_ms)
            self._most_ready *= self.READY_DECAY
        expected_count = max(self._table.ready_count, self.EXPECTED_FRACTION * self._most_ready)
        earned = (
            min(self.earn_fraction, 1.0 - self.FAILURE_LOSS_FRACTION * failure_rate)
            * self._pace
            * self._cold_capacity
            / expected_count
        )
        self.credit = min(self.CREDIT_CAP, self.credit + earned)

    def admits(self, server: Server, now_ms: float) -> bool:
        """Whether a drawn server may be sent to; the colder of two cold ones is let through less often."""
        warm = not self.is_cold(server, now_ms)
        return warm or (self.credit >= 1.0 and self._rng.random() < self.capacity_fraction(server, now_ms))

    def spend(self, server: Server, now_ms: float) -> None:
        """A request is sent to the server, which costs credit while it is cold."""
        if self.is_cold(server, now_ms):
            self.credit -= 1.0
