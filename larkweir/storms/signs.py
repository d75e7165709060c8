"""Detects a retry storm from the signs that one balancer sees, and maps the signs to states.

A storm is more than a tier that is down, and more than many requests: callers return at once and together to a tier
that can't yet serve them. So two kinds of sign must coincide. *Trouble*: of the calls that ended recently, far more
than usual failed or were late. *Stirring*: many tenants at once send far more than usual, or retry more than usual;
or the tier is weak, because its servers are gone, cold, or just back. Either kind alone is a fault, a release or a
busy morning, and nothing is shed for it.

Every sign compares a share or a rate with its own long-term mean, and allows for how few calls one balancer sees: each
of two hundred balancers may get three requests a second. Times are milliseconds, passed in by the caller.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from enum import Enum

from larkweir_balancing.interface import RequestClass


class State(Enum):
    CALM = "calm"
    BUILDING = "building"  # signs of one kind: advice is spread and connections are limited, nothing is shed
    STORM = "storm"  # both kinds: the tier gets what it has proved that it can serve
    RECOVERING = "recovering"  # calls succeed again, but demand still exceeds what is admitted


class DecayedSum:
    """A sum with exponential decay, which covers about the last `span_ms`."""

    __slots__ = ("_at_ms", "_sum", "span_ms")

    def __init__(self, span_ms: float) -> None:
        self.span_ms = span_ms
        self._sum = 0.0
        self._at_ms = -math.inf

    def add(self, now_ms: float, amount: float = 1.0) -> None:
        self._sum = self.value_at(now_ms) + amount
        self._at_ms = now_ms

    def value_at(self, now_ms: float) -> float:
        if self._sum == 0.0 or now_ms <= self._at_ms:
            return self._sum
        return self._sum * math.exp((self._at_ms - now_ms) / self.span_ms)

    def per_s(self, now_ms: float) -> float:
        return self.value_at(now_ms) * 1000.0 / self.span_ms


class Rate:
    """The recent and the usual rate of some event, per second."""

    __slots__ = ("_begun_ms", "recent", "usual")

    def __init__(self, short_ms: float, long_ms: float) -> None:
        self.recent = DecayedSum(short_ms)
        self.usual = DecayedSum(long_ms)
        self._begun_ms = math.inf

    def add(self, now_ms: float) -> None:
        self._begun_ms = min(self._begun_ms, now_ms)
        self.recent.add(now_ms)
        self.usual.add(now_ms)

    def usual_per_s(self, now_ms: float) -> float:
        """The usual rate, corrected for a mean that covers less than its span so far."""
        known = 1.0 - math.exp(min(0.0, self._begun_ms - now_ms) / self.usual.span_ms)
        return self.usual.per_s(now_ms) / known if known > 0.0 else 0.0

    def has_risen(self, now_ms: float, times: float, least: float) -> bool:
        """Whether the recent count exceeds `times` the usual one by `least` and two standard deviations."""
        short_s = self.recent.span_ms / 1000.0
        usual = self.usual_per_s(now_ms) * short_s
        # The variance of a decayed sum of a Poisson stream is half its mean.
        return self.recent.value_at(now_ms) > times * usual + least + 2.0 * math.sqrt(0.5 * usual)


class EventShare:
    """The recent and the usual share of events that are of one kind."""

    __slots__ = ("_all", "_hits", "usual")

    def __init__(self, short_ms: float) -> None:
        self._all, self._hits = DecayedSum(short_ms), DecayedSum(short_ms)
        self.usual = 0.0

    def add(self, now_ms: float, hit: bool) -> None:
        self._all.add(now_ms)
        self._hits.add(now_ms, float(hit))

    def count(self, now_ms: float) -> float:
        return self._all.value_at(now_ms)

    def share(self, now_ms: float) -> float:
        count = self._all.value_at(now_ms)
        return self._hits.value_at(now_ms) / count if count > 0.0 else 0.0

    def lower_bound(self, now_ms: float) -> float:
        """The recent share less one standard error; 0 for fewer than `Signs.MIN_CALLS` events."""
        count, share = self._all.value_at(now_ms), self.share(now_ms)
        if count < Signs.MIN_CALLS:
            return 0.0
        return share - math.sqrt(share * (1.0 - share) / count)

    def update_usual(self, weight: float, now_ms: float) -> None:
        """Move the usual share towards the recent one."""
        if self.count(now_ms) >= Signs.MIN_CALLS:
            self.usual += weight * (self.share(now_ms) - self.usual)


class Signs:
    """Collects events, and evaluates the signs once per tick."""

    MIN_CALLS = 4.0  # fewer calls than this give no share
    SHORT_SPAN_TARGETS, LONG_MS = 2.5, 60_000.0  # short span, in latency targets; long span
    MIN_SHORT_MS, MAX_SHORT_MS = 500.0, 5_000.0  # limits of the short span
    TROUBLE_SHARE, EASE_SHARE = 0.25, 0.1  # shares of failed or late calls that start and end trouble
    USUAL_FACTOR = 1.5  # trouble also exceeds this many times the usual share
    SURGE_FACTOR = 1.5  # a tenant stirs above this many times its usual rate
    MIN_RISE = 3.0  # requests in the short span by which a rate must rise at least
    REPEAT_RISE = 0.2  # a tenant stirs if its share of retries is higher than usual by this
    # There is stirring if tenants with this share of the usual traffic stir: one loud tenant is no storm.
    MIN_STIRRING_SHARE = 1.0 / 3.0
    WEAK_SHARE = 0.1  # the tier is weak if a larger share of its ready servers is cold or just back
    LOST_SHARE = 0.5  # the tier is weak if a smaller share of the usual number of servers is ready
    # A flood exceeds the usual rate of connections by this factor and count.
    FLOOD_FACTOR, MIN_FLOOD_RISE = 4.0, 30.0

    def __init__(self, classes: Sequence[RequestClass], tenants: int) -> None:
        aim = min(cls.aim_ms for cls in classes)
        short = self.short_ms = max(self.MIN_SHORT_MS, min(self.MAX_SHORT_MS, self.SHORT_SPAN_TARGETS * aim))
        # The last rate and share are for all tenants that the settings do not name.
        self._rates = [Rate(short, self.LONG_MS) for _ in range(tenants + 1)]
        self._repeats = [EventShare(short) for _ in range(tenants + 1)]
        self.calls = EventShare(short)  # share that failed or was late
        self.connections = Rate(short, self.LONG_MS)
        self.good = Rate(short, self.LONG_MS)
        self.ready = 0
        self.cold = 0
        self._most_ready = 0.0
        self.troubled = self.stirring = self.weak = self.flooded = False

    def _tenant_index(self, tenant: int) -> int:
        return tenant if 0 <= tenant < len(self._rates) - 1 else -1

    def arrived(self, now_ms: float, tenant: int, again: bool) -> None:
        at = self._tenant_index(tenant)
        self._rates[at].add(now_ms)
        self._repeats[at].add(now_ms, again)

    def call_ended(self, now_ms: float, good: bool) -> None:
        self.calls.add(now_ms, not good)
        if good:
            self.good.add(now_ms)

    def listed(self, ready: int, cold: int) -> None:
        """Record the list of discovery: how many servers take requests, and how many of them are cold."""
        self.ready, self.cold = ready, cold
        self._most_ready = max(self._most_ready, float(ready))

    def arrivals_per_s(self, now_ms: float) -> float:
        return sum(rate.recent.per_s(now_ms) for rate in self._rates)

    def usual_share(self, now_ms: float, beyond: float) -> float:
        """`beyond` times the usual rate of arrivals, as a share of the recent rate; at most 1, and 1 if unknown."""
        recent = self.arrivals_per_s(now_ms)
        usual = beyond * sum(rate.usual_per_s(now_ms) for rate in self._rates)
        return min(1.0, usual / recent) if usual > 0.0 and recent > 0.0 else 1.0

    def evaluate(self, now_ms: float, since_ms: float, is_calm: bool) -> None:
        """Evaluate the signs, `since_ms` after the last time. Usual shares are updated only while `is_calm`."""
        weight = 1.0 - math.exp(-since_ms / self.LONG_MS)
        share = self.calls.share(now_ms)
        lower_bound = self.calls.lower_bound(now_ms)
        usual = self.calls.usual
        if self.troubled:
            self.troubled = share > max(self.EASE_SHARE, self.USUAL_FACTOR * usual)
        else:
            self.troubled = lower_bound > max(self.TROUBLE_SHARE, self.USUAL_FACTOR * usual + self.EASE_SHARE)
        if self.ready == 0 and self._most_ready > 0.0:
            self.troubled = True  # no calls end that could show it
        usual_rate = stirring_rate = 0.0
        for rate, again in zip(self._rates, self._repeats, strict=True):
            usually = rate.usual_per_s(now_ms)
            usual_rate += usually
            repeats_risen = again.lower_bound(now_ms) > again.usual + self.REPEAT_RISE
            if repeats_risen or rate.has_risen(now_ms, self.SURGE_FACTOR, self.MIN_RISE):
                stirring_rate += usually
        self.stirring = usual_rate > 0.0 and stirring_rate >= self.MIN_STIRRING_SHARE * usual_rate
        lost = self.ready < self.LOST_SHARE * self._most_ready
        self.weak = lost or self.cold > self.WEAK_SHARE * self.ready
        self.flooded = self.connections.has_risen(now_ms, self.FLOOD_FACTOR, self.MIN_FLOOD_RISE)
        if is_calm:
            self.calls.update_usual(weight, now_ms)
            for again in self._repeats:
                again.update_usual(weight, now_ms)
        # After a lasting reduction of the fleet, the missing servers no longer count as lost.
        self._most_ready += weight * min(0.0, self.ready - self._most_ready)


class StormStateMachine:
    """Maps signs to states, with hysteresis: a state is left later than it is entered."""

    DWELL_SPANS = 1.0  # short spans for which a sign must be gone
    QUIET_SPANS = 2.0  # short spans without a refusal that end a recovery

    def __init__(self) -> None:
        self.state = State.CALM
        self.since_ms = 0.0
        self._gone_ms = 0.0  # how long the signs that keep the state have been gone

    def step(self, now_ms: float, since_ms: float, signs: Signs, shedding: bool) -> bool:
        """Update the state, `since_ms` after the last step; whether it changed.

        `shedding`: a request was refused since the last step.
        """
        both = signs.troubled and (signs.stirring or signs.weak)
        some = signs.troubled or signs.flooded or (signs.stirring and signs.weak)
        before = self.state
        if both and before is not State.STORM:
            self._move(State.STORM, now_ms)
        elif before is State.CALM:
            if some:
                self._move(State.BUILDING, now_ms)
        elif before is State.BUILDING:
            if self._count_gone(not some, since_ms) > self.DWELL_SPANS * signs.short_ms:
                self._move(State.CALM, now_ms)
        elif before is State.STORM:
            if self._count_gone(not signs.troubled, since_ms) > self.DWELL_SPANS * signs.short_ms:
                self._move(State.RECOVERING, now_ms)
        # Traffic that has grown for good shows as stirring for a while, so recovery ends once all of it is admitted.
        elif (
            self._count_gone(not signs.troubled and not shedding, since_ms)
            > self.QUIET_SPANS * signs.short_ms
        ):
            self._move(State.CALM, now_ms)
        return self.state is not before

    def _count_gone(self, gone: bool, since_ms: float) -> float:
        self._gone_ms = self._gone_ms + since_ms if gone else 0.0
        return self._gone_ms

    def _move(self, state: State, now_ms: float) -> None:
        self.state, self.since_ms, self._gone_ms = state, now_ms, 0.0
