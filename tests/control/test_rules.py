"""Operators' calls: a table of lines, any pieces of them, and who gives way to whom."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkweir.control.rules import MOST_LINE, Line, Order, Seats, answer

TABLE: list[tuple[bytes, Order | str | None]] = [
    (b"STATUS\n", Order.STATUS),
    (b"PAUSE\r\n", Order.PAUSE),
    (b" RESUME \n", Order.RESUME),
    (b"STATUS\nPAUSE\n", Order.STATUS),  # one call to a connection
    (b"STATUS", None),
    (b"\n", "the line is empty"),
    (b"\r\n", "the line is empty"),
    (b"status\n", "'status' is no call"),
    (b"STATUS now\n", "'STATUS now' is no call"),
    (b"GET /ready HTTP/1.1\r\n", "'GET /ready HTTP/1.1' is no call"),
    (b"\xff\x00\x16\n", "the line is not ASCII"),
    (b"x" * MOST_LINE, None),
    (b"x" * (MOST_LINE + 1), "a line holds at most"),
]


def check(found: Order | str | None, wanted: Order | str | None) -> None:
    if isinstance(wanted, str):
        assert isinstance(found, str) and found.startswith(wanted)
    else:
        assert found is wanted


@pytest.mark.parametrize(("data", "wanted"), TABLE)
def test_a_line_is_an_order_or_says_why_it_is_none(data: bytes, wanted: Order | str | None) -> None:
    check(Line().feed(data), wanted)


@given(st.sampled_from(TABLE), st.data())
def test_pieces_make_the_same_line(item: tuple[bytes, Order | str | None], data: st.DataObject) -> None:
    raw, wanted = item
    line = Line()
    found: Order | str | None = None
    at = 0
    while at < len(raw) and found is None:
        step = data.draw(st.integers(1, len(raw) - at))
        found = line.feed(raw[at : at + step])
        at += step
    check(found, wanted)


@given(st.text())
def test_an_answer_is_one_line_whatever_is_in_it(text: str) -> None:
    line = answer(False, text)
    assert line.startswith(b"FAILURE") and line.count(b"\n") == 1 and line.endswith(b"\n")


def test_a_flood_evicts_the_answered_first_then_the_oldest_unfinished() -> None:
    seats = Seats()
    for n in range(Seats.MOST):
        assert seats.enter(n, float(n)) is None
    seats.answered(7, 20.0)
    assert seats.enter("a", 21.0) == 7
    assert seats.enter("b", 22.0) == 0
    assert len(seats) == Seats.MOST


def test_seats_are_bounded_in_time() -> None:
    seats = Seats()
    seats.enter("slow", 0.0)
    seats.enter("read", 1.0)
    seats.answered("read", 2.0)
    assert seats.overdue(Seats.LINGER_MS) == ([], [])
    assert seats.overdue(Seats.LINGER_MS + 2.0) == ([], ["read"])
    seats.left("read")
    assert seats.overdue(Seats.PATIENCE_MS) == (["slow"], [])
    # A caller that finishes no call for 4 s is not cut off before.
    assert Seats.PATIENCE_MS > 4_000.0
