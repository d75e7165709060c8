"""Subscribed processes, and the state that they have seen."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from larkweir_registry.records import Version

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import NodeRole
from larkweir.controller.subscriptions import Subscriber, Subscriptions


def subscribe(subscriptions: Subscriptions, node: str, role: NodeRole, **vector: int) -> Subscriber:
    connection = Connection(lambda connection, message: None, lambda connection: None)
    connection.node = node
    subscriptions.add(connection, role)
    subscriber = subscriptions.get(connection)
    assert subscriber is not None
    subscriber.vector = vector
    return subscriber


def run_in_event_loop(check: Callable[[Subscriptions], None]) -> None:
    async def run() -> None:
        check(Subscriptions())

    asyncio.run(run())


def test_without_subscribers_nothing_has_been_seen() -> None:
    def check(subscriptions: Subscriptions) -> None:
        assert subscriptions.lowest_counter("o") == 0
        assert subscriptions.router_count == 0
        assert subscriptions.nodes == set()

    run_in_event_loop(check)


def test_routers_are_counted_and_controllers_are_not() -> None:
    def check(subscriptions: Subscriptions) -> None:
        subscribe(subscriptions, "r", NodeRole.ROUTER).config_sequence = 4
        subscribe(subscriptions, "c", NodeRole.CONTROLLER).config_sequence = 9
        assert subscriptions.router_count == 1
        assert subscriptions.router_sequences() == {"r": 4}
        assert subscriptions.nodes == {"r", "c"}

    run_in_event_loop(check)


def test_the_lowest_counter_is_of_all_subscribers() -> None:
    def check(subscriptions: Subscriptions) -> None:
        subscribe(subscriptions, "r", NodeRole.ROUTER, o=3)
        lagging = subscribe(subscriptions, "c", NodeRole.CONTROLLER, o=2)
        assert subscriptions.lowest_counter("o") == 2
        subscriptions.remove(lagging.connection)
        assert subscriptions.lowest_counter("o") == 3

    run_in_event_loop(check)


def test_controllers_that_do_not_report_what_is_on_disk_count_by_what_they_have() -> None:
    def check(subscriptions: Subscriptions) -> None:
        subscribe(subscriptions, "r", NodeRole.ROUTER, o=3)
        subscribe(subscriptions, "c", NodeRole.CONTROLLER, o=3)
        subscribe(subscriptions, "d", NodeRole.CONTROLLER, o=2, p=9)
        assert subscriptions.controllers_with_durable(Version("o", 3)) == {"c"}
        assert subscriptions.controllers_with_durable(Version("o", 2)) == {"c", "d"}

    run_in_event_loop(check)


def test_controllers_that_report_what_is_on_disk_count_by_that_alone() -> None:
    def check(subscriptions: Subscriptions) -> None:
        subscribe(subscriptions, "c", NodeRole.CONTROLLER, o=3).durable_vector = {}
        subscribe(subscriptions, "d", NodeRole.CONTROLLER, o=3).durable_vector = {"o": 2}
        assert subscriptions.controllers_with_durable(Version("o", 3)) == set()
        assert subscriptions.controllers_with_durable(Version("o", 2)) == {"d"}

    run_in_event_loop(check)


def test_subscribers_may_be_removed_while_they_are_iterated() -> None:
    def check(subscriptions: Subscriptions) -> None:
        for node in "abc":
            subscribe(subscriptions, node, NodeRole.ROUTER)
        visited = []
        for subscriber in subscriptions:
            visited.append(subscriber.connection.node)
            subscriptions.remove(subscriber.connection)
        assert visited == ["a", "b", "c"]
        assert subscriptions.router_count == 0

    run_in_event_loop(check)
