"""The quota charges for attempts that may have been executed, and the status that the client gets."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.router.test_wire_golden import WireHarness, head, reply

KEY = "X-Api-Key: key-1"
USAGE = "X-Token-Usage: 100,0"


@pytest.fixture
def harness() -> Iterator[WireHarness]:
    made = WireHarness()
    made.configure(tenants=True)
    yield made
    made.close()


def status(harness: WireHarness) -> str:
    """The status of the response to the first client."""
    line = next(line for line in harness.lines if line.startswith("to client 0"))
    return line.split(" ")[4]


def charged(harness: WireHarness) -> float:
    return 2_000.0 - harness.controller.allocator.statuses(["acme"], harness.now_s * 1000.0)["acme"].level


def test_a_second_execution_is_charged(harness: WireHarness) -> None:
    harness.request(head("GET", "/safe/x", KEY, USAGE))
    harness.reset(0)
    harness.answer(1, reply(200))
    assert (status(harness), charged(harness)) == ("200", 200.0)


def test_a_rejection_after_an_attempt_that_may_have_run_refunds_nothing(
    harness: WireHarness,
) -> None:
    harness.request(head("GET", "/safe/x", KEY, USAGE))
    harness.reset(0)
    for number in range(1, len(harness.upstreams) + 4):
        if number < len(harness.upstreams):
            harness.answer(number, reply(503, "X-Not-Executed: 1"))
    assert status(harness) == "502", "503 would wrongly say that the request was not executed"
    assert charged(harness) >= 100.0
    assert harness.controller.refunded == []


def test_a_request_whose_attempts_were_all_rejected_is_refunded(harness: WireHarness) -> None:
    harness.request(head("GET", "/safe/x", KEY, USAGE))
    for number in range(4):
        if number < len(harness.upstreams):
            harness.answer(number, reply(503, "X-Not-Executed: 1"))
    assert (status(harness), charged(harness)) == ("503", 0.0)


def test_the_charge_for_a_rejected_attempt_covers_the_next_one(harness: WireHarness) -> None:
    harness.request(head("GET", "/safe/x", KEY, USAGE))
    harness.reset(0)
    harness.answer(1, reply(503, "X-Not-Executed: 1"))
    harness.answer(2, reply(200))
    assert (status(harness), charged(harness)) == ("200", 200.0)
