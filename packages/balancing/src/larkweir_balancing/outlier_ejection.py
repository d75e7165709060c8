"""Outlier ejection by one balancer, from the outcomes of its own requests, and pacing of slow servers. Pure logic."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from larkweir_balancing.client_stats import ClientStats
from larkweir_balancing.concurrency_limiter import INCONCLUSIVE, ConcurrencyLimiter
from larkweir_balancing.load_probing import LoadProbing
from larkweir_balancing.outcomes import NEVER_RAN, Outcome
from larkweir_balancing.retry_safety import Attempt, Request
from larkweir_balancing.servers import Server, ServerTable
from larkweir_balancing.settings import Settings


@dataclass(slots=True, eq=False, repr=False)
class OutlierDetector:
    """Outlier ejection, and the pacing of requests to slow servers: both withhold tokens."""

    SAMPLE_WEIGHT = 1.0 / 32.0  # weight of a new sample in the running means
    SLOWNESS_SAMPLE_WEIGHT = 0.25  # weight of a new sample in a server's slowness
    ORDINARY_RATIO = 1.0  # times the usual latency: up to this, a server is not slow
    MAX_RATIO = 8.0  # times the usual latency: bounds the influence of a single answer
    # How long the token of a server with twice the usual latency is withheld, in mean intervals between this replica's
    # requests to one server.
    WITHHELD_VISITS = 2.0

    settings: Settings
    rng: Random
    table: ServerTable
    limiter: ConcurrencyLimiter
    client_stats: ClientStats
    load_probing: LoadProbing
    failure_rate: float = 0.1
    newest_success_sent_ms: float = -1.0  # send time of the newest call that was served
    kind_ratio: dict[int, float] = field(default_factory=dict)  # by kind of server: times the usual latency
    # Times the usual latency of calls with no own call in flight at the server when they were sent, and with some.
    queue_ratio: list[float] = field(default_factory=lambda: [1.0, 2.0])

    def record_end(
        self, request: Request, attempt: Attempt, spent_ms: float, usual_ms: float, now_ms: float
    ) -> None:
        """A call has ended; `usual_ms`: the mean latency of its class so far."""
        server, at = attempt.server, request.class_index
        if attempt.outcome is not Outcome.OK:  # an early timeout may have allowed less than the usual time
            early = attempt.outcome is Outcome.TIMEOUT and (
                spent_ms < usual_ms or self._queued_behind_own_calls(attempt)
            )
            if not early and attempt.outcome not in INCONCLUSIVE:
                self._record_failure(attempt, at, spent_ms, now_ms)
            return
        server.unresponsive = False
        server.last_success_ms = now_ms
        self.newest_success_sent_ms = max(self.newest_success_sent_ms, attempt.sent_ms)
        if spent_ms > self.settings.tuning.slow * usual_ms * max(1.0, request.size):
            self._record_failure(attempt, at, spent_ms, now_ms)
        else:
            self.failure_rate -= self.SAMPLE_WEIGHT * self.failure_rate
            server.consecutive_failures = server.ejections = 0
            server.ejected_for_class.pop(at, None)
        ratio = min(self.MAX_RATIO, spent_ms / (usual_ms * max(0.25, request.size)))
        self.queue_ratio[attempt.in_flight_before > 0] += (
            2.0 * self.SAMPLE_WEIGHT * (ratio - self.queue_ratio[attempt.in_flight_before > 0])
        )
        self._pace_visits(server, ratio, now_ms)

    def _queued_behind_own_calls(self, attempt: Attempt) -> bool:
        """Whether a call that timed out was probably queued behind our own calls.

        It was if our other calls were in flight there, and the server has served a call since then, or no server has
        served a call that was sent later. Ejecting the servers of a tier that we overload, one by one, would overload
        the rest even more.
        """
        late = (
            attempt.server.last_success_ms >= attempt.sent_ms
            or attempt.sent_ms >= self.newest_success_sent_ms
        )
        return attempt.in_flight_before > 0 and late

    def _record_failure(self, attempt: Attempt, at: int, spent_ms: float, now_ms: float) -> None:
        """Outlier ejection: a run of failures withholds the token for a growing, bounded, jittered time.

        A bad server is distinguished from a bad tier by probability: at the failure rate of all servers together, the
        run must have a probability below `eject_odds`. At most `eject_most` of the ready servers are ejected at once,
        so that a fleet that is slow as a whole is not emptied.
        """
        self.failure_rate += self.SAMPLE_WEIGHT * (1.0 - self.failure_rate)
        server, outcome, fleet, tuning = attempt.server, attempt.outcome, self.table, self.settings.tuning
        # The mean time between two requests of this replica to one server.
        visit_interval_ms = self.client_stats.arrival_interval_ms * fleet.ready_count
        latency = self.limiter.mean[at]
        if outcome not in NEVER_RAN and outcome is not Outcome.OK:
            # For a server that fails one class and serves the others, whose successes would reset its failures. One
            # failure is enough: other servers are selected meanwhile, and if all of them fail it changes nothing.
            times = server.ejected_for_class.get(at, (0, 0.0))[0] + 1
            server.ejected_for_class[at] = (times, now_ms + self._ejection_ms(visit_interval_ms, times))
        server.consecutive_failures += 1
        # The token of a fast failure would return first and attract more requests, so it is withheld for about the
        # usual latency. A slow failure has already taken that time.
        pause = latency * (0.25 + 0.5 * self.rng.random()) - spent_ms
        fleet.withhold_token(server, now_ms + pause)
        # With many calls in flight, many runs are tested at once, and one of them is improbable by chance; so the
        # probability is multiplied by their number (Bonferroni). Otherwise healthy servers would be ejected in turn,
        # which overloads the rest. Only errors and resets are corrected in this way, so that a server that does not
        # answer is ejected sooner.
        runs = fleet.in_flight if outcome is Outcome.ERROR or outcome is Outcome.RESET else 1
        probability = self.failure_rate**server.consecutive_failures * max(1, runs)
        if probability < tuning.eject_odds and len(fleet.ejected) < tuning.eject_most * fleet.ready_count:
            # The time doubles with each ejection, not with each failure, since a bad tier makes all servers fail.
            if server.unresponsive and not server.ejections:
                self.limiter.on_capacity_lost(fleet.ready_count - len(fleet.ejected))
            server.ejections += 1
            fleet.ejected.add(server)
            # For a replica with low traffic, less than the time between two requests would have no effect.
            fleet.withhold_token(
                server, now_ms + self._ejection_ms(max(latency, visit_interval_ms), server.ejections)
            )

    def _ejection_ms(self, first_ms: float, times: int) -> float:
        """The duration of the ejection: `first_ms` doubled each time, bounded, with jitter."""
        span = first_ms * 2.0 ** min(times, 16)
        return min(self.settings.longest_ms, span) * (0.5 + self.rng.random())

    def _pace_visits(self, server: Server, ratio: float, now_ms: float) -> None:
        """Withhold a slow server's token after a call, for longer the slower it is than the usual.

        A replica with low traffic always finds its own calls at a server ended, so selecting evenly would overload slow
        servers and kinds. Nothing is withheld if load reports show which server is idle, or if the whole tier is slow,
        because slow is then the usual.
        """
        kind = self.kind_ratio.get(server.kind, 1.0)
        self.kind_ratio[server.kind] = kind + self.SAMPLE_WEIGHT * (ratio - kind)
        # A server without samples starts from the ratio of its kind.
        known = kind if server.slowness is None else server.slowness
        server.slowness = known + self.SLOWNESS_SAMPLE_WEIGHT * (ratio - known)
        # With enough own calls in flight, their counts show which server is free; a lone replica needs fewer. Then no
        # token is withheld: an answer that was slow because it queued behind our own calls would leave its server idle
        # while the others get twice as many calls.
        counts = self.table.in_flight >= self.table.ready_count * (
            0.5 if self.settings.balancer_count < 2 else 1.0
        )
        slowdown = server.slowness - self.ORDINARY_RATIO
        if slowdown > 0.0 and not self.load_probing.reports_idle and not counts:
            visit_interval_ms = self.client_stats.arrival_interval_ms * self.table.ready_count
            self.table.withhold_token(
                server,
                now_ms + min(self.settings.longest_ms, self.WITHHELD_VISITS * slowdown * visit_interval_ms),
            )
