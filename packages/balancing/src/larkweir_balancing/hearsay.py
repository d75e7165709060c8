"""Rules: what other copies have found of servers that are left out here, and what it is worth by its age.

Hearsay never puts a server out, and never sends: it moves the time at which a server that this copy itself has left out
is tried again, later or sooner, within bounds that this copy's own knowledge sets. What it brings back is drawn under
the same rules as ever: its own list must name it, slow start counts, a silent one gets what may be repeated first. A
probe goes out only for a copy's turn, only where the settings allow probes, and only to a server that takes requests.
"""

from __future__ import annotations

import math
from collections.abc import Iterator
from dataclasses import dataclass
from typing import NamedTuple

from larkweir_balancing.concurrency_limiter import UNTELLING
from larkweir_balancing.interface import Action, Heard, Outcome, Probe, ProbeEnded
from larkweir_balancing.judging import Judge
from larkweir_balancing.servers import Server

MOST = 256  # servers; of further ones nothing is heard
TRUST_MS = 12_000.0  # from this age on hearsay counts for nothing
HOLD_MS = 6_000.0  # that a new bad word keeps a server out; with the trust in it, it shrinks evenly
# Over which copies bring back what was found well: a wrong word costs the first few, and one that has just started is
# spared until the list tells of that.
SPREAD_MS = 3_000.0
LOOK_MS = 2_000.0  # from look to look, by the copy whose turn it is
PROBE_MS = 3_000.0  # a probe that has not ended by then is not waited for


def trust(age_ms: float) -> float:
    """Of a word of this age, from 1 down to 0; what comes from ahead of time is new."""
    return max(0.0, 1.0 - max(0.0, age_ms) / TRUST_MS)


class Told(NamedTuple):
    """What this copy knows of a server by itself. `out`: it has left it out because calls came to nothing there, and
    has served nothing there since. One that is slow, and no more than that, is each copy's own matter.
    """

    server: int
    out: bool
    good: bool | None
    age_ms: float
    by_call: bool


@dataclass(slots=True, eq=False, repr=False)
class _Known:
    server: Server
    failed_ms: float  # its last failure here
    at_ms: float  # when this copy found something itself, and what
    good: bool | None = None
    by_call: bool = False
    failing: bool = False  # not slow alone
    freed: bool = False  # brought back on hearsay, and not heard of since
    misled: bool = False  # that was wrong: no good word counts until it has served this copy
    asked_ms: float = -math.inf  # of the last probe for others
    asking: bool = False  # it is out


class Hearsay:
    """One copy's. It knows the servers that `judge` has left out, and says until when."""

    def __init__(self, judge: Judge) -> None:
        self._judge = judge
        self._known: dict[int, _Known] = {}
        self.refused = 0  # servers beyond the bound

    # ------------------------------------------------ what this copy finds

    def ended(self, server: Server, outcome: Outcome, now_ms: float) -> None:
        """A call has ended, and the judge has looked at it."""
        fails = bool(server.ejections) and outcome is not Outcome.OK
        known = self._of(server, now_ms) if fails else self._known.get(server.id)
        if known is None or known.server is not server or outcome in UNTELLING:
            return
        known.failing = fails or (known.failing and server.ejections > 0)
        known.at_ms, known.by_call, known.good = now_ms, True, not server.ejections
        if server.ejections:
            known.failed_ms = now_ms
            known.misled = known.misled or known.freed
        else:
            known.misled = False
        known.freed = False

    def probed(self, event: ProbeEnded, now_ms: float) -> bool:
        """A probe has ended; whether it was asked for here."""
        known = self._known.get(event.server)
        if known is None or not known.asking:
            return False
        known.asking = False
        if event.outcome not in UNTELLING and known.server.ejections and known.at_ms <= known.asked_ms:
            known.at_ms, known.by_call, known.good = now_ms, False, event.outcome is Outcome.OK
            self._weigh(known, known.good, False, 0.0, now_ms)
        return True

    def told(self, now_ms: float) -> Iterator[Told]:
        """Of each server that is left out, or was until a moment ago."""
        for number, known in list(self._known.items()):
            over = known.good is True and known.by_call and now_ms - known.at_ms >= TRUST_MS
            if over or not self._here(known):
                del self._known[number]
                continue
            age = now_ms - known.at_ms
            yield Told(number, known.failing, known.good, age, known.by_call)

    def _here(self, known: _Known) -> bool:
        return known.server.ready and self._judge.fleet.servers.get(known.server.id) is known.server

    def _of(self, server: Server, now_ms: float) -> _Known | None:
        known = self._known.get(server.id)
        if known is None or known.server is not server:
            if known is None and len(self._known) >= MOST:
                self.refused += 1
                return None
            known = self._known[server.id] = _Known(server, now_ms, -math.inf)
        return known

    # ------------------------------------------------ what others have found

    def heard(self, event: Heard, now_ms: float, out: list[Action]) -> None:
        """Nothing of a server that the list doesn't name, that drains, or that has not been left out here."""
        server = self._judge.fleet.servers.get(event.server)
        if server is None or not server.ready or not server.ejections:
            return
        known = self._of(server, now_ms)
        if known is None:
            return
        if event.turn:
            self._look(known, now_ms, out)
        elif event.good is not None and now_ms - event.age_ms > known.at_ms:  # else this copy knows better
            self._weigh(known, event.good, event.by_call, event.age_ms, now_ms)

    def _weigh(self, known: _Known, good: bool, by_call: bool, age_ms: float, now_ms: float) -> None:
        """Move the time at which it is tried again."""
        server, worth = known.server, trust(age_ms)
        if worth <= 0.0:
            return
        if not good:
            # Guards against a wrong word that never ends: after that at the latest this copy finds out for itself.
            last = known.failed_ms + self._judge.settings.longest_ms
            known.freed = False
            self._keep_out(server, min(now_ms + HOLD_MS * worth, last), now_ms)
        elif not known.freed and not known.misled and (by_call or server.silent):
            # A probe speaks for a server that gave no sign of life, not for one that answers, and answers badly.
            known.freed = True
            self._bring_back(server, now_ms + SPREAD_MS * self._judge.rng.random(), now_ms)

    def _keep_out(self, server: Server, until_ms: float, now_ms: float) -> None:
        """Within the judge's own bound of how many are ejected at once."""
        fleet = self._judge.fleet
        if server not in fleet.ejected:
            if len(fleet.ejected) >= self._judge.settings.tuning.eject_most * fleet.ready_count:
                return
            if until_ms <= max(now_ms, server.until_ms):
                return
            fleet.ejected.add(server)
        fleet.withhold(server, until_ms)

    def _bring_back(self, server: Server, at_ms: float, now_ms: float) -> None:
        if server.until_ms > at_ms:
            server.until_ms = 0.0
            self._judge.fleet.withhold(server, at_ms)

    def _look(self, known: _Known, now_ms: float, out: list[Action]) -> None:
        """This copy's turn: a probe; where none is allowed, or probes tell nothing, the next call drawn there."""
        server = known.server
        if now_ms - max(known.asked_ms, known.at_ms) < LOOK_MS:
            return
        if known.asking and now_ms - known.asked_ms < PROBE_MS:
            return
        if self._judge.settings.may_probe and server.silent and not (known.freed or known.misled):
            known.asked_ms, known.asking = now_ms, True
            out.append(Probe(server.id))
            self._keep_out(
                server, min(now_ms + HOLD_MS, known.failed_ms + self._judge.settings.longest_ms), now_ms
            )
        else:
            self._bring_back(server, now_ms, now_ms)
