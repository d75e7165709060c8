"""Kinds of days and their faults, drawn by a seed. A fault has a beginning and an end; none outlasts the day."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from random import Random

from standins.world.settings import MEMORY_S

MOST_LATE_S = 1.5  # by which a connection to an upstream comes up later
# Faults that a balancer or an upstream may have beside others.
APART = ("agent", "cut", "slow", "connects", "reload", "control", "hand")
FROM_THE_FIRST = ("agent mute",)  # faults that begin before the balancers do


@dataclass(frozen=True, slots=True)
class Fault:
    at_s: float
    for_s: float
    kind: str
    whom: str
    other: str = ""
    amount: float = 0.0

    def __str__(self) -> str:
        whom = f"{self.whom}>{self.other}" if self.other else self.whom
        amount = f" ({self.amount:.2g})" if self.amount else ""
        return f"{self.kind} {whom}{amount} {self.at_s:.2f}..{self.at_s + self.for_s:.2f}"


@dataclass(frozen=True, slots=True)
class Day:
    """What there is on one. Seconds; requests a second at each balancer."""

    name: str
    balancers: int = 1
    upstreams: int = 8
    callers: int = 8
    rate: float = 60.0
    last_s: float = 10.0
    faults: int = 8
    kinds: tuple[str, ...] = ()
    rude: float = 0.0
    spoilt: float = 0.0
    keepers: int = 0
    descriptors: int = 256
    loss: float = 0.0
    receive: int = 256 * 1024  # bytes of the kernels' buffers
    slow: float = 1.0  # how many times slower than others a balancer runs
    longest: float = 1.0  # how many times as long faults are
    ahead: float = 0.0  # share of callers' turns in which they send several requests at once, and leave
    large: float = 0.01  # share of long bodies
    hasty: float = 0.0  # share of requests whose client waits only for some milliseconds
    keyed: float = 0.25  # share of keyed requests
    reset: float = 0.005  # share of upstreams' answers in whose place they reset the connection
    closes: float = 0.0  # and that are the last of their connection
    memory_s: float = MEMORY_S  # for which upstreams remember a key
    discovery: str = "pushed"  # or "on_request"
    omits: bool = False  # whole lists are without the upstreams that leave
    changing: bool = False  # there is a class whose effect an operator changes
    lifecycle: str = ""  # of the operator file


RELOAD = ("reload effect", "reload window", "reload deadline", "reload class", "reload discovery")
CONTROL = ("control pause", "control status", "control crowd")
UP = ("up drain", "up crash", "up pause", "up replace", "up slow")
SILENT = ("agent mute", "agent hush", "agent ends calls", "agent wholes", "agent down")
AGENT = ("agent down", "agent hush", "agent again", "agent misses")
CUT = ("cut", "cut one way", "slow way")
BALANCER = ("stop", "kill", "drain", "vanish")

DAYS: dict[str, Day] = {
    day.name: day
    for day in (
        Day("calm", faults=0),
        Day("churn", kinds=UP, faults=10),
        Day("spoilt", kinds=UP, faults=6, spoilt=0.08),
        Day("agents", kinds=(*AGENT, "up drain", "up replace"), faults=10),
        Day("partition", kinds=(*CUT, "up pause"), faults=8),
        Day("stops", kinds=BALANCER, faults=4, balancers=2, upstreams=6, callers=5),
        Day("rude", kinds=("up drain", "up pause"), faults=4, rude=0.3),
        Day("asleep", kinds=("up pause", "up slow", "cut"), faults=12, upstreams=3, longest=2.0),
        Day("cold", kinds=("up crash", "up replace"), faults=4, upstreams=4, rate=120.0, callers=12),
        Day("late", kinds=("slow way", "up drain", "up cut drain"), faults=10, upstreams=6, callers=16),
        Day("busy", kinds=("drain", "stop", "kill"), faults=4, balancers=2, slow=150.0, receive=16 * 1024),
        Day(
            "narrow",
            kinds=("up pause", "up slow", "stop"),
            faults=6,
            rude=0.2,
            descriptors=48,
            receive=8 * 1024,
            callers=20,
        ),
        Day(
            "mixed",
            kinds=(*UP, *AGENT, *CUT, *BALANCER),
            faults=14,
            balancers=2,
            rude=0.05,
            spoilt=0.02,
        ),
        Day(
            "fleet",
            kinds=(*CUT, *BALANCER, "disk"),
            faults=8,
            balancers=5,
            keepers=3,
            upstreams=5,
            callers=2,
            rate=10.0,
            last_s=15.0,
            loss=0.02,
        ),
        Day(
            "reload",
            kinds=(
                *RELOAD,
                "reload class",
                "reload effect",
                "up drain",
                "up pause",
                "up pause",
                "up pause",
                "up slow",
            ),
            faults=14,
            upstreams=3,
            rate=40.0,
            reset=0.12,
            changing=True,
            lifecycle='reload = "whole"',
        ),
        Day("control", kinds=(*CONTROL, "up drain", "stop"), faults=7, upstreams=4, rate=40.0),
        Day(
            "handover",
            kinds=("hand over", "hand over", "hand over kill", "up drain", "up replace"),
            faults=6,
            upstreams=4,
            rate=40.0,
            last_s=14.0,
            lifecycle='handover = "signal"',
        ),
        Day(
            "beside",
            kinds=("beside", "beside", "up drain", "up pause"),
            faults=6,
            upstreams=4,
            rate=40.0,
            last_s=14.0,
            lifecycle='upgrade = "beside"',
        ),
        Day(
            "ahead",
            kinds=("up pause", "up slow", "cut"),
            faults=8,
            upstreams=3,
            rate=30.0,
            ahead=0.3,
            longest=2.0,
        ),
        Day(
            "connects",
            kinds=("connects late", "connects late", "up crash", "up pause"),
            faults=8,
            upstreams=4,
            rate=40.0,
            hasty=0.7,
            reset=0.05,
            closes=0.6,
            slow=20.0,
        ),
        Day(
            "window",
            kinds=("connects late", "connects late", "up pause", "up slow"),
            faults=9,
            upstreams=4,
            rate=40.0,
            memory_s=0.3,
            receive=32 * 1024,
            large=0.05,
            keyed=0.6,
            reset=0.15,
            closes=0.4,
            longest=2.0,
        ),
        Day(
            "silent",
            kinds=(*SILENT, "up drain", "up drain", "up replace"),
            faults=9,
            upstreams=6,
            rate=30.0,
            last_s=14.0,
            longest=2.0,
            omits=True,
        ),
        Day(
            "asked",
            kinds=("agent down", "agent ends calls", "agent hush", "up drain", "up drain"),
            faults=7,
            upstreams=6,
            rate=20.0,
            last_s=24.0,
            longest=3.0,
            discovery="on_request",
        ),
        Day(
            "orders",
            kinds=(
                *RELOAD,
                *CONTROL,
                *SILENT,
                *BALANCER,
                "hand over",
                "hand over",
                "hand over kill",
                "connects late",
                "up drain",
                "up pause",
            ),
            faults=18,
            balancers=2,
            upstreams=5,
            rate=25.0,
            last_s=14.0,
            ahead=0.05,
            changing=True,
            lifecycle='reload = "whole"\nhandover = "signal"',
        ),
    )
}


def drawn(day: Day, rng: Random) -> list[Fault]:
    """The faults of one play. A balancer or an upstream has one at a time."""
    found: list[Fault] = []
    busy: dict[str, list[tuple[float, float]]] = {}
    balancers = [f"b{n}" for n in range(day.balancers)]
    upstreams = [f"u{n}" for n in range(day.upstreams)]
    draws: dict[str, Callable[[], tuple[str, str, float]]] = {
        "up": lambda: (rng.choice(upstreams), "", rng.uniform(2.0, 30.0)),
        "agent": lambda: (rng.choice(balancers), "", 0.0),
        "cut": lambda: (rng.choice(balancers), rng.choice(upstreams + balancers), 0.0),
        "slow": lambda: (rng.choice(balancers + upstreams), "", rng.uniform(0.01, 0.3)),
        "connects": lambda: (rng.choice(upstreams), "", MOST_LATE_S * rng.random() ** 3),
    }
    for _ in range(day.faults * 3):
        if len(found) == day.faults or not day.kinds:
            break
        kind = rng.choice(day.kinds)
        whom, other, amount = draws.get(kind.split()[0], lambda: (rng.choice(balancers), "", 0.0))()
        at_s = 0.0 if kind in FROM_THE_FIRST else rng.uniform(0.5, 0.8 * day.last_s)
        for_s = min(
            day.longest * rng.choice((0.05, 0.3, 1.0, 3.0)) * rng.uniform(0.5, 1.5), 0.9 * day.last_s - at_s
        )
        if other == whom:
            continue
        spans = busy.setdefault(f"{kind.split()[0]} {whom}" if kind.split()[0] in APART else whom, [])
        if any(at_s < to + 0.5 and begun < at_s + for_s + 0.5 for begun, to in spans):
            continue
        spans.append((at_s, at_s + for_s))
        found.append(Fault(at_s, for_s, kind, whom, other, amount))
    return sorted(found, key=lambda fault: fault.at_s)
