"""Hands: what a balancer's decisions know of upstreams that they have left out, by keys that all balancers share, and
what others have found, told to them. Not imported where the duty "probers" is off.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from larkweir_balancing import Balancer
from larkweir_balancing.hearsay import Hearsay, Told
from larkweir_balancing.interface import Heard

from larkweir.coordination.duties.ports import Known
from larkweir.coordination.duties.probers import BAD, NOTHING, PROBED, SERVED, key_of
from larkweir.core.ports import UpstreamInfo


class Scouts:
    """`duties.table.Scout` over all decisions of this process: an upstream that is in several pools may be left
    out by some of them.
    """

    def __init__(
        self,
        decisions: Callable[[], Iterable[Balancer]],
        targets: Callable[[], Mapping[int, UpstreamInfo]],
        tell: Callable[[Heard], None],
    ) -> None:
        self._decisions, self._targets, self._tell = decisions, targets, tell
        self._numbers: dict[bytes, int] = {}  # of what was known at the last look
        self._ears()

    def probes(self) -> bool:
        return any(balancer.settings.may_probe for balancer in self._decisions())

    def _ears(self) -> list[Hearsay]:
        """Each balancer hears; those of a later generation from when it is first looked at."""
        found: list[Hearsay] = []
        for balancer in self._decisions():
            if balancer.hearsay is None:
                balancer.hearsay = Hearsay(balancer.judge)
            found.append(balancer.hearsay)
        return found

    def known(self, now_ms: float) -> Mapping[bytes, Known]:
        self._numbers.clear()
        targets, found = self._targets(), dict[bytes, Known]()
        for ears in self._ears():
            for told in ears.told(now_ms):
                target = targets.get(told.server)
                if target is None:
                    continue
                key = key_of("{}:{}".format(*target.address))
                self._numbers[key] = told.server
                found[key] = _joined(found.get(key), told)
        return found

    def hear(self, key: bytes, found: int, age_ms: float, turn: bool) -> None:
        number = self._numbers.get(key)
        if number is not None:
            good = None if found == NOTHING else found != BAD
            self._tell(Heard(number, good, age_ms, found == SERVED, turn))


def _joined(other: Known | None, told: Told) -> Known:
    """Left out where any has left it out; of what they found, the newest."""
    found = NOTHING
    if told.good is not None:
        found = BAD if not told.good else SERVED if told.by_call else PROBED
    mine = Known(told.out, found, told.age_ms if found else 0.0)
    if other is None:
        return mine
    newer = mine if found and (not other.found or mine.age_ms < other.age_ms) else other
    return Known(mine.out or other.out, newer.found, newer.age_ms)
