"""Adaptive concurrency limit: how many calls this replica may have in flight at once. Pure logic.

`ConcurrencyLimiter` holds the limit, called the window. It is adjusted by the time that calls spend at the upstreams,
never by time that this process adds. A window below `min_hard_limit` calls is a soft limit: a replica with so few calls
can't decide by counting them, so it admits or refuses at random, by the mean number in flight. A larger window is a
hard limit: it grows as fast as answers show that it may, and requests that find it full wait in the `admission_queue`
for a limited time. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random

from larkweir_balancing.fruitless_closing import FruitlessShrinkDetector
from larkweir_balancing.latency_estimates import LatencyEstimates
from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.over_share import OverShareAllowance
from larkweir_balancing.round_sums import RoundSums
from larkweir_balancing.settings import RequestClass, Settings

# Outcomes that say nothing about the server's health.
INCONCLUSIVE = frozenset((Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED))


class Verdict(Enum):
    """What to do with a request that has arrived."""

    GO = "go"
    WAIT = "wait"
    REFUSE = "refuse"


# Overrides the limiter's verdict on a request: (class index, the limiter's verdict, requests waiting) -> verdict.
Arbiter = Callable[[int, Verdict, int], Verdict]


class ConcurrencyLimiter:
    """The window of calls in flight, and the latency at low load (the base latency) that it is adjusted by.

    The target latency is the base latency plus a tolerance for queueing. The tolerance is a multiple of the base
    latency, within a minimum and a maximum fraction of the class's `aim_ms`: a queue of a few milliseconds does no harm
    to a request with a target of 400 ms. The smallest tolerance of the classes in use applies to all of them, because
    they share the upstreams' queues.

    A hard limit is adjusted in rounds. The mean latency of the calls that started since the last adjustment, and that
    filled the window, gives the factor to correct it by; so no excess is corrected twice. Until queueing is seen, the
    window grows with every answer instead, which doubles it each round trip. A soft limit takes a small step with every
    answer, as several seconds may pass between two answers.
    """

    SAMPLE_WEIGHT = 1.0 / 16.0  # weight of one answer when an unused window shrinks
    # Tolerance: a multiple of the base latency, within two fractions of the distance from it to `aim_ms`. The multiple
    # of a hard limit is smaller, because its requests can queue here; those of a soft limit queue at the servers only.
    MIN_TOLERANCE_FRACTION, TOLERANCE_FACTOR, MAX_TOLERANCE_FRACTION = 0.15, 2.0, 0.5
    HARD_LIMIT_TOLERANCE_FACTOR, HARD_LIMIT_MAX_TOLERANCE_FRACTION = 0.25, 0.3
    GAIN = 0.2  # step of a soft limit per answer, in calls, when the latency is off by the whole target
    INITIAL_CALLS_PER_SERVER = 4.0  # assumed capacity of a server for the calls of all replicas together
    MIN_INITIAL_WINDOW = 0.5  # calls
    MAX_INITIAL_WINDOW = 8.0  # calls, or one for each server where there are more servers
    MIN_WINDOW = 0.1  # calls, admitted at random; below 1 so that replicas with low traffic can shed load too
    MAX_WINDOW = 100_000.0  # calls; no evidence supports a larger window
    IN_FLIGHT_SAMPLE_WEIGHT = 1.0 / 8.0
    # Calls from which on the window is a hard limit. Larger for one of many replicas: its latencies also show the load
    # of the others, so it keeps to small steps for longer.
    MIN_HARD_LIMIT, MIN_HARD_LIMIT_OF_MANY = 2.0, 8.0
    FEW_REPLICAS = 2  # at most; with more, a replica is one of many
    # Of the window: a call that starts with at least so many in flight shows whether the window is too large.
    USED_FRACTION = 0.6
    # Of the tolerance: while queues add less than that, the window doubles each round trip.
    DOUBLING_QUEUE_FRACTION = 0.25
    DOUBLING_TOLERANCES = 4.0  # tolerances that one doubling too many may add to the base latency
    QUEUE_SAMPLE_WEIGHT = 1.0 / 8.0  # weight of a new sample in the running means of queueing
    # Of the tolerance: the most that a round's growth by the square root of the window may add to the latency.
    MAX_EXTRA_GROWTH_FRACTION = 0.25
    MIN_ROUND_CALLS, MAX_ROUND_CALLS = 8, 64  # calls: a round is as many as the window, within these bounds
    GROWTH_FRACTION = 0.5  # of the growth that the mean latency allows; a reduction is applied in full
    CEILING_LIFT_FACTOR = 1.03  # of the ceiling, with every round that reaches it without queueing
    MAX_ERROR_TOLERANCES = 1.0  # tolerances: the most latency that is attributed to chance
    MIN_ROUND_FACTOR = 0.5  # of the window: one round shrinks it no further
    # Of a round's calls: if more end as FULL, the window is too large, whatever the latency of the others.
    FULL_FRACTION = 0.1
    # Of the window: calls that find no more in flight measure the base latency.
    LIGHT_LOAD_FRACTION = 0.5
    BASE_GAIN = 0.25  # fraction of a measured change of the base latency that is applied
    TOLERANCE_REUSE = 8  # answers before the tolerance is computed anew; it changes with rounds only
    # Times the number of classes: a class with no request among that many latest arrivals does not bound the tolerance.
    ACTIVE_ARRIVALS = 64.0

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._rng = rng
        self.arbiter: Arbiter | None = None  # decides which requests to admit, within the window
        self._classes: Sequence[RequestClass] = settings.classes
        self.min_hard_limit = self._min_hard_limit(settings)
        self.window = self.MIN_INITIAL_WINDOW  # calls that may be in flight at once; set by the first list
        self._initial_window = self.MIN_INITIAL_WINDOW  # the window that the first list set
        self.opened = False
        self.latencies = LatencyEstimates(settings)
        self.mean, self.base = self.latencies.mean, self.latencies.base  # the same lists
        self._over_share = OverShareAllowance()
        self._mean_in_flight = 0.0  # as sampled by arrivals
        self.is_doubling = True
        self._queued = 0.0  # running mean of what queues add, in tolerances
        self._mean_added_ms = 0.0  # the same in milliseconds
        self._last_arrival = [-math.inf] * len(settings.classes)  # by class: the number of its last arrival
        self._arrivals = 0.0
        self._round = 1
        self._full_round, self._light_round = RoundSums(), RoundSums()
        self._ceiling = math.inf  # the right window when queueing was last seen
        self._shrink_detector = FruitlessShrinkDetector()
        self._tolerance, self._tolerance_answers = 1.0, 0  # reused for this many more answers

    def configure(self, settings: Settings) -> None:
        """Take new settings; keep what was learned. Classes keep their index; new ones may be added at the end, or
        reuse the index of a class that was removed.
        """
        self._last_arrival.extend([-math.inf] * (len(settings.classes) - len(self._classes)))
        for at in self.latencies.configure(settings):
            self._last_arrival[at] = -math.inf
        self._classes = settings.classes
        self.min_hard_limit = self._min_hard_limit(settings)

    def _min_hard_limit(self, settings: Settings) -> float:
        is_one_of_few = settings.balancer_count <= self.FEW_REPLICAS
        return self.MIN_HARD_LIMIT if is_one_of_few else self.MIN_HARD_LIMIT_OF_MANY

    def open(self, ready: int, balancer_count: int) -> None:
        """Set the initial window from the first list: this replica's share of what the servers are assumed to handle.

        `MAX_INITIAL_WINDOW` bounds it for a replica that is nearly alone, whose answers show at once what else fits.
        """
        if not self.opened and ready:
            self.opened = True
            share = self.INITIAL_CALLS_PER_SERVER * ready / balancer_count
            self.window = self._initial_window = max(
                self.MIN_INITIAL_WINDOW, min(share, max(self.MAX_INITIAL_WINDOW, ready))
            )

    def on_capacity_lost(self, servers: int) -> None:
        """One of `servers` servers gets no requests from now on; the window shrinks by its share."""
        if self.is_hard_limit:
            self.window = max(self.min_hard_limit, self.window * (1.0 - 1.0 / max(2, servers)))

    @property
    def mean_in_flight(self) -> float:
        """Running mean of the calls in flight, as sampled by arrivals."""
        return self._mean_in_flight

    # ------------------------------------------------ admission

    @property
    def is_hard_limit(self) -> bool:
        """Whether the window is a hard limit: calls in flight are counted, and requests can wait for a slot."""
        return self.window >= self.min_hard_limit

    def admit(self, class_index: int, in_flight: int, waiting: int, over_share: bool) -> Verdict:
        """What to do with a request that has arrived: the verdict of the arbiter if there is one, else the window's."""
        verdict = self._window_verdict(class_index, in_flight, waiting, over_share)
        return verdict if self.arbiter is None else self.arbiter(class_index, verdict, waiting)

    def _window_verdict(self, class_index: int, in_flight: int, waiting: int, over_share: bool) -> Verdict:
        """The verdict on a request that arrives with `in_flight` calls in flight and `waiting` requests queued.

        Traffic over its tenant's share may fill only a fraction of the window. That fraction shrinks while requests
        within their share find the window full, so that a tenant's burst can't crowd out the others.
        """
        self._arrivals += 1.0
        self._last_arrival[class_index] = self._arrivals
        self._mean_in_flight += self.IN_FLIGHT_SAMPLE_WEIGHT * (in_flight - self._mean_in_flight)
        if self.is_hard_limit:
            if over_share:
                full = waiting > 0 or in_flight >= self.window * self._over_share.fraction
            else:
                full = waiting > 0 or in_flight + 1.0 > self.window
                self._over_share.adjust(waiting > self.window)
            return Verdict.WAIT if full else Verdict.GO
        # Compares the mean with a random limit instead of counting: whether a replica with low traffic has no call or
        # a few in flight is mere chance, and its window may be below 1.
        limit = self.window * (0.8 + 0.6 * self._rng.random())
        if over_share:
            return Verdict.REFUSE if self._mean_in_flight >= limit * self._over_share.fraction else Verdict.GO
        full = self._mean_in_flight >= limit
        self._over_share.adjust(full)
        return Verdict.REFUSE if full else Verdict.GO

    def free_slots(self, in_flight: int) -> int:
        """How many waiting requests may be sent now."""
        return max(0, int(self.window - in_flight)) if self.is_hard_limit else max(0, 1 - in_flight)

    def slot_interval_ms(self, class_index: int) -> float:
        """The mean time between two free slots; 0 while it is unknown because the window grows with every answer."""
        return 0.0 if self.is_doubling else self.mean[class_index] / self.window

    def round_of(self, in_flight: int) -> int:
        """The `limiter_round` of a call that starts while `in_flight` others are in flight; pass it to `record_end`.

        It is the number of the current round if the call fills the window, its negative if the load is light, else 0.
        """
        calls = in_flight + 1.0
        if calls >= self.USED_FRACTION * self.window:
            return self._round
        return -self._round if calls <= self.LIGHT_LOAD_FRACTION * self.window else 0

    # ------------------------------------------------ adjustment

    def tolerance_ms(self) -> float:
        """What queues may add to the base latency: the minimum over the classes in use."""
        least = math.inf
        times, most = self.TOLERANCE_FACTOR, self.MAX_TOLERANCE_FRACTION
        if self.is_hard_limit:
            times, most = self.HARD_LIMIT_TOLERANCE_FACTOR, self.HARD_LIMIT_MAX_TOLERANCE_FRACTION
        horizon = self._arrivals - self.ACTIVE_ARRIVALS * len(self._classes)
        for at, cls in enumerate(self._classes):
            if self._last_arrival[at] >= horizon:
                slack_ms = max(0.0, cls.aim_ms - self.base[at])
                own = min(max(times * self.base[at], self.MIN_TOLERANCE_FRACTION * slack_ms), most * slack_ms)
                least = min(least, own)
        return 1.0 if least == math.inf else max(least, 0.001)

    def record_end(
        self,
        class_index: int,
        outcome: Outcome,
        spent_ms: float,
        in_flight: int,
        limiter_round: int = 0,
        attempts: int = 1,
        size: float = 1.0,
    ) -> None:
        """An attempt has ended after `spent_ms` at the upstream, with `in_flight` calls still in flight.

        `attempts`: how many attempts of its request have started so far. `limiter_round`: the result of `round_of`
        when it was sent. `size`: its work relative to the mean of its class.
        """
        if outcome in INCONCLUSIVE or outcome is Outcome.CONNECT_FAILED:
            return
        if outcome is Outcome.OK:
            self.latencies.record(class_index, spent_ms, size)
        if self.is_hard_limit:
            self._steer_hard_limit(class_index, outcome, spent_ms, in_flight, limiter_round, attempts, size)
        else:
            self._steer_soft_limit(class_index, outcome, spent_ms, in_flight, attempts)

    def _steer_soft_limit(
        self, at: int, outcome: Outcome, spent_ms: float, in_flight: int, attempts: int
    ) -> None:
        """Adjust a soft limit. A failure counts in proportion to its time, up to a whole `aim_ms`."""
        aim = self._classes[at].aim_ms
        if outcome is Outcome.FULL:
            if attempts < 2:
                return  # a single full server: another attempt elsewhere is enough
            # One call too many is in flight; refusals arrive fast, so they must weigh more than slow answers.
            step = -min(1.0, 0.25 * self.window)
        elif outcome is Outcome.OK:
            # The base follows the mean, not single answers: these differ by their work, which says nothing of the load.
            self.latencies.follow_mean(at)
            target = min(self.base[at], aim) + self.tolerance_ms()
            step = self.GAIN * max(-min(1.0, self.window), 1.0 - spent_ms / target)
        else:
            step = -self.GAIN * min(1.0, self.window, spent_ms / aim)
        if step < 0.0 or in_flight + 1.0 >= self.USED_FRACTION * self.window:  # no growth of an unused window
            self.window = max(self.MIN_WINDOW, self.window + step)
        self.is_doubling = False

    def _steer_hard_limit(
        self,
        at: int,
        outcome: Outcome,
        spent_ms: float,
        in_flight: int,
        limiter_round: int,
        attempts: int,
        size: float,
    ) -> None:
        """Adjust a hard limit."""
        self._tolerance_answers -= 1
        if self._tolerance_answers <= 0:
            self._tolerance = self.tolerance_ms()
            self._tolerance_answers = self.TOLERANCE_REUSE if self.latencies.is_base_known(at) else 1
        tolerance = self._tolerance
        # Scaled by size, so that a run of heavy requests is not mistaken for queueing.
        scale = self.latencies.size_scale(size)
        base = self.base[at] * scale
        if outcome is Outcome.FULL:
            # A single full server does not count: another attempt elsewhere is enough.
            self._full_round.full += attempts > 1
            self.is_doubling = self.is_doubling and attempts < 2
        elif outcome is Outcome.OK:
            if not self.latencies.is_base_known(at):
                # While it is unknown, the queueing that other classes see is subtracted.
                self.latencies.learn_base(at, spent_ms - max(0.0, self._mean_added_ms), scale)
                base = self.base[at] * scale
            added = spent_ms - base
            self._mean_added_ms += self.QUEUE_SAMPLE_WEIGHT * (added - self._mean_added_ms)
            self._note_queueing(added / tolerance)
            if limiter_round == self._round:
                self._full_round.add(base, added)
                if self.is_doubling:
                    # Slower where the target leaves little slack: one doubling too many would make every call late.
                    step = min(1.0, self.DOUBLING_TOLERANCES * tolerance / base)
                    self.window = min(self.MAX_WINDOW, self.window + step)
            elif added > tolerance:
                self._narrow_unused(in_flight)
            if limiter_round < 0:
                self._light_round.add(base, added)
        elif spent_ms > base + tolerance:
            # A failure after more than the target time; how long a full answer would have taken is unknown.
            self._note_queueing(4.0)
            if limiter_round == self._round:
                self._full_round.add(base, max(spent_ms, 2.0 * (base + tolerance)) - base)
                self._full_round.timed_out += 1
            else:
                self._narrow_unused(in_flight)
        ended = self._full_round.calls + self._full_round.full
        if ended >= self.MIN_ROUND_CALLS and ended >= self._round_calls(tolerance):
            self._end_round(tolerance)
        if self._light_round.calls >= self.MIN_ROUND_CALLS and self._light_round.calls >= self._round_calls(
            tolerance
        ):
            # A round at light load measures the base latency. If that is unchanged, the next burst may double the
            # window again as the first one did, whatever queueing was seen before.
            if (
                self._light_round.added_ms
                < self.DOUBLING_QUEUE_FRACTION * tolerance * self._light_round.calls
            ):
                self.is_doubling, self._queued, self._ceiling = True, 0.0, math.inf
            self._rescale(self._light_round, self.BASE_GAIN)
            self._light_round.clear()

    def _narrow_unused(self, in_flight: int) -> None:
        """Shrink a window that is not filled although there is queueing: it is far too large, and no round would show
        it. Without this, a window left over from better times would let requests queue at the servers until too late.
        """
        used = max(self._initial_window, (in_flight + 1.0) / self.USED_FRACTION)
        if used < self.window:
            self.window += self.SAMPLE_WEIGHT * (used - self.window)

    def _note_queueing(self, queued: float) -> None:
        """Count a sample of queueing, in tolerances; ends the doubling once the running mean is significant."""
        self._queued += self.QUEUE_SAMPLE_WEIGHT * (min(queued, 4.0) - self._queued)
        if self._queued > self.DOUBLING_QUEUE_FRACTION:
            self.is_doubling = False

    def _round_calls(self, tolerance: float) -> float:
        """Calls in a round. A round with much queueing ends sooner."""
        sums = self._full_round
        if sums.calls >= self.MIN_ROUND_CALLS and sums.added_ms > sums.base_ms + 2.0 * sums.calls * tolerance:
            return self.MIN_ROUND_CALLS
        return min(max(self.MIN_ROUND_CALLS, self.window), self.MAX_ROUND_CALLS)

    def _rescale(self, sums: RoundSums, gain: float) -> None:
        """Move the base latency of all classes towards what the calls of a round measured, by the same factor."""
        factor = 1.0 + gain * (max(0.25, (sums.base_ms + sums.added_ms) / sums.base_ms) - 1.0)
        self.latencies.rescale(factor)

    def _end_round(self, tolerance: float) -> None:
        sums = self._full_round
        calls = max(1, sums.calls)
        base, added = sums.base_ms / calls, sums.added_ms / calls
        latency = base + added
        if not sums.calls:
            factor = 1.0
        else:
            # Allows for the standard error: the times of a few calls differ by their work even without queueing.
            error_ms = min(sums.error(), self.MAX_ERROR_TOLERANCES * tolerance)
            factor = (base + tolerance) / max(latency, 0.001)
            if 1.0 >= factor > (base + tolerance) / (base + tolerance + error_ms):
                factor = 1.0
            elif factor > 1.0:
                self._shrink_detector.end()
                factor = 1.0 if self.is_doubling else 1.0 + self.GROWTH_FRACTION * (min(factor, 3.0) - 1.0)
                if self.window * factor > self._ceiling:
                    # Small steps beyond the point where queueing was last seen: little to gain there, much to lose.
                    factor = max(1.0, self._ceiling / self.window)
                    self._ceiling *= self.CEILING_LIFT_FACTOR
            else:
                factor = (base + tolerance + error_ms) / latency
                self._ceiling = max(self.min_hard_limit, self.window * factor)
                if self._shrink_detector.is_fruitless(self.window, self.min_hard_limit, latency, sums):
                    self._rescale(sums, 1.0)
                    self._ceiling, factor = math.inf, 1.0
            if added < 0.0:
                self._rescale(sums, self.BASE_GAIN)
        if sums.full > self.FULL_FRACTION * (sums.calls + sums.full):
            factor = min(factor, 0.7)
        # Growth by the square root, relatively more for a small window, lets replicas that started later catch up.
        extra_growth = 0.0
        if not self.is_doubling and factor > self.MIN_ROUND_FACTOR:
            extra_growth = min(
                math.sqrt(self.window),
                self.MAX_EXTRA_GROWTH_FRACTION * self.window * tolerance / max(base, 0.01),
            )
        self.window = min(
            self.MAX_WINDOW,
            max(self.min_hard_limit - 0.5, self.window * max(self.MIN_ROUND_FACTOR, factor) + extra_growth),
        )
        sums.clear()
        self._round += 1
