"""What one field comes to, of all that was written to it.

A field's value is a function of the set of its writes, so the order in which they came is no matter, nor how often.
Writes that nobody has seen and overwritten are the heads. One head is the value. Of several, a rule by the field's
name says: either how they combine, or that it is a conflict, and then the last value that all of them had counts.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping, Sequence
from dataclasses import dataclass
from math import isfinite
from typing import Any

from larkweir_edits.edit import ENDED, LIST_PRESENT, STEP, Edit, Sub

MAX_PROPOSALS = 64  # told of a field, the newest ones
ANY = "any"  # a list that is said, and was left empty by who wrote it


@dataclass(frozen=True, slots=True, eq=False)
class Write:
    """What one edit says of one part of a row."""

    edit: Edit
    value: Any
    void: bool = False  # by a writer who came back too late: a proposal, never a value


@dataclass(frozen=True, slots=True)
class Found:
    """What a field comes to; `proposals` are what is told, the newest first, where it is a conflict. `base`: whether
    no write says it, or those that do had nothing in common.
    """

    value: Any
    proposals: tuple[Write, ...] = ()
    base: bool = False


def heads(writes: Iterable[Write]) -> list[Write]:
    """Those that no other has seen, the newest first (`Edit.order`). A write that is seen by any is seen by a head."""
    found: list[Write] = []
    for write in sorted(writes, key=lambda item: item.edit.order, reverse=True):
        if not any(head.edit.saw(write.edit.dot) for head in found):
            found.append(write)
    return found


def common(writes: Iterable[Write], tops: Sequence[Write]) -> list[Write]:
    """Those that all heads had seen."""
    return [item for item in writes if all(top.edit.saw(item.edit.dot) for top in tops)]


def part_of(text: Any) -> float:
    """The number of a part, "5%" or "0.05"; 0 for none, and for what can't be read."""
    if not isinstance(text, str):
        return 0.0
    try:
        part = float(text[:-1]) / 100.0 if text.endswith("%") else float(text)
    except ValueError:
        return 0.0
    return part if isfinite(part) else 0.0


def _present_values(values: Sequence[Any]) -> list[Any]:
    return [value for value in values if value is not None]


def _smaller(values: Sequence[Any]) -> Any:
    return min(_present_values(values), default=None)


def _larger(values: Sequence[Any]) -> Any:
    return max(_present_values(values), default=None)


def _larger_or_all(values: Sequence[Any]) -> Any:
    return 0 if 0 in _present_values(values) else _larger(values)


def _smaller_part(values: Sequence[Any]) -> Any:
    return min(values, key=lambda text: (part_of(text), text or ""))


def _any(values: Sequence[Any]) -> Any:
    """Of True, `ANY` and False."""
    return max(values, key=lambda value: 2 if value is True else bool(value))


def _off(values: Sequence[Any]) -> Any:
    return values[0] if all(value == values[0] for value in values) else ""


# How heads combine; a rule that is not here makes two that differ a conflict.
COMBINED: dict[str, Callable[[Sequence[Any]], Any]] = {
    "smaller": _smaller,
    "longer": _larger,
    "stricter": _larger,  # an alarm: the larger the sooner a part is ended, and 0 ends none
    "larger_or_all": _larger_or_all,
    "off": _off,
    "split": _smaller_part,
    "set": _any,
    "lifted": _any,
    "here": _any,
}
UNITS = ("one", "match")  # one unit each: two that differ are a conflict
LISTS = ("set", "lifted", "split")  # by elements
RULES = frozenset((*COMBINED, *UNITS)) - {"here"}
REPORTED_RULES = ("off", "here")  # rules that combine, and yet tell what was asked for


def valid(writes: Iterable[Write]) -> list[Write]:
    """The writes that may become a value: those of struck writers are proposals alone."""
    return [item for item in writes if not item.void]


def proposals(writes: Sequence[Write]) -> list[Write]:
    """What was written too late and is settled by nobody yet."""
    good = valid(writes)
    return [item for item in writes if item.void and not any(w.edit.saw(item.edit.dot) for w in good)]


def field(rule: str, writes: Sequence[Write], base: Any) -> Found:
    """What a field comes to; `base` is its value before all these writes."""
    late = proposals(writes)
    tops = heads(valid(writes))
    found, based = _value(rule, valid(writes), tops, base)
    differ = len(tops) > 1 and any(item.value != tops[0].value for item in tops)
    if late or (differ and (rule not in COMBINED or rule in REPORTED_RULES)):
        reported = sorted([*late, *(tops if differ else ())], key=lambda item: item.edit.order, reverse=True)
        return Found(found, tuple(reported[:MAX_PROPOSALS]), based)
    return Found(found, (), based)


def _value(rule: str, writes: Sequence[Write], tops: Sequence[Write], base: Any) -> tuple[Any, bool]:
    while tops:
        values = [item.value for item in tops]
        if all(value == values[0] for value in values):
            return values[0], False
        if rule in COMBINED:
            return COMBINED[rule](values), False
        writes = common(writes, tops)
        tops = heads(writes)
    return base, True


def termed(writes: Sequence[Write], base: Any) -> tuple[Any, Write | None]:
    """An owner's register: the highest (term, number) counts, whenever it came. Its value [term, number, what], and
    the write where it is not the base's.
    """
    best: Write | None = None
    for item in valid(writes):
        if best is None or (item.value[:2], item.edit.order) > (best.value[:2], best.edit.order):
            best = item
    if best is None or (base is not None and base[:2] >= best.value[:2]):
        return base, None
    return best.value, best


def listed(
    rule: str, writes: Mapping[Sub, Sequence[Write]], base: Mapping[Sub, Any]
) -> tuple[dict[str, Any], Any, bool]:
    """The elements of a list that are there, with their values; whether it is said at all; whether it is as before
    because a set would be empty that nobody meant to be: each took out a part, and nothing would mean anything.
    """
    wrong = False
    while True:
        found: dict[str, Any] = {}
        for sub in {**base, **writes}:
            value = field(rule, writes.get(sub, ()), base.get(sub)).value
            if value:
                found[sub[1]] = value
        is_present = found.pop(LIST_PRESENT, False)
        if rule != "set" or found or is_present is not True:
            return found, is_present or bool(found), wrong
        tops = heads({item.edit.dot: item for group in writes.values() for item in valid(group)}.values())
        if not tops:
            return found, True, wrong
        wrong = True
        writes = {sub: common(group, tops) for sub, group in writes.items()}


def ended(parts: Sequence[Write], verdicts: Sequence[Write], base: Any) -> tuple[bool, Any]:
    """Whether a part of a split is ended, and its verdict: it is until the part is changed by an edit that has seen the
    verdict.
    """
    value, write = termed(verdicts, base)
    if value is None or not value[2]:
        return False, value
    tops = heads(valid(parts))
    if write is None:  # all that is still to come, and all that is here, has seen it
        return not tops, value
    return not any(top.edit.saw(write.edit.dot) for top in tops), value


__all__ = ["ENDED", "LISTS", "RULES", "STEP", "Found", "Write", "ended", "field", "heads", "listed", "termed"]
