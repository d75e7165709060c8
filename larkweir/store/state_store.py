"""Persists a balancer's state while it runs, and recovers it at the start.

What is guaranteed, by kind of record:

| record | guarantee |
| --- | --- |
| a request that must not run twice begins | on disk before its first byte is sent upstream, if `durable = "unsafe"` |
| a drain, a change of the list | on disk within `every_ms` of the change, and the time of one flush |
| the end of such a request; what was learned | best effort |
"""

from __future__ import annotations

import asyncio
import time
from collections.abc import Callable
from contextlib import suppress
from hashlib import blake2b

from larkweir.background.rules import Outcome, Task
from larkweir.background.runner import Runner
from larkweir.config.options import Store as Options
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.store.changes import ChangeTracker, StateSources
from larkweir.store.disk import Disk, Files
from larkweir.store.records import Record, RecordKind
from larkweir.store.recoverable_state import RecoverableState, recoverable_state
from larkweir.store.state import StoredState
from larkweir.store.writer import StoreWriter


def site_id(config: Config) -> bytes:
    """Eight bytes that identify this balancer: the store of another is not used."""
    parts = [config.name, f"{config.listen[0]}:{config.listen[1]}", str(config.settings.tier), *config.zones]
    return blake2b("\0".join(parts).encode(), digest_size=8).digest()


def read_boot(now_ms: float) -> tuple[str, float]:
    """The machine's boot id, and the time of its boot by the clock that reads `now_ms`; ("", 0.0) where the system
    does not tell.
    """
    try:
        with open("/proc/sys/kernel/random/boot_id", encoding="ascii") as file:
            return file.read().strip()[:64], now_ms - time.clock_gettime(time.CLOCK_BOOTTIME) * 1000.0
    except (OSError, ValueError, AttributeError):
        return "", 0.0


class StateStore:
    """The store of one process (`larkweir.core.ports.DurableState`). A fault is logged in one line, and the balancer
    serves on without it.
    """

    LEARNED_INTERVAL_MS = 5_000.0
    EVIDENCE_INTERVAL_MS = 10_000.0
    COMPACT_INTERVAL_MS = 1_000.0
    REOPEN_INTERVAL_MS = 1_000.0  # between attempts to open, while another process has the store
    STOP_TIMEOUT_S = 1.0  # for which the process's end waits for what is still to be written

    def __init__(
        self,
        options: Options,
        config: Config,
        clock: Clock,
        log: Callable[[str], None],
        files: Files | None = None,
    ) -> None:
        """Must be created while the event loop runs. `log` gets lines for the operator."""
        self._options = options
        self._clock = clock
        self._log = log
        self._loop = asyncio.get_running_loop()
        self._files = files or Files(options.path)
        self._site = site_id(config)
        # As long as the dispatcher retains an id: twice the longest deadline.
        self._span_ms = 2.0 * max(cls.deadline_ms for cls in config.settings.classes)
        self._writer: StoreWriter | None = None
        self._sources: StateSources | None = None
        self._tracker = ChangeTracker(StoredState())
        self.boot = read_boot(clock.now_ms())
        self._is_locked_out = False  # another process has the store; that is logged
        self._is_closed = False
        self.recovered = 0  # records of the log that were there

    def open(self) -> RecoverableState | None:
        """Recover what is there, and begin to write; None where the store can't be opened, which is logged."""
        disk = Disk(self._files, self._site)
        try:
            found = disk.open()
        except OSError as problem:
            if not self._is_locked_out:
                self._log(f"store: {self._options.path}: {problem.strerror or problem}; not used for now")
            self._is_locked_out = True
            self._files.close()
            return None
        for fault in found.faults:
            self._log(f"store: {fault}")
        now = self._clock.now_ms()
        state = found.state
        state.prune(now)
        recoverable = recoverable_state(state, now, self._span_ms, self.boot)
        state.boot = self.boot  # of this process
        state.clock_ms = now
        for warning in recoverable.warnings:
            self._log(f"store: {warning}")
        self.recovered = found.records
        self._tracker = ChangeTracker(state)  # before the writer's thread has the state
        self._writer = StoreWriter(
            disk,
            state,
            self._call_soon,
            self._log,
            self._clock.now_ms,
            int(self._options.most_mb * 1024 * 1024),
        )
        self._writer.start()
        return recoverable

    def _call_soon(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop has ended
            self._loop.call_soon_threadsafe(call)

    def attach(self, sources: StateSources, runner: Runner) -> None:
        """Write what changes from now on. The list and drains are checked by a timer of their own, not by the runner,
        which may postpone its tasks: there is a guarantee for them.
        """
        self._sources = sources
        self._check()
        task = Task(
            "store.learned",
            period_ms=self.LEARNED_INTERVAL_MS,
            first_ms=self.LEARNED_INTERVAL_MS,
            back_off_ms=self.LEARNED_INTERVAL_MS,
        )
        runner.add(task, self._write_learned)
        runner.add(
            Task(
                "store.evidence",
                priority=4,
                period_ms=self.EVIDENCE_INTERVAL_MS,
                first_ms=self.EVIDENCE_INTERVAL_MS,
                calls_per_s=20.0,
                back_off_ms=self.EVIDENCE_INTERVAL_MS,
            ),
            self._write_evidence,
        )
        # Runs while the process drains too: the log is read at the next start, however long it is.
        runner.add(
            Task("store.compact", priority=6, period_ms=self.COMPACT_INTERVAL_MS, at_drain=True),
            self._compact,
        )

    # ------------------------------------------------ requests (`larkweir.core.ports.DurableState`)

    def began(self, trace: bytes, then: Callable[[], None], memory_ms: float = 0.0) -> None:
        """A request that must not run twice is about to be sent: `then` is called once that is on disk, or at once
        where nothing is guaranteed. `memory_ms` is for how long servers drop its duplicates, where they do: after
        that a duplicate would run again.
        """
        writer = self._writer
        if writer is None or writer.failure:
            then()
            return
        span = max(self._span_ms, memory_ms)
        record = Record(RecordKind.BEGAN, [trace.decode("latin-1"), self._clock.now_ms(), span])
        if self._options.durable == "unsafe":
            writer.submit(record, durable=True, on_written=lambda written: then())
        else:
            writer.submit(record)
            then()

    def ended(self, trace: bytes) -> None:
        """Such a request is answered, and no attempt of it is in flight."""
        if self._writer is not None:
            self._writer.submit(Record(RecordKind.ENDED, [trace.decode("latin-1"), self._clock.now_ms()]))

    # ------------------------------------------------ timers and tasks

    def _check(self) -> None:
        """Write what has changed since the last check."""
        if self._is_closed:
            return
        wait_ms = self.REOPEN_INTERVAL_MS if self._writer is None else self._options.every_ms
        if self._writer is None and self._is_locked_out:
            self._reopen()
        elif self._writer is not None and not self._writer.failure and self._sources is not None:
            records = self._tracker.changes(self._sources, self._clock.now_ms())
            if records:
                self._writer.submit(*records, durable=True)
            if self._sources.is_complete() and self._sources.changed_ids():
                wait_ms = 1.0
        self._clock.after(wait_ms, self._check)

    def _reopen(self) -> None:
        """The process that had the store may have ended: go on from what it has left, and from this one's state."""
        if self.open() is not None:
            self._is_locked_out = False
            self._log(f"store: {self._options.path}: free again; used from now on")

    def _write_evidence(self) -> Outcome:
        """Write which upstreams have served lately, and when discovery last answered."""
        writer, sources = self._writer, self._sources
        if writer is None or writer.failure or sources is None:
            return Outcome.FAILED
        records, has_more = self._tracker.evidence(sources, self._clock.now_ms())
        writer.submit(*records)
        return Outcome.MORE if has_more else Outcome.DONE

    def _compact(self) -> Outcome:
        if self._writer is None or self._writer.failure:
            return Outcome.FAILED
        if self._writer.is_compaction_due:
            self._writer.compact()
        return Outcome.DONE

    def _write_learned(self) -> Outcome:
        if self._writer is None or self._writer.failure or self._sources is None:
            return Outcome.FAILED
        self._writer.submit(Record(RecordKind.LEARNED, [self._clock.now_ms(), self._sources.learned()]))
        return Outcome.DONE

    # ------------------------------------------------ the end, and STATUS

    def close(self) -> None:
        """Write what is pending, and close the store; waits `STOP_TIMEOUT_S` at the most."""
        if not self._is_closed:
            self._is_closed = True
            if self._writer is not None:
                self._writer.stop(self.STOP_TIMEOUT_S)

    def facts(self) -> dict[str, object]:
        """Fields of STATUS."""
        writer = self._writer
        state = "off" if writer is None else "broken" if writer.failure else "kept"
        return {"store": state, "store_waiting": writer.waiting if writer is not None else 0}
