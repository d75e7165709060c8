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

from larkweir_balancing.interface import Outcome, RequestClass, Settings

UNTELLING = frozenset((Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED))  # of the servers' state


class Verdict(Enum):
    """What is to become of a request that has come."""

    GO = "go"
    WAIT = "wait"
    REFUSE = "refuse"


# Of a request that has come: its class, what the limiter says, and how many wait; what is to become of it instead.
Arbiter = Callable[[int, Verdict, int], Verdict]


class Sums:
    """Of some calls that have ended: how many, what their times would be at low load, and what queues added."""

    __slots__ = ("added", "base", "calls", "late", "squares", "turned_away")

    def __init__(self) -> None:
        self.clear()

    def clear(self) -> None:
        self.calls = 0
        self.turned_away = 0
        self.late = 0  # of the calls, those that were given up: what they would have taken is a guess
        self.base = 0.0
        self.added = 0.0
        self.squares = 0.0  # of what queues added

    def add(self, base: float, added: float) -> None:
        self.calls += 1
        self.base += base
        self.added += added
        self.squares += added * added

    def error(self) -> float:
        """The standard error of the mean of what queues added."""
        if self.calls < 2:
            return 0.0
        mean = self.added / self.calls
        return math.sqrt(max(0.0, self.squares / self.calls - mean * mean) / (self.calls - 1))


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

    MEMORY = 1.0 / 16.0  # weight of a new sample in the running means
    # What queues may add to the latency at low load: a multiple of it, but at least and at most such parts of the way
    # from it to the aim. A small window has no other place for its queue than the servers; one that counts has.
    LEAST, TOLERANCE, TARGET = 0.15, 2.0, 0.5
    COUNTED_TOLERANCE, COUNTED_TARGET = 0.25, 0.3
    BASE_RISE = 0.1  # of a small window: the latency at low load is followed down at once and up slowly
    GAIN = 0.2  # of a small window, an answer, for a latency off by the whole target
    FIRST_LEVEL = 4.0  # calls a server is first taken to bear, from all copies together
    FIRST_WINDOW = 0.5  # at the least, until there is evidence
    FIRST_CALLS = 8.0  # of a copy that is nearly alone, at the most, or one for each server
    LEAST_WINDOW = (
        0.1  # a part of a call is admitted by chance: copies of low rate must be able to shed as well
    )
    MOST_WINDOW = 100_000.0  # no evidence is good for more
    OUT_MEMORY = 1.0 / 8.0
    HEADROOM = 0.9  # of the window, at most open to traffic over its tenant's share
    CLOSE = 0.05  # by which that part closes with each refusal of a call within its share
    SPARE = 0.02  # the share of such refusals at which it stands still
    # Calls: a smaller window is kept by chance, a larger one by count. One of many copies sees in its answers what the
    # others do as well, and goes by small steps for longer.
    SMALL, SMALL_OF_MANY = 2.0, 8.0
    FEW = 2  # copies that are not many
    USED = 0.6  # of the window out: what a call finds that tells whether the window is too large
    DOUBLING = 0.25  # of the tolerance: while queues add less than that, the window doubles each round trip
    LEAP = 4.0  # tolerances that such a doubling may add to the latency at low load, if it was one too many
    HEED = 1.0 / 8.0  # weight of a new sample in that
    FAIR = 0.25  # of the tolerance, at most, that a round's gain of the root of the window may add to the latency
    LEAST_ROUND, MOST_ROUND = 8, 64  # calls: a round is as many as the window, within these bounds
    GROWTH = 0.5  # of what the mean time says that the window is too small: taken back is all of it
    LIFT = 1.03  # of the ceiling, with every round that finds nothing there
    MOST_DOUBT = 1.0  # tolerances, that are put down to chance
    STEEPEST = 0.5  # of the window, that one round takes back
    CROWDED = (
        0.1  # of a round's calls turned away, from which the window is too large whatever the others' time
    )
    LIGHT = 0.5  # of the window: a call with no more than that beside it tells the latency at low load
    BASE_GAIN = 0.25  # of what such a round says that it has changed
    HALF, FRUITLESS = (
        0.5,
        0.85,
    )  # of the window, with which more than that of the latency is left: no queue was ours
    LEAST_SCALE = 0.1  # of the usual time, that the smallest request takes
    MOST_SIZE = 4.0  # of the usual, as far as one answer tells of the slope
    SLOPE_MEMORY = 1.0 / 128.0  # weight of a new sample in it
    SURE = 16  # answers, from which the latency at low load is more than a guess
    KEEP = 8  # answers that the tolerance is kept for; it changes with rounds
    ACTIVE = 64.0  # requests: a class that was not among the last so many binds nobody

    def __init__(self, settings: Settings, rng: Random) -> None:
        self._rng = rng
        self.arbiter: Arbiter | None = None  # chooses whom to let in, of as many as the window lets in
        self._classes: Sequence[RequestClass] = settings.classes
        self.small = self.SMALL if settings.copies <= self.FEW else self.SMALL_OF_MANY
        self.window = self.FIRST_WINDOW  # calls that may be out at once; opened by the first list
        self._first = self.FIRST_WINDOW  # what the first list opened
        self.opened = False
        count = len(settings.classes)
        # Of the upstreams' time alone, by class: the running mean, and what it is at low load.
        self.mean = [cls.aim_ms / 3.0 for cls in settings.classes]
        self.base = list(self.mean)
        self._seen = [0] * count  # answers, while they are few
        self._known = [0] * count  # the same, in a window of any size
        self._sizes = [0.0] * count  # the sum of the sizes of those answers
        self.over_part = self.HEADROOM
        self._out_mean = 0.0  # as arrivals find it
        self.doubling = True
        self._queued = 0.0  # running mean of what queues add, in tolerances
        self._added = 0.0  # the same in milliseconds
        self._last = [-math.inf] * count  # the arrival that each class had last
        self._arrivals = 0.0
        self._round = 1
        self._full, self._light = Sums(), Sums()
        self._ceiling = math.inf  # the window that would have been right when queues were last met
        self._closing: tuple[float, float] | None = (
            None  # window and mean time when it began to close, or halved
        )
        # Of a call's time at low load, the part that goes by its request's size: of the tiers from here on, this one.
        self._slope = 1.0 / max(1, settings.tiers - settings.tier)
        self._spread, self._along = 1.0, self._slope
        self._tolerance, self._keep = 1.0, 0  # the tolerance, kept for so many more answers

    def configure(self, settings: Settings) -> None:
        """Take new figures; what was learned is carried on. Classes keep their places; there may be more, and another
        class may have taken the place of one that is no more.
        """
        more = len(settings.classes) - len(self._classes)
        for values, first in ((self.mean, 0.0), (self.base, 0.0), (self._last, -math.inf)):
            values.extend([first] * more)
        self._seen.extend([0] * more)
        self._known.extend([0] * more)
        self._sizes.extend([0.0] * more)
        for at, after in enumerate(settings.classes):
            before = self._classes[at] if at < len(self._classes) else None
            if before is None or before.name != after.name:
                self.mean[at] = self.base[at] = after.aim_ms / 3.0
                self._seen[at] = self._known[at] = 0
                self._sizes[at] = 0.0
                self._last[at] = -math.inf
            elif before.aim_ms != after.aim_ms:  # guards against refusing all for a guess from the old aim
                self.mean[at] = min(self.mean[at], after.aim_ms / 3.0)
                self.base[at] = min(self.base[at], after.aim_ms / 3.0)
        self._classes = settings.classes
        self.small = self.SMALL if settings.copies <= self.FEW else self.SMALL_OF_MANY

    def open(self, ready: int, copies: int) -> None:
        """The first list: as many calls as its servers are taken to bear from each copy, but of a copy that is nearly
        alone a few, or one for each server: it will see at once how many more.
        """
        if not self.opened and ready:
            self.opened = True
            share = self.FIRST_LEVEL * ready / copies
            self.window = self._first = max(self.FIRST_WINDOW, min(share, max(self.FIRST_CALLS, ready)))

    def lost_one(self, of: int) -> None:
        """One of so many servers that bear the window is sent nothing from now on."""
        if self.counts:
            self.window = max(self.small, self.window * (1.0 - 1.0 / max(2, of)))

    @property
    def load(self) -> float:
        """Calls out, as arrivals of late have found them."""
        return self._out_mean

    # ------------------------------------------------ letting in

    @property
    def counts(self) -> bool:
        """Whether the window is a hard bound, that can be waited for."""
        return self.window >= self.small

    def arrive(self, class_index: int, out: int, waiting: int, over_share: bool) -> Verdict:
        """What is to become of a request, as `_verdict` says unless there is an arbiter."""
        verdict = self._verdict(class_index, out, waiting, over_share)
        return verdict if self.arbiter is None else self.arbiter(class_index, verdict, waiting)

    def _verdict(self, class_index: int, out: int, waiting: int, over_share: bool) -> Verdict:
        """A request has come while `out` calls are out and `waiting` requests wait for a place.

        Traffic over its tenant's share may fill a part of the window only, and that part closes while requests within
        their share find it full: guards against a tenant's burst crowding the others out.
        """
        self._arrivals += 1.0
        self._last[class_index] = self._arrivals
        self._out_mean += self.OUT_MEMORY * (out - self._out_mean)
        if self.counts:
            if over_share:
                full = waiting > 0 or out >= self.window * self.over_part
            else:
                full = waiting > 0 or out + 1.0 > self.window
                self._steer_over_part(waiting > self.window)
            return Verdict.WAIT if full else Verdict.GO
        # The mean, and a refusal by chance, not a hard limit: a copy of low rate has none or a few calls out by chance
        # alone, and its window may be below one.
        limit = self.window * (0.8 + 0.6 * self._rng.random())
        if over_share:
            return Verdict.REFUSE if self._out_mean >= limit * self.over_part else Verdict.GO
        full = self._out_mean >= limit
        self._steer_over_part(full)
        return Verdict.REFUSE if full else Verdict.GO

    def _steer_over_part(self, full: bool) -> None:
        step = -self.CLOSE if full else self.CLOSE * self.SPARE
        self.over_part = min(self.HEADROOM, max(0.0, self.over_part + step))

    def places(self, out: int) -> int:
        """How many that wait may go now."""
        return max(0, int(self.window - out)) if self.counts else max(0, 1 - out)

    def pace_ms(self, class_index: int) -> float:
        """The mean time from place to place; 0 while that can't be told, as the window opens with every answer."""
        return 0.0 if self.doubling else self.mean[class_index] / self.window

    def least_ms(self, class_index: int) -> float:
        """What a request of the usual size takes at the least; 0 while nothing is known of it but a guess."""
        known = self._known[class_index] >= self.SURE
        return min(self.base[class_index], self.mean[class_index]) if known else 0.0

    def scale(self, size: float) -> float:
        """By what factor the time at low load of a request of this size is that of the usual one."""
        return max(self.LEAST_SCALE, 1.0 + self._slope * (size - 1.0))

    def _learn_slope(self, at: int, spent_ms: float, size: float) -> None:
        """What of a call's time goes by its size: a regression over all classes, on their own means."""
        beside = min(self.MOST_SIZE, size) - 1.0
        beyond = (spent_ms - self.mean[at]) / max(0.01, self.base[at])
        self._spread += self.SLOPE_MEMORY * (beside * beside - self._spread)
        self._along += self.SLOPE_MEMORY * (beside * min(self.MOST_SIZE, beyond) - self._along)
        if self._spread > 0.0:
            self._slope = min(1.0, max(0.0, self._along / self._spread))

    def mark(self, out: int) -> int:
        """What a call is to bear that begins while `out` others are out, and to be handed back with its end: the round
        that it counts in, if it fills the window; its negative, if it is one of few; 0 for one between.
        """
        calls = out + 1.0
        if calls >= self.USED * self.window:
            return self._round
        return -self._round if calls <= self.LIGHT * self.window else 0

    # ------------------------------------------------ steering

    def tolerance_ms(self) -> float:
        """What queues may add to the latency at low load: the least over the classes in use."""
        least = math.inf
        times, most = self.TOLERANCE, self.TARGET
        if self.counts:
            times, most = self.COUNTED_TOLERANCE, self.COUNTED_TARGET
        horizon = self._arrivals - self.ACTIVE * len(self._classes)
        for at, cls in enumerate(self._classes):
            if self._last[at] >= horizon:
                room = max(0.0, cls.aim_ms - self.base[at])
                own = min(max(times * self.base[at], self.LEAST * room), most * room)
                least = min(least, own)
        return 1.0 if least == math.inf else max(least, 0.001)

    def ended(
        self,
        class_index: int,
        outcome: Outcome,
        spent_ms: float,
        out: int,
        mark: int = 0,
        tries: int = 1,
        size: float = 1.0,
    ) -> None:
        """An attempt has ended after `spent_ms` at the upstream; `out` are still out, and `tries` of its request were
        begun by now. `mark` is what it was given when it was sent, and `size` its work, by the mean of its class.
        """
        if outcome in UNTELLING or outcome is Outcome.CONNECT_FAILED:
            return
        if outcome is Outcome.OK:
            if size != 1.0:  # without a hint there is nothing to learn of the slope
                self._learn_slope(class_index, spent_ms, size)
            self.mean[class_index] += self.MEMORY * (spent_ms - self.mean[class_index])
            self._known[class_index] += self._known[class_index] < self.SURE
        if self.counts:
            self._count(class_index, outcome, spent_ms, out, mark, tries, size)
        else:
            self._step(class_index, outcome, spent_ms, out, tries)

    def _step(self, at: int, outcome: Outcome, spent_ms: float, out: int, tries: int) -> None:
        """Steer a small window. A failure counts as a whole aim."""
        aim = self._classes[at].aim_ms
        if outcome is Outcome.FULL:
            if tries < 2:
                return  # one full server is nothing that another attempt would not mend
            # One call too many is out; refusals come fast, so they must weigh more than slow answers.
            step = -min(1.0, 0.25 * self.window)
        elif outcome is Outcome.OK:
            # The mean, not single answers: those differ by their work, which says nothing of the load.
            beyond = self.mean[at] - self.base[at]
            self.base[at] += self.MEMORY * beyond * (1.0 if beyond < 0.0 else self.BASE_RISE)
            target = min(self.base[at], aim) + self.tolerance_ms()
            step = self.GAIN * max(-min(1.0, self.window), 1.0 - spent_ms / target)
        else:
            step = -self.GAIN * min(1.0, self.window, spent_ms / aim)
        if step < 0.0 or out + 1.0 >= self.USED * self.window:  # an unused window says nothing
            self.window = max(self.LEAST_WINDOW, self.window + step)
        self.doubling = False

    def _count(
        self, at: int, outcome: Outcome, spent_ms: float, out: int, mark: int, tries: int, size: float
    ) -> None:
        """Steer a window that counts."""
        self._keep -= 1
        if self._keep <= 0:
            self._tolerance = self.tolerance_ms()
            self._keep = self.KEEP if self._seen[at] >= self.LEAST_ROUND else 1
        tolerance = self._tolerance
        # Guards against taking a spell of heavy requests for queues: their time at low load is by their size.
        scale = self.scale(size)
        base = self.base[at] * scale
        if outcome is Outcome.FULL:
            self._full.turned_away += (
                tries > 1
            )  # one full server is nothing that another attempt would not mend
            self.doubling = self.doubling and tries < 2
        elif outcome is Outcome.OK:
            if self._seen[at] < self.LEAST_ROUND:
                # Before it is known, what queues add is taken off by what they add to the other classes.
                self._seen[at] += 1
                self._sizes[at] += scale
                own = max(0.01, spent_ms - max(0.0, self._added))
                self.base[at] = max(0.01, self.base[at] + (own - self.base[at] * scale) / self._sizes[at])
                base = self.base[at] * scale
            added = spent_ms - base
            self._added += self.HEED * (added - self._added)
            self._heed(added / tolerance)
            if mark == self._round:
                self._full.add(base, added)
                if self.doubling:
                    # Less where the aim leaves little room: one doubling too many would put every call past it.
                    step = min(1.0, self.LEAP * tolerance / base)
                    self.window = min(self.MOST_WINDOW, self.window + step)
            elif added > tolerance:
                self._narrow(out)
            if mark < 0:
                self._light.add(base, added)
        elif spent_ms > base + tolerance:
            # It has taken too long, and nobody knows how long it would have been.
            self._heed(4.0)
            if mark == self._round:
                self._full.add(base, max(spent_ms, 2.0 * (base + tolerance)) - base)
                self._full.late += 1
            else:
                self._narrow(out)
        ended = self._full.calls + self._full.turned_away
        if ended >= self.LEAST_ROUND and ended >= self._enough(tolerance):
            self._end_round(tolerance)
        if self._light.calls >= self.LEAST_ROUND and self._light.calls >= self._enough(tolerance):
            # A round of few: it tells the latency at low load. Where that is what it was, the next burst may open the
            # window as the first one did, whatever was met before.
            if self._light.added < self.DOUBLING * tolerance * self._light.calls:
                self.doubling, self._queued, self._ceiling = True, 0.0, math.inf
            self._rescale(self._light, self.BASE_GAIN)
            self._light.clear()

    def _narrow(self, out: int) -> None:
        """There are queues, and what is out does not fill the window: it is far too wide, and no round will ever tell.
        Guards against one that stands open from better times, and lets everything wait at the servers until it is late.
        """
        used = max(self._first, (out + 1.0) / self.USED)
        if used < self.window:
            self.window += self.MEMORY * (used - self.window)

    def _heed(self, queued: float) -> None:
        """The doubling ends with the first queue that is worth the name."""
        self._queued += self.HEED * (min(queued, 4.0) - self._queued)
        if self._queued > self.DOUBLING:
            self.doubling = False

    def _enough(self, tolerance: float) -> float:
        """Calls to a round. One that goes badly is over sooner."""
        sums = self._full
        if sums.calls >= self.LEAST_ROUND and sums.added > sums.base + 2.0 * sums.calls * tolerance:
            return self.LEAST_ROUND
        return min(max(self.LEAST_ROUND, self.window), self.MOST_ROUND)

    def _rescale(self, sums: Sums, gain: float) -> None:
        """Move the latency at low load, of all classes alike, to what some calls say."""
        factor = 1.0 + gain * (max(0.25, (sums.base + sums.added) / sums.base) - 1.0)
        self.base = [
            max(0.01, min(base * factor, cls.aim_ms))
            for base, cls in zip(self.base, self._classes, strict=True)
        ]

    def _end_round(self, tolerance: float) -> None:
        sums = self._full
        calls = max(1, sums.calls)
        base, added = sums.base / calls, sums.added / calls
        latency = base + added
        if not sums.calls:
            factor = 1.0
        else:
            # Guards against closing for chance: the times of a few calls differ by their work, without any queue.
            doubt = min(sums.error(), self.MOST_DOUBT * tolerance)
            factor = (base + tolerance) / max(latency, 0.001)
            if 1.0 >= factor > (base + tolerance) / (base + tolerance + doubt):
                factor = 1.0
            elif factor > 1.0:
                self._closing = None
                factor = 1.0 if self.doubling else 1.0 + self.GROWTH * (min(factor, 3.0) - 1.0)
                if self.window * factor > self._ceiling:
                    # Where queues were met before it goes on by small steps: there is least to win and most to lose.
                    factor = max(1.0, self._ceiling / self.window)
                    self._ceiling *= self.LIFT
            else:
                factor = (base + tolerance + doubt) / latency
                self._ceiling = max(self.small, self.window * factor)
                if self._closing_in_vain(latency, sums):
                    self._rescale(sums, 1.0)
                    self._ceiling, factor = math.inf, 1.0
            if added < 0.0:
                self._rescale(sums, self.BASE_GAIN)
        if sums.turned_away > self.CROWDED * (sums.calls + sums.turned_away):
            factor = min(factor, 0.7)
        # The root, for a gain that is more of a small window than of a large one: lets late copies catch up.
        fair = 0.0
        if not self.doubling and factor > self.STEEPEST:
            fair = min(math.sqrt(self.window), self.FAIR * self.window * tolerance / max(base, 0.01))
        self.window = min(
            self.MOST_WINDOW, max(self.small - 0.5, self.window * max(self.STEEPEST, factor) + fair)
        )
        sums.clear()
        self._round += 1

    def _closing_in_vain(self, latency: float, sums: Sums) -> bool:
        """While the window closes: whether the latency is the same with half of it. Guards against closing it for ever
        on a tier that has become slower for each call, where no queue of ours is to blame.
        """
        if self._closing is None or sums.late > self.CROWDED * sums.calls:
            self._closing = (self.window, latency)
            return False
        window, before = self._closing
        if self.window > max(self.HALF * window, self.small + 1.0):
            return False
        self._closing = (self.window, latency)
        return latency > self.FRUITLESS * before
