"""A simulated network and clock, determined by one seed; no real socket, timer or clock is used."""

from __future__ import annotations

from collections.abc import Callable, Iterable
from heapq import heappop, heappush
from random import Random

Handler = Callable[[str, bytes], object]
"""Called with the name of the sender and the data of a datagram."""


class Event:
    """A scheduled event: a call of `fn` or, if that is None, the arrival of `data` from `source` at `owner`."""

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
        """Cancel the event; has no effect if it has already happened."""
        self.incarnation = -1


class Network:
    """Named processes, their timers and the datagrams between them; the seed determines the order of all events.

    Each datagram has a delay drawn uniformly from `delay_ms` (minimum, maximum), so datagrams may be reordered. It is
    lost with the probability `loss_rate`. With the probability `duplicate_rate` it arrives a second time, with a delay
    drawn separately. All three may be changed during a run. Events due at the same time happen in the order in which
    they were scheduled.
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
        self.sent = 0  # datagrams passed to `send`, lost ones included; `sent_bytes` is their total size
        self.sent_bytes = 0
        self.delivered = 0  # datagrams that reached a listener, duplicates included
        self._heap: list[tuple[float, int, Event]] = []
        self._scheduled_count = 0
        self._running = False
        self._handlers: dict[str, Handler] = {}
        self._incarnations: dict[str, int] = {}
        self._pending: dict[str, list[Event]] = {}  # by paused process, in the order they became due
        self._cuts: set[tuple[str, str]] = set()
        self._groups: dict[str, int] | None = None

    # Time

    def at(self, when_ms: float, fn: Callable[[], object], owner: str = "") -> Event:
        """Schedule a call of `fn` at `when_ms`, or immediately if that time is past.

        If `owner` names a process, the call waits while that process is paused and is dropped when it is killed. A call
        without an owner belongs to the test.
        """
        event = Event(owner, self._incarnations.get(owner, 0), fn)
        self._schedule(max(when_ms, self.now_ms), event)
        return event

    def after(self, ms: float, fn: Callable[[], object], owner: str = "") -> Event:
        """Schedule a call of `fn` in `ms` milliseconds; see `at`."""
        return self.at(self.now_ms + ms, fn, owner)

    def run(self, until_ms: float, max_events: int = 10_000_000) -> int:
        """Run all events due up to and including `until_ms`, set the clock to that time and return the event count.

        Raises RuntimeError if more than `max_events` events are due, as happens when events without delay schedule each
        other forever, and if called by an event. Exceptions of handlers are passed on; `run` can then be called again.
        """
        if self._running:
            raise RuntimeError("run() was called by an event that it is running")
        heap, incarnations, pending, handlers = self._heap, self._incarnations, self._pending, self._handlers
        event_count = 0
        self._running = True
        try:
            while heap and heap[0][0] <= until_ms:
                when_ms, _, event = heappop(heap)
                self.now_ms = when_ms
                owner = event.owner
                if event.incarnation != incarnations.get(owner, 0):
                    continue  # cancelled, or belongs to an earlier incarnation
                if event.fn is None and (self._cuts or self._groups) and self._is_cut(event.source, owner):
                    continue
                if owner in pending:
                    pending[owner].append(event)
                    continue
                if event_count >= max_events:
                    heappush(heap, (when_ms, -1, event))
                    raise RuntimeError(f"more than {max_events} events by {when_ms} ms")
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
        """Deliver datagrams for `name` to `handler(source, data)`. Raises ValueError if `name` already listens."""
        if name in self._handlers:
            raise ValueError(f"{name} is already listening; kill() ends an incarnation")
        self._handlers[name] = handler

    def send(self, source: str, to: str, data: bytes) -> None:
        """Send a datagram, without confirmation of delivery. Datagrams to the sender itself are delayed too."""
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
        """Cut the link from `a` to `b`, and back if `both`: drops datagrams sent or due to arrive during the cut."""
        self._cuts.add((a, b))
        if both:
            self._cuts.add((b, a))

    def split(self, groups: Iterable[Iterable[str]]) -> None:
        """Cut all links between groups; names in no group form one more group. Replaces any earlier split."""
        self._groups = {name: number for number, group in enumerate(groups, 1) for name in group}

    def heal(self) -> None:
        """Remove all cuts and the split."""
        self._cuts.clear()
        self._groups = None

    def pause(self, name: str) -> None:
        """Pause a process as SIGSTOP does: its timers and the datagrams that reach it wait."""
        self._pending.setdefault(name, [])

    def resume(self, name: str) -> None:
        """Resume a process as SIGCONT does: waiting events happen now, in the order in which they became due."""
        for event in self._pending.pop(name, ()):
            self._schedule(self.now_ms, event)

    def kill(self, name: str) -> None:
        """Kill a process as SIGKILL does.

        Its timers and the datagrams in flight to it are dropped; those that it sent still arrive. A later `listen`
        starts a new incarnation, which receives the datagrams sent to the name from now on.
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
