"""Load shedding before a request is parsed, when this process itself is the bottleneck. Pure logic.

The window of `concurrency_limiter` limits the load on the upstreams. It does not help where this process's own core is
the bottleneck: then every request waits here, and a request that is rejected after it was parsed and queued has cost
nearly as much as one that is served. The symptom is the duration of an event loop iteration, which handles everything
received since the previous one. Below capacity, iterations are as long as the work at hand. Above it, each is longer
than the one before, until requests are late before they are read. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Sequence
from random import Random

from larkweir_balancing.settings import RequestClass


class LoadShedder:
    """Sheds a fraction of the arriving requests, lowest `worth` first, while event loop iterations are too long.

    A request takes at least three iterations: one reads it, one reads the upstream's answer, and the answer is written
    at the end of an iteration. So an iteration may last a quarter of the smallest `aim_ms`. With hysteresis: shedding
    begins when the mean iteration is longer than `high`, and ends after `QUIET_TARGETS` without anything to shed.
    """

    SAMPLE_WEIGHT = 0.25  # weight of a new iteration in the means
    GAIN = 0.3  # added to the shed fraction for an iteration twice as long as the target
    REFUSAL_COST = 0.25  # cost of a shed request relative to an admitted one
    MAX_SHED_FRACTION = 0.95  # of any class, for first tries and retries each: none is refused completely
    QUIET_TARGETS = 0.5  # times the smallest `aim_ms` without anything to shed, after which shedding ends
    TRAFFIC_SAMPLE_WEIGHT = 1.0 / 64.0  # weight of a request in the traffic fractions
    # Times `high`: a longer iteration counts as this long, as it may only mean that the process was paused.
    MAX_ITERATION_FACTOR = 4.0

    def __init__(
        self, classes: Sequence[RequestClass], rng: Random, high: float = 0.25, low: float = 0.15
    ) -> None:
        """`high` and `low`: mean iterations as fractions of the smallest `aim_ms`.

        Shedding begins above `high` and keeps the iterations between the two.
        """
        self._rng = rng
        self._high, self._low = high, low
        self.shed_fraction = 0.0  # of the arriving requests
        self.is_shedding = False
        self.shed_count = 0
        self.mean_busy_ms = 0.0
        self._quiet_ms = 0.0  # time since something last had to be shed
        self._previous_busy_ms = 0.0  # of the previous iteration
        self._arrived = self._admitted = 0  # since the last iteration ended
        # Decayed sums over iterations while shedding: requests, their cost in admitted requests, and times.
        self._requests = self._weighted_requests = self._busy_ms = self._elapsed_ms = (
            self._previous_elapsed_ms
        ) = 0.0
        # Two entries per class, retries and first tries: the fraction of all arrivals, and the probability of shedding.
        self._traffic_fractions = [0.5 / len(classes)] * (2 * len(classes))
        self._shed_probabilities = [0.0] * (2 * len(classes))
        self._names = [cls.name for cls in classes]
        self.configure(classes)

    def configure(self, classes: Sequence[RequestClass]) -> None:
        """Take new classes. They keep their index; new ones may be added at the end, or reuse the index of a class that
        was removed, without what was learned of it.
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
        # Of equal worth, retries are shed first: their clients were refused before and did not wait.
        self._shed_order = sorted(range(2 * len(classes)), key=lambda at: (classes[at // 2].worth, at % 2))

    def on_iteration(self, busy_ms: float, elapsed_ms: float) -> None:
        """An event loop iteration has ended: how long it was busy, and how long it took including the wait for I/O."""
        high, low = self._high * self._target_ms, self._low * self._target_ms
        busy_ms = min(busy_ms, self.MAX_ITERATION_FACTOR * high)
        elapsed_ms = max(busy_ms, min(elapsed_ms, self.MAX_ITERATION_FACTOR * high))
        self.mean_busy_ms += self.SAMPLE_WEIGHT * (busy_ms - self.mean_busy_ms)
        before, self._previous_busy_ms = self._previous_busy_ms, busy_ms
        if not self.is_shedding:
            # If iterations grow from one to the next, their ratio gives the load at once. A long iteration after a
            # short one says nothing: the process may have been paused.
            growing = busy_ms > high and before > 0.5 * low
            if growing or self.mean_busy_ms > high:
                self._begin_shedding(busy_ms / before if growing and busy_ms > before else None, elapsed_ms)
            return
        self._count(busy_ms, elapsed_ms)
        # The load is the cost of the arrived requests as a multiple of what this core can do; the excess is shed. That
        # alone would keep iterations as long as they are, so a proportional term moves them between the two bounds.
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
        """`growth`: duration as a multiple of the previous iteration, where that gives the load."""
        self.is_shedding, self._quiet_ms = True, 0.0
        self._arrived = self._admitted = 0
        self._requests = self._weighted_requests = self._busy_ms = self._elapsed_ms = 0.0
        self._previous_elapsed_ms = elapsed_ms
        if growth is not None:
            self.shed_fraction = self._excess_fraction(min(growth, 1.0 / (1.0 - self.MAX_SHED_FRACTION)))
            self._assign_probabilities()

    def _excess_fraction(self, load: float) -> float:
        """The fraction to shed at `load` times this core's capacity; below 0 where there is spare capacity."""
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
        # Requests that are read in an iteration have arrived during the previous one.
        self._elapsed_ms = previous_weight * self._elapsed_ms + (self._previous_elapsed_ms or period_ms)
        self._previous_elapsed_ms = period_ms
        self._arrived = self._admitted = 0

    def _assign_probabilities(self) -> None:
        """Set the probability of each class, lowest worth first, so that together they shed `shed_fraction`."""
        left = self.shed_fraction * sum(self._traffic_fractions)
        for at in self._shed_order:
            fraction = self._traffic_fractions[at]
            self._shed_probabilities[at] = (
                min(self.MAX_SHED_FRACTION, left / fraction) if fraction > 0.0 else 0.0
            )
            left = max(0.0, left - fraction * self._shed_probabilities[at])

    def admits(self, class_index: int, is_retry: bool) -> bool:
        """Whether to admit a request that arrives while shedding; `is_retry`: it is marked as a retry."""
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
