"""The states of one process: a table of the plain paths, and every order of events by a hypothesis state machine."""

from __future__ import annotations

from dataclasses import replace

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, precondition, rule

from larkweir.config.options import Lifecycle as Options
from larkweir.lifecycle import commands, events
from larkweir.lifecycle.state_machine import ProcessStateMachine, State

ON = Options(handover="reload", reload="whole")


def machine(options: Options = ON, listed: bool = True) -> ProcessStateMachine:
    it = ProcessStateMachine(options, 1000.0)
    if listed:
        it.handle(0.0, events.ListReady())
    return it


def kinds(issued: list[commands.Command]) -> list[str]:
    return [type(item).__name__ for item in issued]


def serial_of(issued: list[commands.Command], kind: type) -> int:
    (found,) = [item.serial for item in issued if isinstance(item, kind)]
    return int(found)


def test_a_life_that_is_told_to_stop_accepts_for_a_while_then_ends() -> None:
    it = machine()
    assert not it.is_ending
    out = it.handle(1.0, events.StopRequested())
    assert kinds(out) == ["SetClosing", "Notify", "SetTimer", "SetTimer", "SetTimer"]
    assert "STOPPING=1" in out[1].lines
    assert it.is_ending
    serial = it._serial
    assert it.handle(2.0, events.Drained()) == []  # others may still be on their way here
    assert kinds(it.handle(551.0, events.TimerFired(events.Timer.DRAIN_ACCEPT, serial))) == [
        "CloseListeners",
        "SetClosingIdle",
    ]
    assert kinds(it.handle(600.0, events.Drained())) == ["Notify", "ExitProcess"]
    assert it.state is State.STOPPING
    assert it.is_ending, "a duty that was handed over is not acquired again behind the end of the drain"


def test_connections_are_served_on_as_long_as_the_kill_leaves_time_for_the_last_answers() -> None:
    # A rolling restart may take the last but one down before the first is back: clients keep what they have.
    promised = replace(ON, stop_grace_ms=700.0, stop_deadline_ms=3000.0)
    for longest, aim, serves in ((1000.0, 410.0, 1090.0), (5000.0, 2000.0, 1500.0)):
        it = ProcessStateMachine(promised, longest, aim)
        it.handle(0.0, events.ListReady())
        out = it.handle(1.0, events.StopRequested())
        assert out[0] == commands.SetClosing(False)
        (accept,) = [
            c for c in out if isinstance(c, commands.SetTimer) and c.timer is events.Timer.DRAIN_ACCEPT
        ]
        assert accept.delay_ms == serves
        assert serves + aim < min(longest, 3000.0) + 700.0
        ends = it.handle(1.0 + serves, events.TimerFired(events.Timer.DRAIN_ACCEPT, accept.serial))
        assert ends == [commands.SetClosing(True), commands.CloseListeners(), commands.SetClosingIdle(True)]


def test_a_pause_says_no_at_once_and_ends_idle_connections_once_the_front_has_heard() -> None:
    it = machine()
    out = it.handle(1.0, events.PauseRequested())
    (empty,) = [c for c in out if isinstance(c, commands.SetTimer)]
    assert out[0] == commands.SetClosing(True) and empty.delay_ms == 550.0
    assert it.handle(2.0, events.PauseRequested()) == []  # asked again: nothing new
    assert it.handle(551.0, events.TimerFired(events.Timer.PAUSE_GRACE, empty.serial)) == [
        commands.SetClosingIdle(True)
    ]
    assert it.handle(600.0, events.Drained()) == []  # the process stays
    out = it.handle(700.0, events.ResumeRequested())
    assert out[:2] == [commands.SetClosingIdle(False), commands.SetClosing(False)]
    assert it.handle(701.0, events.ResumeRequested()) == []


def test_a_pause_before_the_first_list_holds_when_the_list_has_come() -> None:
    it = machine(listed=False)
    assert commands.SetClosing(True) in it.handle(1.0, events.PauseRequested())
    assert commands.SetClosing(False) not in it.handle(2.0, events.ListReady())
    assert it.paused and it.state is State.READY


def test_a_resume_in_the_middle_of_emptying_holds() -> None:
    it = machine()
    out = it.handle(1.0, events.PauseRequested())
    (empty,) = [c for c in out if isinstance(c, commands.SetTimer)]
    it.handle(2.0, events.ResumeRequested())
    assert it.handle(551.0, events.TimerFired(events.Timer.PAUSE_GRACE, empty.serial)) == []
    it.handle(560.0, events.PauseRequested())
    assert (
        it.handle(561.0, events.TimerFired(events.Timer.PAUSE_GRACE, empty.serial)) == []
    )  # the first pause's timer is not the second's


def test_a_paused_life_that_is_told_to_stop_serves_nobody_on() -> None:
    it = ProcessStateMachine(replace(ON, stop_grace_ms=700.0), 1000.0, 410.0)
    it.handle(0.0, events.ListReady())
    it.handle(1.0, events.PauseRequested())
    assert commands.SetClosing(True) in it.handle(2.0, events.StopRequested())
    assert it.pause_refusal()


def test_a_life_beside_a_new_process_ends_connections_with_their_next_answer() -> None:
    """An upgrade: what is idle is ended as late as the kill leaves time for, since a close may cross a request."""
    it = ProcessStateMachine(replace(ON, stop_grace_ms=700.0), 1000.0, 410.0)
    it.handle(0.0, events.ListReady())
    serial = serial_of(it.handle(1.0, events.UpgradeRequested()), commands.AcceptUpgrade)
    assert commands.SetAccepting(False) in it.handle(2.0, events.SuccessorReady(serial))
    it.handle(3.0, events.SuccessorAccepted(serial))
    assert it.state is State.READY
    assert it.handle(4.0, events.UpgradeRequested()) == [commands.RejectUpgrade()]
    out = it.handle(5.0, events.StopRequested())
    assert commands.SetClosing(True) in out
    (accept,) = [c for c in out if isinstance(c, commands.SetTimer) and c.timer is events.Timer.DRAIN_ACCEPT]
    assert accept.delay_ms == 1090.0
    assert it.handle(1095.0, events.TimerFired(events.Timer.DRAIN_ACCEPT, accept.serial)) == [
        commands.SetClosingIdle(True)
    ]


def test_a_life_whose_new_process_dies_takes_over_again() -> None:
    for beside in (False, True):
        it = machine()
        serial = serial_of(it.handle(1.0, events.UpgradeRequested()), commands.AcceptUpgrade)
        it.handle(2.0, events.SuccessorReady(serial))
        if beside:
            it.handle(3.0, events.SuccessorAccepted(serial))
        assert commands.SetAccepting(True) in it.handle(4.0, events.SuccessorLost(serial, "it is gone"))
        assert it.state is State.READY
        serial_of(it.handle(5.0, events.UpgradeRequested()), commands.AcceptUpgrade)  # another may come


def test_a_life_that_is_told_to_stop_takes_what_comes_where_its_successor_is_lost() -> None:
    """Guards requests that lie in the sockets that both have: nobody else takes them until this life's end."""
    it = machine()
    serial = serial_of(it.handle(1.0, events.HandoverRequested()), commands.StartSuccessor)
    it.handle(2.0, events.SuccessorReady(serial))
    assert commands.SetAccepting(False) in it.handle(3.0, events.SuccessorAccepted(serial))
    it.handle(4.0, events.StopRequested())
    assert kinds(it.handle(5.0, events.SuccessorLost(serial, "it is gone"))) == ["SetAccepting", "LogLine"]
    assert it.state is State.DRAINING
    assert it.handle(6.0, events.SuccessorLost(serial, "it is gone")) == []


def test_the_sockets_are_closed_once_where_the_successor_is_told_to_stop_before_the_drain_has_ended() -> None:
    it = machine()
    serial = serial_of(it.handle(1.0, events.HandoverRequested()), commands.StartSuccessor)
    it.handle(2.0, events.SuccessorReady(serial))
    (accept,) = [
        c
        for c in it.handle(3.0, events.SuccessorAccepted(serial))
        if isinstance(c, commands.SetTimer) and c.timer is events.Timer.DRAIN_ACCEPT
    ]
    assert it.handle(4.0, events.SuccessorStopping(serial)) == [commands.CloseListeners()]
    ends = it.handle(553.0, events.TimerFired(events.Timer.DRAIN_ACCEPT, accept.serial))
    assert kinds(ends) == ["SetClosingIdle"]


def test_told_to_stop_again_ends_the_serving_on() -> None:
    it = ProcessStateMachine(replace(ON, stop_grace_ms=700.0), 1000.0, 410.0)
    it.handle(0.0, events.ListReady())
    it.handle(1.0, events.StopRequested())
    assert commands.SetClosing(True) in it.handle(2.0, events.StopRequested())


def test_a_life_whose_successor_serves_ends_its_connections_at_once() -> None:
    it = ProcessStateMachine(replace(ON, stop_grace_ms=700.0), 1000.0, 410.0)
    it.handle(0.0, events.ListReady())
    serial = serial_of(it.handle(1.0, events.HandoverRequested()), commands.StartSuccessor)
    it.handle(2.0, events.SuccessorReady(serial))
    assert commands.SetClosing(True) in it.handle(3.0, events.SuccessorAccepted(serial))


def test_a_drain_ends_at_the_longest_deadline_whatever_is_left() -> None:
    it = machine()
    last = [
        c
        for c in it.handle(1.0, events.StopRequested())
        if isinstance(c, commands.SetTimer) and c.timer is events.Timer.DRAIN_END
    ]
    assert last[0].delay_ms == 550.0 + 1000.0 + ProcessStateMachine.LAST_ANSWERS_MS
    it.handle(551.0, events.TimerFired(events.Timer.DRAIN_ACCEPT, last[0].serial))
    assert (
        kinds(it.handle(1651.0, events.TimerFired(events.Timer.DRAIN_END, last[0].serial)))[-1]
        == "ExitProcess"
    )


def test_reloads_asked_for_during_one_are_one_more() -> None:
    it = machine()
    first = serial_of(it.handle(1.0, events.ReloadRequested()), commands.LoadConfig)
    for _ in range(10):
        assert it.handle(2.0, events.ReloadRequested()) == []
    out = it.handle(3.0, events.ConfigLoaded(first))
    assert kinds(out) == ["ApplyConfig", "Notify", "LoadConfig", "SetTimer"]
    assert kinds(it.handle(4.0, events.ConfigLoaded(serial_of(out, commands.LoadConfig)))) == [
        "ApplyConfig",
        "Notify",
    ]
    assert it.state is State.READY


def test_a_reload_asked_for_during_a_handover_is_the_successor_s_or_done_here() -> None:
    for taken in (True, False):
        it = machine()
        serial = serial_of(it.handle(1.0, events.HandoverRequested()), commands.StartSuccessor)
        assert it.handle(2.0, events.ReloadRequested()) == []
        if taken:
            it.handle(3.0, events.SuccessorReady(serial))
            assert "ForwardReload" in kinds(it.handle(4.0, events.SuccessorAccepted(serial)))
        else:
            assert kinds(it.handle(3.0, events.SuccessorLost(serial, "it is gone")))[-2:] == [
                "LoadConfig",
                "SetTimer",
            ]
            assert it.state is State.RELOADING


def test_a_successor_that_does_not_accept_in_time_is_helped_out_then_stopped_gracefully() -> None:
    it = machine()
    serial = serial_of(it.handle(1.0, events.HandoverRequested()), commands.StartSuccessor)
    assert kinds(it.handle(2.0, events.SuccessorReady(serial))) == [
        "SetAccepting",
        "CommitHandover",
        "SetTimer",
        "SetTimer",
    ]
    assert it.handle(3.0, events.TimerFired(events.Timer.SUCCESSOR_SLOW, serial)) == [
        commands.SetAccepting(True)
    ]
    (give_up,) = [
        c
        for c in it.handle(9e3, events.TimerFired(events.Timer.SUCCESSOR_ACCEPTED, serial))
        if isinstance(c, commands.AbandonSuccessor)
    ]
    assert give_up.gracefully  # it may have taken requests: it is never killed for being late
    assert it.handle(9e3, events.SuccessorAccepted(serial)) == []  # too late
    assert it.state is State.READY


def test_a_stop_during_a_handover_gives_the_successor_up() -> None:
    for ready in (True, False):
        it = machine()
        serial = serial_of(it.handle(1.0, events.HandoverRequested()), commands.StartSuccessor)
        if ready:
            it.handle(2.0, events.SuccessorReady(serial))
        out = it.handle(3.0, events.StopRequested())
        assert commands.AbandonSuccessor(serial, gracefully=ready) in out
        assert commands.SetAccepting(True) in out and it.state is State.DRAINING


class Processes(RuleBasedStateMachine):
    """Any order of signals, deadlines and child events. The model is what the outside world would see."""

    def __init__(self) -> None:
        super().__init__()
        self.now = 0.0
        self.machine = ProcessStateMachine(ON, 1000.0)
        self.holds = False  # this life leaves accepting to another
        self.sockets = True  # the listening sockets are open here
        self.reads: set[int] = set()
        self.children: dict[int, str] = {}  # by serial: started, ready, told to go, took, given up
        self.armed: list[events.TimerFired] = []
        self.stops = 0
        self.bye = False  # the successor that has taken over was told to stop, and so was the service
        self.finished = 0
        self.closing = False
        self.emptying = False
        self.visitors: set[int] = set()  # of these, processes that somebody else has started
        self.calling = False  # one has asked, and is neither welcomed nor turned away

    def feed(self, event: events.Event) -> None:
        self.now += 1.0
        stopped = self.machine.state is State.STOPPING
        issued = self.machine.handle(self.now, event)
        assert not (stopped and issued)
        for command in issued:
            self.check(command)

    def check(self, command: commands.Command) -> None:
        if isinstance(command, commands.LoadConfig):
            assert command.serial not in self.reads and not self.stops
            self.reads.add(command.serial)
        elif isinstance(command, commands.ApplyConfig):
            assert command.serial in self.reads and not self.stops
            self.reads.discard(command.serial)
        elif isinstance(command, commands.StartSuccessor):
            assert not self.stops and command.serial not in self.children
            assert not any(state in ("started", "ready", "go") for state in self.children.values())
            self.children[command.serial] = "started"
        elif isinstance(command, commands.AcceptUpgrade):
            assert self.calling and not self.stops
            assert not any(state in ("started", "ready", "go", "took") for state in self.children.values())
            self.calling = False
            self.children[command.serial] = "started"
            self.visitors.add(command.serial)
        elif isinstance(command, commands.RejectUpgrade):
            assert self.calling
            self.calling = False
        elif isinstance(command, commands.SetClosingIdle):
            self.emptying = command.closing_idle
        elif isinstance(command, commands.CommitHandover):
            assert self.children[command.serial] == "ready"
            self.children[command.serial] = "go"
        elif isinstance(command, commands.AbandonSuccessor):
            # Whoever may have accepted a request is never killed.
            assert command.gracefully or self.children[command.serial] in ("started", "ready")
            self.children[command.serial] = "given up"
        elif isinstance(command, commands.SetAccepting):
            self.holds = not command.accepting
        elif isinstance(command, commands.SetClosing):
            self.closing = command.closing
        elif isinstance(command, commands.CloseListeners):
            assert self.closing and self.sockets
            self.sockets = False
        elif isinstance(command, commands.SetTimer):
            self.armed.append(events.TimerFired(command.timer, command.serial))
        elif isinstance(command, commands.Notify) and "READY=1" in command.lines:
            assert self.machine._has_list and not self.stops
        elif isinstance(command, commands.ExitProcess):
            self.finished += 1

    @rule()
    def list_ready(self) -> None:
        self.feed(events.ListReady())

    @rule()
    def reload(self) -> None:
        self.feed(events.ReloadRequested())

    @rule()
    def hand_over(self) -> None:
        self.feed(events.HandoverRequested())

    @precondition(lambda self: self.stops < 3)
    @rule()
    def stop(self) -> None:
        self.stops += 1
        self.feed(events.StopRequested())

    @precondition(lambda self: self.reads)
    @rule(fault=st.booleans(), fixed=st.booleans(), data=st.data())
    def read_done(self, fault: bool, fixed: bool, data: st.DataObject) -> None:
        serial = data.draw(st.sampled_from(sorted(self.reads)))
        self.feed(events.ConfigLoaded(serial, "bad" if fault else "", ("name",) if fixed else ()))
        self.reads.discard(serial)

    @precondition(lambda self: self.children)
    @rule(data=st.data(), kind=st.sampled_from(["ready", "ready", "took", "took", "lost", "bye"]))
    def child(self, data: st.DataObject, kind: str) -> None:
        """What a child says: in its own order, but also when it was given up meanwhile."""
        serial = data.draw(st.sampled_from(sorted(self.children)))
        state = self.children[serial]
        if kind == "ready" and state in ("started", "given up"):
            if state == "started":
                self.children[serial] = "ready"
            self.feed(events.SuccessorReady(serial))
        elif kind == "took" and state in ("go", "given up"):
            if state == "go":
                self.children[serial] = "took"
            self.feed(events.SuccessorAccepted(serial))
        elif kind == "lost":
            del self.children[serial]
            self.feed(events.SuccessorLost(serial, "it is gone"))
        elif kind == "bye" and state in ("go", "took"):
            self.bye = self.bye or (state == "took" and serial not in self.visitors)
            self.children[serial] = "leaving"
            self.feed(events.SuccessorStopping(serial))

    @precondition(lambda self: self.armed)
    @rule(data=st.data())
    def due(self, data: st.DataObject) -> None:
        event = data.draw(st.sampled_from(self.armed))
        self.armed.remove(event)
        self.feed(event)

    @precondition(lambda self: not self.calling)
    @rule()
    def upgrade(self) -> None:
        """A process that somebody else has started asks to take over, in whatever state this life is."""
        if self.machine.state is not State.STOPPING:
            self.calling = True
            self.feed(events.UpgradeRequested())

    @rule(pause=st.booleans())
    def operator(self, pause: bool) -> None:
        self.feed(events.PauseRequested() if pause else events.ResumeRequested())

    @rule()
    def settled(self) -> None:
        self.feed(events.Drained())

    @rule(handover=st.sampled_from(["off", "signal", "reload"]))
    def options(self, handover: str) -> None:
        self.machine.options = replace(ON, handover=handover)  # type: ignore[arg-type]

    @invariant()
    def somebody_accepts(self) -> None:
        """Until it is told to stop, this life or one that may accept has the sockets."""
        if self.stops or self.bye or self.machine.state is State.STOPPING:
            return
        other = any(state in ("go", "took") for state in self.children.values())
        assert (self.sockets and not self.holds) or other

    @invariant()
    def a_pause_empties_and_its_end_does_not(self) -> None:
        """What an operator asked for holds through reloads, handovers and upgrades, and until a stop."""
        if self.machine.state in (State.DRAINING, State.STOPPING):
            return
        assert self.closing is self.machine.paused
        assert self.machine.paused or not self.emptying

    @invariant()
    def whoever_calls_is_heard(self) -> None:
        """A new process is kept waiting while the files are read, and else neither welcomed nor left standing."""
        assert not self.calling or self.machine.state in (State.RELOADING, State.STOPPING)

    @invariant()
    def one_end(self) -> None:
        assert self.finished <= 1
        assert (self.finished == 1) is (self.machine.state is State.STOPPING)


Processes.TestCase.settings = settings(
    max_examples=300, stateful_step_count=40, deadline=None, derandomize=True
)
TestProcesses = Processes.TestCase
