"""A tenant's rate limit, and what a controller reports of its use."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_UNITS = 1e18  # of any number of requests or tokens in a message
Units = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_UNITS)]
ISOLATED_FRACTION = 0.5  # of an equal part of a limit: what a process may admit that no controller reaches


class RateLimit(msgspec.Struct, frozen=True):
    """The parameters of a tenant's token bucket.

    Attributes:
        rate_per_s: units (requests or tokens) by which it refills each second.
        burst: units that it holds at most.
    """

    rate_per_s: float
    burst: float


class QuotaStatus(msgspec.Struct, frozen=True, array_like=True):
    """What one usage table knows of a tenant.

    Attributes:
        level: units left in the token bucket; a debt where it is negative.
        used_per_s: units a second that all processes together have admitted recently.
        is_oversubscribed: the bucket was empty recently, so the tenant asks for more than its limit.
    """

    level: Annotated[float, msgspec.Meta(ge=-MAX_UNITS, le=MAX_UNITS)]
    used_per_s: Units
    is_oversubscribed: bool = False
