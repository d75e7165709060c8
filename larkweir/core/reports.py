"""Rules: load reports, in an answer's header or body."""

from __future__ import annotations

from collections.abc import Sequence

from larkweir.core.message import FramingError, Message

LOAD_HEADER = b"endpoint-load-metrics"


def parse_report(text: bytes, names: Sequence[str]) -> tuple[float, ...]:
    """The load report's values in the order of `names`; none if it is not whole or not a report."""
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
    found = [values.get(name, -1.0) for name in names]
    return tuple(found) if all(0.0 <= value < 1e9 for value in found) else ()


def report_of(answer: Message | None, names: Sequence[str], from_body: bool) -> tuple[float, ...]:
    """The load report that an answer carries, in its body or in its header."""
    if answer is None or not names:
        return ()
    try:
        text = answer.body if from_body else answer.value(LOAD_HEADER)
    except FramingError:
        return ()
    return parse_report(text, names) if text else ()
