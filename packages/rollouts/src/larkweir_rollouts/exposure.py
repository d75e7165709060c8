"""How many requests a version that may be bad may get, and the share of the traffic that this allows.

The bound is a share of all requests that reach the service until the deadline, and some more. For a service of little
traffic the second part is the larger one: its target may get a larger share, and shows sooner what it is.
"""

from __future__ import annotations

import msgspec

from larkweir_rollouts.pooling import count_answers
from larkweir_rollouts.samples import RolloutReport, TrackSamples

EXPOSURE_SHARE = 0.1  # of all requests until the deadline
EXPOSURE_SLACK = 50.0  # requests beyond that


class ExposureBounds(msgspec.Struct, frozen=True):
    """What a target that may be bad is allowed.

    Attributes:
        share: of all requests until the deadline.
        slack: requests beyond that.
    """

    share: float
    slack: float


class ExposureBudget(msgspec.Struct, frozen=True):
    """The requests that a target may get until the deadline, by the traffic so far.

    Attributes:
        rate_per_s: requests to the service.
        allowed: requests to the target until the deadline.
        spent: requests to the target so far.
    """

    rate_per_s: float
    allowed: float
    spent: float

    def weight_until(self, fraction: float, period_s: float) -> float:
        """Return the share of new requests that spends a fraction of the budget within a time from now on."""
        requests, left = self.rate_per_s * period_s, max(0.0, fraction * self.allowed - self.spent)
        return left / requests if left < requests else 1.0


def exposure_budget(
    totals: RolloutReport, elapsed_s: float, duration_s: float, bounds: ExposureBounds | None = None
) -> ExposureBudget:
    """Extrapolate the traffic since the order to the deadline. `bounds`: None for the usual ones."""
    bounds = bounds or ExposureBounds(EXPOSURE_SHARE, EXPOSURE_SLACK)
    spent = _requests(totals.target)
    rate_per_s = (spent + _requests(totals.others)) / elapsed_s if elapsed_s > 0.0 else 0.0
    return ExposureBudget(rate_per_s, bounds.share * rate_per_s * duration_s + bounds.slack, spent)


def _requests(track: TrackSamples) -> int:
    return count_answers(track) + track.in_flight
