"""How many calls this copy may have out at once: the window of calls in flight. Pure logic.

`ConcurrencyLimiter` holds the window. It is steered by the time that calls spend at the upstreams, never by what this
process adds, and knows two ranges. Below `SMALL` calls a copy sees too little to keep count by: a request is let
through or refused by chance, on the mean of what is out. From there on the window is a hard bound, opens as fast as
answers prove it, and who finds it full waits a while in the `admission_queue`. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence
from enum import Enum
from random import Random

from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.settings import RequestClass, Settings

INCONCLUSIVE = frozenset((Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED))  # of the servers' state


class Verdict(Enum):
    """What is to become of a request that has come."""

    GO = "go"
    WAIT = "wait"
    REFUSE = "refuse"


# Of a request that has come: its class, what the limiter says, and how many wait; what is to become of it instead.
Arbiter = Callable[[int, Verdict, int], Verdict]


class RoundSums:
    """Of some calls that have ended: how many, what their times would be at low load, and what queues added."""

    __slots__ = ("added_ms", "added_squares", "base_ms", "calls", "full", "timed_out")

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        """Begin an empty round."""
        self.calls = 0
        self.full = 0
        self.timed_out = 0  # of the calls, those that were given up: what they would have taken is a guess
        self.base_ms = 0.0
        self.added_ms = 0.0
        self.added_squares = 0.0  # of what queues added

    def add(self, base: float, added: float) -> None:
        """Count a call: its latency without load and what was added to it, in milliseconds."""
        self.calls += 1
        self.base_ms += base
        self.added_ms += added
        self.added_squares += added * added

    def error(self) -> float:
        """The standard error of the mean of what queues added."""
        if self.calls < 2:
            return 0.0
        mean = self.added_ms / self.calls
        return math.sqrt(max(0.0, self.added_squares / self.calls - mean * mean) / (self.calls - 1))


class ConcurrencyLimiter:
    """The window of calls out, and the latency at low load that it is steered by.

    The window is steered for a target: the latency at low load and a tolerance. The tolerance is a multiple of that
    latency, but at least a part of the aim, since queues of a few milliseconds harm nobody who waits for 400, and at
    most a larger part of it. The tightest tolerance of the classes in use binds all: they share the upstreams' queues.

    A window that counts is steered in rounds: of the calls that were begun since it was last changed and that filled
    it, the mean time tells by what factor it is too small or too large, and so nothing is corrected twice. Until
    queues are seen it grows with every answer instead, which doubles it each round trip. A window below `SMALL`
    takes a small step with every answer; several seconds may lie between two of them.
    """

    SAMPLE_WEIGHT = 1.0 / 16.0  # weight of a new sample in the running means
    # What queues may add to the latency at low load: a multiple of it, but at least and at most such parts of the way
    # from it to the aim. A small window has no other place for its queue than the servers; one that counts has.
    MIN_TOLERANCE_FRACTION, TOLERANCE_FACTOR, MAX_TOLERANCE_FRACTION = 0.15, 2.0, 0.5
    COUNTED_TOLERANCE_FACTOR, COUNTED_MAX_TOLERANCE_FRACTION = 0.25, 0.3
    BASE_RISE_FACTOR = (
        0.1  # of a small window: the latency at low load is followed down at once and up slowly
    )
    GAIN = 0.2  # of a small window, an answer, for a latency off by the whole target
    FIRST_CALLS_PER_SERVER = 4.0  # calls a server is first taken to bear, from all copies together
    FIRST_WINDOW = 0.5  # at the least, until there is evidence
    FIRST_WINDOW_ALONE = 8.0  # of a copy that is nearly alone, at the most, or one for each server
    MIN_WINDOW = (
        0.1  # a part of a call is admitted by chance: copies of low rate must be able to shed as well
    )
    MAX_WINDOW = 100_000.0  # no evidence is good for more
    IN_FLIGHT_SAMPLE_WEIGHT = 1.0 / 8.0
    MAX_OVER_SHARE_FRACTION = 0.9  # of the window, at most open to traffic over its tenant's share
    OVER_SHARE_CLOSE_STEP = 0.05  # by which that part closes with each refusal of a call within its share
    OVER_SHARE_SPARE_FRACTION = 0.02  # the share of such refusals at which it stands still
    # Calls: a smaller window is kept by chance, a larger one by count. One of many copies sees in its answers what the
    # others do as well, and goes by small steps for longer.
    MIN_COUNTED_WINDOW, MIN_COUNTED_WINDOW_OF_MANY = 2.0, 8.0
    FEW_REPLICAS = 2  # copies that are not many
    USED_FRACTION = 0.6  # of the window out: what a call finds that tells whether the window is too large
    DOUBLING_QUEUE_FRACTION = (
        0.25  # of the tolerance: while queues add less than that, the window doubles each round trip
    )
    DOUBLING_TOLERANCES = (
        4.0  # tolerances that such a doubling may add to the latency at low load, if it was one too many
    )
    QUEUE_SAMPLE_WEIGHT = 1.0 / 8.0  # weight of a new sample in that
    # Of the tolerance, that a round's growth by the root of the window may add to the latency at most.
    FAIR_GROWTH_FRACTION = 0.25
    MIN_ROUND_CALLS, MAX_ROUND_CALLS = 8, 64  # calls: a round is as many as the window, within these bounds
    GROWTH_FRACTION = 0.5  # of what the mean time says that the window is too small: taken back is all of it
    CEILING_LIFT_FACTOR = 1.03  # of the ceiling, with every round that finds nothing there
    MAX_DOUBT_TOLERANCES = 1.0  # tolerances, that are put down to chance
    MIN_ROUND_FACTOR = 0.5  # of the window, that one round takes back
    FULL_FRACTION = (
        0.1  # of a round's calls turned away, from which the window is too large whatever the others' time
    )
    LIGHT_LOAD_FRACTION = (
        0.5  # of the window: a call with no more than that beside it tells the latency at low load
    )
    BASE_GAIN = 0.25  # of what such a round says that it has changed
    HALVED_FRACTION, FRUITLESS_FRACTION = (
        0.5,
        0.85,
    )  # of the window, with which more than that of the latency is left: no queue was ours
    MIN_SIZE_SCALE = 0.1  # of the usual time, that the smallest request takes
    MAX_SIZE = 4.0  # of the usual, as far as one answer tells of the slope
    SLOPE_SAMPLE_WEIGHT = 1.0 / 128.0  # weight of a new sample in it
    MIN_KNOWN_SAMPLES = 16  # answers, from which the latency at low load is more than a guess
    TOLERANCE_REUSE = 8  # answers that the tolerance is kept for; it changes with rounds
    ACTIVE_ARRIVALS = 64.0  # requests: a class that was not among the last so many binds nobody

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._rng = rng
        self.arbiter: Arbiter | None = None  # chooses whom to let in, of as many as the window lets in
        self._classes: Sequence[RequestClass] = settings.classes
        self.min_counted_window = (
            self.MIN_COUNTED_WINDOW
            if settings.balancer_count <= self.FEW_REPLICAS
            else self.MIN_COUNTED_WINDOW_OF_MANY
        )
        self.window = self.FIRST_WINDOW  # calls that may be out at once; opened by the first list
        self._first = self.FIRST_WINDOW  # what the first list opened
        self.opened = False
        count = len(settings.classes)
        # Of the upstreams' time alone, by class: the running mean, and what it is at low load.
        self.mean = [cls.aim_ms / 3.0 for cls in settings.classes]
        self.base = list(self.mean)
        self._base_samples = [0] * count  # answers, while they are few
        self._mean_samples = [0] * count  # the same, in a window of any size
        self._base_sizes = [0.0] * count  # the sum of the sizes of those answers
        self.over_share_fraction = self.MAX_OVER_SHARE_FRACTION
        self._mean_in_flight = 0.0  # as arrivals find it
        self.is_doubling = True
        self._queued = 0.0  # running mean of what queues add, in tolerances
        self._mean_added_ms = 0.0  # the same in milliseconds
        self._last_arrival = [-math.inf] * count  # the arrival that each class had last
        self._arrivals = 0.0
        self._round = 1
        self._full_round, self._light_round = RoundSums(), RoundSums()
        self._ceiling = math.inf  # the window that would have been right when queues were last met
        self._closing_from: tuple[float, float] | None = (
            None  # window and mean time when it began to close, or halved
        )
        # Of a call's time at low load, the part that goes by its request's size: of the tiers from here on, this one.
        self._slope = 1.0 / max(1, settings.tiers - settings.tier)
        self._spread, self._along = 1.0, self._slope
        self._tolerance, self._tolerance_answers = 1.0, 0  # the tolerance, kept for so many more answers

    def configure(self, settings: Settings) -> None:
        """Take new figures; what was learned is carried on. Classes keep their places; there may be more, and another
        class may have taken the place of one that is no more.
        """
        more = len(settings.classes) - len(self._classes)
        for values, first in ((self.mean, 0.0), (self.base, 0.0), (self._last_arrival, -math.inf)):
            values.extend([first] * more)
        self._base_samples.extend([0] * more)
        self._mean_samples.extend([0] * more)
        self._base_sizes.extend([0.0] * more)
        for at, after in enumerate(settings.classes):
            before = self._classes[at] if at < len(self._classes) else None
            if before is None or before.name != after.name:
                self.mean[at] = self.base[at] = after.aim_ms / 3.0
                self._base_samples[at] = self._mean_samples[at] = 0
                self._base_sizes[at] = 0.0
                self._last_arrival[at] = -math.inf
            elif before.aim_ms != after.aim_ms:  # guards against refusing all for a guess from the old aim
                self.mean[at] = min(self.mean[at], after.aim_ms / 3.0)
                self.base[at] = min(self.base[at], after.aim_ms / 3.0)
        self._classes = settings.classes
        self.min_counted_window = (
            self.MIN_COUNTED_WINDOW
            if settings.balancer_count <= self.FEW_REPLICAS
            else self.MIN_COUNTED_WINDOW_OF_MANY
        )

    def open(self, ready: int, balancer_count: int) -> None:
        """The first list: as many calls as its servers are taken to bear from each copy, but of a copy that is nearly
        alone a few, or one for each server: it will see at once how many more.
        """
        if not self.opened and ready:
            self.opened = True
            share = self.FIRST_CALLS_PER_SERVER * ready / balancer_count
            self.window = self._first = max(
                self.FIRST_WINDOW, min(share, max(self.FIRST_WINDOW_ALONE, ready))
            )

    def on_capacity_lost(self, servers: int) -> None:
        """One of so many servers that bear the window is sent nothing from now on."""
        if self.is_counted:
            self.window = max(self.min_counted_window, self.window * (1.0 - 1.0 / max(2, servers)))

    @property
    def mean_in_flight(self) -> float:
        """Calls out, as arrivals of late have found them."""
        return self._mean_in_flight

    # ------------------------------------------------ letting in

    @property
    def is_counted(self) -> bool:
        """Whether the window is a hard bound, that can be waited for."""
        return self.window >= self.min_counted_window

    def admit(self, class_index: int, in_flight: int, waiting: int, over_share: bool) -> Verdict:
        """What is to become of a request, as `_verdict` says unless there is an arbiter."""
        verdict = self._own_verdict(class_index, in_flight, waiting, over_share)
        return verdict if self.arbiter is None else self.arbiter(class_index, verdict, waiting)

    def _own_verdict(self, class_index: int, in_flight: int, waiting: int, over_share: bool) -> Verdict:
        """A request has come while `out` calls are out and `waiting` requests wait for a place.

        Traffic over its tenant's share may fill a part of the window only, and that part closes while requests within
        their share find it full: guards against a tenant's burst crowding the others out.
        """
        self._arrivals += 1.0
        self._last_arrival[class_index] = self._arrivals
        self._mean_in_flight += self.IN_FLIGHT_SAMPLE_WEIGHT * (in_flight - self._mean_in_flight)
        if self.is_counted:
            if over_share:
                full = waiting > 0 or in_flight >= self.window * self.over_share_fraction
            else:
                full = waiting > 0 or in_flight + 1.0 > self.window
                self._adjust_over_share(waiting > self.window)
            return Verdict.WAIT if full else Verdict.GO
        # The mean, and a refusal by chance, not a hard limit: a copy of low rate has none or a few calls out by chance
        # alone, and its window may be below one.
        limit = self.window * (0.8 + 0.6 * self._rng.random())
        if over_share:
            return Verdict.REFUSE if self._mean_in_flight >= limit * self.over_share_fraction else Verdict.GO
        full = self._mean_in_flight >= limit
        self._adjust_over_share(full)
        return Verdict.REFUSE if full else Verdict.GO

    def _adjust_over_share(self, full: bool) -> None:
        step = (
            -self.OVER_SHARE_CLOSE_STEP
            if full
            else self.OVER_SHARE_CLOSE_STEP * self.OVER_SHARE_SPARE_FRACTION
        )
        self.over_share_fraction = min(
            self.MAX_OVER_SHARE_FRACTION, max(0.0, self.over_share_fraction + step)
        )

    def free_slots(self, in_flight: int) -> int:
        """How many that wait may go now."""
        return max(0, int(self.window - in_flight)) if self.is_counted else max(0, 1 - in_flight)

    def slot_interval_ms(self, class_index: int) -> float:
        """The mean time from place to place; 0 while that can't be told, as the window opens with every answer."""
        return 0.0 if self.is_doubling else self.mean[class_index] / self.window

    def min_latency_ms(self, class_index: int) -> float:
        """What a request of the usual size takes at the least; 0 while nothing is known of it but a guess."""
        known = self._mean_samples[class_index] >= self.MIN_KNOWN_SAMPLES
        return min(self.base[class_index], self.mean[class_index]) if known else 0.0

    def size_scale(self, size: float) -> float:
        """By what factor the time at low load of a request of this size is that of the usual one."""
        return max(self.MIN_SIZE_SCALE, 1.0 + self._slope * (size - 1.0))

    def _learn_slope(self, at: int, spent_ms: float, size: float) -> None:
        """What of a call's time goes by its size: a regression over all classes, on their own means."""
        beside = min(self.MAX_SIZE, size) - 1.0
        beyond = (spent_ms - self.mean[at]) / max(0.01, self.base[at])
        self._spread += self.SLOPE_SAMPLE_WEIGHT * (beside * beside - self._spread)
        self._along += self.SLOPE_SAMPLE_WEIGHT * (beside * min(self.MAX_SIZE, beyond) - self._along)
        if self._spread > 0.0:
            self._slope = min(1.0, max(0.0, self._along / self._spread))

    def round_of(self, in_flight: int) -> int:
        """What a call is to bear that begins while `out` others are out, and to be handed back with its end: the round
        that it counts in, if it fills the window; its negative, if it is one of few; 0 for one between.
        """
        calls = in_flight + 1.0
        if calls >= self.USED_FRACTION * self.window:
            return self._round
        return -self._round if calls <= self.LIGHT_LOAD_FRACTION * self.window else 0

    # ------------------------------------------------ steering

    def tolerance_ms(self) -> float:
        """What queues may add to the latency at low load: the least over the classes in use."""
        least = math.inf
        times, most = self.TOLERANCE_FACTOR, self.MAX_TOLERANCE_FRACTION
        if self.is_counted:
            times, most = self.COUNTED_TOLERANCE_FACTOR, self.COUNTED_MAX_TOLERANCE_FRACTION
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
        """An attempt has ended after `spent_ms` at the upstream; `out` are still out, and `tries` of its request were
        begun by now. `mark` is what it was given when it was sent, and `size` its work, by the mean of its class.
        """
        if outcome in INCONCLUSIVE or outcome is Outcome.CONNECT_FAILED:
            return
        if outcome is Outcome.OK:
            if size != 1.0:  # without a hint there is nothing to learn of the slope
                self._learn_slope(class_index, spent_ms, size)
            self.mean[class_index] += self.SAMPLE_WEIGHT * (spent_ms - self.mean[class_index])
            self._mean_samples[class_index] += self._mean_samples[class_index] < self.MIN_KNOWN_SAMPLES
        if self.is_counted:
            self._steer_counted(class_index, outcome, spent_ms, in_flight, limiter_round, attempts, size)
        else:
            self._steer_small(class_index, outcome, spent_ms, in_flight, attempts)

    def _steer_small(self, at: int, outcome: Outcome, spent_ms: float, in_flight: int, attempts: int) -> None:
        """Steer a small window. A failure counts as a whole aim."""
        aim = self._classes[at].aim_ms
        if outcome is Outcome.FULL:
            if attempts < 2:
                return  # one full server is nothing that another attempt would not mend
            # One call too many is out; refusals come fast, so they must weigh more than slow answers.
            step = -min(1.0, 0.25 * self.window)
        elif outcome is Outcome.OK:
            # The mean, not single answers: those differ by their work, which says nothing of the load.
            beyond = self.mean[at] - self.base[at]
            self.base[at] += self.SAMPLE_WEIGHT * beyond * (1.0 if beyond < 0.0 else self.BASE_RISE_FACTOR)
            target = min(self.base[at], aim) + self.tolerance_ms()
            step = self.GAIN * max(-min(1.0, self.window), 1.0 - spent_ms / target)
        else:
            step = -self.GAIN * min(1.0, self.window, spent_ms / aim)
        if step < 0.0 or in_flight + 1.0 >= self.USED_FRACTION * self.window:  # an unused window says nothing
            self.window = max(self.MIN_WINDOW, self.window + step)
        self.is_doubling = False

    def _steer_counted(
        self,
        at: int,
        outcome: Outcome,
        spent_ms: float,
        in_flight: int,
        limiter_round: int,
        attempts: int,
        size: float,
    ) -> None:
        """Steer a window that counts."""
        self._tolerance_answers -= 1
        if self._tolerance_answers <= 0:
            self._tolerance = self.tolerance_ms()
            self._tolerance_answers = (
                self.TOLERANCE_REUSE if self._base_samples[at] >= self.MIN_ROUND_CALLS else 1
            )
        tolerance = self._tolerance
        # Guards against taking a spell of heavy requests for queues: their time at low load is by their size.
        scale = self.size_scale(size)
        base = self.base[at] * scale
        if outcome is Outcome.FULL:
            self._full_round.full += (
                attempts > 1
            )  # one full server is nothing that another attempt would not mend
            self.is_doubling = self.is_doubling and attempts < 2
        elif outcome is Outcome.OK:
            if self._base_samples[at] < self.MIN_ROUND_CALLS:
                # Before it is known, what queues add is taken off by what they add to the other classes.
                self._base_samples[at] += 1
                self._base_sizes[at] += scale
                own = max(0.01, spent_ms - max(0.0, self._mean_added_ms))
                self.base[at] = max(
                    0.01, self.base[at] + (own - self.base[at] * scale) / self._base_sizes[at]
                )
                base = self.base[at] * scale
            added = spent_ms - base
            self._mean_added_ms += self.QUEUE_SAMPLE_WEIGHT * (added - self._mean_added_ms)
            self._note_queueing(added / tolerance)
            if limiter_round == self._round:
                self._full_round.add(base, added)
                if self.is_doubling:
                    # Less where the aim leaves little room: one doubling too many would put every call past it.
                    step = min(1.0, self.DOUBLING_TOLERANCES * tolerance / base)
                    self.window = min(self.MAX_WINDOW, self.window + step)
            elif added > tolerance:
                self._narrow_unused(in_flight)
            if limiter_round < 0:
                self._light_round.add(base, added)
        elif spent_ms > base + tolerance:
            # It has taken too long, and nobody knows how long it would have been.
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
            # A round of few: it tells the latency at low load. Where that is what it was, the next burst may open the
            # window as the first one did, whatever was met before.
            if (
                self._light_round.added_ms
                < self.DOUBLING_QUEUE_FRACTION * tolerance * self._light_round.calls
            ):
                self.is_doubling, self._queued, self._ceiling = True, 0.0, math.inf
            self._rescale(self._light_round, self.BASE_GAIN)
            self._light_round.clear()

    def _narrow_unused(self, in_flight: int) -> None:
        """There are queues, and what is out does not fill the window: it is far too wide, and no round will ever tell.
        Guards against one that stands open from better times, and lets everything wait at the servers until it is late.
        """
        used = max(self._first, (in_flight + 1.0) / self.USED_FRACTION)
        if used < self.window:
            self.window += self.SAMPLE_WEIGHT * (used - self.window)

    def _note_queueing(self, queued: float) -> None:
        """The doubling ends with the first queue that is worth the name."""
        self._queued += self.QUEUE_SAMPLE_WEIGHT * (min(queued, 4.0) - self._queued)
        if self._queued > self.DOUBLING_QUEUE_FRACTION:
            self.is_doubling = False

    def _round_calls(self, tolerance: float) -> float:
        """Calls to a round. One that goes badly is over sooner."""
        sums = self._full_round
        if sums.calls >= self.MIN_ROUND_CALLS and sums.added_ms > sums.base_ms + 2.0 * sums.calls * tolerance:
            return self.MIN_ROUND_CALLS
        return min(max(self.MIN_ROUND_CALLS, self.window), self.MAX_ROUND_CALLS)

    def _rescale(self, sums: RoundSums, gain: float) -> None:
        """Move the latency at low load, of all classes alike, to what some calls say."""
        factor = 1.0 + gain * (max(0.25, (sums.base_ms + sums.added_ms) / sums.base_ms) - 1.0)
        self.base = [
            max(0.01, min(base * factor, cls.aim_ms))
            for base, cls in zip(self.base, self._classes, strict=True)
        ]

    def _end_round(self, tolerance: float) -> None:
        sums = self._full_round
        calls = max(1, sums.calls)
        base, added = sums.base_ms / calls, sums.added_ms / calls
        latency = base + added
        if not sums.calls:
            factor = 1.0
        else:
            # Guards against closing for chance: the times of a few calls differ by their work, without any queue.
            doubt = min(sums.error(), self.MAX_DOUBT_TOLERANCES * tolerance)
            factor = (base + tolerance) / max(latency, 0.001)
            if 1.0 >= factor > (base + tolerance) / (base + tolerance + doubt):
                factor = 1.0
            elif factor > 1.0:
                self._closing_from = None
                factor = 1.0 if self.is_doubling else 1.0 + self.GROWTH_FRACTION * (min(factor, 3.0) - 1.0)
                if self.window * factor > self._ceiling:
                    # Where queues were met before it goes on by small steps: there is least to win and most to lose.
                    factor = max(1.0, self._ceiling / self.window)
                    self._ceiling *= self.CEILING_LIFT_FACTOR
            else:
                factor = (base + tolerance + doubt) / latency
                self._ceiling = max(self.min_counted_window, self.window * factor)
                if self._is_closing_in_vain(latency, sums):
                    self._rescale(sums, 1.0)
                    self._ceiling, factor = math.inf, 1.0
            if added < 0.0:
                self._rescale(sums, self.BASE_GAIN)
        if sums.full > self.FULL_FRACTION * (sums.calls + sums.full):
            factor = min(factor, 0.7)
        # The root, for a gain that is more of a small window than of a large one: lets late copies catch up.
        fair = 0.0
        if not self.is_doubling and factor > self.MIN_ROUND_FACTOR:
            fair = min(
                math.sqrt(self.window), self.FAIR_GROWTH_FRACTION * self.window * tolerance / max(base, 0.01)
            )
        self.window = min(
            self.MAX_WINDOW,
            max(self.min_counted_window - 0.5, self.window * max(self.MIN_ROUND_FACTOR, factor) + fair),
        )
        sums.clear()
        self._round += 1

    def _is_closing_in_vain(self, latency: float, sums: RoundSums) -> bool:
        """While the window closes: whether the latency is the same with half of it. Guards against closing it for ever
        on a tier that has become slower for each call, where no queue of ours is to blame.
        """
        if self._closing_from is None or sums.timed_out > self.FULL_FRACTION * sums.calls:
            self._closing_from = (self.window, latency)
            return False
        window, before = self._closing_from
        if self.window > max(self.HALVED_FRACTION * window, self.min_counted_window + 1.0):
            return False
        self._closing_from = (self.window, latency)
        return latency > self.FRUITLESS_FRACTION * before
