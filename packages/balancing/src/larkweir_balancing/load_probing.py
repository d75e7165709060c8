"""Decides whether to probe a selected server for its load first, and evaluates load reports. Pure logic."""

from __future__ import annotations

import math
from random import Random

from larkweir_balancing.events import ProbeEnded
from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.retry_safety import Request
from larkweir_balancing.settings import ReportMode, Settings

SAMPLE_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
MAX_SAMPLES = 8  # samples taken to find a server that `can_send_to` and slow start permit


def late_probability(adds_ms: float, left_ms: float, share: float = 1.0) -> float:
    """Estimate the probability that an added delay makes an answer late.

    Args:
        adds_ms: The added delay.
        left_ms: The time left until the answer is late.
        share: The fraction of answers that get the delay.

    The estimate rises with the ratio of delay to time left: quadratically up to a ratio of one half, then linearly.
    """
    part = min(1.0, adds_ms / left_ms)
    return share * part * min(1.0, 2.0 * part)


class LoadProbing:
    """Statistics of load reports, and the decision whether a probe is worth its cost."""

    IDLE_FIELD = "running_and_waiting"  # the only report value that identifies an idle server
    # Probes in each further round of a request that has waited; such rounds follow one another quickly.
    MAX_POLL_PROBES = 2
    EXPLORE_FRACTION = 0.03  # of requests that probe although it seems not worth its cost, to notice changes

    def __init__(self, settings: Settings, rng: Random) -> None:
        self.settings = settings
        self._rng = rng
        fields = list(settings.report_fields) if settings.may_probe else []
        has_idle_reports = settings.report_mode is not ReportMode.OFF and self.IDLE_FIELD in fields
        self._level_index = fields.index(self.IDLE_FIELD) if has_idle_reports else -1
        self._queue_index = fields.index("waiting") if has_idle_reports and "waiting" in fields else -1
        self.max_running = 0.0  # most requests that any server was seen to run at once
        self.idle_share = 0.5  # mean fraction of the reports that say idle
        self.mean_probe_ms = 2.0 * settings.tick_ms

    @property
    def serves_singly(self) -> bool:
        """Whether servers run one request at a time; only then is a request at a busy server sure to wait."""
        return self.max_running < 1.5

    @property
    def reports_idle(self) -> bool:
        """Whether load reports identify idle servers."""
        return self._level_index >= 0 and self.serves_singly

    def should_probe(self, request: Request, latency_ms: float, now_ms: float) -> bool:
        """Whether the request is to probe the selected server before it is sent."""
        if self._level_index < 0 or request.probe_count >= (
            self.MAX_POLL_PROBES if request.has_waited else MAX_SAMPLES
        ):
            return False
        if request.needs_idle_server:
            return True  # once probing has started, sending without a probe would queue the request at a busy server
        if self.serves_singly:
            # Behind one other request, the answer comes one mean latency later.
            gain = late_probability(latency_ms, request.useful_until_ms - now_ms, self.idle_share)
            if not request.probe_count:
                gain *= 1.0 - self.idle_share
            if gain > self.settings.price_probe:
                request.needs_idle_server = True
                return True
        return not request.probe_count and self._rng.random() < self.EXPLORE_FRACTION

    def on_probe_end(self, event: ProbeEnded) -> float:
        """Record a finished probe; returns the server's load: 0.5 or more is busy, infinity means no report."""
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
