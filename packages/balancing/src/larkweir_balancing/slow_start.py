"""Slow start: limits how many requests are sent to a server that has just started. Pure logic."""

from __future__ import annotations

from random import Random

from larkweir_balancing.servers import SampleList, Server, ServerTable
from larkweir_balancing.settings import Settings


class SlowStart:
    """The credit of one balancer for requests to cold servers, without coordination with other balancers.

    A cold server is to get at most `_pace` times the load of a warm one, scaled by its current capacity, which grows
    linearly during the warm-up time.

    Each request earns credit: `_pace` times the summed capacity of the cold servers, divided by the number of servers
    that share this balancer's traffic when all are ready. Dividing by the ready servers alone would overload the first
    servers that restart after an outage, when all traffic goes to them.

    As soon as there is a whole credit, a request spends it at any cold server. This protects the only cold server
    of a zone, and servers that start later, from credit that all balancers have saved up. Failed requests reduce the
    credit earned, since they are retried.
    """

    # Fraction of the recent maximum of ready servers that counts as all of them; during a deploy the rest may be away.
    EXPECTED_FRACTION = 0.75
    READY_DECAY = 0.999  # factor on that maximum at each refresh, that is, per hundredth of the warm-up time
    FAILURE_LOSS_FRACTION = 0.25  # of the credit earned, that is lost if all requests fail
    CREDIT_CAP = 2.0  # limits saved credit: a burst right after a start can use up what the server can take

    def __init__(self, settings: Settings, rng: Random, table: ServerTable) -> None:
        self._rng, self._table = rng, table
        # Random: balancers with a low rate must neither all start with a full credit nor all without one.
        self.credit = rng.random()
        self._most_ready = 0.0  # recent maximum of ready servers, decaying
        # Upper bound for the factor on the credit that a request earns. Set from outside: below 1 while it is known
        # that far more requests arrive than usual.
        self.earn_fraction = 1.0
        self.configure(settings, 0.0)

    def configure(self, settings: Settings, now_ms: float) -> None:
        """Apply new settings; the credit is kept."""
        self._initial_fraction, self._warmup_ms = settings.cold_share, settings.cold_ms
        self._pace = min(1.0, settings.fall_multiple * settings.tuning.cold_pace)
        self.refresh(now_ms)

    def refresh(self, now_ms: float) -> None:
        """Recompute which servers are cold and their capacity: at each change of the list, and while any is cold."""
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
        """The fraction of its full capacity that a server has at its age."""
        age = max(0.0, now_ms - server.started_ms)
        return (
            self._initial_fraction + (1.0 - self._initial_fraction) * min(1.0, age / self._warmup_ms)
            if self._warmup_ms
            else 1.0
        )

    def earn(self, now_ms: float, failure_rate: float = 0.0) -> None:
        """Add credit; called once per client request, before its placement. Further attempts earn nothing."""
        if not self.cold.items:
            return
        if now_ms >= self._refresh_at_ms:  # a hundred times per warm-up time, not for each request
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
        """Whether a sampled server may be used. A cold one needs credit, and is admitted at random by its capacity."""
        warm = not self.is_cold(server, now_ms)
        return warm or (self.credit >= 1.0 and self._rng.random() < self.capacity_fraction(server, now_ms))

    def spend(self, server: Server, now_ms: float) -> None:
        """Spend one credit if the server, which a request is sent to, is cold."""
        if self.is_cold(server, now_ms):
            self.credit -= 1.0
