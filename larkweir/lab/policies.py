"""Policies to compare larkweir with, written from their published descriptions. Pure logic.

Each sees what the real one could see: its own calls and answers and, where its description says so, what servers
report. (`queue_of` is answered at once: a probe that takes no time, in the policy's favour.) `jsq` sees all queues,
as no real policy can.
"""

from __future__ import annotations

import math
from collections.abc import Callable
from random import Random
from typing import Protocol


class View(Protocol):
    """What a policy may ask of the world."""

    def queue_of(self, server: int) -> int:
        """Calls in work and waiting at a server."""

    def latency_of(self, server: int) -> float:
        """Milliseconds that a call sent now would have taken of late, as the server itself sees it."""

    def speed_of(self, server: int) -> float:
        """Its weight, as a list would tell it."""


class Policy:
    """One balancer's policy. Servers are numbered from 0; `up` holds those that are listed."""

    def __init__(self, rng: Random, count: int, view: View) -> None:
        self.rng = rng
        self.view = view
        self.out = [0] * count  # own calls in flight, by server

    def choose(self, up: list[int], now: float) -> int:
        """The server for a call now, of those in `up` (never empty)."""
        raise NotImplementedError

    def sent(self, server: int, now: float) -> None:
        """A call was sent."""
        self.out[server] += 1

    def ended(self, server: int, now: float, good: bool, spent_ms: float) -> None:
        """A call has ended; `good`: with an answer that counts as served."""
        self.out[server] -= 1

    def idle(self, server: int) -> None:
        """A server has told this balancer that it has nothing to do (JIQ)."""


class Uniform(Policy):
    """A server drawn uniformly."""

    def choose(self, up: list[int], now: float) -> int:
        return self.rng.choice(up)


class RoundRobin(Policy):
    """Servers in turn, from a random first one."""

    at = -1

    def choose(self, up: list[int], now: float) -> int:
        if self.at < 0:
            self.at = self.rng.randrange(len(up))  # balancers must not go round in step
        self.at = (self.at + 1) % len(up)
        return up[self.at]


class LeastRequests(Policy):
    """Of all servers, the fewest own calls; ties are drawn."""

    def choose(self, up: list[int], now: float) -> int:
        least = min(self.out[server] for server in up)
        return self.rng.choice([server for server in up if self.out[server] == least])


class TwoChoices(Policy):
    """Of two drawn servers the one with fewer own calls (Mitzenmacher; Envoy's default least request)."""

    def choose(self, up: list[int], now: float) -> int:
        one, other = self.rng.choice(up), self.rng.choice(up)
        return one if self.out[one] <= self.out[other] else other


class Jsq(Policy):
    """The shortest queue of all, as if everybody's were seen."""

    def choose(self, up: list[int], now: float) -> int:
        queues = [self.view.queue_of(server) for server in up]
        least = min(queues)
        return self.rng.choice([server for server, queue in zip(up, queues, strict=True) if queue == least])


class Jsq2(Policy):
    """JSQ(2): the shorter of two true queues."""

    def choose(self, up: list[int], now: float) -> int:
        one, other = self.rng.choice(up), self.rng.choice(up)
        return one if self.view.queue_of(one) <= self.view.queue_of(other) else other


class Jiq(Policy):
    """Join-idle-queue (Lu et al.): servers that fall idle tell one balancer each; else at random."""

    def __init__(self, rng: Random, count: int, view: View) -> None:
        super().__init__(rng, count, view)
        self._idle: list[int] = []

    def idle(self, server: int) -> None:
        if server not in self._idle:
            self._idle.append(server)

    def choose(self, up: list[int], now: float) -> int:
        while self._idle:
            server = self._idle.pop()
            if server in up:
                return server
        return self.rng.choice(up)


class PeakEwma(Policy):
    """Finagle: of two drawn servers the lower cost, the peak-sensitive mean latency times own calls plus one. A rise
    counts at once, a fall over ten seconds.
    """

    DECAY_MS = 10_000.0

    def __init__(self, rng: Random, count: int, view: View) -> None:
        super().__init__(rng, count, view)
        self._cost = [0.0] * count
        self._stamp = [0.0] * count

    def ended(self, server: int, now: float, good: bool, spent_ms: float) -> None:
        super().ended(server, now, good, spent_ms)
        if spent_ms > self._cost[server]:
            self._cost[server] = spent_ms
        else:
            weight = math.exp(-(now - self._stamp[server]) / self.DECAY_MS)
            self._cost[server] = self._cost[server] * weight + spent_ms * (1.0 - weight)
        self._stamp[server] = now

    def _load(self, server: int) -> float:
        cost = self._cost[server]
        if not cost and self.out[server]:
            return math.inf  # its first answer is awaited
        return cost * (self.out[server] + 1)

    def choose(self, up: list[int], now: float) -> int:
        one, other = self.rng.choice(up), self.rng.choice(up)
        return one if self._load(one) <= self._load(other) else other


class WeightedLeast(Policy):
    """Envoy's weighted least request: drawn by weight over own calls plus one."""

    def choose(self, up: list[int], now: float) -> int:
        weights = [self.view.speed_of(server) / (self.out[server] + 1) for server in up]
        return self.rng.choices(up, weights)[0]


class Prequal(Policy):
    """Prequal (Wydrowski et al., NSDI 2024): a pool of 16 probes, three new ones a request; among those, hot by
    requests in flight above the quantile 0.84 of the pool, the cold one with the lowest latency, else the hot one
    with fewest in flight; each probe serves once or twice, and the oldest or worst goes in turn.
    """

    POOL, PROBES, HOT, AGE_MS = 16, 3, 0.84, 1_000.0

    def __init__(self, rng: Random, count: int, view: View) -> None:
        super().__init__(rng, count, view)
        self._pool: list[list[float]] = []  # server, in flight, latency, when, uses
        self._turn = False

    def choose(self, up: list[int], now: float) -> int:
        for _ in range(min(self.PROBES, len(up))):
            server = self.rng.choice(up)
            self._pool.append([server, self.view.queue_of(server), self.view.latency_of(server), now, 0])
        here = set(up)
        self._pool = [probe for probe in self._pool if now - probe[3] < self.AGE_MS and probe[0] in here]
        del self._pool[: max(0, len(self._pool) - self.POOL)]
        if len(self._pool) < 2:
            return self.rng.choice(up)
        flights = sorted(probe[1] for probe in self._pool)
        hot = flights[min(len(flights) - 1, int(self.HOT * len(flights)))]
        cold = [probe for probe in self._pool if probe[1] < hot]
        best = min(cold, key=lambda probe: probe[2]) if cold else min(self._pool, key=lambda probe: probe[1])
        best[1] += 1
        best[4] += 1
        if best[4] >= 2:
            self._pool.remove(best)
        elif len(self._pool) > 2:
            self._turn = not self._turn
            self._pool.remove(
                min(self._pool, key=lambda probe: probe[3])
                if self._turn
                else max(self._pool, key=lambda probe: (probe[1] >= hot, probe[2], probe[1]))
            )
        return int(best[0])


Make = Callable[[Random, int, View], Policy]
# None: the real decision module.
POLICIES: dict[str, Make | None] = {
    "larkweir": None,
    "random": Uniform,
    "round_robin": RoundRobin,
    "least_requests": LeastRequests,
    "two_choices": TwoChoices,
    "jsq": Jsq,
    "jsq2": Jsq2,
    "jiq": Jiq,
    "peak_ewma": PeakEwma,
    "weighted_least": WeightedLeast,
    "prequal": Prequal,
}
