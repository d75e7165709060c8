"""What a balancer's decisions know of upstreams that they have ejected, by keys that all balancers share, and what
others have found, passed on to them. Not imported where the duty "probers" is off.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from larkweir_balancing import Balancer
from larkweir_balancing.interface import PeerHealthReport
from larkweir_balancing.shared_health import LocalHealth, SharedHealth

from larkweir.coordination.duties.ports import LocalSighting
from larkweir.coordination.duties.probers import FAILING, NOTHING, PROBED, SERVED, key_of
from larkweir.core.ports import UpstreamInfo


class SharedHealthAdapter:
    """`duties.table.HealthSource` over all decisions of this process: an upstream that is in several pools may be
    ejected by some of them.
    """

    def __init__(
        self,
        decisions: Callable[[], Iterable[Balancer]],
        targets: Callable[[], Mapping[int, UpstreamInfo]],
        report: Callable[[PeerHealthReport], None],
    ) -> None:
        self._decisions, self._targets, self._report = decisions, targets, report
        self._numbers: dict[bytes, int] = {}  # of the upstreams at the last check
        self._listeners()

    def probes(self) -> bool:
        """Whether the platform's settings allow probes."""
        return any(balancer.settings.may_probe for balancer in self._decisions())

    def _listeners(self) -> list[SharedHealth]:
        """What each pool's decisions share; those of a later generation take part from the next check on."""
        found: list[SharedHealth] = []
        for balancer in self._decisions():
            if balancer.shared_health is None:
                balancer.shared_health = SharedHealth(balancer.outliers)
            found.append(balancer.shared_health)
        return found

    def sightings(self, now_ms: float) -> Mapping[bytes, LocalSighting]:
        """Upstreams that are ejected here, or were until a moment ago, by key."""
        self._numbers.clear()
        targets, found = self._targets(), dict[bytes, LocalSighting]()
        for listener in self._listeners():
            for health in listener.local_health(now_ms):
                target = targets.get(health.server)
                if target is None:
                    continue
                key = key_of("{}:{}".format(*target.address))
                self._numbers[key] = health.server
                found[key] = _joined(found.get(key), health)
        return found

    def on_finding(self, key: bytes, finding: int, age_ms: float, is_prober: bool) -> None:
        """Pass a finding of others on to the decisions."""
        number = self._numbers.get(key)
        if number is not None:
            good = None if finding == NOTHING else finding != FAILING
            self._report(PeerHealthReport(number, good, age_ms, finding == SERVED, is_prober))


def _joined(other: LocalSighting | None, health: LocalHealth) -> LocalSighting:
    """Ejected where any has ejected it; of the findings, the newest."""
    finding = NOTHING
    if health.is_healthy is not None:
        finding = FAILING if not health.is_healthy else SERVED if health.from_request else PROBED
    mine = LocalSighting(health.is_ejected, finding, health.age_ms if finding else 0.0)
    if other is None:
        return mine
    newer = mine if finding and (not other.finding or mine.age_ms < other.age_ms) else other
    return LocalSighting(mine.is_ejected or other.is_ejected, newer.finding, newer.age_ms)
