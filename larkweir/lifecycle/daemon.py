"""One process: its start, its events and what they make it do, its end.

Signals, timers and what a successor reports are posted as events to `larkweir.lifecycle.state_machine`. Its commands
are carried out here, or passed on to the module whose job they are.
"""

from __future__ import annotations

import asyncio
import gc
import os
import signal
import socket
from collections import deque
from collections.abc import Coroutine, Sequence
from dataclasses import replace
from typing import TYPE_CHECKING

from larkweir.lifecycle import commands, events
from larkweir.lifecycle.config_loader import ConfigGeneration
from larkweir.lifecycle.config_reloader import ConfigReloader
from larkweir.lifecycle.listening_sockets import open_sockets
from larkweir.lifecycle.node import Node
from larkweir.lifecycle.state_machine import ProcessStateMachine, State

if TYPE_CHECKING:  # imported where they are switched on
    from larkweir.lifecycle.channel import HandoverState
    from larkweir.lifecycle.incoming_handover import IncomingHandover
    from larkweir.lifecycle.notify import Notifier
    from larkweir.lifecycle.operator_control import OperatorControl
    from larkweir.lifecycle.outgoing_handover import OutgoingHandover
    from larkweir.lifecycle.upgrade import UpgradeListener

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT, signal.SIGQUIT)


class Daemon:
    """Runs a node until it is told to stop and no request or answer is open any more."""

    POLL_INTERVAL_MS = 10.0  # between two looks for the first list, or for the end of what is open
    MAX_EARLY_EVENTS = 16  # before there is a state machine

    def __init__(
        self,
        generation: ConfigGeneration,
        operator: str | None = None,
        arguments: Sequence[str] = (),
        sockets: Sequence[tuple[str, socket.socket]] = (),
        channel: socket.socket | None = None,
    ) -> None:
        """`operator` is the operator file's path; `arguments` start a successor like this process; `sockets` listen
        already, each with the protocol that it speaks; `channel` leads to a predecessor.
        """
        self.node: Node
        self.sockets: list[tuple[str, socket.socket]] = []
        self.state_machine: ProcessStateMachine | None = None  # none while a predecessor still serves
        self._generation = generation
        self._inherited = list(sockets)
        self._predecessor_socket = channel
        self._is_upgrade = False  # the predecessor is a process that has not started this one
        self._loop = asyncio.get_running_loop()
        self._exit = asyncio.Event()
        self._early: list[events.Event] = []  # posted before there is a state machine
        self._events: deque[events.Event] = deque()
        self._handling = False
        self._closing_idle = False
        self._tasks: set[asyncio.Task[None]] = set()
        self._reloader = ConfigReloader(self, operator)
        self._arguments = arguments
        self._outgoing: OutgoingHandover | None = None
        self._incoming: IncomingHandover | None = None
        self._upgrade_listener: UpgradeListener | None = None
        self._notifier: Notifier | None = None
        self._control: OperatorControl | None = None

    # ------------------------------------------------ start and end

    async def run(self) -> int:
        """Run until told to stop; the exit code. ConfigError where an address that the files name can't be had."""
        self._handle_signals()
        self._find_predecessor()
        if not await self._start():
            return 0
        self._open_control()
        self._freeze()
        self._start_state_machine()
        self._open_upgrade_listener()
        self._poll_first_list()
        self._post_early()
        await self._exit.wait()
        self._close()
        return 0

    def _handle_signals(self) -> None:
        for number in STOP_SIGNALS:
            self._loop.add_signal_handler(number, self.post, events.StopRequested())
        self._loop.add_signal_handler(signal.SIGHUP, self.post, events.ReloadRequested())
        self._loop.add_signal_handler(signal.SIGUSR2, self._on_handover_signal)

    def _find_predecessor(self) -> None:
        """Whether a process of this balancer serves already: then its sockets are this one's, and a channel to it."""
        if self._generation.options.lifecycle.upgrade == "off" or self._predecessor_socket is not None:
            return
        from larkweir.lifecycle.upgrade import find_predecessor  # not imported where it is off

        found = find_predecessor(os.environ, self._generation.config)
        if found is not None:
            self._predecessor_socket, self._inherited = found
            self._is_upgrade = True

    async def _start(self) -> bool:
        """Build the balancer and accept connections; whether this process is to run."""
        if self._predecessor_socket is not None:
            from larkweir.lifecycle.incoming_handover import IncomingHandover

            self._incoming = IncomingHandover(self, self._is_upgrade)
            return await self._incoming.run(self._predecessor_socket)
        self.build_node(None)
        self.open_sockets()
        self.accept()
        self.node.begin()
        return True

    def build_node(self, state: HandoverState | None) -> None:
        """Put the balancer together, with what a predecessor knows, if it says so."""
        config, options = self._generation.config, self._generation.options
        if state is None:
            self.node = Node(config, self._loop, options=options)
            return
        discovery = f"{config.discovery[0]}:{config.discovery[1]}"
        if state.upstream_list and state.discovery == discovery:
            config = replace(config, known=state.upstream_list)
        self.node = Node(config, self._loop, offset_ms=state.offset_ms, options=options)
        self.node.begin(state)

    def open_sockets(self) -> None:
        """Open the listening sockets that the files name; ConfigError where one can't be had."""
        self.sockets = open_sockets(self._generation, self.node.listener, self._inherited)

    def accept(self) -> None:
        """Accept connections on the listening sockets."""
        for protocol, sock in self.sockets:
            self.node.listener.adopt_unix_file(sock)
            self.node.listener.start(sock, make=self.node.connection_types[protocol])

    def discard(self) -> None:
        """Close what was opened for a start that does not take place."""
        self.node.close()
        for _, sock in self.sockets:
            sock.close()
        if self._incoming is not None:
            self._incoming.close()

    def _open_control(self) -> None:
        address = self._generation.config.control
        if address is None:
            return
        from larkweir.lifecycle.operator_control import (
            OperatorControl,
        )  # not imported where no address is named

        waits_for_address = self._incoming is not None and not self._is_upgrade
        self._control = OperatorControl(self, address, waits_for_address)
        self._control.open()

    @staticmethod
    def _freeze() -> None:
        # Guards against collection pauses: what lives from here on is short-lived and holds few cycles.
        gc.collect()
        gc.freeze()
        gc.set_threshold(20_000, 20, 100)

    def _start_state_machine(self) -> None:
        options = self._generation.options.lifecycle
        self.state_machine = ProcessStateMachine(options, self._max_deadline_ms(), self._max_aim_ms())
        if options.notify:
            from larkweir.lifecycle.notify import Notifier, watchdog_ms

            self._notifier = Notifier(os.environ, self.node.clock, self.log)
            self._notifier.watch(watchdog_ms(os.environ, os.getpid()))
        if options.stall_ms:
            from larkweir.lifecycle.stall_watch import StallWatch

            StallWatch(self.node, options.stall_ms, self.log)

    def _open_upgrade_listener(self) -> None:
        options, config = self._generation.options.lifecycle, self._generation.config
        if options.upgrade == "off":
            return
        from larkweir.lifecycle.upgrade import UpgradeListener, socket_path

        path = socket_path(os.environ, config.name, config.listen)
        if path is None:
            return
        try:
            self._upgrade_listener = UpgradeListener(path, self._outgoing_handover().on_upgrade_peer)
        except OSError as problem:  # a new process opens sockets of its own then
            self.log(f"upgrade: {path}: {problem}; a new process will know nothing of this one")

    def _post_early(self) -> None:
        if self._incoming is not None and self._incoming.starts_paused:
            self.post(events.PauseRequested())
        for event in self._early:
            self.post(event)

    def _close(self) -> None:
        for task in list(self._tasks):
            task.cancel()
        if self._upgrade_listener is not None:
            self._upgrade_listener.close()
        if self._control is not None:
            self._control.close()
        self.node.listener.log_truncations("this process ends")
        self.node.close()
        self.node.listener.stop_accepting()
        if self._notifier is not None:
            self._notifier.close()
        if self._incoming is not None:
            self._incoming.close()
        self.node.log.close()

    # ------------------------------------------------ what is asked of it

    @property
    def listening(self) -> bool:
        """Whether it accepts, and has a list to serve from."""
        return self.state_machine is not None and self.node.listener.ready

    @property
    def paused(self) -> bool:
        """Whether an operator has paused this process."""
        return self.state_machine is not None and self.state_machine.paused

    @property
    def stop_requested(self) -> bool:
        """Whether this process was told to stop before it could handle any event."""
        return any(isinstance(event, events.StopRequested) for event in self._early)

    @property
    def is_ending(self) -> bool:
        """Whether the process is about to exit."""
        return self._exit.is_set()

    @property
    def config_fingerprint(self) -> str:
        """Of the configuration in force, where a file of the configuration language says it; else empty."""
        return self._generation.fingerprint

    def is_waiting_for(self, serial: int) -> bool:
        """Whether this successor has not been abandoned."""
        return self.state_machine is not None and self.state_machine.is_waiting_for(serial)

    def log(self, line: str) -> None:
        """Write a line to the log."""
        self.node.log.write(line)

    def run_task(self, work: Coroutine[object, object, None]) -> None:
        """Run something beside the rest; the end of the process cancels it."""
        task = self._loop.create_task(work)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def reclaim_limits(self) -> None:
        """The predecessor is gone: the limits are this process's alone, unless it has a successor."""
        if self._outgoing is None or not self._outgoing.is_active:
            self.node.share_limits(1)

    # ------------------------------------------------ events

    def post(self, event: events.Event) -> None:
        """Handle an event now, or after the one that is being handled."""
        machine = self.state_machine
        if machine is None:
            if len(self._early) < self.MAX_EARLY_EVENTS:
                self._early.append(event)
            return
        self._events.append(event)
        if self._handling:
            return
        self._handling = True
        try:
            while self._events:
                for command in machine.handle(self.node.clock.now_ms(), self._events.popleft()):
                    self._execute(command)
        finally:
            self._handling = False
        if self.node.owners is not None:
            self.node.owners.pause(machine.paused, machine.is_ending)

    def _on_handover_signal(self) -> None:
        self.check_first_list()
        self.post(events.HandoverRequested())

    def check_first_list(self) -> None:
        """Whoever was told yes by `/ready` may ask in the same moment: the first list counts then."""
        machine = self.state_machine
        if machine is not None and machine.state is State.STARTING and self.node.dispatcher.ready:
            self.post(events.ListReady())

    def _poll_first_list(self) -> None:
        if self.node.dispatcher.ready:
            self.post(events.ListReady())
        else:
            self.node.clock.after(self.POLL_INTERVAL_MS, self._poll_first_list)

    def _poll_drained(self) -> None:
        """Close idle connections, and look whether anything is open still."""
        if not self._closing_idle:
            return
        listener = self.node.listener
        listener.end_idle()
        if not self.node.dispatcher.unanswered and not listener.unfinished:
            self.post(events.Drained())
        if self._closing_idle and not self.is_ending:  # a pause goes on for those that come all the same
            self.node.clock.after(self.POLL_INTERVAL_MS, self._poll_drained)

    # ------------------------------------------------ commands

    def _execute(self, command: commands.Command) -> None:
        """Carry out a command of the state machine."""
        match command:
            case commands.Notify(lines=lines):
                self._notify(lines)
            case commands.LogLine(line=line):
                self.log(line)
            case commands.SetTimer():
                self._set_timer(command)
            case commands.LoadConfig(serial=serial):
                self._reloader.load(serial, self._generation)
            case commands.ApplyConfig(serial=serial):
                self._apply_config(serial)
            case commands.SetAccepting(accepting=accepting):
                self._set_accepting(accepting)
            case commands.SetClosing(closing=closing):
                self.node.listener.closing = closing
            case commands.CloseListeners():
                self._close_listeners()
            case commands.SetClosingIdle(closing_idle=closing_idle):
                self._set_closing_idle(closing_idle)
            case commands.ExitProcess():
                self._exit.set()
            case _:
                self._outgoing_handover().execute(command)

    def _outgoing_handover(self) -> OutgoingHandover:
        """Made, and its module imported, where it is asked for first."""
        if self._outgoing is None:
            from larkweir.lifecycle.outgoing_handover import OutgoingHandover

            self._outgoing = OutgoingHandover(self, self._arguments)
        return self._outgoing

    def _notify(self, lines: tuple[str, ...]) -> None:
        if self._notifier is not None:
            self._notifier.send_state(lines, self._outgoing.pid if self._outgoing is not None else 0)

    def _set_timer(self, command: commands.SetTimer) -> None:
        fired = events.TimerFired(command.timer, command.serial)
        self.node.clock.after(command.delay_ms, lambda: self.post(fired))

    def _apply_config(self, serial: int) -> None:
        """A generation takes over. A request that was received before may have a longer deadline than any class now."""
        machine = self.state_machine
        assert machine is not None
        generation = self._generation = self._reloader.take(serial)
        self.node.reconfigure(generation.config, generation.options)
        machine.options = generation.options.lifecycle
        machine.max_deadline_ms = max(machine.max_deadline_ms, self._max_deadline_ms())
        machine.max_aim_ms = max(machine.max_aim_ms, self._max_aim_ms())
        self.log(f"reload: discovery is {self.node.discovery.address}")

    def _max_deadline_ms(self) -> float:
        return max(item.deadline_ms for item in self._generation.config.settings.classes)

    def _max_aim_ms(self) -> float:
        """The longest time from which an answer is worth nothing, so that the decisions wait for none."""
        classes = self._generation.config.settings.classes
        return max(item.deadline_ms if item.late_worth else item.aim_ms for item in classes)

    def _set_accepting(self, accepting: bool) -> None:
        self.node.listener.hand_over(not accepting)
        if self.node.owners is not None:
            self._outgoing_handover().on_accepting(self.node.owners, accepting)
        self.node.set_peers_handed_over(not accepting)

    def _close_listeners(self) -> None:
        self.node.listener.stop_accepting()
        if self._incoming is not None:
            self._incoming.report_stopping()

    def _set_closing_idle(self, closing_idle: bool) -> None:
        before, self._closing_idle = self._closing_idle, closing_idle
        if closing_idle and not before:
            self._poll_drained()
        elif before and not closing_idle:
            self.node.listener.end_draining()
