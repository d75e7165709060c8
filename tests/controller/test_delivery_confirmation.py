"""Waiting until processes have a version of a record, and a majority of controllers has it on disk."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from larkweir_registry.records import Version

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import NodeRole
from larkweir.controller.delivery_confirmation import DeliveryConfirmation
from larkweir.controller.subscriptions import Subscriber, Subscriptions

NEVER_S = 1_000.0
VERSION = Version("e/1", 4)
SEEN = {"e/1": 4}
MAJORITY = 2  # of three controllers


class ConfirmationHarness:
    """A version that a router and a controller lack. Must be created in an event loop."""

    def __init__(self) -> None:
        self.is_on_disk = True
        self.subscriptions = Subscriptions()
        self.confirmation = DeliveryConfirmation(
            self.subscriptions, lambda version: self.is_on_disk and version == VERSION, self._has_quorum
        )
        self.router = self.subscribe("r", NodeRole.ROUTER)
        self.controller = self.subscribe("d", NodeRole.CONTROLLER)
        self.controller.durable_vector = {}

    @staticmethod
    def _has_quorum(others: set[str], includes_own: bool) -> bool:
        return len(others) + includes_own >= MAJORITY

    def subscribe(self, node: str, role: NodeRole) -> Subscriber:
        connection = Connection(lambda connection, message: None, lambda connection: None)
        connection.node = node
        self.subscriptions.add(connection, role)
        subscriber = self.subscriptions.get(connection)
        assert subscriber is not None
        return subscriber

    def report_delivery(self, subscriber: Subscriber) -> None:
        subscriber.vector = SEEN
        self.confirmation.check()

    def report_durable(self, subscriber: Subscriber) -> None:
        subscriber.durable_vector = SEEN
        self.confirmation.check()

    def report_all(self) -> None:
        self.report_delivery(self.router)
        self.report_delivery(self.controller)
        self.report_durable(self.controller)


Scenario = Callable[[ConfirmationHarness], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    async def run() -> None:
        await scenario(ConfirmationHarness())

    asyncio.run(run())


def test_wait_ends_when_every_subscriber_has_the_record_and_a_majority_has_it_on_disk() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        waiting = asyncio.ensure_future(harness.confirmation.wait(VERSION, NEVER_S))
        steps: list[Callable[[], None]] = [
            lambda: harness.report_delivery(harness.controller),
            lambda: harness.report_durable(harness.controller),
            lambda: harness.report_delivery(harness.router),
        ]
        for step in steps:
            await asyncio.sleep(0)
            assert not waiting.done()
            step()
        assert await waiting

    run_scenario(scenario)


def test_a_record_that_a_majority_has_in_memory_alone_is_not_confirmed() -> None:
    # Guards against departures that a kill of all processes undoes after their acknowledgement (review/3).
    async def scenario(harness: ConfirmationHarness) -> None:
        harness.report_delivery(harness.router)
        harness.report_delivery(harness.controller)
        assert not await harness.confirmation.wait(VERSION, 0.01)

    run_scenario(scenario)


def test_this_controllers_disk_counts_only_if_it_has_the_record() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        harness.is_on_disk = False
        harness.report_all()
        assert not await harness.confirmation.wait(VERSION, 0.01)
        other = harness.subscribe("f", NodeRole.CONTROLLER)
        harness.report_delivery(other)
        harness.report_durable(other)
        assert await harness.confirmation.wait(VERSION, NEVER_S)

    run_scenario(scenario)


def test_after_the_timeout_a_majority_of_disks_is_enough() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        harness.report_durable(harness.controller)
        assert await harness.confirmation.wait(VERSION, 0.01)

    run_scenario(scenario)


def test_a_router_that_has_the_record_does_not_count_for_the_majority() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        harness.report_delivery(harness.router)
        assert not await harness.confirmation.wait(VERSION, 0.01)

    run_scenario(scenario)


def test_a_removed_subscriber_is_not_waited_for() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        harness.subscriptions.remove(harness.router.connection)
        harness.report_delivery(harness.controller)
        harness.report_durable(harness.controller)
        async with asyncio.timeout(5.0):
            assert await harness.confirmation.wait(VERSION, NEVER_S)

    run_scenario(scenario)


def test_a_cancelled_wait_does_not_affect_later_waits() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        waiting = asyncio.ensure_future(harness.confirmation.wait(VERSION, NEVER_S))
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        harness.report_all()
        assert await harness.confirmation.wait(VERSION, NEVER_S)

    run_scenario(scenario)
