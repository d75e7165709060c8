"""How many calls this copy may have out at once: the window of calls in flight. Pure logic.

`ConcurrencyLimiter` holds the window. It is steered by the time that calls spend at the upstreams, never by what this
process adds, and knows two ranges. Below `min_hard_limit` calls a replica sees too little to keep
count by: a request is let through or refused by chance, on the mean of what is out. From there on the window is a hard
bound, opens as fast as answers prove it, and who finds it full waits a while in the `admission_queue`. Times are
milliseconds.
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

INCONCLUSIVE = frozenset((Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED))  # of the servers' state


class Verdict(Enum):
    """What is to become of a request that has come."""

    GO = "go"
    WAIT = "wait"
    REFUSE = "refuse"


# Of a request that has come: its class, what the limiter says, and how many wait; what is to become of it instead.
Arbiter = Callable[[int, Verdict, int], Verdict]


class ConcurrencyLimiter:
    """The window of calls out, and the latency at low load that it is steered by.

    The window is steered for a target: the latency at low load and a tolerance. The tolerance is a multiple of that
    latency, but at least a part of the aim, since queues of a few milliseconds harm nobody who waits for 400, and at
    most a larger part of it. The tightest tolerance of the classes in use binds all: they share the upstreams' queues.

    A window that counts is steered in rounds: of the calls that were begun since it was last changed and that filled
    it, the mean time tells by what factor it is too small or too large, and so nothing is corrected twice. Until
    queues are seen it grows with every answer instead, which doubles it each round trip. A window below
    `min_hard_limit` takes a small step with every answer; several seconds may lie between two of them.
    """

    SAMPLE_WEIGHT = 1.0 / 16.0  # of one answer, by which an unused window narrows
    # What queues may add to the latency at low load: a multiple of it, but at least and at most such parts of the way
    # from it to the aim. A small window has no other place for its queue than the servers; one that counts has.
    MIN_TOLERANCE_FRACTION, TOLERANCE_FACTOR, MAX_TOLERANCE_FRACTION = 0.15, 2.0, 0.5
    HARD_LIMIT_TOLERANCE_FACTOR, HARD_LIMIT_MAX_TOLERANCE_FRACTION = 0.25, 0.3
    GAIN = 0.2  # of a small window, an answer, for a latency off by the whole target
    INITIAL_CALLS_PER_SERVER = 4.0  # calls a server is first taken to bear, from all copies together
    MIN_INITIAL_WINDOW = 0.5  # at the least, until there is evidence
    MAX_INITIAL_WINDOW = 8.0  # of a copy that is nearly alone, at the most, or one for each server
    # A part of a call is admitted by chance: copies of low rate must be able to shed as well.
    MIN_WINDOW = 0.1
    MAX_WINDOW = 100_000.0  # no evidence is good for more
    IN_FLIGHT_SAMPLE_WEIGHT = 1.0 / 8.0
    # Calls: a smaller window is kept by chance, a larger one by count. One of many copies sees in its answers what the
    # others do as well, and goes by small steps for longer.
    MIN_HARD_LIMIT, MIN_HARD_LIMIT_OF_MANY = 2.0, 8.0
    FEW_REPLICAS = 2  # copies that are not many
    USED_FRACTION = 0.6  # of the window out: what a call finds that tells whether the window is too large
    # Of the tolerance: while queues add less than that, the window doubles each round trip.
    DOUBLING_QUEUE_FRACTION = 0.25
    # Tolerances that such a doubling may add to the latency at low load, if it was one too many.
    DOUBLING_TOLERANCES = 4.0
    QUEUE_SAMPLE_WEIGHT = 1.0 / 8.0  # weight of a new sample in that
    # Of the tolerance, that a round's growth by the root of the window may add to the latency at most.
    MAX_EXTRA_GROWTH_FRACTION = 0.25
    MIN_ROUND_CALLS, MAX_ROUND_CALLS = 8, 64  # calls: a round is as many as the window, within these bounds
    GROWTH_FRACTION = 0.5  # of what the mean time says that the window is too small: taken back is all of it
    CEILING_LIFT_FACTOR = 1.03  # of the ceiling, with every round that finds nothing there
    MAX_ERROR_TOLERANCES = 1.0  # tolerances, that are put down to chance
    MIN_ROUND_FACTOR = 0.5  # of the window, that one round takes back
    # Of a round's calls turned away, from which the window is too large whatever the others' time.
    FULL_FRACTION = 0.1
    # Of the window: a call with no more than that beside it tells the latency at low load.
    LIGHT_LOAD_FRACTION = 0.5
    BASE_GAIN = 0.25  # of what such a round says that it has changed
    TOLERANCE_REUSE = 8  # answers that the tolerance is kept for; it changes with rounds
    ACTIVE_ARRIVALS = 64.0  # requests: a class that was not among the last so many binds nobody

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._rng = rng
        self.arbiter: Arbiter | None = None  # chooses whom to let in, of as many as the window lets in
        self._classes: Sequence[RequestClass] = settings.classes
        self.min_hard_limit = self._min_hard_limit(settings)
        self.window = self.MIN_INITIAL_WINDOW  # calls that may be out at once; opened by the first list
        self._initial_window = self.MIN_INITIAL_WINDOW  # what the first list opened
        self.opened = False
        self.latencies = LatencyEstimates(settings)
        self.mean, self.base = self.latencies.mean, self.latencies.base  # the same lists
        self._over_share = OverShareAllowance()
        self._mean_in_flight = 0.0  # as arrivals find it
        self.is_doubling = True
        self._queued = 0.0  # running mean of what queues add, in tolerances
        self._mean_added_ms = 0.0  # the same in milliseconds
        self._last_arrival = [-math.inf] * len(settings.classes)  # the arrival that each class had last
        self._arrivals = 0.0
        self._round = 1
        self._full_round, self._light_round = RoundSums(), RoundSums()
        self._ceiling = math.inf  # the window that would have been right when queues were last met
        self._shrink_detector = FruitlessShrinkDetector()
        self._tolerance, self._tolerance_answers = 1.0, 0  # the tolerance, kept for so many more answers

    def configure(self, settings: Settings) -> None:
        """Take new figures; what was learned is carried on. Classes keep their places; there may be more, and another
        class may have taken the place of one that is no more.
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
        """The first list: as many calls as its servers are taken to bear from each copy, but of a copy that is nearly
        alone a few, or one for each server: it will see at once how many more.
        """
        if not self.opened and ready:
            self.opened = True
            share = self.INITIAL_CALLS_PER_SERVER * ready / balancer_count
            self.window = self._initial_window = max(
                self.MIN_INITIAL_WINDOW, min(share, max(self.MAX_INITIAL_WINDOW, ready))
            )

    def on_capacity_lost(self, servers: int) -> None:
        """One of so many servers that bear the window is sent nothing from now on."""
        if self.is_hard_limit:
            self.window = max(self.min_hard_limit, self.window * (1.0 - 1.0 / max(2, servers)))

    @property
    def mean_in_flight(self) -> float:
        """Calls out, as arrivals of late have found them."""
        return self._mean_in_flight

    # ------------------------------------------------ letting in

    @property
    def is_hard_limit(self) -> bool:
        """Whether the window is a hard bound, that can be waited for."""
        return self.window >= self.min_hard_limit

    def admit(self, class_index: int, in_flight: int, waiting: int, over_share: bool) -> Verdict:
        """What is to become of a request, as `_window_verdict` says unless there is an arbiter."""
        verdict = self._window_verdict(class_index, in_flight, waiting, over_share)
        return verdict if self.arbiter is None else self.arbiter(class_index, verdict, waiting)

    def _window_verdict(self, class_index: int, in_flight: int, waiting: int, over_share: bool) -> Verdict:
        """A request has come while `in_flight` calls are out and `waiting` requests wait for a place.

        Traffic over its tenant's share may fill a part of the window only, and that part closes while requests within
        their share find it full: guards against a tenant's burst crowding the others out.
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
        # The mean, and a refusal by chance, not a hard limit: a copy of low rate has none or a few calls out by chance
        # alone, and its window may be below one.
        limit = self.window * (0.8 + 0.6 * self._rng.random())
        if over_share:
            return Verdict.REFUSE if self._mean_in_flight >= limit * self._over_share.fraction else Verdict.GO
        full = self._mean_in_flight >= limit
        self._over_share.adjust(full)
        return Verdict.REFUSE if full else Verdict.GO

    def free_slots(self, in_flight: int) -> int:
        """How many that wait may go now."""
        return max(0, int(self.window - in_flight)) if self.is_hard_limit else max(0, 1 - in_flight)

    def slot_interval_ms(self, class_index: int) -> float:
        """The mean time from place to place; 0 while that can't be told, as the window opens with every answer."""
        return 0.0 if self.is_doubling else self.mean[class_index] / self.window

    def round_of(self, in_flight: int) -> int:
        """What a call is to bear that begins while `in_flight` others are out, and to be handed back with its end: the
        round that it counts in, if it fills the window; its negative, if it is one of few; 0 for one between.
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
        """An attempt has ended after `spent_ms` at the upstream; `in_flight` are still out, and `attempts` of its
        request were begun by now. `limiter_round` is what it was given when it was sent, and `size` its
        work, by the mean of its class.
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
        """Steer a small window. A failure counts as a whole aim."""
        aim = self._classes[at].aim_ms
        if outcome is Outcome.FULL:
            if attempts < 2:
                return  # one full server is nothing that another attempt would not mend
            # One call too many is out; refusals come fast, so they must weigh more than slow answers.
            step = -min(1.0, 0.25 * self.window)
        elif outcome is Outcome.OK:
            # The mean, not single answers: those differ by their work, which says nothing of the load.
            self.latencies.follow_mean(at)
            target = min(self.base[at], aim) + self.tolerance_ms()
            step = self.GAIN * max(-min(1.0, self.window), 1.0 - spent_ms / target)
        else:
            step = -self.GAIN * min(1.0, self.window, spent_ms / aim)
        if step < 0.0 or in_flight + 1.0 >= self.USED_FRACTION * self.window:  # an unused window says nothing
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
        """Steer a window that counts."""
        self._tolerance_answers -= 1
        if self._tolerance_answers <= 0:
            self._tolerance = self.tolerance_ms()
            self._tolerance_answers = self.TOLERANCE_REUSE if self.latencies.is_base_known(at) else 1
        tolerance = self._tolerance
        # Guards against taking a spell of heavy requests for queues: their time at low load is by their size.
        scale = self.latencies.size_scale(size)
        base = self.base[at] * scale
        if outcome is Outcome.FULL:
            self._full_round.full += (
                attempts > 1
            )  # one full server is nothing that another attempt would not mend
            self.is_doubling = self.is_doubling and attempts < 2
        elif outcome is Outcome.OK:
            if not self.latencies.is_base_known(at):
                # Before it is known, what queues add is taken off by what they add to the other classes.
                self.latencies.learn_base(at, spent_ms - max(0.0, self._mean_added_ms), scale)
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
        used = max(self._initial_window, (in_flight + 1.0) / self.USED_FRACTION)
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
        self.latencies.rescale(factor)

    def _end_round(self, tolerance: float) -> None:
        sums = self._full_round
        calls = max(1, sums.calls)
        base, added = sums.base_ms / calls, sums.added_ms / calls
        latency = base + added
        if not sums.calls:
            factor = 1.0
        else:
            # Guards against closing for chance: the times of a few calls differ by their work, without any queue.
            error_ms = min(sums.error(), self.MAX_ERROR_TOLERANCES * tolerance)
            factor = (base + tolerance) / max(latency, 0.001)
            if 1.0 >= factor > (base + tolerance) / (base + tolerance + error_ms):
                factor = 1.0
            elif factor > 1.0:
                self._shrink_detector.end()
                factor = 1.0 if self.is_doubling else 1.0 + self.GROWTH_FRACTION * (min(factor, 3.0) - 1.0)
                if self.window * factor > self._ceiling:
                    # Where queues were met before it goes on by small steps: there is least to win and most to lose.
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
        # The root, for a gain that is more of a small window than of a large one: lets late copies catch up.
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
