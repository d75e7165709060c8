"""A tenant's limit, and what is known of its use."""

from __future__ import annotations

import msgspec

ISOLATED_FRACTION = 0.5  # of an equal part of the limit, for a process that hears no ledger


class RateLimit(msgspec.Struct, frozen=True):
    """A tenant's limit in units (requests or tokens): so many a second, and so many at once above that."""

    rate_per_s: float
    burst: float


class QuotaStatus(msgspec.Struct, frozen=True, array_like=True):
    """What a ledger knows of a tenant: what is left in its bucket (negative: a debt), and the use per second of all.

    `is_oversubscribed`: nothing was left there at some time of late, so that the tenant asks for more than its limit.
    """

    level: float
    used_per_s: float
    is_oversubscribed: bool = False
