"""What lies between machines: latency, bandwidth, loss, cuts of one way or both, by seed and by fault."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random


@dataclass
class Ways:
    """Figures of every way between two machines. A machine reaches itself at once."""

    latency_s: float = 0.000_3
    jitter_s: float = 0.000_4
    bytes_per_s: float = 50e6
    loss: float = 0.0  # of datagrams
    double: float = 0.0
    late: float = 0.0  # of datagrams, that are held back
    late_s: float = 0.2


class Air:
    """The ways, and which of them are cut now."""

    def __init__(self, rng: Random, ways: Ways | None = None) -> None:
        self.ways = ways or Ways()
        self._rng = rng
        self._cuts: dict[tuple[str, str], int] = {}
        self._slow: dict[str, float] = {}  # machines whose ways take so much longer, in seconds
        self._late: dict[
            str, float
        ] = {}  # machines whose connections come up later, by up to so many seconds

    def cut(self, source: str, to: str) -> None:
        self._cuts[source, to] = self._cuts.get((source, to), 0) + 1

    def heal(self, source: str, to: str) -> None:
        left = self._cuts.get((source, to), 0) - 1
        if left > 0:
            self._cuts[source, to] = left
        else:
            self._cuts.pop((source, to), None)

    def slow(self, machine: str, extra_s: float) -> None:
        self._slow[machine] = extra_s

    def late_handshakes(self, machine: str, most_s: float) -> None:
        self._late[machine] = most_s

    def handshake_s(self, machine: str) -> float:
        """How much later than its packets a connection to a machine comes up."""
        most_s = self._late.get(machine, 0.0)
        return most_s * (0.2 + 0.8 * self._rng.random()) if most_s else 0.0

    def passes(self, source: str, to: str) -> bool:
        return source == to or (source, to) not in self._cuts

    def takes_s(self, source: str, to: str, size: int) -> float:
        """How long so many bytes are on their way."""
        ways = self.ways
        if source == to:
            return 0.000_02 + 0.000_02 * self._rng.random()
        extra = self._slow.get(source, 0.0) + self._slow.get(to, 0.0)
        return ways.latency_s + ways.jitter_s * self._rng.random() + size / ways.bytes_per_s + extra

    def fates_s(self, source: str, to: str, size: int) -> list[float]:
        """A datagram's: after how many seconds it comes, each time that it does."""
        ways, dice = self.ways, self._rng.random
        if not self.passes(source, to) or dice() < ways.loss:
            return []
        times = 2 if dice() < ways.double else 1
        return [
            self.takes_s(source, to, size) + (ways.late_s * dice() if dice() < ways.late else 0.0)
            for _ in range(times)
        ]
