"""Health reports of other replicas about servers that this balancer has ejected, weighted by their age. Pure logic.

A report never ejects a server and never sends a request. It moves the time at which a server that this balancer itself
has ejected is tried again, later or sooner, within bounds set by this balancer's own findings. A server whose ejection
ends this way is selected under the usual rules: discovery must list it, slow start applies, and one that was
unresponsive first gets requests that may be retried. A probe is sent only when it is this replica's turn, only if the
settings allow probes, and only to a ready server.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from larkweir_balancing.actions import Action, Probe
from larkweir_balancing.concurrency_limiter import INCONCLUSIVE
from larkweir_balancing.events import PeerHealthReport, ProbeEnded
from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.outlier_ejection import OutlierDetector
from larkweir_balancing.servers import Server

MAX_SERVERS = 256  # reports about further servers are ignored
REPORT_LIFETIME_MS = 12_000.0  # older reports are ignored
# A new report keeps an unhealthy server ejected for so long, an older one for less.
MAX_EJECTION_HINT_MS = 6_000.0
# Each replica restores a server that was reported healthy after a random delay of up to this. So a wrong report costs
# the first few replicas only, and a server that has just started is spared until discovery lists its start.
RESTORE_SPREAD_MS = 3_000.0
RECHECK_INTERVAL_MS = 2_000.0  # minimum time between two checks by the replica whose turn it is
PROBE_TIMEOUT_MS = 3_000.0  # then a probe without an answer is given up


def report_confidence(age_ms: float) -> float:
    """The confidence in a report of this age, from 1 down to 0; a negative age counts as new."""
    return max(0.0, 1.0 - max(0.0, age_ms) / REPORT_LIFETIME_MS)


class LocalHealth(NamedTuple):
    """This replica's own finding about a server. `is_ejected`: requests failed there, and none has succeeded since.

    A server that is only slow is not reported as ejected.
    """

    server: int
    is_ejected: bool
    is_healthy: bool | None
    age_ms: float
    from_request: bool


@dataclass(slots=True, eq=False, repr=False)
class _ServerHealth:
    server: Server
    failed_ms: float  # the last failure seen by this replica
    found_ms: float  # this replica's last own finding; `is_healthy` and `from_request` describe it
    is_healthy: bool | None = None
    from_request: bool = False
    is_failing: bool = False  # requests fail there; a server that is only slow is not failing
    restored_on_report: bool = False  # restored on a report, and no own finding since
    # Restored on a report and then failed; reports that it is healthy are ignored until it has served a request here.
    report_was_wrong: bool = False
    probed_ms: float = -math.inf  # when the last probe was sent on this replica's turn
    probe_in_flight: bool = False


class SharedHealth:
    """Tracks the servers that this replica's outlier detector has ejected, and moves the end of their ejection."""

    def __init__(self, detector: OutlierDetector) -> None:
        self._detector = detector
        self._servers: dict[int, _ServerHealth] = {}
        self.untracked = 0  # servers beyond `MAX_SERVERS`

    # ------------------------------------------------ this replica's own findings

    def on_attempt_end(self, server: Server, outcome: Outcome, now_ms: float) -> None:
        """A request has ended, and the detector has recorded it."""
        fails = bool(server.ejections) and outcome is not Outcome.OK
        health = self._track(server, now_ms) if fails else self._servers.get(server.id)
        if health is None or health.server is not server or outcome in INCONCLUSIVE:
            return
        health.is_failing = fails or (health.is_failing and server.ejections > 0)
        health.found_ms, health.from_request, health.is_healthy = now_ms, True, not server.ejections
        if server.ejections:
            health.failed_ms = now_ms
            health.report_was_wrong = health.report_was_wrong or health.restored_on_report
        else:
            health.report_was_wrong = False
        health.restored_on_report = False

    def on_probe_end(self, event: ProbeEnded, now_ms: float) -> bool:
        """A probe has ended; returns whether this object had asked for it."""
        health = self._servers.get(event.server)
        if health is None or not health.probe_in_flight:
            return False
        health.probe_in_flight = False
        if (
            event.outcome not in INCONCLUSIVE
            and health.server.ejections
            and health.found_ms <= health.probed_ms
        ):
            health.found_ms, health.from_request, health.is_healthy = (
                now_ms,
                False,
                event.outcome is Outcome.OK,
            )
            self._apply(health, health.is_healthy, False, 0.0, now_ms)
        return True

    def local_health(self, now_ms: float) -> Iterator[LocalHealth]:
        """The finding about each server that is ejected, or was until recently."""
        for number, health in list(self._servers.items()):
            over = (
                health.is_healthy is True
                and health.from_request
                and now_ms - health.found_ms >= REPORT_LIFETIME_MS
            )
            if over or not self._is_listed(health):
                del self._servers[number]
                continue
            age = now_ms - health.found_ms
            yield LocalHealth(number, health.is_failing, health.is_healthy, age, health.from_request)

    def _is_listed(self, health: _ServerHealth) -> bool:
        return health.server.ready and self._detector.table.servers.get(health.server.id) is health.server

    def _track(self, server: Server, now_ms: float) -> _ServerHealth | None:
        health = self._servers.get(server.id)
        if health is None or health.server is not server:
            if health is None and len(self._servers) >= MAX_SERVERS:
                self.untracked += 1
                return None
            health = self._servers[server.id] = _ServerHealth(server, now_ms, -math.inf)
        return health

    # ------------------------------------------------ reports of other replicas

    def on_peer_report(self, event: PeerHealthReport, now_ms: float, out: list[Action]) -> None:
        """Another replica reports; ignored for a server that is not listed, is draining, or is not ejected here."""
        server = self._detector.table.servers.get(event.server)
        if server is None or not server.ready or not server.ejections:
            return
        health = self._track(server, now_ms)
        if health is None:
            return
        if event.is_probe_turn:
            self._recheck(health, now_ms, out)
        elif event.is_healthy is not None and now_ms - event.age_ms > health.found_ms:
            # The report is newer than this replica's own finding.
            self._apply(health, event.is_healthy, event.from_request, event.age_ms, now_ms)

    def _apply(
        self, health: _ServerHealth, is_healthy: bool, from_request: bool, age_ms: float, now_ms: float
    ) -> None:
        """Move the time at which the server is tried again."""
        server, confidence = health.server, report_confidence(age_ms)
        if confidence <= 0.0:
            return
        if not is_healthy:
            # The bound counts from the last failure seen here. When it is reached, this replica tries the server
            # itself, even if wrong reports keep arriving.
            last = health.failed_ms + self._detector.settings.longest_ms
            health.restored_on_report = False
            self._extend_ejection(server, min(now_ms + MAX_EJECTION_HINT_MS * confidence, last), now_ms)
        elif (
            not health.restored_on_report
            and not health.report_was_wrong
            and (from_request or server.unresponsive)
        ):
            # A successful probe counts for a server that was unresponsive, not for one that answers with errors.
            health.restored_on_report = True
            self._restore(server, now_ms + RESTORE_SPREAD_MS * self._detector.rng.random(), now_ms)

    def _extend_ejection(self, server: Server, until_ms: float, now_ms: float) -> None:
        """Eject the server until `until_ms`, within the detector's own bound on how many are ejected at once."""
        fleet = self._detector.table
        if server not in fleet.ejected:
            if len(fleet.ejected) >= self._detector.settings.tuning.eject_most * fleet.ready_count:
                return
            if until_ms <= max(now_ms, server.withheld_until_ms):
                return
            fleet.ejected.add(server)
        fleet.withhold_token(server, until_ms)

    def _restore(self, server: Server, at_ms: float, now_ms: float) -> None:
        if server.withheld_until_ms > at_ms:
            server.withheld_until_ms = 0.0
            self._detector.table.withhold_token(server, at_ms)

    def _recheck(self, health: _ServerHealth, now_ms: float, out: list[Action]) -> None:
        """Check a server on this replica's turn.

        Sends a probe. Where probes are not allowed or say nothing, ends the ejection, so that a request is the check.
        """
        server = health.server
        if now_ms - max(health.probed_ms, health.found_ms) < RECHECK_INTERVAL_MS:
            return
        if health.probe_in_flight and now_ms - health.probed_ms < PROBE_TIMEOUT_MS:
            return
        if (
            self._detector.settings.may_probe
            and server.unresponsive
            and not (health.restored_on_report or health.report_was_wrong)
        ):
            health.probed_ms, health.probe_in_flight = now_ms, True
            out.append(Probe(server.id))
            self._extend_ejection(
                server,
                min(now_ms + MAX_EJECTION_HINT_MS, health.failed_ms + self._detector.settings.longest_ms),
                now_ms,
            )
        else:
            self._restore(server, now_ms, now_ms)
