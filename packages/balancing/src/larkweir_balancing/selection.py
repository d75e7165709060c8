"""Which server a request is sent to. Pure logic."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from larkweir_balancing.concurrency_limiter import INCONCLUSIVE
from larkweir_balancing.connections import ConnectionTracker
from larkweir_balancing.load_probing import MAX_SAMPLES, SAMPLE_WEIGHT, late_probability
from larkweir_balancing.outcomes import NEVER_RAN, Outcome
from larkweir_balancing.outlier_ejection import OutlierDetector
from larkweir_balancing.retry_safety import Attempt, Request
from larkweir_balancing.servers import SampleList, Server, ServerTable, sample
from larkweir_balancing.settings import Effect, Settings
from larkweir_balancing.slow_start import SlowStart


@dataclass(slots=True, eq=False, repr=False)
class ServerSelector:
    """Samples the token holders; where cross-zone traffic has a cost, those of the own zone come first."""

    NEVER_RAN_COST = 0.5  # of the latency target: cost of an attempt that never ran
    HOME_WORSE_FACTOR = 1.5  # times the cost in other zones, above which the own zone counts as worse
    # Fraction of requests that always sample all zones, to learn the cost in the others.
    CROSS_ZONE_SAMPLE_FRACTION = 0.02
    # Step of `cross_zone_fraction` towards 1 while the own zone is worse, else towards 0.
    CROSS_ZONE_STEP = 0.1

    settings: Settings
    rng: Random
    table: ServerTable
    connections: ConnectionTracker
    slow_start: SlowStart
    outliers: OutlierDetector
    cross_zone_fraction: float = 0.0  # of requests that sample all zones
    # Mean cost of an attempt in the own zone and in the others, as a fraction of the latency target; a failure costs 1.
    zone_cost: list[float] = field(default_factory=lambda: [0.0, 0.0])

    def begin_round(self, request: Request) -> None:
        """Start a new placement: reset the probe count and choose whether zones are ignored."""
        request.probe_count = 0
        request.ignores_zone = self.rng.random() < max(
            self.CROSS_ZONE_SAMPLE_FRACTION, self.cross_zone_fraction
        )

    def select(self, request: Request, now_ms: float) -> Server | None:
        """Return a uniformly sampled token holder, else a uniformly random ready server, or None."""
        if self.slow_start.credit >= 1.0 and self.slow_start.cold.items:
            # Exception while there is slow start credit: any idle cold server of any zone without recent failures.
            server = self._sample_allowed([self.slow_start.cold], request, now_ms)
            if (
                server is not None
                and server.list_level == 0
                and not (server.consecutive_failures or server.ejected_for_class)
            ):
                return server
        if self.connections.connections_expensive:
            # Exception while new connections are slow: token holders with an open connection first.
            for _ in range(MAX_SAMPLES):
                sampled = sample([self.connections.connected], self.rng)
                if sampled is None:
                    break
                if sampled.list_level == 0 and self._is_allowed(request, sampled, now_ms):
                    return sampled
        # Exception while this balancer has more requests in flight than there are servers, because its own counts then
        # indicate the load: the servers with the fewest of its requests come first.
        crowded = self.table.in_flight > self.table.ready_count
        for lists in self.table.by_in_flight if crowded else self.table.by_in_flight[:1]:
            server = self._sample_near(lists, request, crowded, now_ms)
            if server is not None:
                return server
        return self._sample_near(self.table.ready, request, True, now_ms)

    def _sample_near(
        self, lists: list[SampleList], request: Request, crowded: bool, now_ms: float
    ) -> Server | None:
        home = self.settings.my_zone
        if self.settings.price_cross_zone > 0.0 and request.probe_count < 2 and not request.ignores_zone:
            server = self._sample_allowed([lists[home]], request, now_ms)
            if (
                server is None
                and not crowded
                and len(self.table.by_in_flight) > 1
                and self._prefers_home_queue(request, now_ms)
            ):
                server = self._sample_allowed([self.table.by_in_flight[1][home]], request, now_ms)
            if server is not None:
                return server
        return self._sample_allowed(lists, request, now_ms)

    def _prefers_home_queue(self, request: Request, now_ms: float) -> bool:
        """Whether to queue behind an own request in the own zone rather than use another zone.

        True if an attempt in the own zone costs no more than one elsewhere and the crossing together, and the added
        delay makes the answer late with a probability that is at most the cost of crossing.
        """
        price = self.settings.price_cross_zone
        alone, behind = self.outliers.queue_ratio
        adds = max(0.0, behind - alone) * self.outliers.limiter.mean[request.class_index]
        late = late_probability(adds, max(1.0, request.useful_until_ms - now_ms))
        return self.zone_cost[0] <= self.zone_cost[1] + price and late <= price

    def _is_allowed(self, request: Request, server: Server, now_ms: float) -> bool:
        return request.can_send_to(server, now_ms) and self.slow_start.admits(server, now_ms)

    def _sample_allowed(self, lists: list[SampleList], request: Request, now_ms: float) -> Server | None:
        class_ejected = last_resort = None
        for _ in range(MAX_SAMPLES):
            server = sample(lists, self.rng)
            if server is None:
                break
            if not self._is_allowed(request, server, now_ms):
                continue
            class_ejection = server.ejected_for_class.get(request.class_index)
            if class_ejection is not None and class_ejection[1] > now_ms:
                class_ejected = server
            elif server in self.table.ejected or (
                server.unresponsive and request.request_class.effect is not Effect.SAFE
            ):
                # Guards against selecting an ejected server when no server holds a token, and against using a request
                # that is not safe to repeat to test whether an unresponsive server answers again.
                last_resort = server
            else:
                return server
        return class_ejected or last_resort

    def record_zone_cost(self, request: Request, attempt: Attempt, spent_ms: float) -> None:
        """Record the cost of an attempt, and adjust the fraction of requests that sample all zones.

        Guards against a zone with more traffic than its own servers can handle. A balancer with a low request rate
        always finds a token holder in its own zone, so it can't detect this by running out of tokens.
        """
        price = self.settings.price_cross_zone
        if price <= 0.0 or request.is_answered or attempt.outcome in INCONCLUSIVE:
            return
        if attempt.outcome is Outcome.OK:
            cost = min(1.0, spent_ms / request.request_class.aim_ms)
        else:
            cost = self.NEVER_RAN_COST if attempt.outcome in NEVER_RAN else 1.0
        away = attempt.server.zone != self.settings.my_zone
        self.zone_cost[away] += SAMPLE_WEIGHT * (cost - self.zone_cost[away])
        # There are few samples of either cost: without a margin, chance alone would send half of the requests across.
        worse = self.zone_cost[0] > self.HOME_WORSE_FACTOR * self.zone_cost[1] + price
        self.cross_zone_fraction += self.CROSS_ZONE_STEP * (worse - self.cross_zone_fraction)
