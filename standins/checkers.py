"""Histories of a fleet under faults, and what must be true of each. Times are milliseconds on one clock.

A checker takes a history and gives a line for each promise that was broken.
"""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Callable, Sequence
from dataclasses import dataclass

SLACK_MS = 4_000.0  # for a machine that has more to do than it can
SAFE, KEYED, UNSAFE = "safe", "keyed", "unsafe"


@dataclass(frozen=True, slots=True)
class Owned:
    """A copy said that a duty is its own; `life` counts its starts."""

    at_ms: float
    copy: str
    life: int
    duty: str
    term: int


@dataclass(frozen=True, slots=True)
class GivenUp:
    at_ms: float
    copy: str
    life: int
    duty: str
    why: str


@dataclass(frozen=True, slots=True)
class Taken:
    """A copy took an effect; numbers go on over the terms of a duty."""

    at_ms: float
    copy: str
    life: int
    duty: str
    term: int
    number: int


@dataclass(frozen=True, slots=True)
class Asked:
    at_ms: float
    trace: str
    copy: str
    effect: str  # SAFE, KEYED, UNSAFE
    most_ms: float  # the deadline, from `at_ms`


@dataclass(frozen=True, slots=True)
class Answered:
    """`status` 0: the connection ended without an answer."""

    at_ms: float
    trace: str
    status: int


@dataclass(frozen=True, slots=True)
class Ran:
    """An upstream did what was asked, and counts it; `key` is "" but for keyed ones."""

    at_ms: float
    where: str
    trace: str
    effect: str
    key: str


@dataclass(frozen=True, slots=True)
class Hit:
    """What was done to a copy: "stop", "go on", "kill", "drain", "start"; or to all ("" as copy)."""

    at_ms: float
    copy: str
    what: str


Event = Owned | GivenUp | Taken | Asked | Answered | Ran | Hit
History = Sequence[Event]


def one_owner_a_term(history: History) -> list[str]:
    """A later life of a copy is another owner."""
    owners: dict[tuple[str, int], set[str]] = defaultdict(set)
    for event in history:
        if isinstance(event, Owned):
            owners[event.duty, event.term].add(f"{event.copy} (life {event.life})")
    return [
        f"term {term} of {duty} was owned by {', '.join(sorted(names))}"
        for (duty, term), names in owners.items()
        if len(names) > 1
    ]


def effects_in_order(history: History) -> list[str]:
    """At each copy, over one life, what is taken only goes up; nothing of an old term behind something newer."""
    last: dict[tuple[str, int, str], tuple[int, int]] = {}
    found = []
    for event in history:
        if isinstance(event, Taken):
            place, version = (event.copy, event.life, event.duty), (event.term, event.number)
            before = last.get(place, (0, 0))
            if version <= before:
                old = "an older term" if event.term < before[0] else "again or back"
                found.append(f"{event.copy} took {event.duty} {version} after {before}: {old}")
            last[place] = max(before, version)
    return found


def one_line_of_effects(history: History) -> list[str]:
    """Over all copies, effects are one line: a number is of one term, and terms go up with numbers. An owner that
    woke up late and had an effect counted beside its successor's is found here, though no copy took both."""
    terms: dict[str, dict[int, set[int]]] = defaultdict(lambda: defaultdict(set))
    for event in history:
        if isinstance(event, Taken):
            terms[event.duty][event.number].add(event.term)
    found = []
    for duty, numbers in terms.items():
        highest = 0
        for number in sorted(numbers):
            of = numbers[number]
            if len(of) > 1:
                found.append(f"effect {number} of {duty} was taken in terms {sorted(of)}")
            if min(of) < highest:
                found.append(f"effect {number} of {duty} is of term {min(of)}, behind one of term {highest}")
            highest = max(highest, *of)
    return found


def answered_once_in_time(history: History, slack_ms: float = SLACK_MS) -> list[str]:
    """One final answer each, by its deadline. A copy that is killed owes none, and one that stands still none while it
    does."""
    asked: dict[str, Asked] = {}
    answers: dict[str, list[Answered]] = defaultdict(list)
    kills: dict[str, list[float]] = defaultdict(list)
    still: dict[str, list[tuple[float, float]]] = defaultdict(list)
    began: dict[str, float] = {}
    end_ms = max((event.at_ms for event in history), default=0.0)
    for event in history:
        if isinstance(event, Asked):
            asked[event.trace] = event
        elif isinstance(event, Answered):
            answers[event.trace].append(event)
        elif isinstance(event, Hit) and event.what == "kill":
            kills[event.copy].append(event.at_ms)
        elif isinstance(event, Hit) and event.what == "stop":
            began[event.copy] = event.at_ms
        elif isinstance(event, Hit) and event.what == "go on" and event.copy in began:
            still[event.copy].append((began.pop(event.copy), event.at_ms))
    found = [f"{trace}: an answer that nobody asked for" for trace in answers.keys() - asked.keys()]
    for trace, request in asked.items():
        got = answers.get(trace, [])
        over_ms = got[0].at_ms if got else end_ms
        killed = any(request.at_ms <= at_ms <= over_ms for at_ms in kills[request.copy])
        if len(got) > 1:
            found.append(f"{trace}: {len(got)} answers")
        elif not got or not got[0].status:
            if not killed:
                found.append(f"{trace}: asked {request.copy} at {request.at_ms:.0f} ms and never answered")
        else:
            stood_ms = sum(
                max(0.0, min(to_ms, over_ms) - max(at_ms, request.at_ms))
                for at_ms, to_ms in still[request.copy]
            )
            spent_ms = over_ms - request.at_ms - stood_ms
            if spent_ms > request.most_ms + slack_ms:
                found.append(f"{trace}: answered after {spent_ms:.0f} of {request.most_ms:.0f} ms")
    return found


def nothing_unsafe_twice(history: History) -> list[str]:
    runs = Counter(event.trace for event in history if isinstance(event, Ran) and event.effect == UNSAFE)
    return [f"{trace}: unsafe, and ran {times} times" for trace, times in runs.items() if times > 1]


def keyed_once(history: History) -> list[str]:
    """Upstreams that share what they remember count a key once between them; so twice is in two places."""
    runs: dict[str, list[str]] = defaultdict(list)
    for event in history:
        if isinstance(event, Ran) and event.effect == KEYED:
            runs[event.key].append(event.where)
    return [f"key {key} ran at {', '.join(places)}" for key, places in runs.items() if len(places) > 1]


CHECKERS: tuple[Callable[[History], list[str]], ...] = (
    one_owner_a_term,
    effects_in_order,
    one_line_of_effects,
    answered_once_in_time,
    nothing_unsafe_twice,
    keyed_once,
)


def broken(history: History) -> list[str]:
    """All that is wrong with it, by every checker."""
    return [f"{check.__name__}: {line}" for check in CHECKERS for line in check(history)]
