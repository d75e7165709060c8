"""Drives a replica: sends its messages, writes its records to disk, and completes the calls that wait for it."""

from __future__ import annotations

import asyncio
import dataclasses
import itertools
import os
from collections.abc import Callable, Iterable
from random import Random
from time import perf_counter

from larkweir_replication.effects import (
    CommandFinished,
    CommandOutcome,
    Committed,
    Persist,
    ReadFinished,
    Send,
)
from larkweir_replication.journal import Journal
from larkweir_replication.journal_files import FolderFiles
from larkweir_replication.messages import Command, Message, Snapshot
from larkweir_replication.replica import Replica
from larkweir_replication.status import ReplicaStatus
from larkweir_replication.timing import Timing
from result import Err, Result

from larkweir.cluster import log
from larkweir.cluster.configuration.changes import Rejection
from larkweir.cluster.configuration.commands import apply_command
from larkweir.cluster.process_start import process_started_ms
from larkweir.cluster.settings import Settings
from larkweir.controller.call_outcome import UNKNOWN, CallOutcome, Completed, Rejected
from larkweir.controller.clock import now_ms
from larkweir.controller.disk_writer import DiskWriter

REPLICA_FOLDER = "replica"
COMMAND_TOO_OLD_STATUS = 503
MAX_LEAVE_FRACTION = 0.75  # of the time until the platform kills this process; the rest is for last messages
LEAVE_POLL_INTERVAL_S = 0.04


class ReplicaDriver:
    """The replica of this controller.

    Attributes:
        replica: the state machine that this driver runs.
        disk: writes the replica's records.
        is_first_start: whether this start creates the controller group, so that no earlier state can have been lost.
    """

    def __init__(
        self,
        settings: Settings,
        send: Callable[[str, Message], None],
        on_committed: Callable[[Snapshot], None],
    ) -> None:
        """Reads the journal. Both callbacks may be called before the constructor returns.

        Raises:
            OSError: if the journal can't be read.
        """
        self._send = send
        self._on_committed = on_committed
        self._tickets = itertools.count(1)
        self._calls: dict[int, asyncio.Future[CallOutcome]] = {}  # by ticket
        assert settings.data_dir is not None
        files = FolderFiles(os.path.join(settings.data_dir, REPLICA_FOLDER))
        journal = Journal(files)
        self.is_first_start = settings.bootstrap and journal.is_blank
        self.replica = _create_replica(settings, journal, is_first_start=self.is_first_start)
        loop = asyncio.get_running_loop()
        self.disk = DiskWriter(journal, files, loop, self._persisted, self._persist_failed)
        self._status = self.replica.status
        log.event(
            "replica_started",
            status=self._status,
            sequence=_newest_sequence(journal),
            dropped=journal.unreadable_bytes,
            damaged=journal.is_damaged,
        )
        self._perform_effects()

    def tick(self) -> None:
        """Advances the replica's timers. Must be called every few tens of milliseconds."""
        self.replica.tick(now_ms())
        self._perform_effects()

    def receive(self, sender: str, message: Message) -> None:
        """Passes a message from another controller to the replica."""
        self.replica.receive(sender, message, now_ms())
        self._perform_effects()

    def is_primary(self) -> bool:
        """Returns whether this replica is the primary."""
        return self.replica.status is ReplicaStatus.PRIMARY

    def leased_term(self, present_ms: float) -> tuple[int, str] | None:
        """Returns the epoch's number and node while the lease rules out any other primary, else None."""
        replica = self.replica
        if not (self.is_primary() and replica.is_lease_valid(present_ms)):
            return None
        return replica.promised.number, replica.promised.node

    def members(self) -> tuple[str, ...]:
        """Returns the voting controllers that this one knows."""
        accepted = self.replica.accepted
        return accepted.members if accepted is not None else ()

    def on_partial_messages(self, senders: Iterable[str]) -> None:
        """Counts nodes as alive while large messages from them are arriving, as their heartbeats are queued behind."""
        for sender in senders:
            self.replica.on_partial_message(sender, now_ms())

    def _persisted(self, token: int) -> None:
        self.replica.on_persisted(token, now_ms())
        self._perform_effects()

    def _persist_failed(self, token: int) -> None:
        self.replica.on_persist_failed(token)
        self._perform_effects()

    def _perform_effects(self) -> None:
        """Performs the effects that the replica has requested, and logs a change of its status."""
        for effect in self.replica.take_effects():
            match effect:
                case Send(node, message):
                    self._send(node, message)
                case Persist(token, durable):
                    self.disk.write_record(token, durable)
                case Committed(snapshot):
                    self._on_committed(snapshot)
                case CommandFinished(ticket, verdict, reason):
                    self._complete(ticket, _outcome_of(verdict, reason))
                case ReadFinished(ticket, None):
                    self._complete(ticket, UNKNOWN)
                case ReadFinished(ticket, Snapshot(value=value)):
                    self._complete(ticket, Completed(value))
        if self.replica.status is not self._status:
            self._status = self.replica.status
            log.event("replica_status", status=self._status, epoch=self.replica.promised.number)

    def _complete(self, ticket: int, outcome: CallOutcome) -> None:
        call = self._calls.pop(ticket, None)
        if call is not None and not call.done():
            call.set_result(outcome)

    async def call(self, command: Command | None) -> CallOutcome:
        """Carries out a command at this replica, or reads the configuration if `command` is None.

        The outcome is unknown if this replica is not the primary. There is no time-out: the caller must set one.
        """
        ticket = next(self._tickets)
        call: asyncio.Future[CallOutcome] = asyncio.get_running_loop().create_future()
        self._calls[ticket] = call
        try:
            if command is not None:
                is_accepted = self.replica.submit(ticket, command, now_ms())
            else:
                is_accepted = self.replica.read(ticket, now_ms())
            self._perform_effects()
            return await call if is_accepted else UNKNOWN
        finally:
            self._calls.pop(ticket, None)

    async def leave(self) -> None:
        """Prepares a planned shutdown; returns when this process may end.

        Another replica becomes the primary, and a standby, if there is one, replaces this replica as a member.
        """
        self.replica.leave(now_ms())
        self._perform_effects()
        while (reason := self.replica.departure_reason(now_ms())) is None:
            await asyncio.sleep(LEAVE_POLL_INTERVAL_S)
        log.event("replica_left", reason=reason)
        self.replica.resign(now_ms())
        self._perform_effects()
        await asyncio.sleep(LEAVE_POLL_INTERVAL_S)  # lets the last messages be sent

    def close(self) -> None:
        """Stops the disk thread."""
        self.disk.close()


def _create_replica(settings: Settings, journal: Journal, *, is_first_start: bool) -> Replica:
    return Replica(
        settings.ip,
        _evaluate_change,
        Random(),
        now_ms(),
        stored_state=journal.newest,
        first_members=settings.seed_nodes if is_first_start else None,
        known_nodes=(*settings.seed_nodes, *journal.last_known_members),
        target_member_count=2 * settings.fault_tolerance.machines + 1,
        timing=_timing(settings.bounds.grace_s),
        process_start_ms=process_started_ms(now_ms()),
    )


def _evaluate_change(value: str, change: str) -> Result[str, object]:
    started_s = perf_counter()
    result = apply_command(value, change)
    rejection = result.unwrap_err() if isinstance(result, Err) else None
    log.event(
        "change_evaluated",
        bytes=len(change),
        took_ms=round(1000.0 * (perf_counter() - started_s), 1),
        rejected=rejection.detail if isinstance(rejection, Rejection) else None,
    )
    return result


def _timing(grace_s: float) -> Timing:
    """Returns the default timing, with leaving limited to finish before the platform kills the process (`grace_s`)."""
    timing = Timing()
    max_leave_ms = min(timing.max_leave_ms, MAX_LEAVE_FRACTION * 1000.0 * grace_s)
    return dataclasses.replace(timing, max_leave_ms=max_leave_ms)


def _newest_sequence(journal: Journal) -> int:
    return journal.newest.snapshot.sequence if journal.newest and journal.newest.snapshot else -1


def _outcome_of(verdict: CommandOutcome, reason: object) -> CallOutcome:
    match verdict:
        case CommandOutcome.COMMITTED:
            return Completed()
        case CommandOutcome.REJECTED:
            assert isinstance(reason, Rejection)
            return Rejected(int(reason.reason), reason.detail)
        case CommandOutcome.UNKNOWN:
            return UNKNOWN
        case CommandOutcome.TOO_OLD:
            detail = "it builds on a version too old to tell whether it was taken"
            return Rejected(COMMAND_TOO_OLD_STATUS, detail)
