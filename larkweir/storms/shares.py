"""Decides which requests to prefer when not all can be admitted.

The order is by worth, with first attempts before repeats and fairness among tenants, and no group starves. Requests
are grouped by class, kind (`Kind`) and tenant. Once per tick the admitted rate is divided over the demand: first each
tenant's requests up to the tenant's share, by descending worth; then the remainder over the other requests in the
same order; and a small share is reserved for groups that would get nothing. Where a class and kind can't be served
whole, its tenants divide it by max-min fairness, weighted by their shares. Between two ticks an error accumulator per
group prefers requests evenly at the group's ratio of admitted rate to demand.

Memory is classes times kinds times tenants, all of which the settings name. Rates are per second.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from random import Random


class Kind(IntEnum):
    """How a request relates to earlier refusals of its client."""

    PROMISED = 0  # refused before, and returns no earlier than advised
    FIRST = 1
    AGAIN = 2  # a retry of a client that is not in the table
    IGNORING = 3  # a retry earlier than advised


# Factors on the worth of the class: on-time returns gain a little, and other retries rank below first attempts.
WORTH_FACTORS = {Kind.PROMISED: 1.2, Kind.FIRST: 1.0, Kind.AGAIN: 0.8, Kind.IGNORING: 0.4}


def max_min_fair(amount: float, wants: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Divide `amount` by weighted max-min fairness.

    No entry gets more than it wants. An entry could only get more if another entry with the same or a smaller amount
    per weight got less.
    """
    given = [0.0] * len(wants)
    if amount >= sum(wants):
        return list(wants)
    unfilled = [at for at, want in enumerate(wants) if want > 0.0]
    left = amount
    while unfilled and left > 0.0:
        weight = sum(max(weights[at], 1e-9) for at in unfilled)
        level = left / weight
        satisfiable = [at for at in unfilled if wants[at] - given[at] <= level * max(weights[at], 1e-9)]
        if not satisfiable:
            for at in unfilled:
                given[at] += level * max(weights[at], 1e-9)
            break
        for at in satisfiable:
            left -= wants[at] - given[at]
            given[at] = wants[at]
        unfilled = [at for at in unfilled if at not in satisfiable]
    return given


def divide(
    amount: float,
    wants: Sequence[Sequence[float]],
    values: Sequence[float],
    tenant_shares: Sequence[float],
    trickle: float,
) -> list[list[float]]:
    """Divide `amount` over rows (a class and kind) and tenants.

    Rows are served by descending `values`. `tenant_shares` add up to about 1. The fraction `trickle` of the amount is
    reserved for groups that would get next to nothing.
    """
    rows, tenants = len(wants), len(tenant_shares)
    given = [[0.0] * tenants for _ in range(rows)]
    order = sorted(range(rows), key=lambda at: -values[at])
    left = amount * (1.0 - trickle)
    caps = [share * amount for share in tenant_shares]
    for is_own_share in (True, False):  # each tenant's share, then the remainder
        for at in order:
            if left <= 0.0:
                break
            rest = [wants[at][n] - given[at][n] for n in range(tenants)]
            if is_own_share:
                rest = [min(rest[n], caps[n]) for n in range(tenants)]
            got = max_min_fair(left, rest, tenant_shares)
            for n, more in enumerate(got):
                given[at][n] += more
                caps[n] -= more
                left -= more
    kept = amount - sum(map(sum, given))
    if kept > 0.0:
        starved = [
            (at, n)
            for at in range(rows)
            for n in range(tenants)
            if wants[at][n] > 0.0 and given[at][n] < trickle * wants[at][n]
        ]
        shortfalls = [wants[at][n] - given[at][n] for at, n in starved]
        for (at, n), more in zip(
            starved, max_min_fair(kept, shortfalls, [tenant_shares[n] for _, n in starved]), strict=True
        ):
            given[at][n] += more
            kept -= more
        for at in order:  # the unused rest of the reserve
            got = max_min_fair(
                max(0.0, kept), [wants[at][n] - given[at][n] for n in range(tenants)], tenant_shares
            )
            for n, more in enumerate(got):
                given[at][n] += more
                kept -= more
    return given


class Shares:
    """Chooses the preferred requests, where others decide how many are admitted."""

    TRICKLE = 0.05
    DEMAND_WEIGHT = 0.4  # weight of the last tick in the mean demand

    def __init__(self, worths: Sequence[float], tenant_shares: Sequence[float], rng: Random) -> None:
        """`worths` by class; `tenant_shares` by tenant, plus one share for all tenants that the settings don't name."""
        self._rng = rng
        self._admit_ratios: list[list[float]] = []
        self.configure(worths, tenant_shares)

    def configure(self, worths: Sequence[float], tenant_shares: Sequence[float]) -> None:
        """Apply new settings. The demand is counted anew, which takes a tick."""
        least = min((share for share in tenant_shares if share > 0.0), default=1.0)
        self._tenant_shares = [*tenant_shares, least]
        self._values = [max(worth, 0.001) * WORTH_FACTORS[kind] for worth in worths for kind in Kind]
        size, tenants = len(self._values), len(self._tenant_shares)
        self._arrivals = [[0] * tenants for _ in range(size)]
        self._demand = [[0.0] * tenants for _ in range(size)]
        self._credits = [[self._rng.random() for _ in range(tenants)] for _ in range(size)]
        self._admit_ratios = [[1.0] * tenants for _ in range(size)]
        self._is_first_tick = True

    def reset(self) -> None:
        """Start to count the demand anew."""
        for row in self._arrivals:
            row[:] = [0] * len(row)
        self._is_first_tick = True

    def tick(self, per_s: float, seconds: float) -> None:
        """Divide the admitted rate `per_s` anew, `seconds` after the last tick."""
        weight = 1.0 if self._is_first_tick else self.DEMAND_WEIGHT
        self._is_first_tick = False
        for row, (came, wants) in enumerate(zip(self._arrivals, self._demand, strict=True)):
            for at, count in enumerate(came):
                wants[at] += weight * (count / seconds - wants[at])
            self._arrivals[row] = [0] * len(came)
        given = divide(per_s, self._demand, self._values, self._tenant_shares, self.TRICKLE)
        self._admit_ratios = [
            [got / want if want > 1e-9 else 1.0 for got, want in zip(*pair, strict=True)]
            for pair in zip(given, self._demand, strict=True)
        ]

    def prefers(self, cls: int, kind: Kind, tenant: int) -> bool:
        """Count a request that arrives now; whether it is preferred."""
        row = cls * len(Kind) + kind
        at = tenant if 0 <= tenant < len(self._tenant_shares) - 1 else -1
        self._arrivals[row][at] += 1
        credits = self._credits[row]
        credits[at] = min(credits[at] + self._admit_ratios[row][at], 2.0)
        if credits[at] < 1.0:
            return False
        credits[at] -= 1.0
        return True
