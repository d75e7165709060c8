"""Load shedding before a request is parsed, when this process itself is the bottleneck. Pure logic.

The window of `concurrency_limiter` limits what the upstreams are given. It does not help where the core that this
process runs on is the limit: then every request waits here, and one that is rejected after it has been parsed and
queued has cost nearly as much as one that is served. The sign is the length of an iteration of the event loop,
which handles all that was received since the last one: below the limit iterations are as long as the work at hand,
and above it each is longer than the one before, until requests are late before they are read. Times are
milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from larkweir_balancing.settings import RequestClass


class LoadShedder:
    """Sheds a part of what comes, least worth first, while turns are too long.

    A request passes through three turns at least: one that reads it, one that reads the upstream's answer, and what is
    written goes out at its end. So a turn may last a quarter of the tightest aim. With hysteresis: shedding begins
    where the mean turn is longer than `high`, and ends where nothing has been shed for `REST` aims.
    """

    SAMPLE_WEIGHT = 0.25  # weight of a new turn in the means
    GAIN = 0.3  # of the part that is shed, for a turn twice as long as the target
    REFUSAL_COST = 0.25  # what a request turned away costs, by one that is let in
    MAX_SHED_FRACTION = 0.95  # of any class and kind: nobody is shut out for good
    QUIET_TARGETS = 0.5  # aims without anything to be shed, after which the door stands open
    TRAFFIC_SAMPLE_WEIGHT = 1.0 / 64.0  # weight of a request in what the classes bring
    MAX_ITERATION_FACTOR = (
        4.0  # times `high`: a turn longer than that tells no more (a process that stood still)
    )

    def __init__(
        self, classes: Sequence[RequestClass], rng: Random, high: float = 0.25, low: float = 0.15
    ) -> None:
        """`high` and `low`: of the tightest aim, the mean turn from which shedding begins, and to which it steers."""
        self._rng = rng
        self._high, self._low = high, low
        self.shed_fraction = 0.0  # of what comes, that is to be shed
        self.is_shedding = False
        self.shed_count = 0  # so far
        self.mean_busy_ms = 0.0  # the mean
        self._quiet_ms = 0.0  # since something was last to be shed
        self._previous_busy_ms = 0.0  # of the turn before
        self._arrived = self._admitted = 0  # since the last turn ended
        # Of some turns while it sheds: requests, what they cost in units of one let in, and times.
        self._requests = self._weighted_requests = self._busy_ms = self._elapsed_ms = (
            self._previous_elapsed_ms
        ) = 0.0
        # By class, repeats before first tries: what part of all that comes it brings, and the odds that one is shed.
        self._traffic_fractions = [0.5 / len(classes)] * (2 * len(classes))
        self._shed_probabilities = [0.0] * (2 * len(classes))
        self._names = [cls.name for cls in classes]
        self.configure(classes)

    def configure(self, classes: Sequence[RequestClass]) -> None:
        """New figures. Classes keep their places; there may be more, and a new one may have the place of one that is no
        more: it begins as a new one.
        """
        share = 0.5 / len(classes)
        more = 2 * len(classes) - len(self._traffic_fractions)
        self._traffic_fractions += [share] * more
        self._shed_probabilities += [0.0] * more
        names = [cls.name for cls in classes]
        for at, (before, after) in enumerate(zip(self._names, names, strict=False)):
            if before != after:
                self._traffic_fractions[2 * at : 2 * at + 2] = [share, share]
                self._shed_probabilities[2 * at : 2 * at + 2] = [0.0, 0.0]
        self._names = names
        self._target_ms = min(cls.aim_ms for cls in classes)
        # Of equal worth, repeats go first: they have been refused before, and come from who does not wait.
        self._shed_order = sorted(range(2 * len(classes)), key=lambda at: (classes[at // 2].worth, at % 2))

    def on_iteration(self, busy_ms: float, elapsed_ms: float) -> None:
        """An iteration of the event loop has ended: how long it was busy, and how long it took with the wait."""
        high, low = self._high * self._target_ms, self._low * self._target_ms
        busy_ms = min(busy_ms, self.MAX_ITERATION_FACTOR * high)
        elapsed_ms = max(busy_ms, min(elapsed_ms, self.MAX_ITERATION_FACTOR * high))
        self.mean_busy_ms += self.SAMPLE_WEIGHT * (busy_ms - self.mean_busy_ms)
        before, self._previous_busy_ms = self._previous_busy_ms, busy_ms
        if not self.is_shedding:
            # Iterations that grow from one to the next tell the load at once. One that is long after a short one does
            # not: the process may have been paused.
            growing = busy_ms > high and before > 0.5 * low
            if growing or self.mean_busy_ms > high:
                self._begin_shedding(busy_ms / before if growing and busy_ms > before else None, elapsed_ms)
            return
        self._count(busy_ms, elapsed_ms)
        # What has come, at what it costs, is so many times what this core can do; all that is beyond is shed. That
        # alone would leave turns as long as they are: the rest steers them between the two bounds.
        load = (
            self._requests / self._elapsed_ms * self._busy_ms / self._weighted_requests
            if self._weighted_requests and self._elapsed_ms
            else 1.0
        )
        target = 0.5 * (high + low)
        self.shed_fraction = min(
            self.MAX_SHED_FRACTION,
            max(0.0, self._excess_fraction(load) + self.GAIN * (busy_ms - target) / target),
        )
        self._quiet_ms = (
            0.0
            if self.shed_fraction > 0.0 or self.mean_busy_ms > low
            else self._quiet_ms + max(elapsed_ms, 1.0)
        )
        if self._quiet_ms > self.QUIET_TARGETS * self._target_ms:
            self.is_shedding = False
        self._assign_probabilities()

    def _begin_shedding(self, growth: float | None, elapsed_ms: float) -> None:
        """`growth`: times the iteration before, where that tells the load."""
        self.is_shedding, self._quiet_ms = True, 0.0
        self._arrived = self._admitted = 0
        self._requests = self._weighted_requests = self._busy_ms = self._elapsed_ms = 0.0
        self._previous_elapsed_ms = elapsed_ms
        if growth is not None:
            self.shed_fraction = self._excess_fraction(min(growth, 1.0 / (1.0 - self.MAX_SHED_FRACTION)))
            self._assign_probabilities()

    def _excess_fraction(self, load: float) -> float:
        """The part that must be shed of so many times what this core can do; below 0 where it could do more."""
        return (load - 1.0) / (max(load, 0.1) * (1.0 - self.REFUSAL_COST))

    def _count(self, busy_ms: float, period_ms: float) -> None:
        previous_weight = 1.0 - self.SAMPLE_WEIGHT
        self._requests = previous_weight * self._requests + self._arrived
        self._weighted_requests = (
            previous_weight * self._weighted_requests
            + self._admitted
            + self.REFUSAL_COST * (self._arrived - self._admitted)
        )
        self._busy_ms = previous_weight * self._busy_ms + busy_ms
        # What is read in a turn has come while the one before went on.
        self._elapsed_ms = previous_weight * self._elapsed_ms + (self._previous_elapsed_ms or period_ms)
        self._previous_elapsed_ms = period_ms
        self._arrived = self._admitted = 0

    def _assign_probabilities(self) -> None:
        """Least worth first: each class's odds, so that all together make up the part."""
        left = self.shed_fraction * sum(self._traffic_fractions)
        for at in self._shed_order:
            fraction = self._traffic_fractions[at]
            self._shed_probabilities[at] = (
                min(self.MAX_SHED_FRACTION, left / fraction) if fraction > 0.0 else 0.0
            )
            left = max(0.0, left - fraction * self._shed_probabilities[at])

    def admits(self, class_index: int, is_retry: bool) -> bool:
        """Whether a request that has come while the door sheds is let in; `again`: it is marked as a repeat."""
        at = 2 * class_index + (not is_retry)
        self._traffic_fractions = [
            item - self.TRAFFIC_SAMPLE_WEIGHT * item for item in self._traffic_fractions
        ]
        self._traffic_fractions[at] += self.TRAFFIC_SAMPLE_WEIGHT
        self._arrived += 1
        if self._rng.random() >= self._shed_probabilities[at]:
            self._admitted += 1
            return True
        self.shed_count += 1
        return False
