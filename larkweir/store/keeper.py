"""Hands: the store's place in a balancer: what is written when, and what a life that comes back goes on from.

Promises, by kind of record:

| record | promise |
| --- | --- |
| a request that may not run twice begins | kept before its first byte goes to an upstream, where `durable = "unsafe"` |
| a drain, a changed list | kept within `every_ms` of the word, and the time of one flush |
| the end of such a request; what was learned | best effort |
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from contextlib import suppress
from hashlib import blake2b
from typing import Any, Protocol

from larkweir.background.rules import Outcome, Task
from larkweir.background.runner import Runner
from larkweir.config.options import Store as Options
from larkweir.config.platform import Config
from larkweir.core.clock import Clock
from larkweir.store.disk import Disk, Files
from larkweir.store.records import Kind, Record
from larkweir.store.state import Beliefs, beliefs
from larkweir.store.writer import Writer


class Sources(Protocol):
    """What is written is read from these."""

    def held(self) -> dict[str, Any]:
        """The list, whole, in discovery's form."""

    def drains(self) -> dict[str, float]:
        """When each upstream that is told to drain was told."""

    def learned(self) -> dict[str, Any]:
        """What the decisions have learned, without giving anything away."""

    def source(self) -> str:
        """Discovery's address."""


def site_of(config: Config) -> bytes:
    """What makes this balancer this one, in eight bytes: another's store is not its own."""
    parts = [config.name, f"{config.listen[0]}:{config.listen[1]}", str(config.settings.tier), *config.zones]
    return blake2b("\0".join(parts).encode(), digest_size=8).digest()


class Keeper:
    """Opened once at the start; whatever goes wrong is one line, and the balancer serves on without."""

    LEARNED_MS = 5_000.0
    AGAIN_MS = 1_000.0  # from try to try, while another process has the store
    STOP_S = 1.0  # that the end of the process waits for what is still to be written

    def __init__(
        self,
        options: Options,
        config: Config,
        clock: Clock,
        say: Callable[[str], None],
        files: Files | None = None,
    ) -> None:
        self._options = options
        self._clock = clock
        self._say = say
        self._loop = asyncio.get_running_loop()
        self._files = files or Files(options.path)
        self._site = site_of(config)
        # As long as the engine knows an id: twice the longest deadline.
        self._span_ms = 2.0 * max(cls.deadline_ms for cls in config.settings.classes)
        self._writer: Writer | None = None
        self._sources: Sources | None = None
        self._told: dict[str, dict[str, Any]] = {}
        self._drains: dict[str, float] = {}
        self._source: tuple[str, int] = ("", 0)
        self._busy = False  # said that another process has it
        self._ended = False
        self.recovered = 0  # records of the log that were there

    # ------------------------------------------------ the start

    def open(self) -> Beliefs | None:
        """Read what is there; None where there is nothing to go by, which is said."""
        disk = Disk(self._files, self._site)
        try:
            found = disk.open()
        except OSError as problem:
            if not self._busy:
                self._say(f"store: {self._options.path}: {problem.strerror or problem}; not used for now")
            self._busy = True
            self._files.close()
            return None
        for fault in found.faults:
            self._say(f"store: {fault}")
        now = self._clock.now_ms()
        state = found.state
        state.prune(now)
        told = beliefs(state, now, self._span_ms)
        for doubt in told.doubts:
            self._say(f"store: {doubt}")
        self.recovered = found.records
        try:
            disk.begin(None, state)
        except OSError as problem:
            self._say(
                f"store: {self._options.path}: {problem.strerror or problem}; nothing is kept by this life"
            )
            disk.close()
            return told
        self._writer = Writer(
            disk, state, self._later, self._say, self._clock.now_ms, int(self._options.most_mb * 1024 * 1024)
        )
        self._writer.start()
        self._told = dict(state.listed)
        self._drains = dict(state.drains)
        self._source = (state.source, state.generation)
        return told

    def _later(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop has ended
            self._loop.call_soon_threadsafe(call)

    def attach(self, sources: Sources, runner: Runner) -> None:
        """Lists and drains are looked at by a timer of their own: a promise hangs on that."""
        self._sources = sources
        self._look()
        task = Task(
            "store.learned", period_ms=self.LEARNED_MS, first_ms=self.LEARNED_MS, back_off_ms=self.LEARNED_MS
        )
        runner.add(task, self._export)

    # ------------------------------------------------ what is written

    def began(self, trace: bytes, then: Callable[[], None]) -> None:
        """A request that may not run twice is about to be sent: `then` is called once that is kept, or at once where
        nothing is promised any more.
        """
        writer = self._writer
        if writer is None or writer.broken:
            then()
            return
        record = Record(Kind.BEGAN, [trace.decode("latin-1"), self._clock.now_ms(), self._span_ms])
        if self._options.durable == "unsafe":
            writer.put(record, durable=True, done=lambda kept: then())
        else:
            writer.put(record)
            then()

    def ended(self, trace: bytes) -> None:
        if self._writer is not None:
            self._writer.put(Record(Kind.ENDED, [trace.decode("latin-1"), self._clock.now_ms()]))

    def _look(self) -> None:
        """Write what has changed since the last look."""
        if self._ended:
            return
        if self._writer is None and self._busy:
            self._again()
        elif self._writer is not None and not self._writer.broken and self._sources is not None:
            records = list(self._changes(self._sources))
            if records:
                self._writer.put(*records, durable=True)
        wait = self.AGAIN_MS if self._writer is None else self._options.every_ms
        self._clock.after(wait, self._look)

    def _again(self) -> None:
        """The process that had the store may have ended: go on from what it has left, and from what is known here."""
        if self.open() is not None:
            self._busy = False
            self._say(f"store: {self._options.path}: free again; used from now on")

    def _changes(self, sources: Sources) -> list[Record]:
        found: list[Record] = []
        held = sources.held()
        source = (sources.source(), int(held["generation"]))
        rows = {row["instanceId"]: row for row in held["instances"]}
        if source != self._source or rows != self._told:
            found += [Record(Kind.LISTED, row) for name, row in rows.items() if self._told.get(name) != row]
            found += [Record(Kind.GONE, name) for name in self._told if name not in rows]
            found.append(Record(Kind.SOURCE, list(source)))
            self._told, self._source = rows, source
        drains = sources.drains()
        found += [
            Record(Kind.DRAIN, [name, told])
            for name, told in drains.items()
            if self._drains.get(name) != told
        ]
        self._drains = drains
        return found

    def _export(self) -> Outcome:
        """What the decisions have learned, as of now: it helps, and can wait."""
        if self._writer is None or self._writer.broken or self._sources is None:
            return Outcome.FAILED
        self._writer.put(Record(Kind.LEARNED, [self._clock.now_ms(), self._sources.learned()]))
        return Outcome.DONE

    # ------------------------------------------------ the end, and what is shown

    def close(self) -> None:
        if not self._ended:
            self._ended = True
            if self._writer is not None:
                self._writer.stop(self.STOP_S)

    def facts(self) -> dict[str, object]:
        writer = self._writer
        state = "off" if writer is None else "broken" if writer.broken else "kept"
        return {"store": state, "store_waiting": writer.waiting if writer is not None else 0}
