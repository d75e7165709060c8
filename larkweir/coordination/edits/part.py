"""Route edits that merge as a part of a balancer: the copy, its folder, its channel of the peers' mail, and the
merged tables in service. Not imported where `[edits]` is off.

The folder is read before the first request, so that a start serves with what counts. It is this life's once the peers'
address is: a successor comes up with what is in the folder, and takes it over when its predecessor has let go.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, Protocol

from larkweir_edits.edit import EditError
from larkweir_edits.log import Calls, FileLog, peek
from larkweir_edits.merged_tables import FAULT, MergedTables
from larkweir_edits.replica import Replica
from larkweir_edits.schema import Tables
from larkweir_peers.transport import PeerTransport

from larkweir.config.options import Operator
from larkweir.config.peering import merging
from larkweir.config.platform import Config, ConfigError
from larkweir.coordination.edits.journal import LateChannel, LateLog
from larkweir.coordination.edits.notice_log import (
    START_FILE_WAITS,
    NoticeLog,
    began_line,
    fingerprint_of,
    names_of,
)
from larkweir.coordination.edits.tables import ResolutionTarget, TableCheck, differs, schema, tables_of
from larkweir.core.clock import Clock, Timer
from larkweir.core.stderr_log import StderrLog
from larkweir.routes.hands import Routes

if TYPE_CHECKING:
    from larkweir.coordination.edits.ended import Ended, OwnedStates

CHANNEL_NUMBER = 2  # channel of the peers' mail
OPEN_RETRY_MS = 100.0  # until a folder that a predecessor still has is tried again
REPAIR_RETRY_MS = 5_000.0  # until a folder that could not be written is tried again
FLUSH_MS = 4_000.0  # that a reload waits for the disk
APPLY_INTERVAL_FACTOR = (
    10.0  # merged tables go to the routes no sooner than so many times what that took the time before
)
MIN_APPLY_DELAY_MS = (
    20.0  # and never sooner than this after something came, nor than twice what it took: more may come
)
STARTING = "starting"
VERDICT_CHECK_MS = 250.0  # from look to look at what the fleet has ended


class Host(Protocol):
    """What a balancer gives to this part."""

    config: Config
    clock: Clock
    log: StderrLog
    options: Operator
    routes: Routes | None
    peers: PeerTransport | None
    edits: Part | None
    close_callbacks: list[Callable[[], None]]
    status_callbacks: list[Callable[[], dict[str, object]]]

    @property
    def owners(self) -> OwnedStates | None:
        """The owners' part, where it is on."""

    def reconfigure(self, config: Config, options: Operator | None = None) -> None:
        """Put a configuration in force."""


class Part:
    """From `begin` to `close`. ConfigError from the constructor where the files don't do."""

    def __init__(self, host: Host, options: Operator, calls: Calls | None = None) -> None:
        own = options.edits
        self._host, self._clock = host, host.clock
        self._name, self._others = (named := merging(options, host.config)).name, named.others
        self._folder, self._away_ms, self._calls = own.folder, own.away_ms, calls
        self._loop = asyncio.get_running_loop()
        self._file: Tables = tables_of(options)  # what staff's file says, as this life was told
        self._resolved_names = frozenset(own.settle)  # what it named before: nothing new is asked of these
        self._check = TableCheck(host.config)
        self._posts = LateChannel()
        self._log = LateLog()
        self._records = peek(self._folder)
        self.replica = self._built()
        self._disk: FileLog | None = None
        self._thread = ThreadPoolExecutor(1, "edits")
        self._live = False  # the folder is this life's, and what is in it would survive a crash
        self._sound = 0  # the record from which on that is so
        self._is_repairing = self._is_handed_over = self._closed = False
        # Whether the file is to be told to the copy once the folder is open: at a start, and where it is not known what
        # was written; not after a successor was given up, which may have read a newer one.
        self._must_apply_file = True
        self._fault = STARTING
        self._logged_fault = ""
        self._timer: Timer | None = None
        self._due_ms = 0.0
        self._start: Timer | None = None
        self._apply: Timer | None = None
        self._took_ms = 0.0  # for them to go to the routes, the last time
        self._free_ms = 0.0  # from when tables may go to the routes again
        self._awaited_reload: tuple[int, Callable[[str], None]] | None = (
            None  # a reload that waits for its record
        )
        self._early: tuple[Operator, Callable[[str], None]] | None = (
            None  # one that came before the folder was open
        )
        self._before: tuple[Tables, frozenset[str]] | None = None  # its file, until its edits are kept
        self._patience: Timer | None = None
        self._look_ms = 0.0
        self._ended: Ended | None = None
        self._lines = NoticeLog()
        self._foreign: tuple[str, ...] = ()
        self._merged: MergedTables | None = None
        self._tables: Tables = self._file  # what counts, and what the routes have of it
        self._applied: Tables = self._file
        self._shown: tuple[Tables, Tables, str, int] | None = (
            None  # for STATUS, of this file and these tables
        )
        self._take()

    def _built(self) -> Replica:
        return Replica(
            schema(),
            self._name,
            self._others,
            self._file,
            self._posts,
            self._log,
            Random(),
            self._clock.now_ms(),
            self._check,
            self._records,
            self._away_ms,
        )

    # ------------------------------------------------ the folder

    def start(self) -> None:
        """Once the peers' address is this life's."""
        self._start = None
        if self._closed or self._is_handed_over or self._disk is not None:
            return
        transport = self._host.peers
        if transport is None or not transport.is_open:
            self._again(OPEN_RETRY_MS)
            return
        if self._posts.channel is None:
            self._posts.channel = transport.open_channel(CHANNEL_NUMBER, self._on_item)
        self._then(self._thread.submit(self._open), self._opened)

    def _again(self, delay_ms: float) -> None:
        if self._start is None:
            self._start = self._clock.after(delay_ms, self.start)

    def _open(self) -> FileLog | str:
        """On a thread: the folder, or why not."""
        try:
            return FileLog(
                self._folder,
                lambda number: self._back(lambda: self._on_durable(number)),
                lambda line: self._back(lambda: self._broke(line)),
                self._calls,
            )
        except OSError as problem:
            return problem.strerror or str(problem)

    def _back(self, call: Callable[[], None]) -> None:
        with suppress(RuntimeError):  # the loop is over
            self._loop.call_soon_threadsafe(call)

    def _then(self, done: Future[FileLog | str], then: Callable[[FileLog | str], None]) -> None:
        done.add_done_callback(lambda future: self._back(lambda: then(future.result())))

    def _opened(self, found: FileLog | str) -> None:
        if isinstance(found, str):
            self._fault = found
            if found != self._logged_fault:
                self._logged_fault = found
                self._log_line(
                    f"edits: {self._folder}: {found}; tried again; until then no edit is made or told"
                )
            self._again(REPAIR_RETRY_MS if self._is_repairing else OPEN_RETRY_MS)
            return
        if self._closed or self._is_handed_over or self._disk is not None:
            self._thread.submit(found.close)
            return
        if found.left_out:
            self._log_line(
                f"edits: {self._folder}: {found.left_out} bytes at its end were cut off, and are left out"
            )
        if self._is_repairing or found.records != self._records:
            self._records, self._log = found.records, LateLog()
            self.replica = self._built()
        self._records, found.records = [], []
        self._disk = found
        self._sound = 0
        if self._is_repairing:  # what the file holds is not known: all of it anew, before any of it is told
            found.compact([self.replica.record()])
            self._log.give(found)
            self._sound = self._log.append(self.replica.record())
            return
        self._log.give(found)
        self._go()

    def _go(self) -> None:
        self._live = True
        self._fault = self._logged_fault = ""
        if self._must_apply_file:
            self._must_apply_file = False
            if self.replica.start(self._file):
                self._log_line(f"edits: {START_FILE_WAITS}")
        self._is_repairing = False
        self._go_on()
        self._after_step()

    def _go_on(self) -> None:
        """With a reload that came too early."""
        if self._early is not None and self._live and self.replica.met:
            (options, then), self._early = self._early, None
            self.reload(options, then)

    def _broke(self, line: str) -> None:
        """The log has ended. What counts goes on; the folder is tried again."""
        self._fault = line.partition(": ")[2]
        if line != self._logged_fault:
            self._logged_fault = line
            self._log_line(line)
        self._is_repairing = self._must_apply_file = True
        if self._before is not None:  # refused: what the file said before counts on
            (self._file, self._resolved_names), self._before = self._before, None
        self._stop()
        self._answer(self._fault)
        if not self._is_handed_over and not self._closed:
            self._again(REPAIR_RETRY_MS)

    def _stop(self) -> None:
        self._live = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        disk, self._disk = self._disk, None
        if disk is not None:
            self._thread.submit(disk.close)

    def set_handed_over(self, is_handed_over: bool) -> None:
        """Held: a successor goes on with the folder, under a writer's name of its own."""
        if is_handed_over == self._is_handed_over or self._closed:
            return
        self._is_handed_over = is_handed_over
        if is_handed_over:
            if self._start is not None:
                self._start.cancel()
                self._start = None
            self._stop()
            self._answer("a successor goes on")
        else:
            # The successor may have written: what is there now is read.
            self._records = []
            self._again(0.0)

    def close(self) -> None:
        """For good, before the socket is closed. What was given to the disk is written."""
        self._closed = True
        for timer in (self._start, self._apply, self._patience):
            if timer is not None:
                timer.cancel()
        self._stop()
        self._thread.shutdown(wait=False)

    # ------------------------------------------------ turns

    def _on_item(self, source: str, item: bytes, now_ms: float) -> None:
        if self._live:
            self.replica.on_item(source, item, now_ms)
            self._go_on()
            self._after_step()

    def _on_durable(self, number: int) -> None:
        if self._disk is None:
            return
        if self._sound and number >= self._sound and not self._live:
            self._log_line(f"edits: {self._folder}: it can be written again")
            self.replica.on_durable(number, self._clock.now_ms())
            self._go()
            return
        self.replica.on_durable(number, self._clock.now_ms())
        if number >= self._log.number:
            self._before = None
        if self._awaited_reload is not None and number >= self._awaited_reload[0]:
            self._take()
            self._answer("")  # the generation that was read takes over, with these tables
            self._apply_now()
        self._after_step()

    def _turn(self) -> None:
        self._timer = None
        if not self._live:
            return
        now = self._clock.now_ms()
        if now >= self._look_ms:
            self._look_ms = now + VERDICT_CHECK_MS
            self._end()
        self.replica.tick(now)
        self._after_step()

    def _after_step(self) -> None:
        """After each call of the rules: what is to be written, whether tables have changed, when it goes on."""
        if not self._live:
            return
        if self.replica.began is not None:
            began, self.replica.began = self.replica.began, None
            self._log_line(f"edits: {began_line(began)}")
        disk = self._disk
        if disk is not None and disk.is_long:
            disk.compact([self.replica.record(), *self.replica.pending()])
        now = self._clock.now_ms()
        if self._apply is None and self.replica.moved is not self._merged:
            due = max(now + max(MIN_APPLY_DELAY_MS, 2.0 * self._took_ms), self._free_ms)
            self._apply = self._clock.at(due, self._apply_now)
        due = max(now, min(self.replica.next_ms, self._look_ms))
        if self._timer is not None:
            if self._due_ms <= due:
                return
            self._timer.cancel()
        self._due_ms = due
        self._timer = self._clock.at(due, self._turn)

    # ------------------------------------------------ the whole in service

    def _apply_now(self) -> None:
        """What counts goes to the routes as a generation would."""
        if self._apply is not None:
            self._apply.cancel()
            self._apply = None
        if self._closed:
            return
        began = self._clock.now_ms()
        self._take()
        if self._applied is not self._tables and self._applied != self._tables:
            self._host.reconfigure(self._host.config, self._host.options)
        now = self._clock.now_ms()
        self._took_ms = now - began
        self._free_ms = now + max(MIN_APPLY_DELAY_MS, APPLY_INTERVAL_FACTOR * self._took_ms)

    def _take(self) -> None:
        """The copy's whole is what counts, where it passes."""
        merged = self.replica.merged
        if merged is self._merged:
            return
        self._merged = merged
        if not any(item.why.startswith(FAULT) for item in merged.notices):
            self._tables = merged.tables
            if self._check.foreign and self._check.foreign != self._foreign:
                self._log_line(f"edits: {self._check.foreign[0]}; it counts where the platform's file has it")
            self._foreign = self._check.foreign
        for line in self._lines.new_lines(merged.notices, self._clock.now_ms()):
            self._log_line(line)

    def merged(self, options: Operator) -> Operator:
        """The operator file with what counts of routes and pools."""
        self._check.config = self._host.config
        self._applied = self._tables
        return self._check.over(options, self._tables)

    # ------------------------------------------------ staff

    def reload(self, options: Operator, then: Callable[[str], None]) -> None:
        """Staff's file says this now. `then` is called once: with why the file can't count, or, when its edits would
        survive a crash and are in force, with nothing.
        """
        self._answer("another reload came")
        if (self._fault == STARTING and not self._is_handed_over) or (self._live and not self.replica.met):
            self._early = (options, then)
            self._wait()
            return
        if not self._live:
            why = "a successor goes on" if self._is_handed_over else self._fault
            then(f"edits: {why}; no edit can be made now, the file before counts")
            return
        tables = tables_of(options)
        before = self._log.number
        try:
            made = self.replica.reload(tables)
            for text in options.edits.settle:
                if text not in self._resolved_names:
                    made += self._resolve(ResolutionTarget(text), tables)
        except EditError as problem:
            then(f"edits: {problem}; the file before counts")
            return
        self._before = self._before or (self._file, self._resolved_names)
        self._file, self._resolved_names = tables, frozenset(options.edits.settle)
        if self._log.number == before:
            self._before = None
            then("")
            return
        self._log_line(f"edits: {made} made of this reload")
        self._awaited_reload = (self._log.number, then)
        self._wait()
        self._after_step()

    def _wait(self) -> None:
        self._patience = self._clock.after(FLUSH_MS, lambda: self._answer(self._late()))

    def _late(self) -> str:
        if self._awaited_reload is not None:
            return "the disk has not kept it yet; it counts when it has"
        if self._live:
            return "the folder was empty, and no other balancer was heard that may know more: reload once one is there"
        return "the folder is not open yet; the file before counts"

    def _resolve(self, what: ResolutionTarget, tables: Tables) -> int:
        """Staff have looked at what is told of this, and their file's word counts."""
        stated = what.stated_fields(tables)
        if stated is not None:
            return self.replica.resolve(what.table, what.name, stated)
        return 0 if what.key else self.replica.remove(what.table, what.name)

    def _answer(self, problem: str) -> None:
        then = (
            self._awaited_reload[1]
            if self._awaited_reload is not None
            else self._early[1]
            if self._early is not None
            else None
        )
        self._awaited_reload = self._early = None
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None
        if then is not None:
            then(f"edits: {problem}" if problem else "")

    # ------------------------------------------------ the fleet's verdicts

    def _end(self) -> None:
        """A part that the fleet has ended is ended by an edit as well, until one who has seen that changes it."""
        owners, routes = self._host.owners, self._host.routes
        if owners is None or routes is None or not self.replica.met:
            return
        if self._ended is None:
            from larkweir.coordination.edits.ended import Ended  # not imported where there are no owners

            self._ended = Ended()
        for end in self._ended.due(owners, routes.router.parts_by_key()):
            with suppress(EditError):  # no room: tried again
                self.replica.verdict(("route", end.route), end.pool, end.term, end.number)
                self._ended.mark_written(end)

    # ------------------------------------------------ words

    def _log_line(self, line: str) -> None:
        self._host.log.write(line)

    def facts(self) -> dict[str, object]:
        """For STATUS."""
        replica, notices = self.replica, self._merged.notices if self._merged is not None else ()
        if self._shown is None or self._shown[0] is not self._file or self._shown[1] is not self._tables:
            self._shown = (
                self._file,
                self._tables,
                fingerprint_of(self._tables),
                differs(self._file, self._tables),
            )
        return {
            "edits": sum(replica.state.vector.values()),
            "edits_waiting": replica.state.size,
            "edits_tables": self._shown[2],
            "edits_told": len(notices),
            "edits_of": names_of(notices) or "none",
            "edits_differs": self._shown[3],
            "edits_state": self._state(),
            "edits_away": len(replica.away(self._clock.now_ms())),
            "edits_foreign": len(self._foreign),
            "edits_dropped": ",".join(
                f"{name}:{replica.counts[name]}"
                for name in ("bad", "refused", "other_origin")
                if replica.counts[name]
            )
            or "0",
        }

    def _state(self) -> str:
        if self._live:
            return "ok" if self.replica.met else "alone"
        return "-".join(self._fault.split())[:80] or "waiting"


def begin(host: Host, options: Operator) -> Operator:
    """Before the routes are built: the file's options with what counts by the folder."""
    part = host.edits = Part(host, options)
    return part.merged(options)


def attach(host: Host, options: Operator) -> None:
    """Attach the part to a balancer that has routes.

    Raises:
        ConfigError: there are no routes to merge.
    """
    part = host.edits
    if part is None or host.routes is None:
        raise ConfigError("edits.on: this process has no routes to merge")
    host.close_callbacks.insert(0, part.close)
    host.status_callbacks.append(part.facts)
    host.clock.after(0.0, part.start)
