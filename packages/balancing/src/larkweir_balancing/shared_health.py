"""Health findings of other replicas about servers that this balancer has ejected, weighed by their age. Pure logic.

A report never ejects a server and never sends a request: it moves the time at which a server that this balancer
itself has ejected is tried again, later or sooner, within bounds that its own knowledge sets. A server that is
restored is selected under the usual rules: discovery must list it, slow start counts, and an unresponsive one gets
requests that may be repeated first. A probe is sent only on this replica's turn, only where the settings allow
probes, and only to a ready server.
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

MAX_SERVERS = 256  # reports of further ones are ignored
REPORT_LIFETIME_MS = 12_000.0  # from this age on a report is ignored
MAX_EJECTION_HINT_MS = 6_000.0  # for which a new report keeps an unhealthy server ejected; less with its age
# Over which the replicas restore a server that was found healthy: a wrong report costs the first few only, and a server
# that has just started is spared until discovery lists its start.
RESTORE_SPREAD_MS = 3_000.0
RECHECK_INTERVAL_MS = 2_000.0  # between two checks, by the replica whose turn it is
PROBE_TIMEOUT_MS = 3_000.0  # after which a probe is no longer waited for


def report_confidence(age_ms: float) -> float:
    """Of a report of this age, from 1 down to 0; a negative age counts as new."""
    return max(0.0, 1.0 - max(0.0, age_ms) / REPORT_LIFETIME_MS)


class LocalHealth(NamedTuple):
    """What this replica has found of a server by itself. `is_ejected`: requests failed there, and none succeeded since.

    A server that is only slow is not reported.
    """

    server: int
    is_ejected: bool
    is_healthy: bool | None
    age_ms: float
    from_request: bool


@dataclass(slots=True, eq=False, repr=False)
class _ServerHealth:
    server: Server
    failed_ms: float  # its last failure here
    found_ms: float  # when this copy found something itself, and what
    is_healthy: bool | None = None
    from_request: bool = False
    is_failing: bool = False  # not slow alone
    restored_on_report: bool = False  # brought back on hearsay, and not heard of since
    report_was_wrong: bool = False  # that was wrong: no good word counts until it has served this copy
    probed_ms: float = -math.inf  # of the last probe for others
    probe_in_flight: bool = False  # it is out


class SharedHealth:
    """One replica's: it follows the servers that its detector has ejected, and says until when."""

    def __init__(self, detector: OutlierDetector) -> None:
        self._detector = detector
        self._servers: dict[int, _ServerHealth] = {}
        self.untracked = 0  # servers beyond the bound

    # ------------------------------------------------ what this copy finds

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
        """A probe has ended; returns whether it was sent by this class."""
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
        """Of each server that is ejected, or was until recently."""
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

    # ------------------------------------------------ what others have found

    def on_peer_report(self, event: PeerHealthReport, now_ms: float, out: list[Action]) -> None:
        """Another replica reports; ignored for a server that is not listed, drains, or is not ejected here."""
        server = self._detector.table.servers.get(event.server)
        if server is None or not server.ready or not server.ejections:
            return
        health = self._track(server, now_ms)
        if health is None:
            return
        if event.is_probe_turn:
            self._recheck(health, now_ms, out)
        elif (
            event.is_healthy is not None and now_ms - event.age_ms > health.found_ms
        ):  # else this copy knows better
            self._apply(health, event.is_healthy, event.from_request, event.age_ms, now_ms)

    def _apply(
        self, health: _ServerHealth, is_healthy: bool, from_request: bool, age_ms: float, now_ms: float
    ) -> None:
        """Move the time at which it is tried again."""
        server, confidence = health.server, report_confidence(age_ms)
        if confidence <= 0.0:
            return
        if not is_healthy:
            # Guards against a wrong word that never ends: after that at the latest this copy finds out for itself.
            last = health.failed_ms + self._detector.settings.longest_ms
            health.restored_on_report = False
            self._extend_ejection(server, min(now_ms + MAX_EJECTION_HINT_MS * confidence, last), now_ms)
        elif (
            not health.restored_on_report
            and not health.report_was_wrong
            and (from_request or server.unresponsive)
        ):
            # A probe speaks for a server that gave no sign of life, not for one that answers, and answers badly.
            health.restored_on_report = True
            self._restore(server, now_ms + RESTORE_SPREAD_MS * self._detector.rng.random(), now_ms)

    def _extend_ejection(self, server: Server, until_ms: float, now_ms: float) -> None:
        """Within the detector's own bound of how many are ejected at once."""
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
        """This replica's turn: a probe; where none is allowed, or probes tell nothing, the next request there."""
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
