"""Contact with a majority: what a controller refuses without it, and what happens after it is regained."""

from __future__ import annotations

import asyncio
from pathlib import Path

import msgspec
import pytest

from larkweir.controller.quorum_contact import QuorumContact
from tests.controller.conftest import FakeLinks, FakeReplica
from tests.system.loopback import Fleet, Upstream, ask, run_scenario
from tests.system.test_fleet import configuration, respond_ok, serve


async def send_heartbeat(fleet: Fleet, upstream: Upstream, state: str) -> int:
    """Sends one heartbeat to the first controller and returns the response status."""
    body = upstream.heartbeat("s", state)
    return (await ask(fleet.control[0], "PUT", f"/instances/{upstream.id}", body)).status


async def isolate_first_controller(fleet: Fleet) -> None:
    """Kills all controllers but the first, and waits until it has detected the loss."""
    for address in fleet.control[1:]:
        await fleet.kill(address)

    async def noticed() -> bool:
        return not msgspec.json.decode((await ask(fleet.control[0], "GET", "/status")).body)["linked"]

    await fleet.until(noticed)


def test_a_change_of_an_upstream_is_not_acknowledged_without_a_majority(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok, respond_ok, respond_ok)
        first, second, third = fleet.upstreams
        await isolate_first_controller(fleet)
        assert await send_heartbeat(fleet, first, "ready") == 503
        assert await send_heartbeat(fleet, second, "draining") == 503
        assert (await ask(fleet.control[0], "DELETE", f"/instances/{third.id}")).status == 503
        known = fleet.nodes[fleet.control[0]]._registry.upstreams
        assert (known[second.id].state, known[third.id].state) == (1, 2), "recorded nevertheless"
        fleet.start_controller(1)

        async def acknowledged() -> bool:
            return await send_heartbeat(fleet, second, "draining") == 200

        await fleet.until(acknowledged)
        assert (await ask(fleet.control[0], "DELETE", f"/instances/{third.id}")).status == 200

        async def is_ready_acknowledged() -> bool:
            return await send_heartbeat(fleet, first, "ready") == 200

        await fleet.until(is_ready_acknowledged)

    run_scenario(tmp_path, scenario)


def test_an_acknowledged_departure_is_known_to_a_majority(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok, respond_ok)
        leaving = fleet.upstreams[0]
        assert await send_heartbeat(fleet, leaving, "draining") == 200
        knowing = [
            address
            for address in fleet.control
            if fleet.nodes[address]._registry.upstreams[leaving.id].state == 1
        ]
        assert len(knowing) >= 2

    run_scenario(tmp_path, scenario)


def test_an_isolated_controller_neither_reads_nor_accepts_nor_rejects_a_change(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        await isolate_first_controller(fleet)
        stale = asyncio.ensure_future(
            ask(fleet.control[0], "PUT", "/config", msgspec.json.encode(configuration(2)), If_Match="0")
        )
        fresh = asyncio.ensure_future(
            ask(fleet.control[0], "PUT", "/config", msgspec.json.encode(configuration(3)), If_Match="1")
        )
        assert (await ask(fleet.control[0], "GET", "/config")).status == 503
        assert [(await one).status for one in (stale, fresh)] == [503, 503]

    run_scenario(tmp_path, scenario)


class FakeKnownControllers:
    """Known controllers, reduced to the name of this one."""

    own_node = "c"


class CallbackCounter:
    """Counts its calls."""

    def __init__(self) -> None:
        self.count = 0

    def __call__(self) -> None:
        self.count += 1


@pytest.fixture
def regained() -> CallbackCounter:
    return CallbackCounter()


@pytest.fixture
def contact(replica: FakeReplica, links: FakeLinks, regained: CallbackCounter) -> QuorumContact:
    replica.accept("c", "d", "e")
    return QuorumContact(FakeKnownControllers(), replica, links, regained)  # type: ignore[arg-type]


def test_a_majority_counts_this_controller(contact: QuorumContact, links: FakeLinks) -> None:
    assert not contact.is_connected()
    links.connected = {"d"}
    assert contact.is_connected()


def test_while_members_change_a_majority_of_both_groups_is_needed(
    contact: QuorumContact, replica: FakeReplica
) -> None:
    replica.accept("c", "d", "f", previous=("c", "d", "e"))
    assert contact.is_quorum({"d"})
    assert not contact.is_quorum({"f"})
    assert contact.is_quorum({"e", "f"})
    assert not contact.is_quorum({"d"}, includes_own=False)
    assert contact.is_quorum({"d", "e", "f"}, includes_own=False)


def test_without_a_member_list_there_is_no_majority(contact: QuorumContact, replica: FakeReplica) -> None:
    replica.accepted = None
    assert not contact.is_quorum({"d", "e"})


def test_regained_contact_is_notified_once(
    contact: QuorumContact, links: FakeLinks, regained: CallbackCounter
) -> None:
    links.connected = {"d"}
    contact.update()
    links.connected = set()
    contact.update()
    assert not contact.was_connected
    assert regained.count == 0
    links.connected = {"e"}
    contact.update()
    contact.update()
    assert contact.was_connected
    assert regained.count == 1
