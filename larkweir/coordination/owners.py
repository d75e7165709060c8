"""Attaches the fleet's duties to a balancer: one timer, two channels of the peers' transport, and an acceptor's file on
a thread of its own. Not imported where `[owners]` is off.

No request waits for anything here. A process takes part while the peers' address is its own: a successor finds the
address taken, and begins when this process has handed over.
"""

from __future__ import annotations

from collections.abc import Callable, Sequence
from random import Random
from secrets import randbits
from typing import Protocol

from larkweir_balancing import Balancer
from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_file import AcceptorFile
from larkweir_owners.acceptor_state import AcceptorOutput, AcceptorState
from larkweir_owners.duty_manager import DutyManager
from larkweir_owners.file_system import LockedFolder
from larkweir_owners.lease_timing import LeaseTiming
from larkweir_owners.messages import Incarnation, ReplicaSet
from larkweir_peers.transport import PeerTransport

from larkweir.config.options import Operator
from larkweir.config.peering import keeping
from larkweir.config.platform import Config, ConfigError
from larkweir.coordination.disk_thread import DiskThread
from larkweir.coordination.duties.messages import decode_report
from larkweir.coordination.duties.table import CaptureTasks, HealthSource, TaskContext, create_tasks
from larkweir.coordination.ownership_log import OwnershipLog, status_facts
from larkweir.coordination.task_runner import LoggedTask, TaskRunner
from larkweir.core.clock import Clock, Timer
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.ports import Decisions
from larkweir.core.stderr_log import StderrLog
from larkweir.routes.request_routing import Routes

OWNERS, REPORTS = 1, 4  # channels of the peers' transport
STEP_MS = 250.0  # between two steps of a duty that nothing wakes
REOPEN_MS = 100.0  # until an address or a folder that a predecessor still has is tried again
RELEASE_TIMEOUT_MS = 250.0  # for handing over all duties
RELEASE_CHECK_MS = 5.0
FINGERPRINT_TIMEOUT_MS = 250.0  # that a successor waits for its predecessor's message on the acceptor's file


class Host(Protocol):
    """What a balancer gives to this plugin."""

    config: Config
    clock: Clock
    log: StderrLog
    routes: Routes | None
    dispatcher: Dispatcher
    decisions: Decisions
    peers: PeerTransport | None
    owners: OwnersPlugin | None
    captures: CaptureTasks | None
    close_callbacks: list[Callable[[], None]]
    status_callbacks: list[Callable[[], dict[str, object]]]


class OwnersPlugin:
    """From `attach` to `close`. `pause` and `set_handed_over` may be called at any time."""

    def __init__(self, host: Host, socket: PeerTransport, options: Operator, me: str) -> None:
        """`me`: this process's name among the peers."""
        own = options.owners
        self.me = me
        self.options = own
        self.replica_set = ReplicaSet(1, own.keepers)
        self.is_replica = me in own.keepers
        self.manager: DutyManager | None = None  # while this process takes part
        # Called with the fingerprint of the acceptor's file once that is closed for a successor.
        self.on_file_closed: Callable[[str], None] = lambda fingerprint: None
        self._clock, self._routes, self._socket = host.clock, host.routes, socket
        self._host = host  # captures are attached later
        self._log = OwnershipLog(host.log.write, host.log.write_change, host.clock.now_ms)
        self._rng = Random()
        self._transport = socket.open_channel(OWNERS, self._on_message)
        self._reports = socket.open_channel(REPORTS, self._on_report)
        self._timing = LeaseTiming(lease_ms=own.lease_ms, step_ms=STEP_MS)
        self._runner = TaskRunner({}, me, self._reports.post)
        self._timer: Timer | None = None
        self._due_ms = 0.0
        self._is_suspended = self._is_closed = self._is_handing_over = False
        self._handovers = 0  # how often this process has given the name to a successor, or taken it back
        self._expects_fingerprint = False  # a predecessor may send it
        self._fingerprint = ""
        self._opened_state: AcceptorState | None = None  # waits for it
        self._thread = DiskThread()
        self._file: AcceptorFile | None = None
        self._is_flushing = False
        self._file_fault = ""
        self._begin_timer: Timer | None = self._clock.after(0.0, self._begin)

    # ------------------------------------------------ begin

    def _begin(self) -> None:
        """Take part, once the address is this process's and the acceptor's file, if it is a replica, is open."""
        self._begin_timer = None
        if self._is_closed or self._is_handing_over or self.manager is not None:
            return
        if not self._socket.is_open:
            self._begin_timer = self._clock.after(REOPEN_MS, self._begin)
            return
        if not self.is_replica:
            self._start(None)
            return
        file = AcceptorFile(LockedFolder(self.options.folder), self.replica_set, lambda: randbits(63))
        self._thread.run(lambda: _opened(file), lambda found: self._on_opened(file, found))

    def _on_opened(self, file: AcceptorFile, found: AcceptorState | str) -> None:
        if self._is_closed or self._is_handing_over or self.manager is not None:
            self._close_file(file)
        elif isinstance(found, str):
            if found != self._file_fault:
                self._file_fault = found
                self._log.write(
                    f"owners: {self.options.folder}: {found}; tried again; this process takes no part until then"
                )
            self._close_file(file)
            self._begin_timer = self._clock.after(REOPEN_MS, self._begin)
        else:
            self._file_fault = ""
            self._file, self._opened_state = file, found
            if self._expects_fingerprint and not self._fingerprint:
                self._begin_timer = self._clock.after(FINGERPRINT_TIMEOUT_MS, self._start_acceptor)
            else:
                self._start_acceptor()

    def expect_fingerprint(self) -> None:
        """This process is a successor: `on_predecessor_closed` may be called."""
        self._expects_fingerprint = True

    def on_predecessor_closed(self, fingerprint: str) -> None:
        """The predecessor has closed its file for good. Ignored where that is too late, or of another file."""
        self._fingerprint = fingerprint
        if self._opened_state is not None:
            self._start_acceptor()

    def _start_acceptor(self) -> None:
        """As the acceptor of the open file; it votes at once where the fingerprint says that the file is the newest."""
        if self._begin_timer is not None:
            self._begin_timer.cancel()
            self._begin_timer = None
        state, self._opened_state = self._opened_state, None
        if state is not None:
            self._start(Acceptor(self.me, state, self._fingerprint))
        self._expects_fingerprint, self._fingerprint = False, ""

    def _start(self, acceptor: Acceptor | None) -> None:
        incarnation = randbits(31)
        # The clock, by which incarnations of reports are ordered, goes on over restarts of this process.
        context = TaskContext(
            int(self._clock.now_ms()),
            self._routes,
            self._after_step,
            self._host.captures,
            self.me,
            self._health_source,
        )
        tasks = create_tasks(self.options.duties, context)
        self._runner = TaskRunner(tasks, self.me, self._reports.post)
        self.manager = DutyManager(
            self.me,
            incarnation,
            self.replica_set,
            [LoggedTask(task, self._log.on_committed) for task in tasks.values()],
            self._transport,
            self._rng.random,
            self._sample,
            self._timing,
            acceptor,
        )
        if self._is_suspended:
            self.manager.drain(self._clock.now_ms())
        self._due_ms = self._clock.now_ms()
        self._on_timer()

    def _health_source(self) -> HealthSource:
        from larkweir.coordination.health_sharing import SharedHealthAdapter  # not imported without the duty

        dispatcher = self._host.dispatcher
        return SharedHealthAdapter(
            self._balancers, lambda: dispatcher.upstreams.targets, dispatcher.on_peer_health
        )

    def _balancers(self) -> list[Balancer]:
        if self._routes is not None:
            return [pool.decisions for pool in self._routes.switch.pools.values()]
        return [self._host.decisions] if isinstance(self._host.decisions, Balancer) else []

    def _sample(self, names: Sequence[str], count: int) -> Sequence[str]:
        return self._rng.sample(list(names), min(count, len(names)))

    # ------------------------------------------------ end

    def _stop(self) -> None:
        """Take no part any more; the file is closed after what is being flushed."""
        if self._timer is not None:
            self._timer.cancel()
            self._timer = None
        self._log.on_stopped()
        acceptor = self.manager.acceptor if self.manager is not None else None
        voting_incarnation = acceptor.voting_incarnation if acceptor is not None else None
        self.manager, self._opened_state = None, None  # it answers nobody from here on
        runner, self._runner = self._runner, TaskRunner({}, self.me, self._reports.post)
        file, self._file = self._file, None
        if file is not None:
            self._close_file(file, voting_incarnation)
        runner.leave()

    def _close_file(self, file: AcceptorFile, voting_incarnation: Incarnation | None = None) -> None:
        handovers = self._handovers

        def closed(fingerprint: str) -> None:
            if fingerprint and handovers == self._handovers:
                self.on_file_closed(fingerprint)

        is_reported = voting_incarnation is not None and self._is_handing_over
        self._thread.run(lambda: file.close(voting_incarnation), closed if is_reported else None)

    def pause(self, paused: bool, ends: bool = False) -> None:
        """Paused, or draining towards its end: this process hands over its duties and acquires none; as a replica it
        goes on.
        """
        is_suspended = paused or ends or self._is_handing_over
        if is_suspended == self._is_suspended:
            return
        self._is_suspended = is_suspended
        handing_over = "a successor goes on" if self._is_handing_over else "paused"
        self._log.release_reason = "draining" if ends else handing_over
        if self.manager is None:
            return
        now_ms = self._clock.now_ms()
        if is_suspended:
            self.manager.drain(now_ms)
        else:
            self._log.release_reason = ""
            self.manager.resume(now_ms)
        self._after_step()

    def set_handed_over(self, is_handed_over: bool) -> None:
        """Held: a successor goes on under the name; it gets the address once all duties are handed over."""
        if is_handed_over and not self._is_handing_over:
            self._is_handing_over = True
            self._handovers += 1
            self.pause(False)
            self._wait_released(self._clock.now_ms() + RELEASE_TIMEOUT_MS)
        elif not is_handed_over and self._is_handing_over:
            self._is_handing_over = self._is_suspended = False
            self._handovers += 1
            self._stop()
            self._socket.set_suspended(False)
            if self._begin_timer is not None:
                self._begin_timer.cancel()
            self._begin_timer = self._clock.after(0.0, self._begin)

    def _wait_released(self, deadline_ms: float) -> None:
        if not self._is_handing_over or self._is_closed:
            return
        manager = self.manager
        if manager is not None and manager.owned_duties and self._clock.now_ms() < deadline_ms:
            self._clock.after(RELEASE_CHECK_MS, lambda: self._wait_released(deadline_ms))
            return
        self._stop()
        self._socket.set_suspended(True)

    def close(self) -> None:
        """End for good, before the peers' socket is closed."""
        self._is_closed = True
        if self._begin_timer is not None:
            self._begin_timer.cancel()
        self._stop()
        self._thread.close()

    # ------------------------------------------------ turns of the loop

    def _on_message(self, source: str, item: bytes, now_ms: float) -> None:
        if self.manager is not None:
            self.manager.on_message(source, item, now_ms)
            self._after_step()

    def _on_report(self, source: str, item: bytes, now_ms: float) -> None:
        report = decode_report(item)
        if report is None:
            return
        self._runner.on_report(source, report, now_ms)
        if self.manager is not None:  # an owner's next step may depend on it
            for name in self.manager.owned_duties:
                self.manager.wake(name, now_ms)
            self._after_step()

    def _on_timer(self) -> None:
        self._timer = None
        manager = self.manager
        if manager is None:
            return
        now_ms = self._clock.now_ms()
        lag_ms = now_ms - self._due_ms
        if lag_ms > self._timing.max_lag_ms:
            self._log.release_reason = f"{lag_ms:.0f} ms late"
        manager.on_lag(lag_ms, now_ms)
        self._runner.tick(manager, now_ms)
        manager.tick(now_ms)
        self._after_step()

    def _after_step(self) -> None:
        """After each call of the manager: flush what waits, log what has changed, and set the timer."""
        manager = self.manager
        if manager is None:
            return
        self._flush(manager)
        self._log.update(manager, retains_reason=self._is_suspended)
        due_ms = max(min(manager.next_ms, self._runner.next_ms), self._clock.now_ms())
        if self._timer is not None:
            if self._due_ms <= due_ms:
                return  # it looks again then
            self._timer.cancel()
        self._due_ms = due_ms
        self._timer = self._clock.at(due_ms, self._on_timer)

    def _flush(self, manager: DutyManager) -> None:
        """Write all that waits in one flush, after the one that is under way."""
        file = self._file
        if self._is_flushing or file is None:
            return
        outputs = manager.take_outputs()
        if not outputs:
            return
        self._is_flushing = True
        entries = [entry for output in outputs for entry in output.entries]
        self._thread.run(
            lambda: file.append(entries),
            lambda is_written: self._on_flushed(manager, file, outputs, is_written),
        )

    def _on_flushed(
        self, manager: DutyManager, file: AcceptorFile, outputs: list[AcceptorOutput], is_written: bool
    ) -> None:
        self._is_flushing = False
        if manager is self.manager:
            if is_written:
                manager.on_all_flushed(outputs, self._clock.now_ms())
            else:
                folder = self.options.folder
                self._log.write(f"owners: {folder}: {file.fault}; no keeper until the next start")
                manager.on_flush_failed()
        self._after_step()

    # ------------------------------------------------ for other plugins and operators

    def owned_state(self, name: str) -> tuple[int, int, bytes] | None:
        """Term, number and state of a duty that this process owns; None of any other."""
        if self.manager is None or name not in self.manager.owned_duties:
            return None
        record = self.manager.leaderships[name].record
        return (*record.version, record.value) if record is not None else None

    def facts(self) -> dict[str, object]:
        """For STATUS, one line's worth."""
        if self.manager is None:
            fault = self._file_fault.replace(" ", "-")
            return {"owners": "closed" if self._is_closed else fault or "waiting"}
        return status_facts(self.manager.status())


def _opened(file: AcceptorFile) -> AcceptorState | str:
    """On the disk's thread: the file's state, or why it can't be opened."""
    try:
        return file.open()
    except OSError as problem:
        return problem.strerror or str(problem)


def attach(host: Host, options: Operator) -> None:
    """Attach the plugin, which begins once the peers' socket is open.

    Raises:
        ConfigError: the files don't allow it.
    """
    if host.peers is None:
        raise ConfigError("owners.on: it needs peers: write on = true in [peers], or false here")
    plugin = OwnersPlugin(host, host.peers, options, keeping(options, host.config).name)
    host.owners = plugin
    host.close_callbacks.insert(0, plugin.close)  # it hands over by the peers' socket
    host.status_callbacks.append(plugin.facts)
