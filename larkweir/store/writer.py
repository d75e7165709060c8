"""The thread that writes a store: what is pending is written together, with one flush for all records that need it."""

from __future__ import annotations

import threading
from collections import deque
from collections.abc import Callable
from typing import NamedTuple

from larkweir.store.disk import Disk
from larkweir.store.records import Record
from larkweir.store.state import StoredState

MAX_WAITING_RECORDS = 20_000  # beyond that, records that need not be durable are dropped
COMPACT_BYTES = 4 * 1024 * 1024  # length of the log from which a new generation is due


class _Batch(NamedTuple):
    records: tuple[Record, ...]
    durable: bool
    on_written: Callable[[bool], None] | None


def _notify(callbacks: list[Callable[[bool], None]], written: bool) -> None:
    for callback in callbacks:
        callback(written)


class StoreWriter:
    """Takes records on the event loop, and writes them on a thread. Never blocks its caller."""

    FORCED_COMPACTION_FACTOR = 2  # of `compact_bytes`: from there on the thread compacts unasked

    def __init__(
        self,
        disk: Disk,
        state: StoredState,
        call_soon: Callable[[Callable[[], None]], None],
        log: Callable[[str], None],
        now_ms: Callable[[], float],
        compact_bytes: int = COMPACT_BYTES,
    ) -> None:
        """`call_soon` runs a callback on the event loop, from any thread. The thread owns `disk` and `state` from here
        on. `log` gets a line for the operator.
        """
        self._disk = disk
        self._state = state
        self._call_soon = call_soon
        self._log = log
        self._now_ms = now_ms
        self._compact_bytes = compact_bytes
        self._compaction_requested = False
        self._batches: deque[_Batch] = deque()
        self._count = 0
        self._wake = threading.Condition()
        self._stopping = False
        self.failure = ""  # why nothing is written any more; "": it is
        self.dropped = 0
        self.flushes = 0
        self.compactions = 0
        self._thread = threading.Thread(target=self._run, name="store", daemon=True)

    def start(self) -> None:
        """Start the thread; it begins with a new generation."""
        self._thread.start()

    @property
    def waiting(self) -> int:
        """Records that are not written yet."""
        return self._count

    @property
    def is_compaction_due(self) -> bool:
        """Whether the log is long enough for a new generation."""
        return not self.failure and self._disk.log_bytes > self._compact_bytes

    def compact(self) -> None:
        """Request a new generation, after what is pending."""
        with self._wake:
            self._compaction_requested = True
            self._wake.notify()

    def submit(
        self, *records: Record, durable: bool = False, on_written: Callable[[bool], None] | None = None
    ) -> None:
        """Have records written. `on_written` is called once, on the event loop, with whether they are."""
        with self._wake:
            if self.failure or self._stopping or (not durable and self._count >= MAX_WAITING_RECORDS):
                self.dropped += len(records)
                is_rejected = True
            else:
                is_rejected = False
                self._batches.append(_Batch(records, durable, on_written))
                self._count += len(records)
                self._wake.notify()
        if is_rejected and on_written is not None:
            self._call_soon(lambda: on_written(False))

    def stop(self, wait_s: float) -> None:
        """Write what is pending and end the thread; returns after `wait_s` seconds at the latest."""
        with self._wake:
            self._stopping = True
            self._wake.notify()
        self._thread.join(wait_s)

    def _run(self) -> None:
        try:
            # The first generation is written here: a long list must not delay the first request.
            self._begin_generation()
            while True:
                with self._wake:
                    while not self._batches and not self._stopping and not self._compaction_requested:
                        self._wake.wait()
                    batches, self._batches = list(self._batches), deque()
                    self._count = 0
                    stopping = self._stopping
                if batches:
                    self._write(batches)
                if stopping:
                    return
                if (self._compaction_requested and self.is_compaction_due) or (
                    not self.failure
                    and self._disk.log_bytes > self.FORCED_COMPACTION_FACTOR * self._compact_bytes
                ):
                    self._compact()  # requested, or overdue
                self._compaction_requested = False
        finally:
            self._disk.close()

    def _write(self, batches: list[_Batch]) -> None:
        written = not self.failure
        if written:
            records = [record for batch in batches for record in batch.records]
            durable = any(batch.durable for batch in batches)
            try:
                self._disk.append(records, durable)
                self.flushes += durable
            except OSError as problem:
                written = False
                self._fail(problem)
            else:
                for record in records:
                    self._state.apply(record)
        callbacks = [batch.on_written for batch in batches if batch.on_written is not None]
        if callbacks:
            self._call_soon(lambda: _notify(callbacks, written))

    def _compact(self) -> None:
        self._state.prune(self._now_ms())
        self.compactions += self._begin_generation()

    def _begin_generation(self) -> bool:
        try:
            self._disk.begin_generation(None, self._state)
        except OSError as problem:
            self._fail(problem)
            return False
        return True

    def _fail(self, problem: OSError) -> None:
        """Nothing is written from here on, which is logged once."""
        self.failure = problem.strerror or str(problem)
        why = self.failure
        self._call_soon(
            lambda: self._log(f"store: {why}: nothing is kept any more; this life serves on without")
        )
