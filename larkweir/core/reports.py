"""Parses load reports, which an upstream sends in a header of an answer (inline) or in the body of a probe's answer.

A report is the word TEXT, a space, and `name=value` pairs separated by commas. Pure logic.
"""

from __future__ import annotations

from collections.abc import Sequence

from larkweir.core.message import FramingError, Message

LOAD_HEADER = b"endpoint-load-metrics"


def parse_report(text: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """The values of `names`, in that order. Empty if the text is not a report, a name is missing, or a value is not a
    number in [0, 1e9).
    """
    kind, _, rest = text.strip().partition(b" ")
    if kind.upper() != b"TEXT":
        return ()
    values: dict[str, float] = {}
    for item in rest.split(b","):
        name, _, value = item.strip().partition(b"=")
        try:
            values[name.decode("ascii")] = float(value)
        except ValueError:
            return ()
    wanted = [values.get(name, -1.0) for name in names]  # -1: missing, which the check below rejects
    return tuple(wanted) if all(0.0 <= value < 1e9 for value in wanted) else ()


def report_of(answer: Message | None, names: Sequence[str], from_body: bool) -> tuple[float, ...]:
    """The load report in an answer's body or header, parsed by `parse_report`. Empty if there is none."""
    if answer is None or not names:
        return ()
    try:
        text = answer.body if from_body else answer.value(LOAD_HEADER)
    except FramingError:
        return ()
    return parse_report(text, names) if text else ()
