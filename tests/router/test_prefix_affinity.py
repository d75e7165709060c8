"""Tests of prefix owner lookups: shared by concurrent requests, cached, and ended by a time-out."""

from __future__ import annotations

import asyncio
from collections.abc import Iterator

import pytest
from larkweir_balancing.prompt import Prompt

from larkweir.cluster.messages import PlacementRequest, PlacementResponse
from larkweir.router.prefix_affinity import CONTROLLER_TIMEOUT_S, OWNER_TTL_MS, PrefixAffinity, PrefixOwner

PROMPT = Prompt("p", 6_000.0, 5_000.0)


class Harness:
    """A `PrefixAffinity` in an event loop whose clock is advanced by the test."""

    def __init__(self) -> None:
        self.now_s = 100.0
        self.loop = asyncio.new_event_loop()
        self.loop.time = lambda: self.now_s  # type: ignore[method-assign]
        self.requests: list[PlacementRequest] = []
        self.owners: list[PrefixOwner | None] = []
        self.ready = {"e1", "e2"}
        self.connected = True
        self.affinity = self._run(PrefixAffinity, 1_000.0)
        self.affinity.send_lookup = self._send

    def _run(self, function, *args):  # type: ignore[no-untyped-def]
        async def inside() -> object:
            found = function(*args)
            await asyncio.sleep(0)
            await asyncio.sleep(0)
            return found

        return self.loop.run_until_complete(inside())

    def _send(self, request: PlacementRequest) -> bool:
        if self.connected:
            self.requests.append(request)
        return self.connected

    def find(self) -> None:
        self._run(
            self.affinity.find_owner, "s", PROMPT, 0, lambda engine: engine in self.ready, self.owners.append
        )

    def respond(self, engine: str | None, is_cached: bool = False) -> None:
        response = PlacementResponse(PROMPT.prefix, engine, is_cached)
        self._run(self.affinity.on_placed, response, self.now_s * 1000.0)

    def wait(self, seconds: float) -> None:
        self.now_s += seconds
        self._run(lambda: None)


@pytest.fixture
def harness() -> Iterator[Harness]:
    made = Harness()
    yield made
    made.loop.close()


def test_concurrent_requests_share_one_lookup(harness: Harness) -> None:
    harness.find()
    harness.find()
    assert len(harness.requests) == 1
    assert harness.owners == []
    harness.respond("e1")
    assert harness.owners == [PrefixOwner("e1", False)] * 2


def test_an_owner_is_cached_and_counts_as_having_the_prefix(harness: Harness) -> None:
    harness.find()
    harness.respond("e1")
    harness.find()
    assert len(harness.requests) == 1
    assert harness.owners == [PrefixOwner("e1", False), PrefixOwner("e1", True)]


def test_an_expired_owner_is_sent_as_known_engine_in_the_next_lookup(harness: Harness) -> None:
    harness.find()
    harness.respond("e1")
    harness.wait(OWNER_TTL_MS / 1000.0 + 0.001)
    harness.find()
    assert [request.known_engine for request in harness.requests] == [None, "e1"]


def test_an_owner_that_is_not_ready_is_looked_up_again(harness: Harness) -> None:
    harness.find()
    harness.respond("e1")
    harness.ready.discard("e1")
    harness.find()
    assert [request.known_engine for request in harness.requests] == [None, None]


def test_a_lookup_without_a_response_times_out(harness: Harness) -> None:
    harness.find()
    harness.wait(CONTROLLER_TIMEOUT_S + 0.001)
    assert harness.owners == [None]
    harness.respond("e1")  # too late for that request, but the owner is cached for the next
    assert harness.owners == [None]
    harness.find()
    assert harness.owners == [None, PrefixOwner("e1", True)]


def test_without_a_controller_the_expired_owner_is_used(harness: Harness) -> None:
    harness.find()
    harness.respond("e1")
    harness.wait(OWNER_TTL_MS / 1000.0 + 0.001)
    harness.connected = False
    harness.find()
    assert harness.owners[-1] == PrefixOwner("e1", True)


def test_without_a_ready_engine_there_is_no_owner(harness: Harness) -> None:
    harness.find()
    harness.respond(None)
    assert harness.owners == [None]
