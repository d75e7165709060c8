"""Rules: which server a request is drawn."""

from __future__ import annotations

from dataclasses import dataclass, field
from random import Random

from larkweir_balancing.concurrency_limiter import UNTELLING
from larkweir_balancing.interface import NEVER_RAN, Effect, Outcome, Settings
from larkweir_balancing.judging import Judge
from larkweir_balancing.legality import Attempt, Request
from larkweir_balancing.links import Links
from larkweir_balancing.probing import DRAWS, MEMORY, odds_late
from larkweir_balancing.servers import DrawList, Fleet, Server, draw
from larkweir_balancing.slow_start import SlowStart


@dataclass(slots=True, eq=False, repr=False)
class Drawing:
    """Draws from the token holders, at home first where crossing to another zone costs."""

    UNSEEN_COST = 0.5  # of the aim: what a call that never ran has cost
    WORSE = 1.5  # times the cost elsewhere, from which home does worse
    ROAM = 0.02  # of calls that draw over all zones although home does well, to learn of the others
    SPILL = 0.1  # step of the part that does so while home does worse than crossing costs

    settings: Settings
    rng: Random
    fleet: Fleet
    links: Links
    slow_start: SlowStart
    judge: Judge
    spill: float = 0.0
    # Of a call at home and elsewhere, in parts of the aim; a failure is a whole one.
    cost: list[float] = field(default_factory=lambda: [0.0, 0.0])

    def begin(self, request: Request) -> None:
        """Begin a round of draws."""
        request.probes = 0
        request.roams = self.rng.random() < max(self.ROAM, self.spill)

    def draw(self, request: Request, now_ms: float) -> Server | None:
        """A token holder drawn uniformly, else a uniformly random ready server."""
        if self.slow_start.credit >= 1.0 and self.slow_start.cold.items:
            # Exception, while there is credit for cold servers: any that does well, of any zone.
            server = self._from([self.slow_start.cold], request, now_ms)
            if server is not None and server.level == 0 and not (server.strikes or server.shunned):
                return server
        if self.links.dear:
            # Exception, while new connections are seen to take long: token holders with an open one first.
            for _ in range(DRAWS):
                kept = draw([self.links.items], self.rng)
                if kept is None:
                    break
                if kept.level == 0 and self._let_through(request, kept, now_ms):
                    return kept
        # Exception, while this copy's own calls outnumber the servers, so that own counts tell of the load:
        # those with the fewest.
        crowded = self.fleet.out > self.fleet.ready_count
        for lists in self.fleet.levels if crowded else self.fleet.levels[:1]:
            server = self._near(lists, request, crowded, now_ms)
            if server is not None:
                return server
        return self._near(self.fleet.ready, request, True, now_ms)

    def _near(self, lists: list[DrawList], request: Request, crowded: bool, now_ms: float) -> Server | None:
        home = self.settings.my_zone
        if self.settings.price_cross_zone > 0.0 and request.probes < 2 and not request.roams:
            server = self._from([lists[home]], request, now_ms)
            if server is None and not crowded and len(self.fleet.levels) > 1 and self._stays(request, now_ms):
                server = self._from([self.fleet.levels[1][home]], request, now_ms)
            if server is not None:
                return server
        return self._from(lists, request, now_ms)

    def _stays(self, request: Request, now_ms: float) -> bool:
        """Whether to queue behind an own call at home rather than cross: home does no worse than elsewhere, and the
        time that this call adds loses less of the aim than crossing costs.
        """
        price = self.settings.price_cross_zone
        alone, behind = self.judge.behind
        adds = max(0.0, behind - alone) * self.judge.limiter.mean[request.class_index]
        late = odds_late(adds, max(1.0, request.aim_ms - now_ms))
        return self.cost[0] <= self.cost[1] + price and late <= price

    def _let_through(self, request: Request, server: Server, now_ms: float) -> bool:
        return request.may_go_to(server, now_ms) and self.slow_start.admits(server, now_ms)

    def _from(self, lists: list[DrawList], request: Request, now_ms: float) -> Server | None:
        shunned = doubtful = None
        for _ in range(DRAWS):
            server = draw(lists, self.rng)
            if server is None:
                break
            if not self._let_through(request, server, now_ms):
                continue
            bad = server.shunned.get(request.class_index)
            if bad is not None and bad[1] > now_ms:
                shunned = server
            elif server in self.fleet.ejected or (server.silent and request.cls.effect is not Effect.SAFE):
                # Guards against drawing, where nobody holds a token, what was ejected; and against trying with
                # a request that can't be repeated whether a server has found its voice again.
                doubtful = server
            else:
                return server
        return shunned or doubtful

    def compare_zones(self, request: Request, attempt: Attempt, spent_ms: float) -> None:
        """Draw over all zones as far as home does worse than crossing costs.

        Guards against a zone with more traffic than its own servers carry: a copy of low rate always finds a
        token at home, so running out of tokens does not tell it.
        """
        price = self.settings.price_cross_zone
        if price <= 0.0 or request.started or attempt.outcome in UNTELLING:
            return
        if attempt.outcome is Outcome.OK:
            cost = min(1.0, spent_ms / request.cls.aim_ms)
        else:
            cost = self.UNSEEN_COST if attempt.outcome in NEVER_RAN else 1.0
        away = attempt.server.zone != self.settings.my_zone
        self.cost[away] += MEMORY * (cost - self.cost[away])
        # Few calls tell of either: home must do clearly worse, else chance alone would make half cross.
        worse = self.cost[0] > self.WORSE * self.cost[1] + price
        self.spill += self.SPILL * (worse - self.spill)
