"""Rules: what may be sent where, and again; and what is known of a request and its attempts, by which that is told."""

from __future__ import annotations

import math
from dataclasses import dataclass

from larkweir_balancing.interface import NEVER_RAN, Effect, Group, Outcome, RequestArrived, Settings
from larkweir_balancing.proof import admits
from larkweir_balancing.servers import Server


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    server: Server
    cell: int
    sent_ms: float
    ahead: int = 0  # own calls that were out there already
    idle_ms: float | None = None  # how long its connection had lain unused; None: it opens a new one
    mark: int = 0  # the limiter's
    outcome: Outcome | None = None  # None: outstanding
    counts: bool = False  # among the calls out: it may be at work, or wait, at its server


class Request:
    """A request, under the settings that it came with: the one place that says whether it may be sent, or refused."""

    __slots__ = (
        "aim_ms asked attempts came_ms class_index cls coming deadline_ms id most out "
        "polled polling probes roams settings size started wake_ms"
    ).split()

    def __init__(self, event: RequestArrived, settings: Settings, now_ms: float) -> None:
        self.id = event.request
        self.settings = settings
        self.class_index = event.class_index
        self.cls = event.class_in(settings)
        self.came_ms = now_ms
        self.deadline_ms = now_ms + event.time_left_ms
        self.aim_ms = self.deadline_ms  # after this an answer is worth nothing; set by the balancer
        self.attempts: list[Attempt] = []
        self.limit(event.attempts)
        self.out = 0  # attempts outstanding
        self.wake_ms = math.inf  # when its timer counts; an older timer is ignored
        self.started = False  # a streamed answer has begun, or the request is over
        self.asked: Server | None = None  # whose load report is awaited
        self.polled = False  # has been held and looks again
        self.polling = False  # is sent only to a server that says it is idle
        self.probes = 0  # in this round of draws
        self.size = 1.0  # its cost hint, by the mean of its class
        self.coming = event.coming  # its last byte is still to come
        self.roams = False  # draws over all zones, although crossing costs

    def limit(self, left: int | None) -> None:
        """Attempts, by the settings, the class's bound, and what is left of its own budget where it has one."""
        most = min(self.settings.max_attempts, self.cls.attempts or self.settings.max_attempts)
        self.most = most if left is None else min(most, len(self.attempts) + left)

    def may_have_run(self) -> list[Attempt]:
        """Attempts not proven never to have run; outstanding and cancelled ones count."""
        return [a for a in self.attempts if a.outcome is None or a.outcome not in NEVER_RAN]

    def may_go_to(self, server: Server, now_ms: float) -> bool:
        if not server.ready:
            return False  # draining, gone or delisted: kept from the moment this copy is told
        if server.proof is not None and not admits(self.cls, server.proof, server.outstanding):
            return False
        return self.may_go_somewhere(now_ms) and (not self.attempts or self._in_group(server))

    def may_go_somewhere(self, now_ms: float) -> bool:
        """Whether any further attempt is open at all, to a server still to be chosen."""
        if self.started or now_ms >= self.deadline_ms or len(self.attempts) >= self.most:
            return False
        if self.out and not self.settings.second_copies:
            return False
        return now_ms < self.write_by_ms()

    def write_by_ms(self) -> float:
        """Until when a further attempt may be written: servers drop repeats for its memory, unsafe ones never."""
        if not self.attempts or self.cls.effect is Effect.SAFE or not (ran := self.may_have_run()):
            return math.inf
        memory_ms = self.cls.memory_ms if self.cls.effect is Effect.KEYED else 0.0
        return ran[0].sent_ms + memory_ms - self.settings.tick_ms

    def _in_group(self, server: Server) -> bool:
        if self.cls.effect is not Effect.KEYED or self.cls.group is Group.ALL:
            return True
        ran = self.may_have_run()
        cells = self.cls.group is Group.ZONE or all(a.cell == server.cell for a in ran)
        return cells and all(a.server.zone == server.zone for a in ran)

    def may_be_refused(self) -> bool:
        """A refusal tells the client that trying again is harmless."""
        effect = self.cls.effect
        harmless = effect is Effect.SAFE or (effect is Effect.KEYED and self.cls.group is Group.ALL)
        return not self.started and (harmless or not self.may_have_run())
