"""A tenant's rate limit, and what processes of earlier versions tell each other of its use."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

MAX_UNITS = 1e18  # of any number of requests or tokens in a message
Units = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_UNITS)]
Level = Annotated[float, msgspec.Meta(ge=-MAX_UNITS, le=MAX_UNITS)]


def check_units(units: float) -> None:
    """Raise ValueError where a number of units is negative, infinite or no number: it would lower a tenant's use."""
    if not 0.0 <= units < math.inf:
        raise ValueError(f"units of a request: {units}")


class RateLimit(msgspec.Struct, frozen=True):
    """The parameters of a tenant's token bucket.

    Attributes:
        rate_per_s: units (requests or tokens) by which it refills each second.
        burst: units that it holds at most.
    """

    rate_per_s: float
    burst: float


# What a limit tolerates is divided between those that may exceed it, so that they fit into it together.
RESERVES_FRACTION = 0.15  # processes' own reserves
RESTARTS_FRACTION = (
    0.5  # what controllers hand out that have lost their memory, each of them once in a window
)
DEBTS_FRACTION = 0.3  # requests that are larger than what a controller has left


class Tolerance(msgspec.Struct, frozen=True):
    """By how much a limit may be exceeded within a window.

    Attributes:
        window_s: the window in which use is counted.
        over: the fraction of what the limit allows in it.
        slack: units beyond that.
    """

    window_s: float = 8.0
    over: float = 0.0
    slack: float = 0.0

    def units(self, limit: RateLimit) -> float:
        """Units of that limit that may be used in any window beyond its rate and burst."""
        return self.over * (limit.rate_per_s * self.window_s + limit.burst) + self.slack


class QuotaSnapshot(msgspec.Struct, frozen=True):
    """What a process tells a controller when it connects.

    Attributes:
        levels: only sent by versions before share leases, and not read any more.
        process_count: how many processes it believes to share the limits; 0: it does not know.
    """

    levels: dict[str, Level] = {}
    process_count: Annotated[int, msgspec.Meta(ge=0)] = 0


class QuotaStatus(msgspec.Struct, frozen=True, array_like=True):
    """A tenant's token bucket, as processes without share leases report and read it.

    Attributes:
        level: units left in the token bucket; a debt where it is negative.
        used_per_s: units a second that all processes together have admitted recently.
        is_oversubscribed: the bucket was empty recently, so the tenant asks for more than its limit.
    """

    level: Level
    used_per_s: Units
    is_oversubscribed: bool = False
