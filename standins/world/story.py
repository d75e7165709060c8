"""Rules: what is written down of a day beside the histories of a fleet: who was told of a drain, who sent what when."""

from __future__ import annotations

from collections import defaultdict
from dataclasses import dataclass, field

from standins.checkers import Event
from standins.world.kernel import End


def when_written(end: End, offset: int) -> float:
    """When the process at an end had handed over the byte at an offset; infinity if it never did."""
    return next((at_s for at_s, total in end.writes if total > offset), float("inf"))


def when_read(end: End, offset: int) -> float:
    """When it had read everything in front of that offset; infinity if it never did."""
    return next((at_s for at_s, total in end.reads if total >= offset), float("inf"))


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

    @property
    def sent_s(self) -> float:
        return when_written(self.end.peer, self.offset) if self.end.peer is not None else self.at_s


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


@dataclass
class Story:
    history: list[Event] = field(default_factory=list)
    told: list[Told] = field(default_factory=list)  # of a drain
    listed: list[Told] = field(default_factory=list)  # that it is there
    came: list[Came] = field(default_factory=list)
    asked: dict[str, Asking] = field(default_factory=dict)
    faults: list[str] = field(default_factory=list)  # seen at once
    lives: dict[str, int] = field(default_factory=lambda: defaultdict(int))
    crowded: bool = False  # there are fewer places than callers: idle connections give way

    def fault(self, text: str) -> None:
        if len(self.faults) < 100:
            self.faults.append(text)
