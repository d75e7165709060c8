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
    SLOWNESS_SAMPLE_WEIGHT = 0.25
    ORDINARY_RATIO = 1.0  # times the usual, up to which a server is not slow
    MAX_RATIO = 8.0  # times the usual, as far as a single answer counts
    WITHHELD_VISITS = 2.0  # visits for which a server of twice the ordinary time keeps no token

    settings: Settings
    rng: Random
    table: ServerTable
    limiter: ConcurrencyLimiter
    client_stats: ClientStats
    load_probing: LoadProbing
    failure_rate: float = 0.1
    newest_success_sent_ms: float = -1.0  # when the call was sent that is the newest of those served
    kind_ratio: dict[int, float] = field(default_factory=dict)  # times the usual that a kind of server takes
    # The same of calls with no own call at the server before them, and with one or more.
    queue_ratio: list[float] = field(default_factory=lambda: [1.0, 2.0])

    def record_end(
        self, request: Request, attempt: Attempt, spent_ms: float, usual_ms: float, now_ms: float
    ) -> None:
        """A call has ended; `usual_ms`: what those of its class have taken so far."""
        server, at = attempt.server, request.class_index
        if attempt.outcome is not Outcome.OK:  # what ended early may have been given less than the usual time
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
        """Whether a call that came to nothing in time did so behind our own calls: its server has served others since,
        or no server any call that was sent later. Guards against ejecting a tier that we have overfilled, server by
        server, which would fill the rest the more.
        """
        late = (
            attempt.server.last_success_ms >= attempt.sent_ms
            or attempt.sent_ms >= self.newest_success_sent_ms
        )
        return attempt.in_flight_before > 0 and late

    def _record_failure(self, attempt: Attempt, at: int, spent_ms: float, now_ms: float) -> None:
        """Outlier ejection: a run of failures withholds the token for a growing, bounded, jittered time.

        One bad server is told from a bad tier by chance: the run must be one that the failure rate of all
        servers together would give this one in fewer than `eject_odds` of cases, and at most `eject_most` of the ready
        servers are ejected at once: guards against emptying a fleet that is slow as a whole.
        """
        self.failure_rate += self.SAMPLE_WEIGHT * (1.0 - self.failure_rate)
        server, outcome, fleet, tuning = attempt.server, attempt.outcome, self.table, self.settings.tuning
        visit_interval_ms = (
            self.client_stats.arrival_interval_ms * fleet.ready_count
        )  # from one of this copy's visits there to the next
        latency = self.limiter.mean[at]
        if outcome not in NEVER_RAN and outcome is not Outcome.OK:
            # Guards against a server that fails one class and serves the others, whose successes would clear
            # it. One failure is enough: others are drawn meanwhile; if all of them fail it changes nothing.
            times = server.ejected_for_class.get(at, (0, 0.0))[0] + 1
            server.ejected_for_class[at] = (times, now_ms + self._ejection_ms(visit_interval_ms, times))
        server.consecutive_failures += 1
        # Guards against the fast failure, whose token would be back first; one that took its time attracts nobody.
        pause = latency * (0.25 + 0.5 * self.rng.random()) - spent_ms
        fleet.withhold_token(server, now_ms + pause)
        # Of so many calls out, as many runs are looked at, and one is odd by chance: guards against ejecting servers
        # that are well, in turn, which crowds the rest. One that gives no sign of life is not waited for so long.
        runs = fleet.in_flight if outcome is Outcome.ERROR or outcome is Outcome.RESET else 1
        probability = self.failure_rate**server.consecutive_failures * max(1, runs)
        if probability < tuning.eject_odds and len(fleet.ejected) < tuning.eject_most * fleet.ready_count:
            # Doubles with each ejection, not with each failure, which a bad tier gives to all.
            if server.unresponsive and not server.ejections:
                self.limiter.on_capacity_lost(fleet.ready_count - len(fleet.ejected))
            server.ejections += 1
            fleet.ejected.add(server)
            # A copy of low rate comes by seldom: less than the time between two visits would be no ejection.
            fleet.withhold_token(
                server, now_ms + self._ejection_ms(max(latency, visit_interval_ms), server.ejections)
            )

    def _ejection_ms(self, first_ms: float, times: int) -> float:
        """Doubled each time, with jitter."""
        span = first_ms * 2.0 ** min(times, 16)
        return min(self.settings.longest_ms, span) * (0.5 + self.rng.random())

    def _pace_visits(self, server: Server, ratio: float, now_ms: float) -> None:
        """Keep a slower server's token back after its call, by how much slower than the usual it is.

        Guards against slow kinds and servers that stay slow once crowded: a copy that comes by seldom always
        finds its own calls there ended, so that even draws fill the slow ones. Only where no report tells
        which server is idle. A tier that is slow as a whole is its own usual, so nothing is withheld then.
        """
        kind = self.kind_ratio.get(server.kind, 1.0)
        self.kind_ratio[server.kind] = kind + self.SAMPLE_WEIGHT * (ratio - kind)
        # Its kind speaks for a server that this copy has hardly met.
        known = kind if server.slowness is None else server.slowness
        server.slowness = known + self.SLOWNESS_SAMPLE_WEIGHT * (ratio - known)
        # Own counts tell which server is free, a lone copy's sooner. Guards against leaving one empty, for the
        # time that its answer took behind our own calls, while the others get twice as many.
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
