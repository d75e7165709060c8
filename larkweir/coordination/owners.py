"""Hands: the fleet's owners as a part of a balancer: one timer, the mail of two channels, and the keeper's disk on a
thread of its own. Not imported where `[owners]` is off.

What is under way here no request waits for. This life takes part while the peers' address is its own: a successor
comes up, finds the address taken, and begins when this one has handed over.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable, Sequence
from concurrent.futures import Future, ThreadPoolExecutor
from contextlib import suppress
from random import Random
from secrets import randbits
from typing import Protocol, TypeVar

from larkweir_balancing import Balancer
from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_file import AcceptorFile
from larkweir_owners.acceptor_state import AcceptorOutput, AcceptorState
from larkweir_owners.duty_manager import DutyManager
from larkweir_owners.file_system import LockedFolder
from larkweir_owners.lease_timing import LeaseTiming
from larkweir_owners.messages import Incarnation, ReplicaSet, Version
from larkweir_peers.hands import Socket

from larkweir.config.options import Operator
from larkweir.config.peering import keeping
from larkweir.config.platform import Config, ConfigError
from larkweir.coordination.duties.messages import Report, decode_report, encode_report
from larkweir.coordination.duties.ports import FleetTask
from larkweir.coordination.duties.table import CaptureTasks, HealthSource, TaskContext, create_tasks
from larkweir.core.clock import Clock, Timer
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.ports import Decisions
from larkweir.core.stderr_log import StderrLog
from larkweir.routes.hands import Routes

T = TypeVar("T")
OWNERS, REPORTS = 1, 4  # channels of the peers' mail
STEP_MS = 250.0  # between two looks at a duty that nothing has come for
RESEND_MS = 100.0  # until a folder that a predecessor still has is tried again
LEAVE_MS = 250.0  # for handing over, at the most
KEPT_MS = 250.0  # that a successor waits for its predecessor's word on the keeper's file
MOST_SAID = 5  # lines on effects, a second: the log takes ten, and who owns is to be told beside them


class Host(Protocol):
    """What a balancer gives to this part."""

    config: Config
    clock: Clock
    log: StderrLog
    routes: Routes | None
    dispatcher: Dispatcher
    decisions: Decisions
    peers: Socket | None
    owners: Part | None
    captures: CaptureTasks | None
    closers: list[Callable[[], None]]
    facts: list[Callable[[], dict[str, object]]]


class _Told:
    """A duty, with what is taken told to the log."""

    def __init__(self, work: FleetTask, say: Callable[[str], None]) -> None:
        self.work = work
        self.name = work.name
        self._say = say

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        return self.work.step(state, now_ms)

    def on_committed(self, state: bytes, version: Version) -> None:
        self.work.on_committed(state, version)
        if state and self.work.is_notable():
            self._say(f"owners: {self.name} {version[0]}.{version[1]} taken")


class Part:
    """From `attach` to `close`. `pause` and `hold` may be called at any time."""

    def __init__(self, host: Host, socket: Socket, options: Operator, me: str) -> None:
        own = options.owners
        self.me = me
        self.options = own
        self.keepers = ReplicaSet(1, own.keepers)
        self.keeps = me in own.keepers
        self._clock, self._log, self._routes = host.clock, host.log, host.routes
        self._socket = socket
        self._host = host  # captures are plugged in later
        self._loop = asyncio.get_running_loop()
        self._rng = Random()
        self._mail = socket.mail(OWNERS, self._came)
        self._reports = socket.mail(REPORTS, self._reported)
        self._times = LeaseTiming(lease_ms=own.lease_ms, step_ms=STEP_MS)
        self.owners: DutyManager | None = None
        self.works: dict[str, FleetTask] = {}
        self._timer: Timer | None = None
        self._due_ms = 0.0
        self._owned: dict[str, int] = {}  # with their terms
        self._why = ""  # the next that is given up is given up for this
        self._rests = self._closed = self._leaving = False
        self.kept: Callable[[str], None] = (
            lambda mark: None
        )  # told of the file once it is closed for a successor
        self._expects = False  # a predecessor may tell that
        self._mark = ""
        self._found: AcceptorState | None = None  # waits for it
        self._holds = 0  # how often this life has given the name to a successor, or taken it back
        self._thread: ThreadPoolExecutor | None = None
        self._file: AcceptorFile | None = None
        self._flushing = False
        self._trouble = ""
        self._mode = ""  # of the keeper, as the log has it
        self._said = 0
        self._said_ms = 0.0
        self._fired: Timer | None = self._clock.after(0.0, self._begin)

    # ------------------------------------------------ begin, end

    def _begin(self) -> None:
        """Once the address is this life's, and the keeper's file open where it is one."""
        self._fired = None
        if self._closed or self._leaving or self.owners is not None:
            return
        if not self._socket.open:
            self._fired = self._clock.after(RESEND_MS, self._begin)
            return
        if not self.keeps:
            self._build(None)
            return
        self._thread = self._thread or ThreadPoolExecutor(1, "keeper")
        file = AcceptorFile(LockedFolder(self.options.folder), self.keepers, lambda: randbits(63))
        self._then(self._thread.submit(_opened, file), lambda found: self._opened(file, found))

    def _opened(self, file: AcceptorFile, found: AcceptorState | str) -> None:
        if self._closed or self._leaving or self.owners is not None:
            self._shut(file)
        elif isinstance(found, str):
            if found != self._trouble:
                self._trouble = found
                self._say(
                    f"owners: {self.options.folder}: {found}; tried again; this process takes no part until then"
                )
            self._shut(file)
            self._fired = self._clock.after(RESEND_MS, self._begin)
        else:
            self._trouble = ""
            self._file, self._found = file, found
            if self._expects and not self._mark:
                self._fired = self._clock.after(KEPT_MS, self._vote)
            else:
                self._vote()

    def expect(self) -> None:
        """This life is a successor: it may be told what its predecessor's keeper has closed."""
        self._expects = True

    def told(self, mark: str) -> None:
        """By the predecessor, which has closed its file for good. Nothing where that is too late, or not this file."""
        self._mark = mark
        if self._found is not None:
            self._vote()

    def _vote(self) -> None:
        """As the keeper of the file that is open; at once where the mark says that it is the newest there is."""
        if self._fired is not None:
            self._fired.cancel()
            self._fired = None
        found, self._found = self._found, None
        if found is not None:
            self._build(Acceptor(self.me, found, self._mark))
        self._expects, self._mark = False, ""

    def _build(self, keeper: Acceptor | None) -> None:
        life = randbits(31)
        # The clock, by which lives of reports count, goes on over this process's lives.
        seat = TaskContext(
            int(self._clock.now_ms()), self._routes, self._settle, self._host.captures, self.me, self._scout
        )
        self.works = create_tasks(self.options.duties, seat)
        self.owners = DutyManager(
            self.me,
            life,
            self.keepers,
            [_Told(work, self._tell) for work in self.works.values()],
            self._mail,
            self._rng.random,
            self._pick,
            self._times,
            keeper,
        )
        if self._rests:
            self.owners.drain(self._clock.now_ms())
        self._due_ms = self._clock.now_ms()
        self._turn()

    def _scout(self) -> HealthSource:
        from larkweir.coordination.scouting import (
            SharedHealthAdapter,  # what is not taken part in is not imported
        )

        dispatcher = self._host.dispatcher
        return SharedHealthAdapter(self._deciding, lambda: dispatcher.upstreams.targets, dispatcher.heard)

    def _deciding(self) -> list[Balancer]:
        if self._routes is not None:
            return [pool.decisions for pool in self._routes.switch.pools.values()]
        return [self._host.decisions] if isinstance(self._host.decisions, Balancer) else []

    def _pick(self, names: Sequence[str], most: int) -> Sequence[str]:
        return self._rng.sample(list(names), min(most, len(names)))

    def _stop(self) -> None:
        """Nothing of it any more; the file is closed behind what is being flushed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        for name in self._owned:
            self._say(f"owners: {name} given up: not handed over in time")
        works, self.works = self.works, {}
        keeper = self.owners.acceptor if self.owners is not None else None
        votes_as = keeper.voting_incarnation if keeper is not None else None
        self.owners, self._owned, self._mode, self._found = (
            None,
            {},
            "",
            None,
        )  # it answers nobody from here on
        file, self._file = self._file, None
        if file is not None:
            self._shut(file, votes_as)
        for work in works.values():
            work.on_left_fleet()

    def _shut(self, file: AcceptorFile, votes_as: Incarnation | None = None) -> None:
        assert self._thread is not None
        holds, done = self._holds, self._thread.submit(file.close, votes_as)
        if votes_as is not None and self._leaving:
            self._then(done, lambda mark: self.kept(mark) if mark and holds == self._holds else None)

    def pause(self, paused: bool, ends: bool = False) -> None:
        """Paused, or draining towards its end: it hands over what it owns and takes nothing; it goes on as a keeper."""
        rests = paused or ends or self._leaving
        if rests == self._rests:
            return
        self._rests = rests
        self._why = "draining" if ends else "a successor goes on" if self._leaving else "paused"
        if self.owners is None:
            return
        now = self._clock.now_ms()
        if rests:
            self.owners.drain(now)
        else:
            self._why = ""
            self.owners.resume(now)
        self._settle()

    def hold(self, held: bool) -> None:
        """Held: a successor goes on under the name; it gets the address once all is handed over."""
        if held and not self._leaving:
            self._leaving = True
            self._holds += 1
            self.pause(False)
            self._left(self._clock.now_ms() + LEAVE_MS)
        elif not held and self._leaving:
            self._leaving = self._rests = False
            self._holds += 1
            self._stop()
            self._socket.hold(False)
            if self._fired is not None:
                self._fired.cancel()
            self._fired = self._clock.after(0.0, self._begin)

    def _left(self, until_ms: float) -> None:
        if not self._leaving or self._closed:
            return
        if self.owners is not None and self.owners.owned_duties and self._clock.now_ms() < until_ms:
            self._clock.after(5.0, lambda: self._left(until_ms))
            return
        self._stop()
        self._socket.hold(True)

    def close(self) -> None:
        """For good, before the socket is closed."""
        self._closed = True
        if self._fired is not None:
            self._fired.cancel()
        self._stop()
        if self._thread is not None:
            self._thread.shutdown(wait=False)

    # ------------------------------------------------ turns

    def _came(self, source: str, item: bytes, now_ms: float) -> None:
        if self.owners is not None:
            self.owners.on_message(source, item, now_ms)
            self._settle()

    def _reported(self, source: str, item: bytes, now_ms: float) -> None:
        report = decode_report(item)
        if report is not None:
            for work in self.works.values():
                work.on_report(source, report, now_ms)
            self._poke(now_ms)

    def _turn(self) -> None:
        self._timer = None
        owners = self.owners
        if owners is None:
            return
        now = self._clock.now_ms()
        if now - self._due_ms > self._times.max_lag_ms:
            self._why = f"{now - self._due_ms:.0f} ms late"
        owners.on_lag(now - self._due_ms, now)
        for name, work in self.works.items():
            if now >= work.next_ms:
                for report in work.tick(now):
                    self._report(name, report, now)
                owners.wake(name, now)
        owners.tick(now)
        self._settle()

    def _poke(self, now_ms: float) -> None:
        """Something has come that an owner's next step may rest on."""
        if self.owners is not None:
            for name in self.owners.owned_duties:
                self.owners.wake(name, now_ms)
            self._settle()

    def _report(self, name: str, report: Report, now_ms: float) -> None:
        assert self.owners is not None
        record = self.owners.replicator.records.get(name)
        if record is None or not record.owner:
            return
        if record.owner == self.me:
            self.works[name].on_report(self.me, report, now_ms)
        else:
            self._reports.post(record.owner, encode_report(report))

    def _settle(self) -> None:
        """After each call of the rules: what is to be flushed, who owns what now, when it goes on."""
        owners = self.owners
        if owners is None:
            return
        self._flush()
        if owners.acceptor is not None and owners.acceptor.mode != self._mode:
            self._mode = owners.acceptor.mode
            self._say(f"owners: keeper: {self._mode}")
        self._compare(owners)
        due = min(owners.next_ms, *(work.next_ms for work in self.works.values()), float("inf"))
        now = self._clock.now_ms()
        due = max(due, now)
        if self._timer is not None:
            if self._due_ms <= due:
                return  # it looks again then
            self._timer.cancel()
        self._due_ms = due
        self._timer = self._clock.at(due, self._turn)

    def _compare(self, owners: DutyManager) -> None:
        owned = {}
        for name in owners.owned_duties:
            record = owners.leaderships[name].record
            owned[name] = record.term if record is not None else 0
        if owned == self._owned:
            return
        for name in self._owned:
            if name not in owned:
                record = owners.leaderships[name].record
                by = f"{record.owner} has it" if record is not None and record.owner else "handed over"
                self._say(f"owners: {name} given up: {self._why or by}")
                self._why = self._why if self._rests else ""
        for name, term in owned.items():
            if self._owned.get(name) != term:
                self._say(f"owners: {name} owned here, term {term}")
        self._owned = owned

    # ------------------------------------------------ the disk

    def _flush(self) -> None:
        """All that waits in one flush, behind the one that is under way."""
        if self._flushing or self.owners is None or self._file is None or self._thread is None:
            return
        steps = self.owners.take_outputs()
        if not steps:
            return
        self._flushing = True
        owners, file = self.owners, self._file
        entries = [entry for step in steps for entry in step.entries]
        done = self._thread.submit(file.append, entries)
        self._then(done, lambda well: self._flushed(owners, file, steps, well))

    def _flushed(
        self, owners: DutyManager, file: AcceptorFile, steps: list[AcceptorOutput], well: bool
    ) -> None:
        self._flushing = False
        if owners is self.owners:
            if well:
                now = self._clock.now_ms()
                owners.on_all_flushed(steps, now)
            else:
                self._say(f"owners: {self.options.folder}: {file.fault}; no keeper until the next start")
                owners.on_flush_failed()
        self._settle()

    def _then(self, done: Future[T], then: Callable[[T], None]) -> None:
        """Back from the thread, in a turn of the loop; nothing where the loop is over."""

        def over(future: Future[T]) -> None:
            with suppress(RuntimeError):
                self._loop.call_soon_threadsafe(lambda: then(future.result()))

        done.add_done_callback(over)

    # ------------------------------------------------ words

    def _say(self, line: str) -> None:
        self._log.write(line)

    def _tell(self, line: str) -> None:
        """Of effects: so many a second, whatever an owner does."""
        now = self._clock.now_ms()
        if now - self._said_ms >= 1000.0:
            self._said, self._said_ms = 0, now
        self._said += 1
        if self._said <= MOST_SAID:
            self._say(line)

    def holds(self, name: str) -> tuple[int, int, bytes] | None:
        """Term, number and state of a duty that is owned here."""
        if self.owners is None or name not in self.owners.owned_duties:
            return None
        record = self.owners.leaderships[name].record
        return (*record.version, record.value) if record is not None else None

    def facts(self) -> dict[str, object]:
        """For STATUS, one line's worth."""
        if self.owners is None:
            return {"owners": "closed" if self._closed else self._trouble.replace(" ", "-") or "waiting"}
        status = self.owners.status()
        duties = ",".join(
            f"{name}:{of.phase}:{of.owner or 'nobody'}:{of.term}.{of.number}"
            for name, of in status.duties.items()
        )
        found: dict[str, object] = {
            "owners": duties or "none",
            "owners_majority": int(status.has_majority),
            "owners_keeper": status.mode or "no",
            "owners_epoch": status.epoch,
        }
        wrong = {"late": status.stale_updates, "dropped": status.dropped}
        wrong |= {f"{name}_failed": of.failed_steps for name, of in status.duties.items()}
        told = ",".join(f"{name}:{count}" for name, count in wrong.items() if count)
        return found | {"owners_dropped": told or "0"}


def _opened(file: AcceptorFile) -> AcceptorState | str:
    """On the keeper's thread: the disk, or why not."""
    try:
        return file.open()
    except OSError as problem:
        return problem.strerror or str(problem)


def attach(host: Host, options: Operator) -> None:
    """The part, which begins once the peers' socket is open. ConfigError where the files don't do."""
    if host.peers is None:
        raise ConfigError("owners.on: it needs peers: write on = true in [peers], or false here")
    part = Part(host, host.peers, options, keeping(options, host.config).name)
    host.owners = part
    host.closers.insert(0, part.close)  # it hands over by the peers' socket
    host.facts.append(part.facts)
