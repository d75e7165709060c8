"""A balancer that has just started, has little traffic and sees only cold servers must not refuse all requests."""

from __future__ import annotations

from heapq import heappop, heappush
from itertools import count, pairwise
from random import Random

import pytest
from larkweir_balancing import Balancer, Settings
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    Effect,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Outcome,
    Refuse,
    RequestArrived,
    RequestClass,
    Send,
    ServerEntry,
    SetTimer,
    TimerFired,
)

START_MS = 1_000_000.0
DURATION_MS = 20_000.0
# A run fails if no attempt is sent for this time, while at least this many requests are refused.
MAX_PAUSE_MS, MIN_REFUSED = 4_000.0, 15
SETTINGS = Settings(
    classes=(RequestClass(400.0, 900.0, Effect.SAFE), RequestClass(1500.0, 4000.0, Effect.SAFE)),
    balancer_count=200,
    max_attempts=4,
    cold_share=0.3,
    cold_ms=9_000.0,
    fall_multiple=3.0,
    fall_ms=1_000.0,
)


class FirstSeconds:
    """Simulates the first seconds of one balancer; servers answer after 60 ms on average."""

    def __init__(self, seed: int, rate: float, known: int, cold: int) -> None:
        """`rate`: requests per second. The cached list has `known` servers, the first full list has `cold` new ones."""
        self._rng = Random(seed)
        self._balancer = Balancer(SETTINGS, seed)
        self._heap: list[tuple[float, int, Event]] = []
        self._serial = count()
        self._attempt_counts: dict[int, int] = {}
        self.sent: list[float] = []
        self.refused: list[float] = []
        self._handle(START_MS, ListUpdate(ListKind.CACHED, 1, [ServerEntry(n) for n in range(known)]))
        new = [ServerEntry(known + n, started_ms=START_MS) for n in range(cold)]
        self._handle(START_MS, ListUpdate(ListKind.FULL, 2, new))
        self._run(rate)

    def _run(self, rate: float) -> None:
        now = START_MS
        for number in range(1, int(rate * DURATION_MS / 1_000.0) + 1):
            now += self._rng.expovariate(rate) * 1_000.0
            self._schedule(now, RequestArrived(number, number % 2, 900.0))
        while self._heap and self._heap[0][0] < START_MS + DURATION_MS:
            now, _, event = heappop(self._heap)
            self._handle(now, event)

    def _schedule(self, at_ms: float, event: Event) -> None:
        heappush(self._heap, (at_ms, next(self._serial), event))

    def _handle(self, now: float, event: Event) -> None:
        for action in self._balancer.handle(now, event):
            self._apply(now, action)

    def _apply(self, now: float, action: Action) -> None:
        if isinstance(action, Send):
            self.sent.append(now)
            attempt = self._attempt_counts.get(action.request, 0)
            self._attempt_counts[action.request] = attempt + 1
            took = 60.0 * self._rng.expovariate(1.0)
            end = AttemptEnded(action.request, attempt, action.server, Outcome.OK, True, took)
            self._schedule(now + took, end)
        elif isinstance(action, SetTimer):
            self._schedule(now + action.delay_ms, TimerFired(action.cookie))
        elif isinstance(action, Refuse | Fail):
            self.refused.append(now)

    def refused_everything(self) -> bool:
        """Whether all requests were refused for too long."""
        edges = [START_MS, *self.sent, START_MS + DURATION_MS]
        return any(
            end - begin >= MAX_PAUSE_MS and sum(begin <= at < end for at in self.refused) >= MIN_REFUSED
            for begin, end in pairwise(edges)
        )


@pytest.mark.parametrize("rate", [2.0, 4.0, 10.0])
@pytest.mark.parametrize(("known", "cold"), [(0, 3), (40, 40), (100, 50), (4, 1)])
def test_a_new_balancer_with_only_cold_servers_does_not_refuse_everything(
    rate: float, known: int, cold: int
) -> None:
    runs = [FirstSeconds(seed, rate, known, cold) for seed in range(16)]
    assert not any(run.refused_everything() for run in runs)
    assert all(run.sent for run in runs)
