"""Amounts with their units: times, rates, parts, counts. Exact decimals until the end."""

from __future__ import annotations

import math
import re
from decimal import Decimal, InvalidOperation

from larkweir.config.keys import Unit

# In milliseconds.
TIMES = {
    "us": Decimal("0.001"),
    "ms": Decimal(1),
    "s": Decimal(1000),
    "m": Decimal(60_000),
    "h": Decimal(3_600_000),
    "d": Decimal(86_400_000),
}
SIZES = {
    "B": Decimal(1),
    "kB": Decimal(1000),
    "MB": Decimal(10**6),
    "GB": Decimal(10**9),
    "KiB": Decimal(2**10),
    "MiB": Decimal(2**20),
    "GiB": Decimal(2**30),
}
PER = {"s": Decimal(1), "m": Decimal(60), "h": Decimal(3600)}
AMOUNT = re.compile(r"([-+]?(?:[0-9]+(?:_[0-9]+)*)?(?:\.[0-9]*)?(?:[eE][-+]?[0-9]+)?)(.*)", re.DOTALL)
MOST_DIGITS = 40  # of an amount, so that reading one takes no time to speak of


class AmountError(ValueError):
    """An amount that is none: `code`, what is wrong, and how to mend it."""

    def __init__(self, code: str, text: str, mend: str) -> None:
        super().__init__(text)
        self.code = code
        self.text = text
        self.mend = mend


def parts_of(text: str) -> tuple[Decimal, str]:
    """The number and what stands behind it."""
    found = AMOUNT.fullmatch(text)
    number, unit = found.groups() if found else ("", text)
    if len(number) > MOST_DIGITS:
        raise AmountError("LW407", f"{text[:20]}... has too many digits", f"{MOST_DIGITS} are enough")
    try:
        value = Decimal(number.replace("_", ""))
    except InvalidOperation:
        raise AmountError(
            "LW401", f"{text:.60} is no amount", "write a number, and a unit behind it"
        ) from None
    return value, unit


def _scaled(text: str, value: Decimal, factor: Decimal) -> float:
    try:
        number = float(value * factor)
    except (OverflowError, InvalidOperation):
        number = math.inf
    if not math.isfinite(number) or (number == 0.0 and value):
        raise AmountError(
            "LW403", f"{text:.60} is too large or too small for a number", "write a smaller one"
        )
    if number < 0.0:
        raise AmountError("LW404", f"{text:.60} is less than nothing", "leave the sign out")
    return number


def _unit(text: str, unit: str, units: dict[str, Decimal], what: str, example: str) -> Decimal:
    if not unit:
        raise AmountError("LW402", f"{text:.60} has no unit, and {what} is wanted", f"write {example}")
    factor = units.get(unit)
    if factor is None:
        near = [name for name in units if name.lower() == unit.lower()]
        known = near[0] if near else ", ".join(units)
        raise AmountError("LW405", f"{unit[:20]!r} is no unit of {what}", f"write {known}")
    return factor


def time_ms(text: str) -> float:
    """A time in milliseconds: 550ms, 1.5s, 2m."""
    value, unit = parts_of(text)
    number = text.removesuffix(unit)
    return _scaled(text, value, _unit(text, unit, TIMES, "a time", f"{number}ms or {number}s"))


def size_bytes(text: str) -> float:
    """A size in bytes: 64KiB, 10MB."""
    value, unit = parts_of(text)
    return _scaled(text, value, _unit(text, unit, SIZES, "a size", f"{text}KiB"))


def rate_per_s(text: str) -> float:
    """Something a second: 20/s, 90/m."""
    value, unit = parts_of(text)
    if unit and not unit.startswith("/"):
        raise AmountError("LW405", f"{unit[:20]!r} is no unit of a rate", "write 20/s, 90/m or 5/h")
    factor = _unit(text, unit[1:], PER, "a rate", f"{text.removesuffix(unit)}/s")
    return _scaled(text, value / factor, Decimal(1))


def part(text: str) -> float:
    """A part of one: 25%, or 0.25."""
    value, unit = parts_of(text)
    if unit not in ("", "%"):
        raise AmountError("LW405", f"{unit[:20]!r} is no unit of a part", "write 25% or 0.25")
    return _scaled(text, value, Decimal("0.01") if unit else Decimal(1))


def times(text: str) -> float:
    """A multiple: 4x, or 4."""
    value, unit = parts_of(text)
    if unit not in ("", "x"):
        raise AmountError("LW405", f"{unit[:20]!r} is no unit of a multiple", "write 4x")
    return _scaled(text, value, Decimal(1))


def plain(text: str) -> float:
    """A number without a unit."""
    value, unit = parts_of(text)
    if unit:
        raise AmountError("LW406", f"{text:.60} has a unit, and a plain number is wanted", f"write {value}")
    return _scaled(text, value, Decimal(1))


def count(text: str) -> int:
    """A whole number."""
    number = plain(text)
    if number != int(number):
        raise AmountError(
            "LW408", f"{text:.60} is no whole number", f"write {int(number)} or {int(number) + 1}"
        )
    return int(number)


READERS = {
    Unit.TIME: time_ms,
    Unit.RATE: rate_per_s,
    Unit.PART: part,
    Unit.TIMES: times,
    Unit.NONE: plain,
}


def written(value: float, unit: Unit) -> str:
    """An amount as the language writes it, in the largest unit that makes it short; reads back as the same number."""
    if unit is Unit.TIME:
        return _shortest(value, {"d": 86_400_000.0, "h": 3_600_000.0, "m": 60_000.0, "s": 1000.0, "ms": 1.0})
    if unit is Unit.RATE:
        return f"{_number(value)}/s"
    if unit is Unit.PART:
        percent = _number(round(value * 100.0, 10))
        return f"{percent}%" if part(f"{percent}%") == value else _number(value)
    if unit is Unit.TIMES:
        return f"{_number(value)}x"
    return _number(value)


def _number(value: float) -> str:
    return str(int(value)) if value == int(value) and abs(value) < 1e15 else repr(value)


def _shortest(value: float, units: dict[str, float]) -> str:
    for unit, factor in units.items():
        amount = value / factor
        if amount == int(amount) and amount >= 1.0:
            return f"{_number(amount)}{unit}"
    return f"{_number(value)}ms"
