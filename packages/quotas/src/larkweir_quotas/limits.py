"""Tenant rate limits, how far they may be exceeded, and quota messages for compatibility with earlier versions."""

from __future__ import annotations

import math
from typing import Annotated

import msgspec

MAX_UNITS = 1e18  # requests or tokens; bound of every such number in a message
Units = Annotated[float, msgspec.Meta(ge=0.0, le=MAX_UNITS)]
Level = Annotated[float, msgspec.Meta(ge=-MAX_UNITS, le=MAX_UNITS)]


def check_units(units: float) -> None:
    """Raise ValueError unless `units` is finite and not negative; other values would lower or corrupt the usage."""
    if not 0.0 <= units < math.inf:
        raise ValueError(f"units of a request must be finite and not negative: {units}")


class RateLimit(msgspec.Struct, frozen=True):
    """The parameters of a tenant's token bucket.

    Attributes:
        rate_per_s: refill rate, in units (requests or tokens) per second.
        burst: capacity of the bucket, in units.
    """

    rate_per_s: float
    burst: float


# The tolerated excess of a limit is divided between the mechanisms that may exceed the limit, so that their sum stays
# within the tolerance.
RESERVES_FRACTION = 0.15  # for the local reserves of all processes
# For the initial bucket levels of restarted controllers, at one restart of each per window.
RESTARTS_FRACTION = 0.5
DEBTS_FRACTION = 0.3  # for requests that are larger than the remaining level of a controller's bucket


class Tolerance(msgspec.Struct, frozen=True):
    """By how much a limit may be exceeded within a window.

    Attributes:
        window_s: length of the window, in seconds.
        over: tolerated excess, as a fraction of the units that the limit allows within the window.
        slack: further tolerated units.
    """

    window_s: float = 8.0
    over: float = 0.0
    slack: float = 0.0

    def units(self, limit: RateLimit) -> float:
        """Return how many units may be used in any window beyond the rate and burst of the limit."""
        return self.over * (limit.rate_per_s * self.window_s + limit.burst) + self.slack


class QuotaSnapshot(msgspec.Struct, frozen=True):
    """The message of a process to a controller on connecting.

    Attributes:
        levels: sent only by versions without share leases; no longer read.
        process_count: number of processes that share the limits, as far as the sender knows; 0 if unknown.
    """

    levels: dict[str, Level] = {}
    process_count: Annotated[int, msgspec.Meta(ge=0)] = 0


class QuotaStatus(msgspec.Struct, frozen=True, array_like=True):
    """The state of a tenant's token bucket, in the format of versions without share leases.

    Attributes:
        level: units left in the bucket; negative for a debt.
        used_per_s: units per second that all processes together have admitted recently.
        is_oversubscribed: the bucket was empty recently, so the tenant requests more than its limit.
    """

    level: Level
    used_per_s: Units
    is_oversubscribed: bool = False
