"""Copies of a balancer on the simulated network, with the real rules of owners, duties, routes and trials,
and the peers' send budget. Requests are drawn, not sent."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random

from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import AcceptorOutput, AcceptorState
from larkweir_owners.duty_manager import DutyManager
from larkweir_owners.lease_timing import LeaseTiming, Phase
from larkweir_owners.messages import Record, ReplicaSet
from larkweir_peers.fragmentation import split_item
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.rate_limiter import TokenBucket
from larkweir_peers.sender import DatagramSender
from larkweir_simulated import Event, Network

from larkweir.config.options import Route
from larkweir.coordination.duties.messages import decode_report, encode_report
from larkweir.coordination.duties.ports import FleetTask
from larkweir.coordination.duties.ramps import Ramps
from larkweir.coordination.duties.verdicts import Verdicts
from larkweir.coordination.owners import STEP_MS
from larkweir.routes.router import Router
from larkweir.routes.trial import Trial

ROUTE = "lookups"
OWNERS, REPORTS = b"\1", b"\4"


class Copy:
    """One balancer, as far as its routes and duties go. Its keeper's disk outlives it."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.disk: AcceptorState | None = None
        self.owners: DutyManager | None = None
        self.works: dict[str, FleetTask] = {}
        self.router = Router({ROUTE: fleet.route}, {}, {}, 0.0)
        self.lines: list[str] = []
        self.refused = 0
        self.sent = 0  # datagrams
        self._timer: Event | None = None

    def start(self) -> None:
        fleet, network = self.fleet, self.fleet.network
        self.router = Router({ROUTE: fleet.route}, {}, {}, network.now_ms)
        network.listen(self.name, self._came)
        if not fleet.keepers.names:
            return
        keeper = None
        if self.name in fleet.keepers.names:
            self.disk = self.disk or AcceptorState(fleet.rng.getrandbits(31), fleet.keepers)
            keeper = Acceptor(self.name, self.disk.copy())
        life = fleet.rng.getrandbits(31)
        config = ProtocolConfig()
        self._bucket = TokenBucket(config.datagrams_per_s, config.burst_datagrams, network.now_ms)
        self._left = config.burst_datagrams * DatagramSender.MEMBERSHIP_RESERVE_FRACTION
        works = self.duties(int(network.now_ms))
        self.works = {work.name: work for work in works}
        self.owners = DutyManager(
            self.name,
            life,
            fleet.keepers,
            works,
            self,
            fleet.rng.random,
            lambda names, most: fleet.rng.sample(list(names), min(most, len(names))),
            fleet.times,
            keeper,
        )
        self._flush_ms = network.now_ms
        self._timer = network.after(fleet.rng.random() * 50.0, self._tick, self.name)

    def duties(self, life: int) -> list[FleetTask]:
        return [Verdicts(life, lambda: self, self._woken), Ramps(life, lambda: self.router)]

    def kill(self) -> None:
        self.fleet.network.kill(self.name)
        self.owners, self.works = None, {}

    # Mail

    def post(self, to: str, item: bytes) -> bool:
        return self._send(to, OWNERS + item)

    def alive(self) -> list[str]:
        return self.fleet.alive

    def _send(self, to: str, data: bytes) -> bool:
        network = self.fleet.network
        pieces = len(split_item(data))
        if not self._bucket.try_acquire(pieces, self._left, network.now_ms):
            self.refused += 1
            return False
        self.fleet.datagrams += pieces
        self.sent += pieces
        if self.fleet.rng.random() >= (1.0 - self.fleet.lost) ** pieces:
            return True
        network.send(self.name, to, data)
        return True

    # `verdicts.Trying`

    def on_trial(self) -> Mapping[str, Trial]:
        return self.router.on_trial()

    def end_trial(self, key: str, why: str) -> None:
        line = self.router.end_trial(key, why)
        if line:
            self.lines.append(line)
            self.fleet.ended.setdefault(self.name, self.fleet.network.now_ms)

    # Turns

    def _came(self, source: str, data: bytes) -> None:
        if self.owners is None:
            return
        now = self.fleet.network.now_ms
        if data[:1] == OWNERS:
            self.owners.on_message(source, data[1:], now)
            self._after()
        else:
            report = decode_report(data[1:])
            assert report is not None
            for work in self.works.values():
                work.on_report(source, report, now)
            for name in self.owners.owned_duties:
                self.owners.wake(name, now)
            self._after()

    def _tick(self) -> None:
        owners = self.owners
        assert owners is not None
        now = self.fleet.network.now_ms
        for name, work in self.works.items():
            if now >= work.next_ms:
                for report in work.tick(now):
                    record = owners.replicator.records.get(name)
                    if record is None or not record.owner:
                        continue
                    if record.owner == self.name:
                        work.on_report(self.name, report, now)
                    else:
                        self._send(record.owner, REPORTS + encode_report(report))
                owners.wake(name, now)
        owners.tick(now)
        self._after()

    def _woken(self) -> None:
        if self.owners is not None:
            self._after()

    def _after(self) -> None:
        owners, network = self.owners, self.fleet.network
        assert owners is not None
        for step in owners.take_outputs():
            self._flush_ms = max(network.now_ms, self._flush_ms) + self.fleet.rng.uniform(0.2, 3.0)
            network.at(self._flush_ms, lambda step=step: self._flushed(step), self.name)  # type: ignore[misc]
        due = min(owners.next_ms, *(work.next_ms for work in self.works.values()))
        if self._timer is not None:
            self._timer.cancel()
        self._timer = network.at(max(due, network.now_ms + 1.0), self._tick, self.name)

    def _flushed(self, step: AcceptorOutput) -> None:
        assert self.owners is not None and self.disk is not None
        for entry in step.entries:
            self.disk.apply(entry)
        self.owners.on_flushed(step, self.fleet.network.now_ms)
        self._after()

    # Requests

    def request(self, bad: Callable[[bool], bool]) -> None:
        """One request, its answer at once; `bad`: whether it fails, by whether it is the canary's."""
        fleet = self.fleet
        now = fleet.network.now_ms
        choice = self.router.choose(ROUTE, b"%d" % fleet.rng.getrandbits(40), b"", True, now)
        canary = choice.assigned_pool != fleet.route.pool
        failed = bad(canary)
        fleet.answers[canary] += 1
        fleet.bads[canary] += failed
        if choice.trial is not None and choice.trial.record(
            choice.assigned_pool, fleet.route.pool, failed, 5.0, 0, choice.split_version
        ):
            fleet.ended.setdefault(self.name, now)

    @property
    def part(self) -> float:
        """Of the canary, now."""
        weights = self.router.weights(ROUTE, self.fleet.network.now_ms)
        return sum(value for name, value in weights.items() if name != self.fleet.route.pool)


class Fleet:
    """So many copies with one route. `keepers` 0: each alone."""

    def __init__(self, seed: int, copies: int, route: Route, keepers: int = 3, lost: float = 0.01) -> None:
        self.network = Network(seed)
        self.rng = Random(seed + 1)
        self.lost = lost
        self.route = route
        self.times = LeaseTiming(step_ms=STEP_MS)
        names = [f"10.0.{n // 250}.{n % 250}:7946" for n in range(copies)]
        self.alive = list(names)
        self.keepers = ReplicaSet(1, tuple(names[:keepers]))
        self.datagrams = 0
        self.answers, self.bads = [0, 0], [0, 0]  # control's, canary's
        self.ended: dict[str, float] = {}  # when each copy's part was over
        self.copies = {name: self.make(name) for name in names}
        for copy in self.copies.values():
            copy.start()

    def make(self, name: str) -> Copy:
        return Copy(self, name)

    def run(self, ms: float) -> None:
        self.network.run(self.network.now_ms + ms)

    def load(self, per_s: float, bad: Callable[[bool], bool]) -> None:
        """Requests at every copy from now on, at random times (Poisson)."""

        def again(copy: Copy) -> None:
            copy.request(bad)
            self.network.after(self.rng.expovariate(per_s / 1000.0), lambda: again(copy), copy.name)

        for copy in self.copies.values():
            self.network.after(self.rng.expovariate(per_s / 1000.0), lambda copy=copy: again(copy), copy.name)  # type: ignore[misc]

    def owner(self, duty: str) -> Copy | None:
        for copy in self.copies.values():
            if copy.owners is not None and copy.owners.leaderships[duty].phase is Phase.OWNER:
                return copy
        return None

    def record(self, duty: str) -> Record | None:
        """The newest that any keeper has on its disk: it may not count yet."""
        slots = [c.disk.slots.get(duty) for c in self.copies.values() if c.disk is not None]
        found = [slot.record for slot in slots if slot is not None and slot.record is not None]
        return max(found, key=lambda record: record.version, default=None)

    def kill(self, copy: Copy, seen_after_ms: float = 1500.0) -> None:
        copy.kill()

        def gone() -> None:
            if copy.owners is None:
                self.alive = [name for name in self.alive if name != copy.name]

        self.network.after(seen_after_ms, gone)

    def start(self, copy: Copy) -> None:
        """Again, with its disk; the others see it at once."""
        copy.start()
        self.alive = sorted({*self.alive, copy.name})
