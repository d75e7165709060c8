"""Hands: the thread that writes a store: what waits is written together, and flushed once for all that want it."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from larkweir.store.disk import Disk
from larkweir.store.records import Record
from larkweir.store.state import State

MOST_WAITING = 20_000  # records; past that those that need not be kept are dropped
COMPACT_BYTES = 4 * 1024 * 1024  # of a log, from which a new generation is begun


class _Item(NamedTuple):
    records: tuple[Record, ...]
    durable: bool
    done: Callable[[bool], None] | None


def _tell(told: list[Callable[[bool], None]], kept: bool) -> None:
    for done in told:
        done(kept)


class Writer:
    """Takes records on the event loop, and writes them on a thread. Never blocks its caller."""

    MOST = 2  # times the length at which a new generation is asked for, from which it is not waited for

    def __init__(
        self,
        disk: Disk,
        state: State,
        later: Callable[[Callable[[], None]], None],
        say: Callable[[str], None],
        now_ms: Callable[[], float],
        compact_bytes: int = COMPACT_BYTES,
    ) -> None:
        """`later` runs something on the event loop, from any thread. `state` is this thread's own from here on."""
        self._disk = disk
        self._state = state
        self._later = later
        self._say = say
        self._now_ms = now_ms
        self._compact_bytes = compact_bytes
        self._wanted = False  # a new generation
        self._items: deque[_Item] = deque()
        self._count = 0
        self._wake = threading.Condition()
        self._stopping = False
        self.broken = ""  # why nothing is written any more
        self.dropped = 0
        self.flushes = 0
        self.compactions = 0
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)

    def start(self) -> None:
        self._thread.start()

    @property
    def waiting(self) -> int:
        return self._count

    @property
    def grown(self) -> bool:
        """Whether a new generation would be worth its work."""
        return not self.broken and self._disk.log_bytes > self._compact_bytes

    def compact(self) -> None:
        """Have a new generation written, when what waits has been."""
        with self._wake:
            self._wanted = True
            self._wake.notify()

    def put(
        self, *records: Record, durable: bool = False, done: Callable[[bool], None] | None = None
    ) -> None:
        """Have records written. `done` is called on the event loop, once: whether they are kept."""
        with self._wake:
            if self.broken or self._stopping or (not durable and self._count >= MOST_WAITING):
                self.dropped += len(records)
                refused = True
            else:
                refused = False
                self._items.append(_Item(records, durable, done))
                self._count += len(records)
                self._wake.notify()
        if refused and done is not None:
            self._later(lambda: done(False))

    def stop(self, wait_s: float) -> None:
        """Write what waits and end; whoever waits longer than that goes on without."""
        with self._wake:
            self._stopping = True
            self._wake.notify()
        self._thread.join(wait_s)

    def _run(self) -> None:
        try:
            # A generation of this life's own first, here: a long list must not keep the first request waiting.
            self._begin()
            while True:
                with self._wake:
                    while not self._items and not self._stopping and not self._wanted:
                        self._wake.wait()
                    items, self._items = list(self._items), deque()
                    self._count = 0
                    stopping = self._stopping
                if items:
                    self._write(items)
                if stopping:
                    return
                if (self._wanted and self.grown) or (
                    not self.broken and self._disk.log_bytes > self.MOST * self._compact_bytes
                ):
                    self._compact()  # asked for, or nobody came to ask
                self._wanted = False
        finally:
            self._disk.close()

    def _write(self, items: list[_Item]) -> None:
        kept = not self.broken
        if kept:
            records = [record for item in items for record in item.records]
            durable = any(item.durable for item in items)
            try:
                self._disk.append(records, durable)
                self.flushes += durable
            except OSError as problem:
                kept = False
                self._break(problem)
            else:
                for record in records:
                    self._state.apply(record)
        told = [item.done for item in items if item.done is not None]
        if told:
            self._later(lambda: _tell(told, kept))

    def _compact(self) -> None:
        self._state.prune(self._now_ms())
        self.compactions += self._begin()

    def _begin(self) -> bool:
        try:
            self._disk.begin(None, self._state)
        except OSError as problem:
            self._break(problem)
            return False
        return True

    def _break(self, problem: OSError) -> None:
        """Nothing is written from here on, and that is said once."""
        self.broken = problem.strerror or str(problem)
        why = self.broken
        self._later(lambda: self._say(f"store: {why}: nothing is kept any more; this life serves on without"))
