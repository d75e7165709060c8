"""Limits the requests that a possibly bad version gets, and derives the weight that this limit allows.

The limit is a share of all requests to the service until the deadline plus a constant. For a service with little
traffic the constant dominates: its target may get a larger share, so that a verdict is reached sooner.
"""

from __future__ import annotations

import msgspec

from larkweir_rollouts.pooling import count_answers
from larkweir_rollouts.samples import RolloutReport, TrackSamples

EXPOSURE_SHARE = 0.1  # of all requests until the deadline
EXPOSURE_SLACK = 50.0  # additional requests


class ExposureBounds(msgspec.Struct, frozen=True):
    """Limits of the requests that a possibly bad target may get.

    Attributes:
        share: share of all requests until the deadline.
        slack: number of additional requests.
    """

    share: float
    slack: float


class ExposureBudget(msgspec.Struct, frozen=True):
    """The number of requests that a target may get until the deadline, extrapolated from the traffic so far.

    Attributes:
        rate_per_s: requests to the service per second.
        allowed: requests that the target may get until the deadline.
        spent: requests that the target has got so far.
    """

    rate_per_s: float
    allowed: float
    spent: float

    def weight_until(self, fraction: float, period_s: float) -> float:
        """Return the weight at which the target has spent a fraction of the budget when `period_s` has passed."""
        requests, left = self.rate_per_s * period_s, max(0.0, fraction * self.allowed - self.spent)
        return left / requests if left < requests else 1.0


def exposure_budget(
    totals: RolloutReport, elapsed_s: float, duration_s: float, bounds: ExposureBounds | None = None
) -> ExposureBudget:
    """Extrapolate the traffic since the order to the deadline. `bounds` is None for the defaults."""
    bounds = bounds or ExposureBounds(EXPOSURE_SHARE, EXPOSURE_SLACK)
    spent = _requests(totals.target)
    rate_per_s = (spent + _requests(totals.others)) / elapsed_s if elapsed_s > 0.0 else 0.0
    return ExposureBudget(rate_per_s, bounds.share * rate_per_s * duration_s + bounds.slack, spent)


def _requests(track: TrackSamples) -> int:
    return count_answers(track) + track.in_flight
