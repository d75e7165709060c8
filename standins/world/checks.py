"""What must be true of a day: a line for each promise that was broken."""

from __future__ import annotations

from bisect import bisect_left
from collections import defaultdict
from collections.abc import Callable

from standins.checkers import (
    KEYED,
    SAFE,
    Hit,
    Ran,
    effects_in_order,
    keyed_once,
    nothing_unsafe_twice,
    one_line_of_effects,
    one_owner_a_term,
)
from standins.world.story import Asking, Came, Story, Told, answered_s, when_written

SLACK_S = 0.05  # as the settings have it
CLOSE_SEEN_S = 0.1  # from a client's close on, no attempt begins
TOLD_SLACK_S = 0.000_01  # times are told in whole milliseconds, rounded down
NEWS_S = 6.0  # from when discovery could be asked for news, for it to be known
RELOAD_S = 4.0  # from SIGHUP, for the file to count
CONTROL_S = 1.0  # for the answer to an operator's call
ORDER_S = 0.02  # for an operator's order to count once it is answered
HANDOVER_S = 14.0  # from SIGUSR2, for its end: taken over, or given up
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
        self.ended: dict[str, list[tuple[float, float]]] = defaultdict(
            list
        )  # by itself, up to the next start
        self.turns: dict[str, list[float]] = defaultdict(list)  # starts, ends, and orders to end
        self.pauses: dict[str, list[tuple[float, float]]] = defaultdict(list)  # asked for by operators
        for call in story.control:
            if call.line == "PAUSE":
                self.pauses[call.copy].append((call.asked_s, float("inf")))
            elif call.line == "RESUME":
                self.pauses[call.copy] = ended(self.pauses[call.copy], call.answered_s)
        begun: dict[str, float] = {}
        for event in story.history:
            if not isinstance(event, Hit):
                continue
            at_s = event.at_ms / 1000.0
            if event.what not in ("stop", "go on", "reload"):
                self.turns[event.copy].append(at_s)
            if event.what == "stop":
                begun[event.copy] = at_s
            elif event.what == "go on" or event.what == "kill":
                if event.copy in begun:
                    self.still[event.copy].append((begun.pop(event.copy), at_s))
                if event.what == "kill":
                    self.down[event.copy].append((at_s, float("inf")))
            elif event.what == "start":
                self.down[event.copy] = ended(self.down[event.copy], at_s)
                self.ended[event.copy] = ended(self.ended[event.copy], at_s)
            elif event.what == "drain":
                self.drains[event.copy].append((at_s, float("inf")))
            elif event.what.startswith("exit") or event.what in ("drain is over", "one of two exits"):
                self.drains[event.copy] = ended(self.drains[event.copy], at_s)
                if event.what.startswith("exit"):
                    self.ended[event.copy].append((at_s, float("inf")))

    def stood_s(self, copy: str, from_s: float, to_s: float) -> float:
        return sum(max(0.0, min(b, to_s) - max(a, from_s)) for a, b in self.still[copy])

    def killed(self, copy: str, from_s: float, to_s: float) -> bool:
        """Or came upon what was killed before."""
        return any(a <= to_s and from_s <= b for a, b in self.down[copy])

    def runs_on(self, copy: str, from_s: float, to_s: float) -> bool:
        """Whether one life ran all that time, and was neither stopped nor told to end."""
        turned = any(from_s <= at_s <= to_s for at_s in self.turns[copy])
        began = any(at_s <= from_s for at_s in self.turns[copy])
        away = self.killed(copy, from_s, to_s) or self.draining(copy, from_s, to_s)
        away = away or any(a <= to_s and from_s <= b for a, b in self.ended[copy])
        return began and not turned and not away and self.stood_s(copy, from_s, to_s) == 0

    def ends_idle(self, copy: str, from_s: float, to_s: float) -> bool:
        """Whether it may end connections that are idle, as one that drains or is paused does."""
        paused = any(a <= to_s and from_s <= b for a, b in self.pauses[copy])
        return paused or self.draining(copy, from_s, to_s)

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
            most_s = story.deadline_s(asking)
            # Answers go out in the order of their requests (RFC 9112 section 9.3.2): one with a short deadline does
            # not come before one with a long deadline that was asked before it.
            waited_s = answered_s(asking.behind) - came_s if asking.behind is not None else 0.0
            if spent_s > max(most_s, waited_s) + SLACK_S:
                found.append(f"{asking.trace} was answered after {spent_s:.3f} of {most_s:g} s")
            continue
        found += _unanswered(asking, troubles, story)
    return found


def _unanswered(asking: Asking, troubles: Troubles, story: Story) -> list[str]:
    over_s = asking.lost_s or asking.asked_s + asking.most_s + SLACK_S
    copy, crowded = asking.copy, story.crowded
    if troubles.killed(copy, asking.asked_s, over_s) or troubles.stood_s(copy, asking.asked_s, over_s) > 0:
        return []
    read = there = False
    if asking.end is not None and asking.end.peer is not None:
        other = asking.end.peer
        if (copy, other.owner.life) in story.killed_lives:
            return []
        # Where places are short, one whose request has not come whole gives way.
        least = asking.offset + (asking.size - 1 if crowded else 0)
        read = any(total > least and at_s <= other.shut_s for at_s, total in other.reads)
        there = any(total > least and at_s <= other.shut_s for at_s, total in other.landed)
    if (
        (not there and (crowded or troubles.ends_idle(copy, asking.asked_s - DRAINS_S, over_s)))
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
        if not asking.statuses or asking.statuses[0][1] not in (503, 429) or not ran[asking.trace]:
            continue
        effect = story.effect(asking)
        if effect == SAFE:
            continue
        found.extend(
            f"{asking.trace} ({effect}) was refused, and {event.where} ran it" for event in ran[asking.trace]
        )
    return found


def nothing_past_the_grace(story: Story, troubles: Troubles, grace_s: float) -> list[str]:
    """Nothing new is sent to an upstream later than its grace after its balancer has read that it drains."""
    return _sent_later(story, story.told, grace_s, "was told")


def nothing_to_the_left_out(story: Story, troubles: Troubles, grace_s: float) -> list[str]:
    """Nothing new is sent to an upstream later than its grace after its balancer has read a whole list without it."""
    return _sent_later(story, story.left_out, grace_s, "had read a whole list without it")


def _first_told(items: list[Told]) -> dict[tuple[str, int, str], float]:
    """When each life of each copy had first read of an upstream."""
    told: dict[tuple[str, int, str], float] = {}
    for item in items:
        key = item.copy, item.life, item.upstream
        told[key] = min(told.get(key, float("inf")), item.at_s)
    return told


def _sent_later(story: Story, items: list[Told], grace_s: float, what: str) -> list[str]:
    told = _first_told(items)
    found = []
    for came in story.came:
        at_s = told.get((came.copy, came.life, came.upstream), float("inf"))
        if came.sent_s > at_s + grace_s:
            late_s = came.sent_s - at_s
            found.append(f"{came.trace} was sent to {came.upstream} {late_s:.3f} s after {came.copy} {what}")
    return found


def no_attempt_after_the_close(story: Story, troubles: Troubles) -> list[str]:
    """No attempt begins later than a moment after the client's end of the connection came to the balancer's machine."""
    found = []
    for came in story.came:
        asking = story.asked.get(came.trace)
        end = asking.end.peer if asking is not None and asking.end is not None else None
        if end is None or end.peer_left_s == float("inf"):
            continue
        sent_s = came.sent_s
        late_s = sent_s - end.peer_left_s - troubles.stood_s(came.copy, end.peer_left_s, sent_s)
        if late_s > CLOSE_SEEN_S:
            found.append(f"{came.trace} was sent to {came.upstream} {late_s:.3f} s after its client's close")
    return found


def told_what_is_left(story: Story, troubles: Troubles) -> list[str]:
    """An upstream is told no more time than its client still waits, and is sent nothing after that."""
    found = []
    for came in story.came:
        asking = story.asked.get(came.trace)
        if asking is None or came.told_s is None:
            continue
        sent_s, read_s = came.sent_s, asking.read_s
        spent_s = max(0.0, sent_s - read_s - troubles.stood_s(came.copy, read_s, sent_s))
        left_s = story.deadline_s(asking) - spent_s
        if came.told_s > max(0.0, left_s) + TOLD_SLACK_S:
            found.append(f"{came.trace}: {came.upstream} was told {came.told_s:.3f} s of {left_s:.3f} s left")
        elif left_s < 0:
            found.append(f"{came.trace} was sent to {came.upstream} {-left_s:.4f} s after its deadline")
    return found


def repeats_within_the_window(story: Story, troubles: Troubles) -> list[str]:
    """The last byte of a keyed request's repeat is written before the window is over that runs from the first byte of
    the first attempt that may have run.
    """
    attempts: dict[str, list[Came]] = defaultdict(list)
    for came in story.came:
        if came.effect == KEYED:
            attempts[came.trace].append(came)
    found = []
    for trace, several in attempts.items():
        asking = story.asked.get(trace)
        if asking is None or len(several) < 2:
            continue
        several.sort(key=lambda came: came.sent_s)
        first = next((came for came in several if not came.never_ran), None)
        if first is None:
            continue
        over_s = first.sent_s + story.memory_s(asking)
        for came in several[several.index(first) + 1 :]:
            late_s = came.last_sent_s - over_s
            if late_s > 0:
                found.append(f"{trace} was repeated at {came.upstream} {late_s:.3f} s after its window")
    return found


def news_is_known_in_time(story: Story, troubles: Troubles, over_s: float) -> list[str]:
    """That an upstream leaves is read within some seconds of continuous time in which the agent of discovery that the
    copy is to ask knew it and answered. `over_s`: the end of the day.
    """
    told = _by_copy(story.told + story.left_out)
    listed = _by_copy(story.listed)
    found = []
    for source in story.sources:
        for from_s, to_s in _asked_in(story, source.copy, source.at):
            for upstream, heard_s in source.heard.items():
                for opens_s, shuts_s in source.spans:
                    start_s = max(from_s, heard_s, opens_s)
                    due_s = start_s + NEWS_S
                    key = source.copy, upstream
                    if due_s > min(to_s, shuts_s, over_s) or not troubles.runs_on(
                        source.copy, start_s, due_s
                    ):
                        continue
                    if listed.get(key, float("inf")) < start_s and told.get(key, float("inf")) > due_s:
                        found.append(
                            f"{source.copy} did not know by {due_s:.3f} that {upstream} leaves, which its agent could "
                            f"tell from {start_s:.3f} on"
                        )
                    break
    return found


def _by_copy(items: list[Told]) -> dict[tuple[str, str], float]:
    found: dict[tuple[str, str], float] = {}
    for (copy, _, upstream), at_s in _first_told(items).items():
        found[copy, upstream] = min(found.get((copy, upstream), float("inf")), at_s)
    return found


def _asked_in(story: Story, copy: str, at: tuple[str, int]) -> list[tuple[float, float]]:
    """The spans in which a copy's file names that agent."""
    named = [(at_s, address) for name, at_s, address in story.pointed if name == copy]
    ends = [at_s for at_s, _ in named[1:]] + [float("inf")]
    joined: list[tuple[float, float]] = []
    for (from_s, address), to_s in zip(named, ends, strict=True):
        if address != at:
            continue
        if joined and joined[-1][1] == from_s:
            joined[-1] = (joined[-1][0], to_s)
        else:
            joined.append((from_s, to_s))
    return joined


def reloads_count_in_time(story: Story, troubles: Troubles) -> list[str]:
    """After SIGHUP the file as it stood then, or a later one, is in force within some seconds."""
    found = []
    for item in story.reloads:
        if item.applied or not troubles.runs_on(item.copy, item.at_s + 1e-6, item.at_s + RELOAD_S):
            continue
        if not any(
            done.applied
            and (done.copy, done.life) == (item.copy, item.life)
            and done.edition >= item.edition
            and item.at_s <= done.at_s <= item.at_s + RELOAD_S
            for done in story.reloads
        ):
            found.append(
                f"{item.copy}: the file of the SIGHUP at {item.at_s:.3f} did not count in {RELOAD_S:g} s"
            )
    return found


def moved_lists_are_read(story: Story, troubles: Troubles) -> list[str]:
    """Where a reload moves discovery to an agent that answers, its whole list is read within the time of a reload."""
    found = []
    for copy, at_s, address in story.pointed:
        asked = [
            item.at_s
            for item in story.reloads
            if item.copy == copy and not item.applied and item.at_s <= at_s <= item.at_s + RELOAD_S
        ]
        due_s = max(asked, default=0.0) + RELOAD_S
        moved = any(from_s == at_s for from_s, _ in _asked_in(story, copy, address))
        stays = any(from_s <= at_s and due_s <= to_s for from_s, to_s in _asked_in(story, copy, address))
        answers = any(
            source.at == address and opens_s <= at_s and due_s <= shuts_s
            for source in story.sources
            for opens_s, shuts_s in source.spans
        )
        if not (asked and moved and stays and answers and troubles.runs_on(copy, min(asked), due_s)):
            continue
        if not any(item.end.local == address and at_s <= item.at_s <= due_s for item in story.listed):
            found.append(f"{copy} had not read the list of {address[0]}:{address[1]} by {due_s:.3f}")
    return found


def control_calls_are_answered(story: Story, troubles: Troubles) -> list[str]:
    """One line for each operator's call, in time, and it begins with SUCCESS or FAILURE."""
    found = []
    for call in story.control:
        over_s = min(call.answered_s, call.asked_s + CONTROL_S)
        if not troubles.runs_on(call.copy, call.asked_s, over_s):
            continue
        if call.answered_s > call.asked_s + CONTROL_S:
            found.append(
                f"{call.copy}: {call.line} at {call.asked_s:.3f} was not answered in {CONTROL_S:g} s"
            )
        elif call.answer.partition(" ")[0] not in ("SUCCESS", "FAILURE") or "\n" in call.answer:
            found.append(f"{call.copy}: {call.line} was answered {call.answer!r:.60}")
    return found


def _spans_after(story: Story, troubles: Troubles, order: str) -> list[tuple[str, float, float]]:
    """The copy, and from when to when it was as the order has it: from its answer up to the next order, or turn."""
    orders = [call for call in story.control if call.line in ("PAUSE", "RESUME")]
    found = []
    for call in orders:
        if call.line != order or not call.answer.startswith("SUCCESS"):
            continue
        later = [
            other.asked_s for other in orders if other.copy == call.copy and other.asked_s > call.asked_s
        ]
        turns = [at_s for at_s in troubles.turns[call.copy] if at_s > call.asked_s]
        found.append((call.copy, call.answered_s + ORDER_S, min([*later, *turns, float("inf")])))
    return found


def orders_count(story: Story, troubles: Troubles) -> list[str]:
    """While a copy is paused each answer is its connection's last; once it is resumed none is; STATUS says which."""
    found = []
    for order, last in (("PAUSE", True), ("RESUME", False)):
        for copy, from_s, to_s in _spans_after(story, troubles, order):
            for asking in story.asked.values():
                end = asking.end.peer if asking.end is not None else None
                if asking.copy != copy or end is None or not asking.statuses or asking.statuses[0][1] != 200:
                    continue
                if from_s < when_written(end, asking.answer_at) < to_s and asking.closing != last:
                    what = "left the connection open" if last else "closed the connection"
                    found.append(f"{asking.trace}: after {order} at {from_s:.3f} the answer of {copy} {what}")
            for call in story.control:
                within = from_s < call.asked_s < call.answered_s < to_s
                if call.copy == copy and call.line == "STATUS" and within:
                    if ("state=paused" in call.answer) == last:
                        continue
                    found.append(f"{copy}: after {order} STATUS says {call.answer!r:.60}")
    return found


def handovers_end(story: Story, troubles: Troubles, over_s: float) -> list[str]:
    """After SIGUSR2 the log says in time that a successor has taken over, or why not."""
    found = []
    for copy, at_s in story.handovers:
        due_s = at_s + HANDOVER_S
        told = any(name == copy and at_s <= said_s <= due_s for name, said_s, _ in story.handover_lines)
        if not told and due_s < over_s and not troubles.killed(copy, at_s, due_s):
            found.append(f"{copy}: nothing came of the handover that was asked for at {at_s:.3f}")
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


def broken(story: Story, grace_s: float, over_s: float) -> list[str]:
    """All that is wrong with it, by every checker. `over_s`: until when nothing was told to end."""
    troubles = Troubles(story)
    own: tuple[Callable[[Story, Troubles], list[str]], ...] = (
        answered_once_in_time,
        refused_only_what_never_ran,
        cold_ones_are_spared,
        no_attempt_after_the_close,
        told_what_is_left,
        repeats_within_the_window,
        reloads_count_in_time,
        moved_lists_are_read,
        control_calls_are_answered,
        orders_count,
    )
    found = [f"{check.__name__}: {line}" for check in own for line in check(story, troubles)]
    for until in (news_is_known_in_time, handovers_end):
        found += [f"{until.__name__}: {line}" for line in until(story, troubles, over_s)]
    for graced in (nothing_past_the_grace, nothing_to_the_left_out):
        found += [f"{graced.__name__}: {line}" for line in graced(story, troubles, grace_s)]
    for check in (one_owner_a_term, effects_in_order, one_line_of_effects, nothing_unsafe_twice, keyed_once):
        found += [f"{check.__name__}: {line}" for line in check(story.history)]
    return found
