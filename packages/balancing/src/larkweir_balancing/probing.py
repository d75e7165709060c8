"""Rules: whether a server that was drawn is asked first how busy it is, and what the reports tell."""

from __future__ import annotations

import math
from random import Random

from larkweir_balancing.interface import Outcome, ProbeEnded, ReportMode, Settings
from larkweir_balancing.legality import Request

MEMORY = 1.0 / 16.0  # weight of a new sample in the running means
DRAWS = 8  # tries to draw a server that legality and slow start let through


def odds_late(adds_ms: float, left_ms: float, share: float = 1.0) -> float:
    """The odds that what is added to a share of the answers' times makes one miss its aim: they grow with the part that
    it is of the time left, and faster than it while it is small.
    """
    part = min(1.0, adds_ms / left_ms)
    return share * part * min(1.0, 2.0 * part)


class Probes:
    """What load reports have told, and whether it pays to ask for one."""

    IDLE_FIELD = "running_and_waiting"  # the one value that tells an idle server; others say nothing of that
    POLLS = 2  # draws of a call that looks again, which comes soon and often
    EXPLORE = 0.03  # of calls that probe although it seems not to pay, so that a change is noticed

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings
        self._rng = rng
        fields = list(settings.report_fields) if settings.may_probe else []
        tells = settings.report_mode is not ReportMode.OFF and self.IDLE_FIELD in fields
        self._level_at = fields.index(self.IDLE_FIELD) if tells else -1
        self._queue_at = fields.index("waiting") if tells and "waiting" in fields else -1
        self.most_running = 0.0  # calls that any server was seen to run at once
        self.idle_share = 0.5  # of the reports, those that say idle
        self.echo_ms = 2.0 * settings.tick_ms

    @property
    def singly(self) -> bool:
        """Whether servers are seen to run one call at a time: only there a busy one is sure to let a call wait."""
        return self.most_running < 1.5

    @property
    def tell(self) -> bool:
        """Whether reports tell which server is idle."""
        return self._level_at >= 0 and self.singly

    def pay(self, request: Request, latency_ms: float, now_ms: float) -> bool:
        if self._level_at < 0 or request.probes >= (self.POLLS if request.polled else DRAWS):
            return False
        if request.polling:
            return True  # once begun: to send blindly what finds only busy servers would queue it there
        if self.singly:
            # Behind one call more, the answer comes one mean latency later.
            gain = odds_late(latency_ms, request.aim_ms - now_ms, self.idle_share)
            if not request.probes:
                gain *= 1.0 - self.idle_share
            if gain > self.settings.price_probe:
                request.polling = True
                return True
        return not request.probes and self._rng.random() < self.EXPLORE

    def heard(self, event: ProbeEnded) -> float:
        """A probe has ended; the level of its server, which is busy from half a call on. No report counts as busy."""
        if event.outcome is not Outcome.OK:
            return math.inf
        self.echo_ms += MEMORY * (event.spent_ms - self.echo_ms)
        if not 0 <= self._level_at < len(event.report):
            return math.inf
        level = event.report[self._level_at]
        waiting = event.report[self._queue_at] if 0 <= self._queue_at < len(event.report) else 0.0
        self.idle_share += MEMORY * ((level < 0.5) - self.idle_share)
        self.most_running = max(self.most_running, level - waiting)
        return level
