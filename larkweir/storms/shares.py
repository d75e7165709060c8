"""Who is let in, where not all can be: by worth, first tries before repeats, fair among tenants, nobody never.

Requests are of a class, of a kind (`Kind`) and of a tenant. Once a tick what is let in is divided over what was asked:
first every tenant's requests up to its part of it, the worthiest first; then what is left over goes to the rest in the
same order; and a small part is kept for whoever would have nothing. Where a step of that order can't be served whole,
its tenants share it by max-min fairness, weighted by their parts. Between two ticks each request is wanted or not by an
even count against its odds.

Memory is classes times kinds times tenants, all of which the settings name. Rates are a second.
"""

from __future__ import annotations

from collections.abc import Sequence
from enum import IntEnum
from random import Random


class Kind(IntEnum):
    """What a request is to its client."""

    PROMISED = 0  # turned away before, told when to come, and here it is
    FIRST = 1
    AGAIN = 2  # a repeat, of which nothing else is known
    IGNORING = 3  # a repeat that came sooner than it was told


# Times the worth of the class: obeying is worth a little, and a repeat less than a first try.
FACTOR = {Kind.PROMISED: 1.2, Kind.FIRST: 1.0, Kind.AGAIN: 0.8, Kind.IGNORING: 0.4}


def fill(amount: float, wants: Sequence[float], weights: Sequence[float]) -> list[float]:
    """Weighted max-min fairness: nobody has more than it wants, and nobody could have more without one having less
    whose part, by its weight, is not larger.
    """
    given = [0.0] * len(wants)
    if amount >= sum(wants):
        return list(wants)
    open_ = [at for at, want in enumerate(wants) if want > 0.0]
    left = amount
    while open_ and left > 0.0:
        weight = sum(max(weights[at], 1e-9) for at in open_)
        level = left / weight
        small = [at for at in open_ if wants[at] - given[at] <= level * max(weights[at], 1e-9)]
        if not small:
            for at in open_:
                given[at] += level * max(weights[at], 1e-9)
            break
        for at in small:
            left -= wants[at] - given[at]
            given[at] = wants[at]
        open_ = [at for at in open_ if at not in small]
    return given


def divide(
    amount: float,
    wants: Sequence[Sequence[float]],
    values: Sequence[float],
    parts: Sequence[float],
    trickle: float,
) -> list[list[float]]:
    """What each row (a class and kind) and tenant is given of `amount`; rows go by their `values`, `parts` are the
    tenants' and come to about 1. `trickle` of the amount is kept for those who would be given nothing.
    """
    rows, tenants = len(wants), len(parts)
    given = [[0.0] * tenants for _ in range(rows)]
    order = sorted(range(rows), key=lambda at: -values[at])
    left = amount * (1.0 - trickle)
    caps = [part * amount for part in parts]
    for own in (True, False):  # each tenant's part, then what is left over
        for at in order:
            if left <= 0.0:
                break
            rest = [wants[at][n] - given[at][n] for n in range(tenants)]
            if own:
                rest = [min(rest[n], caps[n]) for n in range(tenants)]
            got = fill(left, rest, parts)
            for n, more in enumerate(got):
                given[at][n] += more
                caps[n] -= more
                left -= more
    kept = amount - sum(map(sum, given))
    if kept > 0.0:
        poor = [
            (at, n)
            for at in range(rows)
            for n in range(tenants)
            if wants[at][n] > 0.0 and given[at][n] < trickle * wants[at][n]
        ]
        lacks = [wants[at][n] - given[at][n] for at, n in poor]
        for (at, n), more in zip(poor, fill(kept, lacks, [parts[n] for _, n in poor]), strict=True):
            given[at][n] += more
            kept -= more
        for at in order:  # what they don't need
            got = fill(max(0.0, kept), [wants[at][n] - given[at][n] for n in range(tenants)], parts)
            for n, more in enumerate(got):
                given[at][n] += more
                kept -= more
    return given


class Shares:
    """Tells the requests that are to be let in, where others set how many."""

    TRICKLE = 0.05
    MEMORY = 0.4  # weight of a tick in what is asked for

    def __init__(self, worths: Sequence[float], parts: Sequence[float], rng: Random) -> None:
        """`worths` by class; `parts` by tenant, to which one is added for all that the settings don't name."""
        self._rng = rng
        self._odds: list[list[float]] = []
        self.configure(worths, parts)

    def configure(self, worths: Sequence[float], parts: Sequence[float]) -> None:
        """New figures. What was asked for is counted anew; it takes a tick."""
        least = min((part for part in parts if part > 0.0), default=1.0)
        self._parts = [*parts, least]
        self._values = [max(worth, 0.001) * FACTOR[kind] for worth in worths for kind in Kind]
        size, tenants = len(self._values), len(self._parts)
        self._came = [[0] * tenants for _ in range(size)]
        self._wants = [[0.0] * tenants for _ in range(size)]
        self._saved = [[self._rng.random() for _ in range(tenants)] for _ in range(size)]
        self._odds = [[1.0] * tenants for _ in range(size)]
        self._fresh = True

    def begin(self) -> None:
        """Counting starts: nothing is known of what is asked."""
        for row in self._came:
            row[:] = [0] * len(row)
        self._fresh = True

    def tick(self, per_s: float, seconds: float) -> None:
        """Divide anew, after so many seconds."""
        weight = 1.0 if self._fresh else self.MEMORY
        self._fresh = False
        for row, (came, wants) in enumerate(zip(self._came, self._wants, strict=True)):
            for at, count in enumerate(came):
                wants[at] += weight * (count / seconds - wants[at])
            self._came[row] = [0] * len(came)
        given = divide(per_s, self._wants, self._values, self._parts, self.TRICKLE)
        self._odds = [
            [got / want if want > 1e-9 else 1.0 for got, want in zip(*pair, strict=True)]
            for pair in zip(given, self._wants, strict=True)
        ]

    def wants(self, cls: int, kind: Kind, tenant: int) -> bool:
        """Whether a request that has come now is one of those that are to be let in."""
        row = cls * len(Kind) + kind
        at = tenant if 0 <= tenant < len(self._parts) - 1 else -1
        self._came[row][at] += 1
        saved = self._saved[row]
        saved[at] = min(saved[at] + self._odds[row][at], 2.0)
        if saved[at] < 1.0:
            return False
        saved[at] -= 1.0
        return True
