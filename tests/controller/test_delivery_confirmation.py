"""Waiting until connected processes have the latest records of the registry."""

from __future__ import annotations

import asyncio
from collections.abc import Awaitable, Callable

import pytest
from larkweir_registry.records import Upstream
from larkweir_registry.registry import Registry

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import NodeRole
from larkweir.controller.delivery_confirmation import DeliveryConfirmation
from larkweir.controller.subscriptions import Subscriber, Subscriptions

NEVER_S = 1_000.0


class ConfirmationHarness:
    """A registry with one upstream, and a router and a controller that lack it. Must be created in an event loop."""

    def __init__(self) -> None:
        self.registry = Registry("c/1")
        self.registry.update(Upstream("u", "s", "127.0.0.1:1", "z"), 0.0)
        self.subscriptions = Subscriptions()
        self.confirmation = DeliveryConfirmation(self.registry, self.subscriptions)
        self.router = self.subscribe("r", NodeRole.ROUTER)
        self.controller = self.subscribe("d", NodeRole.CONTROLLER)

    def subscribe(self, node: str, role: NodeRole) -> Subscriber:
        connection = Connection(lambda connection, message: None, lambda connection: None)
        connection.node = node
        self.subscriptions.add(connection, role)
        subscriber = self.subscriptions.get(connection)
        assert subscriber is not None
        return subscriber

    def report_delivery(self, subscriber: Subscriber) -> None:
        subscriber.vector = dict(self.registry.vector)
        self.confirmation.check()


Scenario = Callable[[ConfirmationHarness], Awaitable[None]]


def run_scenario(scenario: Scenario) -> None:
    async def run() -> None:
        await scenario(ConfirmationHarness())

    asyncio.run(run())


def test_wait_ends_when_every_subscriber_has_the_record() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        waiting = asyncio.ensure_future(harness.confirmation.wait(NEVER_S))
        await asyncio.sleep(0)
        harness.report_delivery(harness.controller)
        await asyncio.sleep(0)
        assert not waiting.done()
        harness.report_delivery(harness.router)
        assert await waiting == {"d"}

    run_scenario(scenario)


def test_after_the_timeout_wait_returns_the_controllers_that_have_the_record() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        harness.report_delivery(harness.controller)
        assert await harness.confirmation.wait(0.01) == {"d"}

    run_scenario(scenario)


def test_a_router_that_has_the_record_is_not_returned() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        harness.report_delivery(harness.router)
        assert await harness.confirmation.wait(0.01) == set()

    run_scenario(scenario)


def test_a_removed_subscriber_is_not_waited_for() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        harness.subscriptions.remove(harness.router.connection)
        harness.report_delivery(harness.controller)
        async with asyncio.timeout(5.0):
            assert await harness.confirmation.wait(NEVER_S) == {"d"}

    run_scenario(scenario)


def test_a_cancelled_wait_does_not_affect_later_waits() -> None:
    async def scenario(harness: ConfirmationHarness) -> None:
        waiting = asyncio.ensure_future(harness.confirmation.wait(NEVER_S))
        await asyncio.sleep(0)
        waiting.cancel()
        with pytest.raises(asyncio.CancelledError):
            await waiting
        harness.report_delivery(harness.controller)
        harness.report_delivery(harness.router)
        assert await harness.confirmation.wait(NEVER_S) == {"d"}

    run_scenario(scenario)
