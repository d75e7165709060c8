"""What is written down of a day beside the histories of a fleet: who was told of a drain, who sent what when,
which settings were in force, what operators asked and were answered.
"""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from standins.checkers import SAFE, Event
from standins.world.kernel import End
from standins.world.settings import CHANGING, Terms

IN_FORCE_S = 0.001  # between settings coming into force and the line in the log that says so, at most


def when_written(end: End, offset: int) -> float:
    """When the process at an end had handed over the byte at an offset; infinity if it never did."""
    return next((at_s for at_s, total in end.writes if total > offset), float("inf"))


def when_read(end: End, offset: int) -> float:
    """When it had read everything in front of that offset; infinity if it never did."""
    return next((at_s for at_s, total in end.reads if total >= offset), float("inf"))


def when_landed(end: End, offset: int) -> float:
    """When everything in front of that offset had come to its machine; infinity if it never did."""
    return next((at_s for at_s, total in end.landed if total >= offset), float("inf"))


@dataclass
class Told:
    """Bytes that tell a balancer of a drain: up to an offset of what the agent has written at its end."""

    copy: str
    life: int
    upstream: str
    end: End
    offset: int

    @property
    def at_s(self) -> float:
        return when_read(self.end.peer, self.offset) if self.end.peer is not None else float("inf")


@dataclass
class Came:
    """A request at an upstream: by which end, from which offset on."""

    at_s: float
    upstream: str
    trace: str
    effect: str
    end: End
    offset: int
    cold_s: float  # since its start
    copy: str
    life: int
    size: int = 1
    told_s: float | None = None  # how long its answer is waited for, as its header says
    never_ran: bool = False  # it was answered that it has not run

    @property
    def sent_s(self) -> float:
        """When its first byte was written."""
        return when_written(self.end.peer, self.offset) if self.end.peer is not None else self.at_s

    @property
    def last_sent_s(self) -> float:
        """When its last byte was."""
        peer = self.end.peer
        return when_written(peer, self.offset + self.size - 1) if peer is not None else self.at_s


@dataclass
class Asking:
    """One whole request of a good caller, and what became of it."""

    trace: str
    copy: str
    life: int
    effect: str
    key: str
    most_s: float
    asked_s: float
    end: End | None = None
    offset: int = 0  # of its first byte
    size: int = 0
    statuses: list[tuple[float, int]] = field(default_factory=list)
    answer_at: int = 0  # the offset of its answer's first byte
    lost_s: float = 0.0  # when its connection was over without an answer
    why: str = ""
    wrong: str = ""  # an answer that is not its own
    behind_last: bool = (
        False  # the answer before it was the last of its connection, as it said (RFC 9112 section 9.6)
    )
    stale: bool = False  # its connection led to an earlier life, which is gone
    patient: bool = True  # waits for the answer
    category: str = ""  # the class that it names
    behind: Asking | None = None  # asked before it on its connection, and not answered by then
    closing: bool = False  # its answer says that it is the connection's last

    @property
    def read_s(self) -> float:
        """When the balancer had read the whole of it; infinity if it never did."""
        peer = self.end.peer if self.end is not None else None
        return when_read(peer, self.offset + self.size) if peer is not None else float("inf")


def answered_s(asking: Asking) -> float:
    """When its answer was written; 0 if it has none."""
    end = asking.end.peer if asking.end is not None else None
    if not asking.statuses or end is None:
        return 0.0
    return min(asking.statuses[0][0], when_written(end, asking.answer_at))


@dataclass
class Reload:
    """A SIGHUP after the platform file was changed, or, `applied`, a file that came into force. `edition` counts a
    balancer's files.
    """

    copy: str
    life: int
    at_s: float
    edition: int
    applied: bool = False


@dataclass
class ControlCall:
    """A line that an operator sent to a balancer's control address, and the one line that came back."""

    copy: str
    line: str
    asked_s: float
    whole: bool = True  # the line was ended, so that an answer is owed
    answered_s: float = float("inf")
    answer: str = ""


@dataclass
class Source:
    """An agent of discovery: when it has learned that an upstream leaves, and when it answered calls."""

    copy: str
    at: tuple[str, int]  # its address
    heard: dict[str, float] = field(default_factory=dict)
    spans: list[tuple[float, float]] = field(default_factory=list)  # in which it answers

    def answers(self, now_s: float, yes: bool) -> None:
        open_now = bool(self.spans) and self.spans[-1][1] == float("inf")
        if yes and not open_now:
            self.spans.append((now_s, float("inf")))
        elif open_now and not yes:
            self.spans[-1] = (self.spans[-1][0], now_s)


@dataclass
class Story:
    history: list[Event] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)  # of a drain
    left_out: list[Told] = field(default_factory=list)  # of a drain, by a whole list without the upstream
    listed: list[Told] = field(default_factory=list)  # that it is there
    sources: list[Source] = field(default_factory=list)
    pointed: list[tuple[str, float, tuple[str, int]]] = field(
        default_factory=list
    )  # which agent a copy is to ask
    reloads: list[Reload] = field(default_factory=list)
    in_force: dict[tuple[str, int], list[tuple[float, Terms]]] = field(
        default_factory=lambda: defaultdict(list)
    )  # by copy and life, from when on
    control: list[ControlCall] = field(default_factory=list)
    killed_lives: set[tuple[str, int]] = field(default_factory=set)  # successors alone, by copy and life
    handovers: list[tuple[str, float]] = field(default_factory=list)  # SIGUSR2, and what a log says of it
    handover_lines: list[tuple[str, float, str]] = field(default_factory=list)
    came: list[Came] = field(default_factory=list)
    asked: dict[str, Asking] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)  # seen at once
    lives: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    crowded: bool = False  # there are fewer places than callers: idle connections give way

    def fault(self, text: str) -> None:
        if len(self.faults) < 100:
            self.faults.append(text)

    def terms_of(self, asking: Asking) -> list[Terms]:
        """The terms in force when the balancer read a request: several where they changed at about that time."""
        peer = asking.end.peer if asking.end is not None else None
        if peer is None:
            return []
        known = self.in_force.get((asking.copy, peer.owner.life), [])
        read_s = asking.read_s
        before = [item for at_s, item in known if at_s <= read_s]
        around = [item for at_s, item in known if read_s < at_s <= read_s + IN_FORCE_S]
        return before[-1:] + around

    def deadline_s(self, asking: Asking) -> float:
        """From its last byte on: what its client says, or less where its class has less."""
        found = [item.deadline_s.get(asking.category, asking.most_s) for item in self.terms_of(asking)]
        return min(asking.most_s, max(found, default=asking.most_s))

    def memory_s(self, asking: Asking) -> float:
        """The window for repeats of its key."""
        return max((item.memory_s for item in self.terms_of(asking)), default=float("inf"))

    def effect(self, asking: Asking) -> str:
        """By the terms that it came under; SAFE, which promises nothing, where they changed at about that time."""
        if asking.category != CHANGING:
            return asking.effect
        found = {item.effect.get(CHANGING, SAFE) for item in self.terms_of(asking)}
        return found.pop() if len(found) == 1 else SAFE
