"""A network and a clock reckoned from one seed; nothing real is touched."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random

Handler = Callable[[str, bytes], object]
"""What a listener is called with: who sent it, and the bytes."""


class Event:
    """Something that is to happen: a call (`fn`), or `data` from `source` that reaches `owner`."""

    __slots__ = ("data", "fn", "incarnation", "owner", "source")

    def __init__(
        self,
        owner: str,
        incarnation: int,
        fn: Callable[[], object] | None,
        source: str = "",
        data: bytes = b"",
    ) -> None:
        self.owner = owner
        self.incarnation = incarnation
        self.fn = fn
        self.source = source
        self.data = data

    def cancel(self) -> None:
        """It does not happen any more. Nothing if it has happened already."""
        self.incarnation = -1


class Network:
    """Processes by name, the datagrams between them, and their timers, in one order that the seed settles.

    Each datagram is late by `delay_ms` (least, most; drawn evenly, so that later ones overtake), is lost with the
    chance `lost`, and comes a second time, with a delay of its own, with the chance `doubled`. All three may be
    changed while it runs. What is due at the same time happens in the order in which it was asked for.
    """

    def __init__(
        self,
        seed: int,
        delay_ms: tuple[float, float] = (1.0, 10.0),
        loss_rate: float = 0.0,
        duplicate_rate: float = 0.0,
    ) -> None:
        self.now_ms = 0.0
        self.rng = Random(seed)
        self.delay_ms = delay_ms
        self.loss_rate = loss_rate
        self.duplicate_rate = duplicate_rate
        self.sent = 0  # datagrams handed to `send`, and their bytes
        self.sent_bytes = 0
        self.delivered = 0  # datagrams that reached a listener, copies too
        self._heap: list[tuple[float, int, Event]] = []
        self._scheduled_count = 0
        self._running = False
        self._handlers: dict[str, Handler] = {}
        self._incarnations: dict[str, int] = {}
        self._pending: dict[str, list[Event]] = {}  # of those that are stopped, in the order it became due
        self._cuts: set[tuple[str, str]] = set()
        self._groups: dict[str, int] | None = None

    # Time

    def at(self, when_ms: float, fn: Callable[[], object], owner: str = "") -> Event:
        """Calls `fn` at that time, or as soon as can be if it is past.

        A timer of an `owner` waits while that one is stopped and goes with it when it is killed; the one without an
        owner is the test's own.
        """
        event = Event(owner, self._incarnations.get(owner, 0), fn)
        self._schedule(max(when_ms, self.now_ms), event)
        return event

    def after(self, ms: float, fn: Callable[[], object], owner: str = "") -> Event:
        """As `at`, so many milliseconds from now."""
        return self.at(self.now_ms + ms, fn, owner)

    def run(self, until_ms: float, max_events: int = 10_000_000) -> int:
        """Lets all happen that is due up to and with that time; then it is that time. Gives how much happened.

        Raises RuntimeError past `max_events` (two that call each other without time going by never end), and when
        called by what it runs itself. What a handler raises passes through; the run can be gone on with.
        """
        if self._running:
            raise RuntimeError("run() was called by something that it runs")
        heap, incarnations, pending, handlers = self._heap, self._incarnations, self._pending, self._handlers
        event_count = 0
        self._running = True
        try:
            while heap and heap[0][0] <= until_ms:
                when_ms, _, event = heappop(heap)
                self.now_ms = when_ms
                owner = event.owner
                if event.incarnation != incarnations.get(owner, 0):
                    continue  # cancelled, or of a life that is over
                if event.fn is None and (self._cuts or self._groups) and self._is_cut(event.source, owner):
                    continue
                if owner in pending:
                    pending[owner].append(event)
                    continue
                if event_count >= max_events:
                    heappush(heap, (when_ms, -1, event))
                    raise RuntimeError(f"more than {max_events} things happened up to {when_ms} ms")
                event_count += 1
                if event.fn is not None:
                    event.fn()
                elif (handler := handlers.get(owner)) is not None:
                    self.delivered += 1
                    handler(event.source, event.data)
        finally:
            self._running = False
        self.now_ms = max(self.now_ms, until_ms)
        return event_count

    # Datagrams

    def listen(self, name: str, handler: Handler) -> None:
        """What is sent to `name` reaches `handler(source, data)`. Raises ValueError if somebody listens there."""
        if name in self._handlers:
            raise ValueError(f"{name} is listening already; kill() ends a life")
        self._handlers[name] = handler

    def send(self, source: str, to: str, data: bytes) -> None:
        """Sends a datagram; whether it comes, nobody is told. To oneself too it takes its time."""
        self.sent += 1
        self.sent_bytes += len(data)
        if (self._cuts or self._groups) and self._is_cut(source, to):
            return
        random = self.rng.random
        if self.loss_rate and random() < self.loss_rate:
            return
        least, most = self.delay_ms
        incarnation = self._incarnations.get(to, 0)
        self._schedule(
            self.now_ms + least + (most - least) * random(), Event(to, incarnation, None, source, data)
        )
        if self.duplicate_rate and random() < self.duplicate_rate:
            self._schedule(
                self.now_ms + least + (most - least) * random(), Event(to, incarnation, None, source, data)
            )

    # Faults

    def cut(self, a: str, b: str, both: bool = True) -> None:
        """Nothing passes from `a` to `b`, and back if `both`: neither what is sent now nor what arrives meanwhile."""
        self._cuts.add((a, b))
        if both:
            self._cuts.add((b, a))

    def split(self, groups: Iterable[Iterable[str]]) -> None:
        """Nothing passes from one group to another; names in none make up one more. Takes the former split's place."""
        self._groups = {name: number for number, group in enumerate(groups, 1) for name in group}

    def heal(self) -> None:
        """All cuts and the split are over."""
        self._cuts.clear()
        self._groups = None

    def pause(self, name: str) -> None:
        """As SIGSTOP: what is due at `name` or reaches it waits."""
        self._pending.setdefault(name, [])

    def resume(self, name: str) -> None:
        """As SIGCONT: what waited happens now, in the order in which it became due."""
        for event in self._pending.pop(name, ()):
            self._schedule(self.now_ms, event)

    def kill(self, name: str) -> None:
        """As SIGKILL: its timers and what is on its way to it are gone; what it sent still comes.

        A `listen` later is a new incarnation, which gets what is sent to the name from now on.
        """
        self._incarnations[name] = self._incarnations.get(name, 0) + 1
        self._handlers.pop(name, None)
        self._pending.pop(name, None)

    def _is_cut(self, source: str, to: str) -> bool:
        groups = self._groups
        if groups and groups.get(source, 0) != groups.get(to, 0):
            return True
        return (source, to) in self._cuts

    def _schedule(self, when_ms: float, event: Event) -> None:
        self._scheduled_count += 1
        heappush(self._heap, (when_ms, self._scheduled_count, event))
