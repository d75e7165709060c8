"""A tenant's rate limit, and what a controller reports of its use."""

from __future__ import annotations

from typing import Annotated

import msgspec

MAX_UNITS = 1e18  # of any number of requests or tokens in a message
Units = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_UNITS)]
Level = Annotated[float, msgspec.Meta(ge=-MAX_UNITS, le=MAX_UNITS)]
ISOLATED_FRACTION = 0.5  # of an equal part of a limit: what a process may admit that no controller reaches

SCARCE_FRACTION = (
    1.0 / 3.0
)  # of a burst: a table tells all processes of a tenant of which less than that is left


class RateLimit(msgspec.Struct, frozen=True):
    """The parameters of a tenant's token bucket.

    Attributes:
        rate_per_s: units (requests or tokens) by which it refills each second.
        burst: units that it holds at most.
    """

    rate_per_s: float
    burst: float


class QuotaSnapshot(msgspec.Struct, frozen=True):
    """What a process knows of all tenants when it connects to a usage table, which may have lost its own knowledge.

    Attributes:
        levels: by tenant, what it believes to be left for all processes together; a debt where it is negative.
        process_count: how many processes it believes to share the limits; 0: no table has told it anything yet.
    """

    levels: dict[str, Level] = {}
    process_count: Annotated[int, msgspec.Meta(ge=0)] = 0


class QuotaStatus(msgspec.Struct, frozen=True, array_like=True):
    """What one usage table knows of a tenant.

    Attributes:
        level: units left in the token bucket; a debt where it is negative.
        used_per_s: units a second that all processes together have admitted recently.
        is_oversubscribed: the bucket was empty recently, so the tenant asks for more than its limit.
    """

    level: Level
    used_per_s: Units
    is_oversubscribed: bool = False
