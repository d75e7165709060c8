"""The first seconds of a copy with little traffic, before servers that are all cold: it doesn't refuse all it gets."""

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
MAX_PAUSE_MS, MIN_REFUSED = (
    4_000.0,
    15,
)  # so long without an attempt, and so many turned away meanwhile: none may be like that
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
    """One copy's first seconds; servers answer after 60 ms in the mean."""

    def __init__(self, seed: int, rate: float, known: int, cold: int) -> None:
        """`rate`: requests a second. The servers that are known are all gone by the first list, which has cold ones."""
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
        """Whether it turned away all that it got for too long."""
        edges = [START_MS, *self.sent, START_MS + DURATION_MS]
        return any(
            end - begin >= MAX_PAUSE_MS and sum(begin <= at < end for at in self.refused) >= MIN_REFUSED
            for begin, end in pairwise(edges)
        )


@pytest.mark.parametrize("rate", [2.0, 4.0, 10.0])
@pytest.mark.parametrize(("known", "cold"), [(0, 3), (40, 40), (100, 50), (4, 1)])
def test_a_fresh_copy_before_cold_servers_alone_does_not_turn_all_away(
    rate: float, known: int, cold: int
) -> None:
    runs = [FirstSeconds(seed, rate, known, cold) for seed in range(16)]
    assert not any(run.refused_everything() for run in runs)
    assert all(run.sent for run in runs)
