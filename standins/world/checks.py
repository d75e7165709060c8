"""Rules: what must be true of a day: a line for each promise that was broken."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable

from standins.checkers import (
    SAFE,
    Hit,
    Ran,
    effects_in_order,
    keyed_once,
    nothing_unsafe_twice,
    one_line_of_effects,
    one_owner_a_term,
)
from standins.world.story import Asking, Story, when_written

SLACK_S = 0.05  # as the settings have it
DRAINS_S = 2.0  # before a drain's end a connection may be closed under a request that nobody has read


def ended(spans: list[tuple[float, float]], at_s: float) -> list[tuple[float, float]]:
    """The spans, with those that are open over by then."""
    return [(a, at_s if b == float("inf") else b) for a, b in spans]


class Troubles:
    """When a copy stood, was gone, or drained."""

    def __init__(self, story: Story) -> None:
        self.still: dict[str, list[tuple[float, float]]] = defaultdict(list)
        self.down: dict[str, list[tuple[float, float]]] = defaultdict(list)  # killed, up to the next start
        self.drains: dict[str, list[tuple[float, float]]] = defaultdict(list)
        begun: dict[str, float] = {}
        for event in story.history:
            if not isinstance(event, Hit):
                continue
            at_s = event.at_ms / 1000.0
            if event.what == "stop":
                begun[event.copy] = at_s
            elif event.what == "go on" or event.what == "kill":
                if event.copy in begun:
                    self.still[event.copy].append((begun.pop(event.copy), at_s))
                if event.what == "kill":
                    self.down[event.copy].append((at_s, float("inf")))
            elif event.what == "start":
                self.down[event.copy] = ended(self.down[event.copy], at_s)
            elif event.what == "drain":
                self.drains[event.copy].append((at_s, float("inf")))
            elif event.what.startswith("exit"):
                self.drains[event.copy] = ended(self.drains[event.copy], at_s)

    def stood_s(self, copy: str, from_s: float, to_s: float) -> float:
        return sum(max(0.0, min(b, to_s) - max(a, from_s)) for a, b in self.still[copy])

    def killed(self, copy: str, from_s: float, to_s: float) -> bool:
        """Or came upon what was killed before."""
        return any(a <= to_s and from_s <= b for a, b in self.down[copy])

    def draining(self, copy: str, from_s: float, to_s: float) -> bool:
        return any(a <= to_s and from_s <= b for a, b in self.drains[copy])


def answered_once_in_time(story: Story, troubles: Troubles) -> list[str]:
    """One final answer each. None is owed by a copy that was killed, or to a caller that has left, or for what it has
    never read because it was draining.
    """
    found = []
    for asking in story.asked.values():
        if asking.wrong:
            found.append(f"{asking.trace} was answered with another's: {asking.wrong!r}")
        if len(asking.statuses) > 1:
            found.append(f"{asking.trace} has {len(asking.statuses)} answers")
        if not asking.patient:
            continue
        if asking.statuses:
            at_s = asking.statuses[0][0]
            came_s = asking.asked_s
            if asking.end is not None and asking.end.peer is not None:  # without the ways there and back
                other, last = asking.end.peer, asking.offset + asking.size
                came_s = next((at for at, total in other.landed if total >= last), came_s)
                at_s = min(at_s, when_written(other, asking.answer_at))
            spent_s = at_s - came_s - troubles.stood_s(asking.copy, came_s, at_s)
            if spent_s > asking.most_s + SLACK_S:
                found.append(f"{asking.trace} was answered after {spent_s:.3f} of {asking.most_s:g} s")
            continue
        found += _unanswered(asking, troubles, story.crowded)
    return found


def _unanswered(asking: Asking, troubles: Troubles, crowded: bool) -> list[str]:
    over_s = asking.lost_s or asking.asked_s + asking.most_s + SLACK_S
    copy = asking.copy
    if troubles.killed(copy, asking.asked_s, over_s) or troubles.stood_s(copy, asking.asked_s, over_s) > 0:
        return []
    read = there = False
    if asking.end is not None and asking.end.peer is not None:
        other = asking.end.peer
        # Where places are short, one whose request has not come whole gives way.
        least = asking.offset + (asking.size - 1 if crowded else 0)
        read = any(total > least and at_s <= other.shut_s for at_s, total in other.reads)
        there = any(total > least and at_s <= other.shut_s for at_s, total in other.landed)
    if (
        (not there and (crowded or troubles.draining(copy, asking.asked_s - DRAINS_S, over_s)))
        or asking.behind_last
        or asking.stale
    ):
        return []
    how = f"its connection was over ({asking.why})" if asking.lost_s else "nothing came"
    seen = "it was read" if read else "it lay unread" if there else "it had not come"
    return [
        f"{asking.trace}, asked {copy} at {asking.asked_s:.3f}, has no answer: {how} at {over_s:.3f}; {seen}"
    ]


def refused_only_what_never_ran(story: Story, troubles: Troubles) -> list[str]:
    """A 503 says that asking again is harmless."""
    ran = defaultdict(list)
    for event in story.history:
        if isinstance(event, Ran):
            ran[event.trace].append(event)
    found = []
    for asking in story.asked.values():
        if asking.effect == SAFE or not asking.statuses or asking.statuses[0][1] not in (503, 429):
            continue
        for event in ran[asking.trace]:
            found.append(f"{asking.trace} ({asking.effect}) was refused, and {event.where} ran it")
    return found


def nothing_past_the_grace(story: Story, troubles: Troubles, grace_s: float) -> list[str]:
    """Nothing new is sent to an upstream later than its grace after its balancer has read that it drains."""
    told: dict[tuple[str, int, str], float] = {}
    for item in story.told:
        key = item.copy, item.life, item.upstream
        told[key] = min(told.get(key, float("inf")), item.at_s)
    found = []
    for came in story.came:
        at_s = told.get((came.copy, came.life, came.upstream), float("inf"))
        if came.sent_s > at_s + grace_s:
            found.append(
                f"{came.trace} was sent to {came.upstream} {came.sent_s - at_s:.3f} s after {came.copy} was told"
            )
    return found


def cold_ones_are_spared(story: Story, troubles: Troubles) -> list[str]:
    """In its first second an upstream gets of a balancer no more than what its share of a warm one's load earns, which
    is 0.53 at that second's end, with the credit of 2 that may be held and one for what was under way.
    """
    listed: dict[tuple[str, int, str], float] = {}  # who is not known to have started anew can't be spared
    young = {(came.copy, came.life, came.upstream) for came in story.came if came.cold_s < 1.0}
    for told in story.listed:
        key = told.copy, told.life, told.upstream
        if key in young:
            listed[key] = min(listed.get(key, float("inf")), told.at_s)
    times: dict[str, list[float]] = defaultdict(list)
    cold: dict[tuple[str, str], list[float]] = defaultdict(list)
    seen_at: dict[tuple[str, str], list[float]] = defaultdict(list)
    for came in story.came:
        times[came.copy].append(came.at_s)
        seen_at[came.copy, came.upstream].append(came.at_s)
        known_s = listed.get((came.copy, came.life, came.upstream), float("inf"))
        if came.cold_s < 1.0 and came.sent_s > known_s:
            cold[came.copy, came.upstream].append(came.at_s)
    found = []
    for (copy, upstream), seen in cold.items():
        sends, first_s = times[copy], seen[0]
        most = bisect_left(sends, first_s + 1.0) - bisect_left(sends, first_s - 0.1)
        others = [at for (by, name), at in seen_at.items() if by == copy and name != upstream]
        warm = sum(bisect_left(at, first_s) > 0 and bisect_left(at, first_s + 1.0) < len(at) for at in others)
        at_once = sum(by == copy and abs(at[0] - first_s) < 3.0 for (by, _), at in cold.items())
        if warm >= 3 and len(seen) > 4.0 + 0.55 * at_once * most / (warm + 1):
            found.append(f"{copy} sent the cold {upstream} {len(seen)} of {most} requests in a second")
    return found


def broken(story: Story, grace_s: float) -> list[str]:
    """All that is wrong with it, by every checker."""
    troubles = Troubles(story)
    own: tuple[Callable[[Story, Troubles], list[str]], ...] = (
        answered_once_in_time,
        refused_only_what_never_ran,
        cold_ones_are_spared,
    )
    found = [f"{check.__name__}: {line}" for check in own for line in check(story, troubles)]
    found += [f"nothing_past_the_grace: {line}" for line in nothing_past_the_grace(story, troubles, grace_s)]
    for check in (one_owner_a_term, effects_in_order, one_line_of_effects, nothing_unsafe_twice, keyed_once):
        found += [f"{check.__name__}: {line}" for line in check(story.history)]
    return found
