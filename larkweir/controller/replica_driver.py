"""Drives a replica: its messages over links, its records to the disk, its answers to those who wait."""

from __future__ import annotations

import asyncio
import itertools
import os
from collections.abc import Callable
from random import Random

from larkweir_replication.effects import Committed, Decided, Persist, ReadDone, Send, Verdict
from larkweir_replication.journal import FolderFiles, Journal
from larkweir_replication.messages import Command, Message, Snapshot
from larkweir_replication.replica import Replica

from larkweir.cluster import log
from larkweir.cluster.birth import born_ms
from larkweir.cluster.configuration.changes import Refused, apply_change
from larkweir.cluster.messages import Forwarded
from larkweir.cluster.settings import Settings
from larkweir.controller.disk_writer import DiskWriter

FOLDER = "replica"
OK = 200
UNKNOWN = 0
STATUS_TOO_OLD = 503


class ReplicaDriver:
    """The replica of this controller."""

    def __init__(
        self,
        settings: Settings,
        send: Callable[[str, Message], None],
        on_committed: Callable[[Snapshot], None],
    ) -> None:
        """Reads the disk; OSError where it can't be read."""
        self._loop = asyncio.get_running_loop()
        self._send = send
        self._on_committed = on_committed
        self._tickets = itertools.count(1)
        self._calls: dict[int, asyncio.Future[Forwarded]] = {}
        assert settings.data_dir is not None
        self._files = FolderFiles(os.path.join(settings.data_dir, FOLDER))
        journal = Journal(self._files)
        self.replica = Replica(
            settings.ip,
            apply_change,
            Random(),
            self._now_ms(),
            stored=journal.newest,
            first_members=settings.seed_nodes if settings.bootstrap and journal.is_blank else None,
            known=(*settings.seed_nodes, *journal.members_once),
            members_wanted=2 * settings.fault_tolerance.machines + 1,
            born_ms=born_ms(self._now_ms()),
        )
        self._disk = DiskWriter(journal, self._files, self._loop, self._persisted, self._persist_failed)
        self._status = self.replica.status
        log.event(
            "replica_started",
            status=self._status,
            sequence=_sequence(journal),
            dropped=journal.dropped,
            damaged=journal.damaged,
        )
        self.carry_out()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def tick(self) -> None:
        """To be called every few tens of milliseconds."""
        self.replica.tick(self._now_ms())
        self.carry_out()

    def receive(self, sender: str, message: Message) -> None:
        """From another controller."""
        self.replica.receive(sender, message, self._now_ms())
        self.carry_out()

    def _persisted(self, token: int) -> None:
        self.replica.persisted(token, self._now_ms())
        self.carry_out()

    def _persist_failed(self, token: int) -> None:
        self.replica.persist_failed(token)
        self.carry_out()

    def carry_out(self) -> None:
        """Does what the replica wants done."""
        for effect in self.replica.take_effects():
            match effect:
                case Send(node, message):
                    self._send(node, message)
                case Persist(token, durable):
                    self._disk.write_record(token, durable)
                case Committed(snapshot):
                    self._on_committed(snapshot)
                case Decided(ticket, verdict, reason):
                    self._complete(ticket, _answer_of(ticket, verdict, reason))
                case ReadDone(ticket, snapshot):
                    found = Forwarded(ticket, UNKNOWN if snapshot is None else OK)
                    if snapshot is not None:
                        found = Forwarded(ticket, OK, value=snapshot.value)
                    self._complete(ticket, found)
        if self.replica.status is not self._status:
            self._status = self.replica.status
            log.event("replica_status", status=self._status, epoch=self.replica.promised.number)

    def _complete(self, ticket: int, answer: Forwarded) -> None:
        call = self._calls.pop(ticket, None)
        if call is not None and not call.done():
            call.set_result(answer)

    async def call(self, command: Command | None) -> Forwarded:
        """A command, or a read where there is none, at this replica as the primary; unknown where it is not.

        The caller bounds the time.
        """
        ticket = next(self._tickets)
        call: asyncio.Future[Forwarded] = self._loop.create_future()
        self._calls[ticket] = call
        try:
            now_ms = self._now_ms()
            if command is not None:
                is_accepted = self.replica.submit(ticket, command, now_ms)
            else:
                is_accepted = self.replica.read(ticket, now_ms)
            self.carry_out()
            return await call if is_accepted else Forwarded(ticket, UNKNOWN)
        finally:
            self._calls.pop(ticket, None)

    def read_hint(self, name: str) -> bytes | None:
        """What `write_hint` left in an earlier life; None for nothing."""
        try:
            return self._files.read(name)
        except OSError:
            return None

    def write_hint(self, name: str, data: bytes) -> None:
        """Leaves something on disk that may be lost."""
        self._disk.write_hint(name, data)

    def leave(self) -> None:
        """Prepares a planned end: another leads, and takes this one's place where it can."""
        self.replica.leave(self._now_ms())
        self.carry_out()

    def resign(self) -> None:
        """Gives leadership back."""
        self.replica.resign(self._now_ms())
        self.carry_out()

    def close(self) -> None:
        """Ends the disk's thread."""
        self._disk.close()


def _sequence(journal: Journal) -> int:
    return journal.newest.snapshot.sequence if journal.newest and journal.newest.snapshot else -1


def _answer_of(ticket: int, verdict: Verdict, reason: object) -> Forwarded:
    match verdict:
        case Verdict.ACCEPTED:
            return Forwarded(ticket, OK)
        case Verdict.REJECTED:
            assert isinstance(reason, Refused)
            return Forwarded(ticket, int(reason.refusal), reason.detail)
        case Verdict.UNKNOWN:
            return Forwarded(ticket, UNKNOWN)
        case Verdict.FORGOTTEN:
            return Forwarded(
                ticket, STATUS_TOO_OLD, "it builds on a version too old to tell whether it was taken"
            )
