"""Whether a selected server is probed for its load first, and what the load reports say. Pure logic."""

from __future__ import annotations

import math
from random import Random

from larkweir_balancing.events import ProbeEnded
from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.retry_safety import Request
from larkweir_balancing.settings import ReportMode, Settings

SAMPLE_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
MAX_SAMPLES = 8  # tries to draw a server that legality and slow start let through


def late_probability(adds_ms: float, left_ms: float, share: float = 1.0) -> float:
    """The odds that what is added to a share of the answers' times makes one miss its aim: they grow with the part that
    it is of the time left, and faster than it while it is small.
    """
    part = min(1.0, adds_ms / left_ms)
    return share * part * min(1.0, 2.0 * part)


class LoadProbing:
    """What load reports have told, and whether it pays to ask for one."""

    IDLE_FIELD = "running_and_waiting"  # the one value that tells an idle server; others say nothing of that
    MAX_POLL_PROBES = 2  # draws of a call that looks again, which comes soon and often
    EXPLORE_FRACTION = 0.03  # of calls that probe although it seems not to pay, so that a change is noticed

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings
        self._rng = rng
        fields = list(settings.report_fields) if settings.may_probe else []
        has_idle_reports = settings.report_mode is not ReportMode.OFF and self.IDLE_FIELD in fields
        self._level_index = fields.index(self.IDLE_FIELD) if has_idle_reports else -1
        self._queue_index = fields.index("waiting") if has_idle_reports and "waiting" in fields else -1
        self.max_running = 0.0  # calls that any server was seen to run at once
        self.idle_share = 0.5  # of the reports, those that say idle
        self.mean_probe_ms = 2.0 * settings.tick_ms

    @property
    def serves_singly(self) -> bool:
        """Whether servers are seen to run one call at a time: only there a busy one is sure to let a call wait."""
        return self.max_running < 1.5

    @property
    def reports_idle(self) -> bool:
        """Whether reports tell which server is idle."""
        return self._level_index >= 0 and self.serves_singly

    def should_probe(self, request: Request, latency_ms: float, now_ms: float) -> bool:
        """Whether a request whose choice is uncertain is to probe servers first."""
        if self._level_index < 0 or request.probe_count >= (
            self.MAX_POLL_PROBES if request.has_waited else MAX_SAMPLES
        ):
            return False
        if request.needs_idle_server:
            return True  # once begun: to send blindly what finds only busy servers would queue it there
        if self.serves_singly:
            # Behind one call more, the answer comes one mean latency later.
            gain = late_probability(latency_ms, request.useful_until_ms - now_ms, self.idle_share)
            if not request.probe_count:
                gain *= 1.0 - self.idle_share
            if gain > self.settings.price_probe:
                request.needs_idle_server = True
                return True
        return not request.probe_count and self._rng.random() < self.EXPLORE_FRACTION

    def on_probe_end(self, event: ProbeEnded) -> float:
        """A probe has ended; the level of its server, which is busy from half a call on. No report counts as busy."""
        if event.outcome is not Outcome.OK:
            return math.inf
        self.mean_probe_ms += SAMPLE_WEIGHT * (event.spent_ms - self.mean_probe_ms)
        if not 0 <= self._level_index < len(event.report):
            return math.inf
        level = event.report[self._level_index]
        waiting = event.report[self._queue_index] if 0 <= self._queue_index < len(event.report) else 0.0
        self.idle_share += SAMPLE_WEIGHT * ((level < 0.5) - self.idle_share)
        self.max_running = max(self.max_running, level - waiting)
        return level
