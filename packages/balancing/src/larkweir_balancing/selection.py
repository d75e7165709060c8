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
    """Samples the token holders, those of the own zone first where crossing to another one costs."""

    NEVER_RAN_COST = 0.5  # of the aim: what a call that never ran has cost
    HOME_WORSE_FACTOR = 1.5  # times the cost elsewhere, from which home does worse
    CROSS_ZONE_SAMPLE_FRACTION = (
        0.02  # of calls that draw over all zones although home does well, to learn of the others
    )
    CROSS_ZONE_STEP = 0.1  # step of the part that does so while home does worse than crossing costs

    settings: Settings
    rng: Random
    table: ServerTable
    connections: ConnectionTracker
    slow_start: SlowStart
    outliers: OutlierDetector
    cross_zone_fraction: float = 0.0
    # Of a call at home and elsewhere, in parts of the aim; a failure is a whole one.
    zone_cost: list[float] = field(default_factory=lambda: [0.0, 0.0])

    def begin_round(self, request: Request) -> None:
        """Begin a round of draws."""
        request.probe_count = 0
        request.ignores_zone = self.rng.random() < max(
            self.CROSS_ZONE_SAMPLE_FRACTION, self.cross_zone_fraction
        )

    def select(self, request: Request, now_ms: float) -> Server | None:
        """A token holder drawn uniformly, else a uniformly random ready server."""
        if self.slow_start.credit >= 1.0 and self.slow_start.cold.items:
            # Exception, while there is credit for cold servers: any that does well, of any zone.
            server = self._sample_allowed([self.slow_start.cold], request, now_ms)
            if (
                server is not None
                and server.list_level == 0
                and not (server.consecutive_failures or server.ejected_for_class)
            ):
                return server
        if self.connections.connections_expensive:
            # Exception, while new connections are seen to take long: token holders with an open one first.
            for _ in range(MAX_SAMPLES):
                sampled = sample([self.connections.connected], self.rng)
                if sampled is None:
                    break
                if sampled.list_level == 0 and self._is_allowed(request, sampled, now_ms):
                    return sampled
        # Exception, while this copy's own calls outnumber the servers, so that own counts tell of the load:
        # those with the fewest.
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
        """Whether to queue behind an own call at home rather than cross: home does no worse than elsewhere, and the
        time that this call adds loses less of the aim than crossing costs.
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
                # Guards against drawing, where nobody holds a token, what was ejected; and against trying with
                # a request that can't be repeated whether a server has found its voice again.
                last_resort = server
            else:
                return server
        return class_ejected or last_resort

    def record_zone_cost(self, request: Request, attempt: Attempt, spent_ms: float) -> None:
        """Draw over all zones as far as home does worse than crossing costs.

        Guards against a zone with more traffic than its own servers carry: a copy of low rate always finds a
        token at home, so running out of tokens does not tell it.
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
        # Few calls tell of either: home must do clearly worse, else chance alone would make half cross.
        worse = self.zone_cost[0] > self.HOME_WORSE_FACTOR * self.zone_cost[1] + price
        self.cross_zone_fraction += self.CROSS_ZONE_STEP * (worse - self.cross_zone_fraction)
