"""Replicated route edits in a balancer: the replica, its log's folder, its channel to the peers, and the merged tables
in service. Not imported where `[edits]` is off.

The folder is read before the first request, so that a start serves with what counts. It is this process's once the
peers' address is: a successor starts with what is in the folder, and takes it over when its predecessor has let go.
"""

from __future__ import annotations

from collections.abc import Callable
from contextlib import suppress
from random import Random
from typing import TYPE_CHECKING, Protocol

from larkweir_edits.edit import EditError
from larkweir_edits.log import Calls, FileLog, peek
from larkweir_edits.replica import Replica
from larkweir_edits.schema import Tables
from larkweir_peers.transport import PeerTransport

from larkweir.config.options import Operator
from larkweir.config.peering import merging
from larkweir.config.platform import ConfigError
from larkweir.coordination.edits import tables_in_service
from larkweir.coordination.edits.journal import LateChannel, LateLog
from larkweir.coordination.edits.log_folder import LogFolder
from larkweir.coordination.edits.notice_log import START_FILE_WAITS, began_line, names_of
from larkweir.coordination.edits.reloads import PendingReload, StatedTables
from larkweir.coordination.edits.tables import ResolutionTarget, schema, tables_of
from larkweir.core.clock import Timer
from larkweir.routes.request_routing import Routes

if TYPE_CHECKING:
    from larkweir.coordination.edits.ended import Ended, OwnedStates

CHANNEL_NUMBER = 2  # channel of the peers' mail
OPEN_RETRY_MS = 100.0  # until a folder that a predecessor still has is tried again
REPAIR_RETRY_MS = 5_000.0  # until a folder that could not be written is tried again
STARTING = "starting"
VERDICT_CHECK_MS = 250.0  # from look to look at what the fleet has ended


class Host(tables_in_service.Host, Protocol):
    """What a balancer gives to this plugin."""

    routes: Routes | None
    peers: PeerTransport | None
    edits: EditsPlugin | None
    close_callbacks: list[Callable[[], None]]
    status_callbacks: list[Callable[[], dict[str, object]]]

    @property
    def owners(self) -> OwnedStates | None:
        """The owners' plugin, where it is on."""


class EditsPlugin:
    """From `begin` to `close`. ConfigError from the constructor where the files are not valid."""

    def __init__(self, host: Host, options: Operator, calls: Calls | None = None) -> None:
        own = options.edits
        self._host, self._clock = host, host.clock
        self._name, self._others = (named := merging(options, host.config)).name, named.others
        self._away_ms = own.away_ms
        self._folder = LogFolder(own.folder, self._on_durable, self._on_log_failure, calls)
        self._stated = StatedTables(options)
        self._tables = tables_in_service.TablesInService(
            host, self._stated.tables, lambda: self.replica.merged
        )
        self._reload = PendingReload(self._clock, self._folder_problem)
        self._channel = LateChannel()
        self._log = LateLog()
        self._records = peek(self._folder.path)
        self.replica = self._new_replica()
        self._file_log: FileLog | None = None
        self._is_live = False  # the folder is this process's, and what is in it would survive a crash
        self._repair_record = 0  # the record from which on that is so
        self._is_repairing = self._is_handed_over = self._is_closed = False
        # Whether the file is to be given to the replica once the folder is open: at a start, and where it is not known
        # what was written; not after a successor was given up, which may have read a newer one.
        self._must_apply_file = True
        self._problem = STARTING
        self._logged_problem = ""
        self._timer: Timer | None = None
        self._timer_due_ms = 0.0
        self._start_timer: Timer | None = None
        self._next_verdict_check_ms = 0.0
        self._ended: Ended | None = None
        self._tables.update()

    def _new_replica(self) -> Replica:
        return Replica(
            schema(),
            self._name,
            self._others,
            self._stated.tables,
            self._channel,
            self._log,
            Random(),
            self._clock.now_ms(),
            self._tables.check,
            self._records,
            self._away_ms,
        )

    # ------------------------------------------------ the folder

    def start(self) -> None:
        """Once the peers' address is this process's."""
        self._start_timer = None
        if self._is_closed or self._is_handed_over or self._file_log is not None:
            return
        transport = self._host.peers
        if transport is None or not transport.is_open:
            self._schedule_start(OPEN_RETRY_MS)
            return
        if self._channel.channel is None:
            self._channel.channel = transport.open_channel(CHANNEL_NUMBER, self._on_item)
        self._folder.open(self._on_opened)

    def _schedule_start(self, delay_ms: float) -> None:
        if self._start_timer is None:
            self._start_timer = self._clock.after(delay_ms, self.start)

    def _on_opened(self, found: FileLog | str) -> None:
        if isinstance(found, str):
            self._problem = found
            if found != self._logged_problem:
                self._logged_problem = found
                self._write_line(
                    f"edits: {self._folder.path}: {found}; tried again; until then no edit is made or told"
                )
            self._schedule_start(REPAIR_RETRY_MS if self._is_repairing else OPEN_RETRY_MS)
            return
        if self._is_closed or self._is_handed_over or self._file_log is not None:
            self._folder.release(found)
            return
        if found.left_out:
            self._write_line(
                f"edits: {self._folder.path}: {found.left_out} bytes at its end were cut off, and are left out"
            )
        if self._is_repairing or found.records != self._records:
            self._records, self._log = found.records, LateLog()
            self.replica = self._new_replica()
        self._records, found.records = [], []
        self._file_log = found
        self._repair_record = 0
        if self._is_repairing:  # what the file holds is not known: all of it anew, before any of it is told
            found.compact([self.replica.record()])
            self._log.give(found)
            self._repair_record = self._log.append(self.replica.record())
            return
        self._log.give(found)
        self._on_folder_ready()

    def _on_folder_ready(self) -> None:
        self._is_live = True
        self._problem = self._logged_problem = ""
        if self._must_apply_file:
            self._must_apply_file = False
            if self.replica.start(self._stated.tables):
                self._write_line(f"edits: {START_FILE_WAITS}")
        self._is_repairing = False
        self._resume_early_reload()
        self._after_step()

    def _resume_early_reload(self) -> None:
        """With a reload that came too early."""
        if self._is_live and self.replica.met and (early := self._reload.pop_early()) is not None:
            self.reload(*early)

    def _on_log_failure(self, line: str) -> None:
        """The log has ended. What counts goes on; the folder is tried again."""
        self._problem = line.partition(": ")[2]
        if line != self._logged_problem:
            self._logged_problem = line
            self._write_line(line)
        self._is_repairing = self._must_apply_file = True
        self._stated.revert()
        self._release_log()
        self._reload.finish(self._problem)
        if not self._is_handed_over and not self._is_closed:
            self._schedule_start(REPAIR_RETRY_MS)

    def _release_log(self) -> None:
        self._is_live = False
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        log, self._file_log = self._file_log, None
        if log is not None:
            self._folder.release(log)

    def set_handed_over(self, is_handed_over: bool) -> None:
        """Held: a successor goes on with the folder, under a writer's name of its own."""
        if is_handed_over == self._is_handed_over or self._is_closed:
            return
        self._is_handed_over = is_handed_over
        if is_handed_over:
            if self._start_timer is not None:
                self._start_timer.cancel()
                self._start_timer = None
            self._release_log()
            self._reload.finish("a successor goes on")
        else:
            # The successor may have written: what is there now is read.
            self._records = []
            self._schedule_start(0.0)

    def close(self) -> None:
        """For good, before the socket is closed. What was given to the disk is written."""
        self._is_closed = True
        if self._start_timer is not None:
            self._start_timer.cancel()
        self._tables.close()
        self._reload.cancel_timer()
        self._release_log()
        self._folder.close()

    # ------------------------------------------------ events

    def _on_item(self, source: str, item: bytes, now_ms: float) -> None:
        if self._is_live:
            self.replica.on_item(source, item, now_ms)
            self._resume_early_reload()
            self._after_step()

    def _on_durable(self, number: int) -> None:
        if self._file_log is None:
            return
        if self._repair_record and number >= self._repair_record and not self._is_live:
            self._write_line(f"edits: {self._folder.path}: it can be written again")
            self.replica.on_durable(number, self._clock.now_ms())
            self._on_folder_ready()
            return
        self.replica.on_durable(number, self._clock.now_ms())
        if number >= self._log.number:
            self._stated.confirm()
        if self._reload.is_durable(number):
            self._tables.update()
            self._reload.finish("")  # the generation that was read takes over, with these tables
            self._tables.apply()
        self._after_step()

    def _on_timer(self) -> None:
        self._timer = None
        if not self._is_live:
            return
        now = self._clock.now_ms()
        if now >= self._next_verdict_check_ms:
            self._next_verdict_check_ms = now + VERDICT_CHECK_MS
            self._write_verdicts()
        self.replica.tick(now)
        self._after_step()

    def _after_step(self) -> None:
        """After each call of the rules: what is to be written, whether tables have changed, when it goes on."""
        if not self._is_live:
            return
        if self.replica.began is not None:
            began, self.replica.began = self.replica.began, None
            self._write_line(f"edits: {began_line(began)}")
        log = self._file_log
        if log is not None and log.is_long:
            log.compact([self.replica.record(), *self.replica.pending()])
        now = self._clock.now_ms()
        self._tables.schedule(self.replica.moved, now)
        due = max(now, min(self.replica.next_ms, self._next_verdict_check_ms))
        if self._timer is not None:
            if self._timer_due_ms <= due:
                return
            self._timer.cancel()
        self._timer_due_ms = due
        self._timer = self._clock.at(due, self._on_timer)

    def merged(self, options: Operator) -> Operator:
        """The operator file with what counts of routes and pools."""
        return self._tables.over(options)

    # ------------------------------------------------ reloads

    def reload(self, options: Operator, answer: Callable[[str], None]) -> None:
        """The operators' file says this now. `answer` is called once: with why the file can't count, or, when its edits
        would survive a crash and are in force, with nothing.
        """
        self._reload.finish("another reload came")
        if (self._problem == STARTING and not self._is_handed_over) or (
            self._is_live and not self.replica.met
        ):
            self._reload.wait_for_folder(options, answer)
            return
        if not self._is_live:
            why = "a successor goes on" if self._is_handed_over else self._problem
            answer(f"edits: {why}; no edit can be made now, the file before counts")
            return
        tables = tables_of(options)
        before = self._log.number
        try:
            made = self.replica.reload(tables)
            for text in options.edits.settle:
                if text not in self._stated.resolved_names:
                    made += self._resolve(ResolutionTarget(text), tables)
        except EditError as problem:
            answer(f"edits: {problem}; the file before counts")
            return
        self._stated.replace(tables, frozenset(options.edits.settle))
        if self._log.number == before:
            self._stated.confirm()
            answer("")
            return
        self._write_line(f"edits: {made} made of this reload")
        self._reload.wait_for_record(self._log.number, answer)
        self._after_step()

    def _folder_problem(self) -> str:
        if self._is_live:
            return "the folder was empty, and no other balancer was heard that may know more: reload once one is there"
        return "the folder is not open yet; the file before counts"

    def _resolve(self, what: ResolutionTarget, tables: Tables) -> int:
        """The operators have looked at the notices on this, and their file counts."""
        stated = what.stated_fields(tables)
        if stated is not None:
            return self.replica.resolve(what.table, what.name, stated)
        return 0 if what.key else self.replica.remove(what.table, what.name)

    # ------------------------------------------------ the fleet's verdicts

    def _write_verdicts(self) -> None:
        """A split that the fleet has ended is ended by an edit as well, until one who has seen that changes it."""
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

    # ------------------------------------------------ log and status

    def _write_line(self, line: str) -> None:
        self._host.log.write(line)

    def facts(self) -> dict[str, object]:
        """For STATUS."""
        replica, notices = self.replica, self._tables.notices
        fingerprint, differing = self._tables.summary(self._stated.tables)
        return {
            "edits": sum(replica.state.vector.values()),
            "edits_waiting": replica.state.size,
            "edits_tables": fingerprint,
            "edits_told": len(notices),
            "edits_of": names_of(notices) or "none",
            "edits_differs": differing,
            "edits_state": self._state(),
            "edits_away": len(replica.away(self._clock.now_ms())),
            "edits_foreign": len(self._tables.foreign),
            "edits_dropped": ",".join(
                f"{name}:{replica.counts[name]}"
                for name in ("bad", "refused", "other_origin")
                if replica.counts[name]
            )
            or "0",
        }

    def _state(self) -> str:
        if self._is_live:
            return "ok" if self.replica.met else "alone"
        return "-".join(self._problem.split())[:80] or "waiting"


def begin(host: Host, options: Operator) -> Operator:
    """Before the routes are built: the file's options with what counts by the folder."""
    plugin = host.edits = EditsPlugin(host, options)
    return plugin.merged(options)


def attach(host: Host, options: Operator) -> None:
    """Attach the plugin to a balancer that has routes.

    Raises:
        ConfigError: there are no routes to merge.
    """
    plugin = host.edits
    if plugin is None or host.routes is None:
        raise ConfigError("edits.on: this process has no routes to merge")
    host.close_callbacks.insert(0, plugin.close)
    host.status_callbacks.append(plugin.facts)
    host.clock.after(0.0, plugin.start)
