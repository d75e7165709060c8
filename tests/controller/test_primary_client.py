"""Forwarding of calls to the primary, and their answers."""

from __future__ import annotations

import asyncio
from dataclasses import dataclass, field

import pytest
from larkweir_replication.messages import Command
from larkweir_replication.status import ReplicaStatus

from larkweir.cluster.messages import PrimaryRequest, PrimaryResponse
from larkweir.controller import primary_client
from larkweir.controller.call_outcome import UNKNOWN, CallOutcome, Completed, Rejected
from larkweir.controller.primary_client import PrimaryClient
from tests.controller.conftest import FakeLinks

COMMAND = Command("identity", 0, "text")


@dataclass
class FakeReplica:
    """A replica's status and the primary that it knows."""

    status: ReplicaStatus = ReplicaStatus.FOLLOWER
    primary: str | None = "p"


@dataclass
class FakeDriver:
    """A replica whose outcome the test sets."""

    replica: FakeReplica = field(default_factory=FakeReplica)
    outcome: CallOutcome = UNKNOWN
    calls: list[Command | None] = field(default_factory=list)

    async def call(self, command: Command | None) -> CallOutcome:
        self.calls.append(command)
        return self.outcome


@pytest.fixture
def driver() -> FakeDriver:
    return FakeDriver()


@pytest.fixture
def client(driver: FakeDriver, links: FakeLinks) -> PrimaryClient:
    links.connected = {"p"}
    return PrimaryClient(driver, links)  # type: ignore[arg-type]


def test_the_primary_carries_out_its_own_calls(client: PrimaryClient, driver: FakeDriver) -> None:
    driver.replica.status, driver.outcome = ReplicaStatus.PRIMARY, Completed("x")
    assert asyncio.run(client.call(COMMAND)) == Completed("x")
    assert driver.calls == [COMMAND]


def test_a_call_is_forwarded_and_its_answer_returned(client: PrimaryClient, links: FakeLinks) -> None:
    async def scenario() -> None:
        call = asyncio.ensure_future(client.call(COMMAND))
        await asyncio.sleep(0)
        assert links.sent == [("p", PrimaryRequest(1, COMMAND))]
        client.answered(PrimaryResponse(2, 200))
        client.answered(PrimaryResponse(1, 412, "stale"))
        client.answered(PrimaryResponse(1, 200))
        assert await call == Rejected(412, "stale")

    asyncio.run(scenario())


@pytest.mark.parametrize("primary", [None, "q"])
def test_without_a_connected_primary_the_outcome_is_unknown(
    primary: str | None, client: PrimaryClient, driver: FakeDriver, links: FakeLinks
) -> None:
    driver.replica.primary = primary
    assert asyncio.run(client.call(None)) is UNKNOWN
    assert links.sent == []


def test_without_an_answer_in_time_the_outcome_is_unknown(
    client: PrimaryClient, monkeypatch: pytest.MonkeyPatch
) -> None:
    async def scenario() -> None:
        assert await client.call(COMMAND) is UNKNOWN
        client.answered(PrimaryResponse(1, 200))  # arrives after the time-out and is ignored

    monkeypatch.setattr(primary_client, "FORWARD_TIMEOUT_S", 0.01)
    asyncio.run(scenario())
