"""Other ways to hold the window, as their authors publish them, for comparison in `standins/tier.py`.

Each is the real `ConcurrencyLimiter` with another way to steer a window that counts calls; who waits for a place, and
how long, is the same for all. Sources: Netflix concurrency-limits (VegasLimit, Gradient2Limit, AIMDLimit), Envoy's
adaptive concurrency filter, BBR (Cardwell et al., ACM Queue 2016) with calls for packets.
"""

from __future__ import annotations

import math
from collections import deque
from collections.abc import Callable
from random import Random

from larkweir_balancing.concurrency_limiter import ConcurrencyLimiter
from larkweir_balancing.interface import Outcome, Settings


class Other(ConcurrencyLimiter):
    """A window that always counts. `steer` is told of each end: whether it was served, and after how long."""

    now_ms: Callable[[], float]  # the world's; larkweir's own needs no time
    FIRST = 20.0  # what these start from, where their authors name a figure

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.min_hard_limit, self.is_doubling = 1.0, False

    def open(self, ready: int, copies: int) -> None:
        if not self.opened and ready:
            self.opened, self.window = True, self.FIRST
            self._servers = ready

    def _steer_hard_limit(
        self, at: int, outcome: Outcome, spent_ms: float, out: int, mark: int, tries: int
    ) -> None:
        if outcome is not Outcome.ERROR and not (outcome is Outcome.FULL and tries < 2):
            self.steer(self.now_ms(), outcome is Outcome.OK, spent_ms, out)
        self.window = min(max(self.window, 1.0), self.MAX_WINDOW)

    def steer(self, now_ms: float, served: bool, spent_ms: float, out: int) -> None:
        raise NotImplementedError


class Before(ConcurrencyLimiter):
    """A step with every answer towards three times the latency at low load: the rule of 0.2.0."""

    MIN_TOLERANCE_FRACTION = 0.0

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self.min_hard_limit = math.inf


class Fixed(Other):
    """Four calls a server."""

    def open(self, ready: int, copies: int) -> None:
        super().open(ready, copies)
        self.window = 4.0 * ready

    def steer(self, now_ms: float, served: bool, spent_ms: float, out: int) -> None:
        pass


class Aimd(Other):
    """One call more a round trip, a tenth fewer with a drop, at most once a round trip."""

    _cut_ms = 0.0

    def steer(self, now_ms: float, served: bool, spent_ms: float, out: int) -> None:
        if not served:
            if now_ms - self._cut_ms > max(self.mean):
                self.window *= 0.9
                self._cut_ms = now_ms
        elif 2.0 * (out + 1) >= self.window:
            self.window += 1.0 / self.window


class Vegas(Other):
    """Calls queued, by the least time seen, between 3 and 6 times the logarithm of the window."""

    PROBE = 30  # windows' worth of answers until the least time is learned anew
    _least = math.inf
    _answers = 0.0

    def steer(self, now_ms: float, served: bool, spent_ms: float, out: int) -> None:
        log = max(1.0, math.log10(self.window))
        if not served:
            self.window -= log
            return
        self._answers += 1.0
        if self._answers > self.PROBE * self.window:
            self._answers, self._least = 0.0, spent_ms
        self._least = max(0.01, min(self._least, spent_ms))
        if 2.0 * (out + 1) < self.window:
            return
        queued = math.ceil(self.window * (1.0 - self._least / max(spent_ms, 0.01)))
        if queued <= log:
            self.window += 6.0 * log
        elif queued < 3.0 * log:
            self.window += log
        elif queued > 6.0 * log:
            self.window -= log


class Gradient2(Other):
    """The ratio of a long and a short mean of the time, with a tolerance of 1.5 and a queue of 4."""

    TOLERANCE_2, QUEUE, SMOOTHING, LONG = 1.5, 4.0, 0.2, 600
    _long = 0.0
    _sum, _count_, _filled = 0.0, 0, False

    def steer(self, now_ms: float, served: bool, spent_ms: float, out: int) -> None:
        self._sum += spent_ms
        self._count_ += 1
        self._filled = self._filled or 2.0 * (out + 1) >= self.window
        if self._count_ < 10:
            return
        short = max(0.01, self._sum / self._count_)
        filled = self._filled
        self._sum, self._count_, self._filled = 0.0, 0, False
        self._long = self._long + (short - self._long) * 10.0 / self.LONG if self._long else short
        if self._long / short > 2.0:
            self._long *= 0.95
        if filled:
            gradient = max(0.5, min(1.0, self.TOLERANCE_2 * self._long / short))
            wanted = self.window * gradient + self.QUEUE
            self.window += self.SMOOTHING * (wanted - self.window)


class Envoy(Other):
    """A gradient against the least time, which is measured with 3 calls out, every 60 s for 50 answers."""

    FIRST = 3.0
    EVERY_MS, ANSWERS, BUFFER, SAMPLE_MS = 60_000.0, 50, 0.25, 100.0
    _least = 0.0
    _measured_ms = -math.inf
    _kept = 3.0

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self._samples: list[float] = []
        self._since_ms = 0.0
        self._measuring = True

    def steer(self, now_ms: float, served: bool, spent_ms: float, out: int) -> None:
        self._samples.append(spent_ms)
        if self._measuring:
            if len(self._samples) >= self.ANSWERS:
                self._least = max(0.01, sorted(self._samples)[int(0.9 * len(self._samples))])
                self._measuring, self._measured_ms, self.window = False, now_ms, self._kept
                self._samples, self._since_ms = [], now_ms
            return
        if now_ms - self._measured_ms > self.EVERY_MS:
            self._measuring, self._kept, self.window, self._samples = True, self.window, 3.0, []
        elif now_ms - self._since_ms > self.SAMPLE_MS and len(self._samples) >= 5:
            sample = max(0.01, sorted(self._samples)[int(0.9 * len(self._samples))])
            gradient = max(0.5, min(2.0, self._least * (1.0 + self.BUFFER) / sample))
            self.window = self.window * gradient + math.sqrt(self.window)
            self._samples, self._since_ms = [], now_ms


class Bbr(Other):
    """What was delivered at most in ten rounds, times the least time seen in ten seconds, and a quarter more."""

    GAIN_2, ROUNDS, LEAST_MS = 1.25, 10, 10_000.0

    def __init__(self, settings: Settings, rng: Random) -> None:
        super().__init__(settings, rng)
        self._rates: deque[float] = deque(maxlen=self.ROUNDS)
        self._least, self._least_ms, self._next_least = math.inf, 0.0, math.inf
        self._served = 0
        self._round_ms = -1.0

    def steer(self, now_ms: float, served: bool, spent_ms: float, out: int) -> None:
        if served:
            self._served += 1
            self._next_least = min(self._next_least, max(0.01, spent_ms))
            self._least = min(self._least, self._next_least)
        if now_ms - self._least_ms > self.LEAST_MS:
            self._least, self._next_least, self._least_ms = self._next_least, math.inf, now_ms
        if self._round_ms < 0.0:
            self._round_ms, self._served = now_ms, 0
        elif self._served >= 8 and now_ms - self._round_ms >= min(self._least, 1_000.0):
            if 2.0 * (out + 1) >= self.window or len(self._rates) == 0:
                self._rates.append(self._served / (now_ms - self._round_ms))
                self.window = max(4.0, self.GAIN_2 * max(self._rates) * self._least)
            self._round_ms, self._served = now_ms, 0


Way = Callable[[Settings, Random], ConcurrencyLimiter]


def ours(**constants: float) -> Way:
    """The real one with other constants."""

    def make(settings: Settings, rng: Random) -> ConcurrencyLimiter:
        kind = type("Altered", (ConcurrencyLimiter,), constants)
        made = kind(settings, rng)
        assert isinstance(made, ConcurrencyLimiter)
        return made

    return make


WAYS: dict[str, Way] = {
    "larkweir": ConcurrencyLimiter,
    "before": Before,
    "fixed 4": Fixed,
    "AIMD": Aimd,
    "Vegas": Vegas,
    "Gradient2": Gradient2,
    "Envoy": Envoy,
    "BBR": Bbr,
}
# The real one with a part of it out.
PARTS: dict[str, Way] = {
    "no least tolerance": ours(LEAST=0.0),
    "no fair gain": ours(FAIR=0.0),
    "no lesser leap": ours(LEAP=math.inf),
    "no ceiling": ours(LIFT=math.inf),
    "no closing in vain": ours(FRUITLESS=math.inf),
    "wide tolerance": ours(COUNTED_TOLERANCE=2.0, COUNTED_TARGET=0.5),
}
