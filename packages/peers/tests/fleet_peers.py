"""Runs the protocol of many processes on a simulated network. The seed determines the whole run."""

from __future__ import annotations

from random import Random

from larkweir_peers.membership import MemberEvent
from larkweir_peers.messages import MAX_DATAGRAM_BYTES, MemberState
from larkweir_peers.protocol import Item, PeerProtocol
from larkweir_simulated.network import Network

NAMES = [f"127.0.0.{n}:7946" for n in range(1, 31)]


KEYS = (b"sixteen letters!",)


CLOCK_ORIGIN_MS = 1_000_000  # the process start time at simulated time 0


DELAY_RANGE_MS = (1.0, 10.0)


class Fleet:
    """Processes on a simulated network. Delivers datagrams, runs timers, and records all events and items."""

    def __init__(
        self, seed: int, loss_rate: float = 0.0, duplicate_rate: float = 0.0, names: list[str] = NAMES
    ) -> None:
        self.net = Network(seed, delay_ms=DELAY_RANGE_MS, loss_rate=loss_rate, duplicate_rate=duplicate_rate)
        self.names = names
        self.processes: dict[str, PeerProtocol] = {}
        self.events: list[tuple[str, MemberEvent]] = []  # observer, event
        self.items: list[tuple[str, Item]] = []
        self.slow: dict[str, float] = {}  # milliseconds by which a slow process delays each received datagram
        self._timers: dict[str, object] = {}
        for name in names:
            self.start(name)

    def start(self, name: str, clock_ms: float = 0.0) -> PeerProtocol:
        """Start a process. `clock_ms` is the offset of its clock."""
        net, now = self.net, self.net.now_ms
        process_start_ms = int(CLOCK_ORIGIN_MS + now + clock_ms)
        process = self.processes[name] = PeerProtocol(
            name, self.names, Random(net.rng.random()), now, process_start_ms, KEYS
        )

        def on_datagram(source: str, data: bytes) -> None:
            if name in self.slow:
                net.after(self.slow[name], lambda: handle(source, data), name)
            else:
                handle(source, data)

        def handle(source: str, data: bytes) -> None:
            process.on_datagram(source, data, net.now_ms)
            self._drain(name)

        net.listen(name, on_datagram)
        self._drain(name)
        return process

    def _drain(self, name: str) -> None:
        process, net = self.processes[name], self.net
        while process.datagrams:
            to, data = process.datagrams.popleft()
            assert len(data) <= MAX_DATAGRAM_BYTES
            net.send(name, to, data)
        while process.items:
            self.items.append((name, process.items.popleft()))
        while process.membership.events:
            self.events.append((name, process.membership.events.popleft()))
        timer = self._timers.get(name)
        if timer is not None:
            timer.cancel()  # type: ignore[attr-defined]
        self._timers[name] = net.at(process.next_ms, lambda: self._tick(name), name)

    def _tick(self, name: str) -> None:
        self.processes[name].tick(self.net.now_ms)
        assert self.processes[name].next_ms > self.net.now_ms  # otherwise the timer would loop endlessly
        self._drain(name)

    def post(self, source: str, to: str, item: bytes) -> bool:
        done = self.processes[source].post(to, 1, item, self.net.now_ms)
        self._drain(source)
        return done

    def kill(self, *names: str) -> None:
        for name in names:
            self.net.kill(name)
            del self.processes[name]

    def run(self, ms: float) -> None:
        self.net.run(self.net.now_ms + ms)

    def reported(self, state: MemberState, of: str, since_ms: float = 0.0) -> dict[str, float]:
        """When each observer first saw the state `state` of the member `of`, in milliseconds after `since_ms`."""
        found: dict[str, float] = {}
        for observer, event in self.events:
            if event.state is state and event.name == of and event.at_ms >= since_ms:
                found.setdefault(observer, event.at_ms - since_ms)
        return found

    def wrong_reports(self, state: MemberState, except_for: set[str]) -> set[tuple[str, str]]:
        return {
            (observer, event.name)
            for observer, event in self.events
            if event.state is state and event.name not in except_for
        }

    def has_one_view(self, dead: set[str] = frozenset()) -> bool:  # type: ignore[assignment]
        """Whether each running process considers exactly the members outside `dead` alive."""
        return all(
            set(process.alive()) == set(self.names) - {name} - dead
            for name, process in self.processes.items()
        )
