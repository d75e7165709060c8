"""The life of one process as a state machine: what each signal, deadline and report of a successor does in each state.

Events go in with the time in milliseconds, commands come out in the order in which they are to be carried out. Pure
logic: nothing here reads a clock, a file or a socket.

    starting -> ready <-> reloading
                ready  -> handing over -> draining     a successor has taken the sockets over
                          handing over -> ready        it has not
    any but stopping   -> draining -> stopping         told to stop
    draining (handed over) -> ready                    the successor died before this process had ended

A pause is independent of these states: it drains the process of its callers and keeps everything else, until it is
resumed, told to stop, or handed over. An upgrade is a handover to a process that somebody else has started: it takes
new connections, and this process serves its open ones until it is told to stop.
"""

from __future__ import annotations

from enum import Enum

from larkweir.config.options import Lifecycle as Options
from larkweir.lifecycle.commands import (
    MAIN_PID,
    RELOADING,
    SUCCESSOR_PID,
    AbandonSuccessor,
    AcceptUpgrade,
    ApplyConfig,
    CloseListeners,
    Command,
    CommitHandover,
    ExitProcess,
    ForwardReload,
    LoadConfig,
    LogLine,
    Notify,
    RejectUpgrade,
    SetAccepting,
    SetClosing,
    SetClosingIdle,
    SetTimer,
    StartSuccessor,
)
from larkweir.lifecycle.events import (
    SUCCESSOR_TIMERS,
    ConfigLoaded,
    Drained,
    Event,
    HandoverRequested,
    ListReady,
    PauseRequested,
    ReloadRequested,
    ResumeRequested,
    StopRequested,
    SuccessorAccepted,
    SuccessorEvent,
    SuccessorLost,
    SuccessorReady,
    SuccessorStopping,
    Timer,
    TimerFired,
    UpgradeRequested,
)


class State(Enum):
    """The states of a process; STATUS shows their values."""

    STARTING = "starting"
    READY = "ready"
    RELOADING = "reloading"
    HANDING_OVER = "handing over"
    DRAINING = "draining"
    STOPPING = "stopping"


class ProcessStateMachine:
    """The states of one process, and what was asked for in them. Times are milliseconds of one monotonic clock."""

    CONFIG_LOAD_MS = 10_000.0  # for the files to be read: a disk may hang
    LAST_ANSWERS_MS = 100.0  # past the longest deadline, for the last answers to be read
    SUCCESSOR_ACCEPT_MS = 2_000.0  # for a successor to accept, before this process accepts beside it
    EXTEND_INTERVAL_MS = 1_000.0  # between two notices to the service manager that a drain still goes on
    EXTEND_MARGIN_MS = 2_000.0  # that these notices ask for beyond what is expected

    def __init__(self, options: Options, max_deadline_ms: float, max_aim_ms: float = 0.0) -> None:
        """`max_deadline_ms` is the longest deadline of any class, for which a drain may have to wait; `max_aim_ms` the
        longest time after which an answer is worth nothing, so that none is waited for (0: the longest deadline).
        """
        self.state = State.STARTING
        self.paused = False
        self.options = options
        self.max_deadline_ms = max_deadline_ms
        self.max_aim_ms = max_aim_ms or max_deadline_ms
        self._has_list = False  # there was a list once, and ready was reported
        self._serial = 0  # of the last load, successor or drain
        self._reload_pending = False  # asked for meanwhile, and so are these two
        self._handover_pending = False
        self._upgrade_pending = False
        self._successor_serial = 0  # of the successor that is alive, 0 if there is none
        self._is_upgrade = False  # the successor is a process that somebody else has started
        self._go_sent = False  # the successor may accept
        self._serves_beside = False  # the upgrade accepts, this process drains when it is stopped
        self._handed_over = False  # this process drains because a successor has taken over
        self._serves_connections = False  # draining, and open connections are still served on
        self._closing_idle = False  # draining, idle connections are closed, and the end is looked for
        self._stop_count = 0  # how often this process was told to stop
        self._drain_ends_ms = 0.0  # the latest end of the drain
        self._listening = True  # the listening sockets are open
        self._pause_serial = 0  # tells a pause's timer from an older one's

    def is_waiting_for(self, serial: int) -> bool:
        """Whether this successor has not been abandoned."""
        return self._successor_serial == serial

    @property
    def is_ending(self) -> bool:
        """Whether this process drains or stops, so that it hands over its duties and acquires none."""
        return self.state in (State.DRAINING, State.STOPPING)

    # ------------------------------------------------ events

    def handle(self, now_ms: float, event: Event) -> list[Command]:
        """Take an event; the commands that follow from it. A stopping process takes none."""
        if self.state is State.STOPPING:
            return []
        match event:
            case ListReady():
                return self._on_list_ready()
            case StopRequested():
                return self._on_stop(now_ms)
            case ReloadRequested():
                return self._on_reload_requested()
            case HandoverRequested():
                return self._on_handover_requested()
            case UpgradeRequested():
                return self._on_upgrade_requested()
            case PauseRequested():
                return self._start_pause()
            case ResumeRequested():
                return self._end_pause()
            case ConfigLoaded():
                return self._on_config_loaded(event)
            case TimerFired():
                return self._on_timer(now_ms, event)
            case Drained():
                return self._on_drained()
            case _:
                return self._on_successor_event(now_ms, event)

    def _on_successor_event(self, now_ms: float, event: SuccessorEvent) -> list[Command]:
        if event.serial != self._successor_serial:
            return []  # of one that was abandoned before
        match event:
            case SuccessorReady():
                return self._on_successor_ready()
            case SuccessorAccepted():
                return self._on_successor_accepted(now_ms)
            case SuccessorStopping():
                return self._on_successor_stopping()
            case SuccessorLost():
                return self._on_successor_lost(event.reason)

    def _next_serial(self) -> int:
        self._serial += 1
        return self._serial

    # ------------------------------------------------ ready

    def _on_list_ready(self) -> list[Command]:
        if self._has_list:
            return []
        self._has_list = True
        if self.state is State.STARTING:
            self.state = State.READY
            return [Notify(("READY=1", "STATUS=ready"))]
        return []  # reported when what goes on now has ended

    def _continue_pending(self) -> list[Command]:
        """Go on with what was asked for meanwhile, or back to ready (starting, if there is no list yet)."""
        if self._reload_pending:
            return self._start_reload()
        if self._upgrade_pending:
            self._upgrade_pending = False
            return self._start_upgrade()
        if self._handover_pending:
            self._handover_pending = False
            if self._has_list and not self._successor_serial:
                return self._start_handover()
        self.state = State.READY if self._has_list else State.STARTING
        if self._has_list:
            return [Notify(("READY=1", "STATUS=ready"))]
        return [Notify(("STATUS=waiting for a list of upstreams",))]

    # ------------------------------------------------ pause

    def pause_refusal(self) -> str:
        """Why a pause or its end can't be asked for now; empty if it can."""
        return "this life is draining" if self.is_ending else ""

    def _start_pause(self) -> list[Command]:
        """Not ready from now on. The front still sends requests until it learns of it; then idle connections are
        closed, and every other with its next answer.
        """
        if self.paused or self.pause_refusal():
            return []
        self.paused = True
        self._pause_serial += 1
        return [
            SetClosing(True),
            LogLine("pause: emptying"),
            Notify(("STATUS=paused",)),
            SetTimer(Timer.PAUSE_GRACE, self._pause_serial, self.options.accept_ms),
        ]

    def _end_pause(self) -> list[Command]:
        if not self.paused or self.pause_refusal():
            return []
        self.paused = False
        return [SetClosingIdle(False), SetClosing(False), LogLine("pause: over"), Notify(("STATUS=ready",))]

    # ------------------------------------------------ reload

    def _on_reload_requested(self) -> list[Command]:
        if self.state in (State.READY, State.STARTING):
            return self._start_reload()
        if self.state is State.DRAINING:
            return [LogLine("reload: not done, this life is draining")]
        self._reload_pending = True  # many are one more: it reads what the last would
        return []

    def _start_reload(self) -> list[Command]:
        self._reload_pending = False
        self.state = State.RELOADING
        serial = self._next_serial()
        return [
            Notify((*RELOADING, "STATUS=reloading")),
            LoadConfig(serial),
            SetTimer(Timer.CONFIG_LOAD, serial, self.CONFIG_LOAD_MS),
        ]

    def _on_config_loaded(self, event: ConfigLoaded) -> list[Command]:
        if self.state is not State.RELOADING or event.serial != self._serial:
            return []  # told to stop meanwhile, or the files took too long
        if event.error:
            return [LogLine(f"reload: {event.error}; what was read before stays"), *self._continue_pending()]
        commands: list[Command] = [ApplyConfig(event.serial)]
        if event.handover_keys and self.options.handover == "reload":
            commands.append(
                LogLine(f"reload: {', '.join(event.handover_keys)}: a successor is started for it")
            )
            self._handover_pending = True
            event = ConfigLoaded(event.serial, restart_keys=event.restart_keys)
        for keys, when in ((event.handover_keys, "after a handover or at"), (event.restart_keys, "from")):
            if keys:
                commands.append(LogLine(f"reload: {', '.join(keys)}: counts {when} the next start"))
        return [*commands, *self._continue_pending()]

    # ------------------------------------------------ handover

    def _on_handover_requested(self) -> list[Command]:
        if self.options.handover == "off":
            return [LogLine("handover: not switched on; lifecycle.handover in the operator file does that")]
        if self._serves_beside:
            return [LogLine("handover: not begun, a new process serves beside this life")]
        if self.state is State.READY:
            return self._start_handover()
        if self.state is State.RELOADING and self._has_list:
            self._handover_pending = True
            return []
        reasons = {
            State.STARTING: "this life is not ready",
            State.RELOADING: "this life is not ready",
            State.HANDING_OVER: "one is under way",
            State.DRAINING: "this life is draining",
        }
        return [LogLine(f"handover: not begun, {reasons[self.state]}")]

    def _start_handover(self) -> list[Command]:
        self.state = State.HANDING_OVER
        self._go_sent = False
        serial = self._successor_serial = self._next_serial()
        return [
            Notify((*RELOADING, "STATUS=starting a successor")),
            StartSuccessor(serial),
            SetTimer(Timer.SUCCESSOR_READY, serial, self.options.handover_ready_ms),
        ]

    def _on_upgrade_requested(self) -> list[Command]:
        if self._successor_serial or self._upgrade_pending or self.state is State.DRAINING:
            return [RejectUpgrade()]
        if self.state is State.RELOADING:
            self._upgrade_pending = True
            return []
        return self._start_upgrade()

    def _start_upgrade(self) -> list[Command]:
        self.state = State.HANDING_OVER
        self._go_sent = False
        self._is_upgrade = True
        serial = self._successor_serial = self._next_serial()
        return [
            LogLine("upgrade: a new process has come"),
            AcceptUpgrade(serial),
            SetTimer(Timer.SUCCESSOR_READY, serial, self.options.handover_ready_ms),
        ]

    def _on_successor_ready(self) -> list[Command]:
        if self.state is not State.HANDING_OVER or self._go_sent:
            return []
        self._go_sent = True
        return [
            SetAccepting(False),
            CommitHandover(self._successor_serial),
            SetTimer(Timer.SUCCESSOR_SLOW, self._successor_serial, self.SUCCESSOR_ACCEPT_MS),
            SetTimer(Timer.SUCCESSOR_ACCEPTED, self._successor_serial, self.options.handover_ready_ms),
        ]

    def _on_successor_accepted(self, now_ms: float) -> list[Command]:
        if self.state is not State.HANDING_OVER or not self._go_sent:
            return []  # draining already: then both drain, each its own connections
        if self._is_upgrade:
            self._is_upgrade, self._serves_beside = False, True
            return [
                LogLine("upgrade: the new process accepts; this life serves what it has"),
                SetAccepting(False),
                *self._continue_pending(),
            ]
        self._handed_over = True
        commands: list[Command] = [LogLine("handover: the successor has taken over"), SetAccepting(False)]
        if self._reload_pending:
            self._reload_pending = False
            commands.append(ForwardReload(self._successor_serial))
        return [*commands, Notify((SUCCESSOR_PID,)), *self._start_drain(now_ms, self.options.accept_ms)]

    def _on_successor_stopping(self) -> list[Command]:
        """Nobody is to listen on the sockets for longer than the successor does."""
        if self._serves_beside and self.state is not State.DRAINING:
            return self._on_upgrade_lost("it was told to stop")
        self._successor_serial = 0
        if self.state is State.DRAINING and self._handed_over:
            return self._close_listeners()
        if self.state is State.HANDING_OVER:
            return [
                SetAccepting(True),
                LogLine("handover: the successor was told to stop"),
                *self._continue_pending(),
            ]
        return []

    def _on_upgrade_lost(self, reason: str) -> list[Command]:
        """The process beside this one is gone or leaves: this one accepts again."""
        self._successor_serial = 0
        self._serves_beside = False
        return [SetAccepting(True), LogLine(f"upgrade: the new process is lost, {reason}; this life goes on")]

    def _on_successor_lost(self, reason: str) -> list[Command]:
        if self._serves_beside and self.state is not State.DRAINING:
            return self._on_upgrade_lost(reason)
        self._successor_serial = 0
        self._is_upgrade = False
        if self.state is State.HANDING_OVER:
            return [
                SetAccepting(True),
                LogLine(f"handover: failed, {reason}; this life goes on"),
                *self._continue_pending(),
            ]
        if self.state is State.DRAINING and self._handed_over and not self._stop_count:
            # Nobody accepts on the sockets, which are still open here.
            self._handed_over = self._closing_idle = False
            return [
                SetClosingIdle(self.paused),
                SetClosing(self.paused),
                SetAccepting(True),
                LogLine(f"handover: the successor is lost, {reason}; this life takes over again"),
                Notify((MAIN_PID,)),
                *self._continue_pending(),
            ]
        if self.state is State.DRAINING and self._handed_over and not self._closing_idle:
            self._handed_over = False
            return [
                SetAccepting(True),
                LogLine(f"handover: the successor is lost, {reason}; this life takes what comes to its end"),
            ]
        return []

    def _abandon_successor(self, reason: str) -> list[Command]:
        serial, self._successor_serial = self._successor_serial, 0
        self._is_upgrade = False
        return [
            AbandonSuccessor(serial, gracefully=self._go_sent),
            SetAccepting(True),
            LogLine(f"handover: given up, {reason}; this life goes on"),
            *self._continue_pending(),
        ]

    # ------------------------------------------------ stop

    def _on_stop(self, now_ms: float) -> list[Command]:
        self._stop_count += 1
        if self.state is State.DRAINING:
            if self._closing_idle or self._stop_count < 2:
                return []
            return [LogLine("stop: told again, nothing more is taken"), *self._end_accepting()]
        commands: list[Command] = [RejectUpgrade()] if self._upgrade_pending else []
        if self.state is State.HANDING_OVER and self._successor_serial:
            commands += [
                AbandonSuccessor(self._successor_serial, gracefully=self._go_sent),
                SetAccepting(True),
            ]
            self._successor_serial = 0
        self._handed_over = self._handed_over or self._serves_beside
        return [*commands, *self._start_drain(now_ms, self.options.accept_ms)]

    @property
    def serving_extension_ms(self) -> float:
        """Milliseconds for which open connections are served on after SIGTERM; 0: each answer is the last of its own.

        Guards clients during a rolling restart, which may take the last but one down before the first is back.
        """
        if not self.options.stop_grace_ms:
            return 0.0
        killed_ms = min(self.max_deadline_ms, self.options.stop_deadline_ms) + self.options.stop_grace_ms
        return max(0.0, killed_ms - self.max_aim_ms - 2.0 * self.LAST_ANSWERS_MS)

    def _start_drain(self, now_ms: float, accept_ms: float) -> list[Command]:
        self.state = State.DRAINING
        serving_extension_ms = (
            0.0 if self.paused else self.serving_extension_ms
        )  # a paused process serves nobody on
        accept_ms = max(accept_ms, serving_extension_ms)
        # Where a successor accepts, each connection is closed with its next answer, which costs nobody a request; those
        # that are idle for long are closed as late as they may be.
        self._serves_connections = serving_extension_ms > 0.0 and not self._handed_over
        self._reload_pending = self._handover_pending = self._upgrade_pending = self._is_upgrade = False
        serial = self._next_serial()
        drain_ms = accept_ms + self.max_deadline_ms + self.LAST_ANSWERS_MS
        self._drain_ends_ms = now_ms + drain_ms
        lines = ("STATUS=draining", self._extend_line(now_ms))
        return [
            SetClosing(not self._serves_connections),
            Notify(lines if self._handed_over else ("STOPPING=1", *lines)),
            SetTimer(Timer.DRAIN_ACCEPT, serial, accept_ms),
            SetTimer(Timer.DRAIN_END, serial, drain_ms),
            SetTimer(Timer.DRAIN_EXTEND, serial, self.EXTEND_INTERVAL_MS),
        ]

    def _extend_line(self, now_ms: float) -> str:
        left = max(0.0, self._drain_ends_ms - now_ms) + self.EXTEND_MARGIN_MS
        return f"EXTEND_TIMEOUT_USEC={int(left * 1000.0)}"

    def _end_accepting(self) -> list[Command]:
        self._closing_idle = True
        commands: list[Command] = [SetClosing(True)] if self._serves_connections else []
        self._serves_connections = False
        # After a handover the sockets stay open, unread, while this process lasts: should the successor die, it
        # accepts on them again.
        if not (self._handed_over and self._successor_serial):
            commands += self._close_listeners()
        return [*commands, SetClosingIdle(True)]

    def _close_listeners(self) -> list[Command]:
        """Once: a successor that was told to stop may have reported it before the end of the drain."""
        if not self._listening:
            return []
        self._listening = False
        return [CloseListeners()]

    def _on_drained(self) -> list[Command]:
        return self._exit() if self.state is State.DRAINING and self._closing_idle else []

    def _exit(self) -> list[Command]:
        self.state = State.STOPPING
        return [Notify(("STATUS=stopping",)), ExitProcess()]

    # ------------------------------------------------ timers

    def _on_timer(self, now_ms: float, event: TimerFired) -> list[Command]:
        if event.timer is Timer.PAUSE_GRACE:
            return [SetClosingIdle(True)] if self.paused and event.serial == self._pause_serial else []
        if event.timer is Timer.CONFIG_LOAD:
            return self._on_config_loaded(ConfigLoaded(event.serial, "the files could not be read in time"))
        if event.timer in SUCCESSOR_TIMERS:
            return self._on_successor_timer(event)
        return self._on_drain_timer(now_ms, event)

    def _on_successor_timer(self, event: TimerFired) -> list[Command]:
        if self.state is not State.HANDING_OVER or event.serial != self._successor_serial:
            return []
        if event.timer is Timer.SUCCESSOR_SLOW:
            # It may hang, or accept and not have said so yet: both may accept, whoever is first.
            return [SetAccepting(True)]
        if event.timer is Timer.SUCCESSOR_ACCEPTED:
            return self._abandon_successor("it did not accept in time")
        return [] if self._go_sent else self._abandon_successor("it was not ready in time")

    def _on_drain_timer(self, now_ms: float, event: TimerFired) -> list[Command]:
        if self.state is not State.DRAINING or event.serial != self._serial:
            return []
        if event.timer is Timer.DRAIN_ACCEPT:
            return [] if self._closing_idle else self._end_accepting()
        if event.timer is Timer.DRAIN_EXTEND:
            again = SetTimer(Timer.DRAIN_EXTEND, event.serial, self.EXTEND_INTERVAL_MS)
            return [Notify((self._extend_line(now_ms),)), again]
        return self._exit()  # the longest deadline is past: no answer that is left can be of use
