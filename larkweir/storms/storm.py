"""Combines signs, state, admission and advice: takes events and returns decisions.

The owner calls `arrive` for each request that could be admitted, then `decide` with the limiter's verdict, `sent` for
its first attempt, `call_ended` for each attempt, `advised_wait_ms` for each refusal, `listed` for each server list and
`connected` for each connection of a caller. `listed`, `connected`, `call_ended` and `arrive` also advance the state;
`tick` does so when no event arrives. In the state CALM a request costs a handful of additions, and `decide` returns
the limiter's verdict.

This module does no input or output and reads no clock. Times are milliseconds.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import NamedTuple, Protocol

from larkweir_balancing.interface import Outcome, Settings

from larkweir.storms.admission_swap import AdmissionSwap, RecoveryWindow
from larkweir.storms.advice import Advice
from larkweir.storms.shares import Kind, Shares
from larkweir.storms.signs import DecayedSum, Signs, State, StormStateMachine

# Outcomes that say nothing about the state of the tier.
UNINFORMATIVE_OUTCOMES = frozenset((Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED))


class Window(Protocol):
    """The window of calls in flight of the concurrency limiter."""

    window: float


class Counts(NamedTuple):
    """The counts that operators see."""

    state: State
    sent_per_s: float
    turned_away: int  # refused here in place of others, though the limiter admitted them
    let_in: int  # admitted here in their place, though the limiter refused them
    storms: int
    ignoring: int  # requests that returned earlier than advised
    kept_word: int  # requests that returned as advised


class Storm:
    """The storm handling of one balancer."""

    USUAL_FACTOR = 1.25  # times the usual rate, which a busy hour may reach
    TICK_TARGET_SHARE = 0.5  # tick interval, as a share of the tightest latency target
    MIN_TICK_MS, MAX_TICK_MS = 50.0, 500.0

    def __init__(
        self,
        settings: Settings,
        seed: int,
        log: Callable[[str], None] = lambda line: None,
        sets: int = 1024,
    ) -> None:
        """`sets` is the number of sets in the table of clients, with four clients each."""
        rng = Random(seed)
        self._window: Window | None = None
        self._log = log
        self._rng = rng
        self.state_machine = StormStateMachine()
        self._apply(settings)
        self.advice = Advice(
            settings.max_retry_after_ms if settings.retry_advice or settings.max_retry_after_ms else 0.0,
            self._aim_ms,
            rng.randbytes(16),
            sets,
        )
        self.signs = Signs(settings.classes, len(settings.tenants))
        self.swap = AdmissionSwap()
        self._recovery_window = RecoveryWindow()
        self.shares = Shares([cls.worth for cls in settings.classes], self._tenant_shares(settings), rng)
        self._ticked_ms = -math.inf
        # Usual rate of arrivals as a share of the present one: cold servers get a share of that.
        self.usual_share = 1.0
        self.has_refused = False  # the balancer has refused a request since the last tick
        self._sent = DecayedSum(max(self._aim_ms, 250.0))
        # Admitted requests whose clients were not asked to return.
        self._unscheduled = DecayedSum(self.signs.short_ms)
        self._in_flight_sum = self._in_flight_count = (
            0  # calls in flight at each new call since the last tick
        )
        self._kind, self._steps = Kind.FIRST, 0  # of the request that arrived last
        self.turned_away = self.storms = self.ignoring = self.kept_word = 0

    def set_window(self, window: Window) -> None:
        """Set the window to adjust when servers return. Never called in a tier that refuses nobody."""
        self._window = window

    def _apply(self, settings: Settings) -> None:
        self.settings = settings
        self._aim_ms = min(cls.aim_ms for cls in settings.classes)
        self._tick_ms = max(self.MIN_TICK_MS, min(self.MAX_TICK_MS, self.TICK_TARGET_SHARE * self._aim_ms))

    @staticmethod
    def _tenant_shares(settings: Settings) -> list[float]:
        total = sum(tenant.quota_per_s for tenant in settings.tenants)
        if total <= 0.0:
            return [1.0 / max(1, len(settings.tenants)) for _ in settings.tenants]
        return [tenant.quota_per_s / total for tenant in settings.tenants]

    def configure(self, settings: Settings) -> None:
        """Apply new settings. If tenants or classes have changed, counts start anew; the state is kept."""
        old = self.settings
        self._apply(settings)
        self.advice.configure(settings.max_retry_after_ms, self._aim_ms)
        same = [t.name for t in old.tenants] == [t.name for t in settings.tenants]
        if not same or self._aim_ms != min(cls.aim_ms for cls in old.classes):
            ready, cold = self.signs.ready, self.signs.cold
            self.signs = Signs(settings.classes, len(settings.tenants))
            self.signs.listed(ready, cold)
        self.shares.configure([cls.worth for cls in settings.classes], self._tenant_shares(settings))

    # ------------------------------------------------ events

    def listed(self, now_ms: float, ready: int, cold: int, share: float) -> None:
        """Record a server list: how many take requests, how many of these are cold, and the fraction of their full
        capacity that the ready servers have together.
        """
        before = self.signs.ready
        self.signs.listed(ready, cold)
        if ready > before and self._window is not None and self.state_machine.state is not State.CALM:
            self._window.window = self._recovery_window.window_after_return(
                self._window.window, before, ready
            )
        self.tick(now_ms)

    def connected(self, now_ms: float) -> None:
        self.signs.connections.add(now_ms)
        self.tick(now_ms)

    def call_ended(self, now_ms: float, outcome: Outcome, spent_ms: float, cls: int) -> None:
        if outcome in UNINFORMATIVE_OUTCOMES:
            return
        good = outcome is Outcome.OK and spent_ms <= self.settings.classes[cls].aim_ms
        self.signs.call_ended(now_ms, good)
        self.tick(now_ms)

    def sent(self, now_ms: float, out: int) -> None:
        """Record the first attempt of a request, which brings the calls in flight to `out`."""
        self._sent.add(now_ms)
        self._in_flight_sum += out
        self._in_flight_count += 1

    def tick(self, now_ms: float) -> None:
        """Evaluate the signs if a tick is due."""
        since = now_ms - self._ticked_ms
        if since < self._tick_ms:
            return
        first = self._ticked_ms == -math.inf
        self._ticked_ms = now_ms
        if first:
            return
        since = min(since, self.signs.LONG_MS)
        state = self.state_machine.state
        self.signs.evaluate(now_ms, since, state is State.CALM)
        self.usual_share = 1.0 if state is State.CALM else self.signs.usual_share(now_ms, self.USUAL_FACTOR)
        out = self._in_flight_sum / self._in_flight_count if self._in_flight_count else 0.0
        self._in_flight_sum = self._in_flight_count = 0
        if state is not State.CALM:
            self.shares.tick(self._sent.per_s(now_ms), since / 1000.0)
        elif self._window is not None:
            self._recovery_window.observe_calm(since, out, self.signs.ready)
        has_refused, self.has_refused = self.has_refused, False
        if self.state_machine.step(now_ms, since, self.signs, has_refused):
            self._on_transition(now_ms, state)

    def _on_transition(self, now_ms: float, before: State) -> None:
        state = self.state_machine.state
        if before is State.CALM:
            self.shares.reset()
            self.swap.reset()
        if state is State.STORM:
            self.storms += 1
        signs = self.signs
        words = [name for name in ("troubled", "stirring", "weak", "flooded") if getattr(signs, name)]
        self._log(
            f"storm: {before.value} -> {state.value}: {' '.join(words) or 'no signs'}; failed or late calls"
            f" {signs.calls.share(now_ms):.0%} (usually {signs.calls.usual:.0%}),"
            f" {signs.arrivals_per_s(now_ms):.1f}/s arrive, {self._sent.per_s(now_ms):.1f}/s are sent,"
            f" upstreams {signs.ready - signs.cold}+{signs.cold} cold"
        )

    # ------------------------------------------------ decisions

    @property
    def state(self) -> State:
        return self.state_machine.state

    @property
    def may_override(self) -> bool:
        """Whether `decide` may differ from the limiter's verdict."""
        return self.state_machine.state in (State.STORM, State.RECOVERING)

    def arrive(self, now_ms: float, tenant: int, again: bool, client: int) -> None:
        """Record a request. `client` is 0 if no fingerprint was computed (`needs_fingerprints`)."""
        self._kind, self._steps = Kind.AGAIN if again else Kind.FIRST, 0
        known = self.advice.classify(now_ms, client) if client else None
        if known is not None:
            self._kind, self._steps = known
            if self._kind is Kind.IGNORING:
                self.ignoring += 1
            else:
                self.kept_word += 1
        self.signs.arrived(now_ms, tenant, again or known is not None)
        self.tick(now_ms)

    def decide(self, now_ms: float, cls: int, tenant: int, let_in: bool, swaps: bool = True) -> bool:
        """Whether to admit the request that arrived last, given the limiter's verdict `let_in`.

        Without `swaps`, whether the request is preferred.
        """
        if self.state_machine.state is State.CALM:
            return let_in
        preferred = self.shares.prefers(cls, self._kind, tenant)
        if not self.may_override:
            return let_in
        if not swaps:
            return preferred
        verdict = self.swap.decide(let_in, preferred, self._sent.per_s(now_ms))
        self.turned_away += let_in and not verdict
        if verdict and self._kind is not Kind.PROMISED:
            self._unscheduled.add(now_ms)
        return verdict

    def advised_wait_ms(self, now_ms: float, client: int, steps: int | None = None) -> float:
        """The wait to advise to a refused client; 0 for none."""
        if not client or not self.advice.max_wait_ms:
            return self.advice.max_wait_ms
        if steps is None:
            known = self.advice.classify(now_ms, client)
            steps = known[1] if known is not None else 0
        unscheduled = self._unscheduled.per_s(now_ms)
        bound = math.inf if self.state_machine.state is State.CALM else self._sent.per_s(now_ms)
        return self.advice.wait_ms(now_ms, client, steps, bound, unscheduled)

    def served(self, now_ms: float, client: int) -> None:
        if client:
            self.advice.clients.forget(now_ms, client)

    def needs_fingerprints(self, now_ms: float) -> bool:
        """Whether requests need a fingerprint now: a client was asked to return, or the state is not CALM."""
        return now_ms < self.advice.clients.last_expiry_ms or self.state_machine.state is not State.CALM

    def counts(self) -> Counts:
        return Counts(
            self.state,
            self._sent.per_s(self._ticked_ms) if self._ticked_ms > -math.inf else 0.0,
            self.turned_away,
            self.swap.loan_count,
            self.storms,
            self.ignoring,
            self.kept_word,
        )
