"""What a tenant pays for attempts that may have been executed, and what its client is told of them."""

from __future__ import annotations

from collections.abc import Iterator

import pytest

from tests.router.test_wire_golden import Scene, head, reply

KEY = "X-Api-Key: key-1"
USAGE = "X-Token-Usage: 100,0"


@pytest.fixture
def scene() -> Iterator[Scene]:
    made = Scene()
    made.configure(tenants=True)
    yield made
    made.close()


def status(scene: Scene) -> str:
    """Of the answer to the first client."""
    line = next(line for line in scene.lines if line.startswith("to client 0"))
    return line.split(" ")[4]


def charged(scene: Scene) -> float:
    return 2_000.0 - scene.controller.allocator.statuses(["acme"], scene.now_s * 1000.0)["acme"].level


def test_a_second_execution_is_charged(scene: Scene) -> None:
    scene.request(head("GET", "/safe/x", KEY, USAGE))
    scene.reset(0)
    scene.answer(1, reply(200))
    assert (status(scene), charged(scene)) == ("200", 200.0)


def test_an_attempt_that_was_rejected_after_one_that_may_have_run_gives_nothing_back(scene: Scene) -> None:
    scene.request(head("GET", "/safe/x", KEY, USAGE))
    scene.reset(0)
    for number in range(1, len(scene.upstreams) + 4):
        if number < len(scene.upstreams):
            scene.answer(number, reply(503, "X-Not-Executed: 1"))
    assert status(scene) == "502", "503 would promise that it has not run"
    assert charged(scene) >= 100.0
    assert scene.controller.refunded == []


def test_attempts_that_were_all_rejected_are_given_back(scene: Scene) -> None:
    scene.request(head("GET", "/safe/x", KEY, USAGE))
    for number in range(4):
        if number < len(scene.upstreams):
            scene.answer(number, reply(503, "X-Not-Executed: 1"))
    assert (status(scene), charged(scene)) == ("503", 0.0)


def test_a_rejected_attempt_after_an_execution_is_paid_for_the_next_one(scene: Scene) -> None:
    scene.request(head("GET", "/safe/x", KEY, USAGE))
    scene.reset(0)
    scene.answer(1, reply(503, "X-Not-Executed: 1"))
    scene.answer(2, reply(200))
    assert (status(scene), charged(scene)) == ("200", 200.0)
