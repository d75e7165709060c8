"""A router whose update can't be applied asks for the complete configuration, and goes on with all other news."""

from __future__ import annotations

import asyncio
import os
from collections.abc import Awaitable, Callable
from typing import Any

import msgspec
import pytest
import uvloop
from larkweir_registry.records import Record, Upstream

from larkweir.cluster import log
from larkweir.cluster.messages import ConfigUpdate, Delta, Pull
from larkweir.router.configuration import ConfigurationStore
from larkweir.router.configuration_sync import ConfigurationSync
from larkweir.router.node import Router
from tests.cluster.configurations import VALID, changed
from tests.router.scripted_controller import running_router
from tests.router.test_fleet_sync_encodings import TEST_TIMEOUT_S, Controller, next_pull, send

SENDER = "127.0.0.1"
BAD_PATCH = {"upsert": None, "generation": 4}
INVALID_DOCUMENT = changed(generation=4, routes=[{"name": "r"}])


def update(sequence: int, base: int, body: dict[str, Any]) -> ConfigUpdate:
    return ConfigUpdate(sequence, base, msgspec.Raw(msgspec.json.encode(body)))


@pytest.fixture
def sync() -> ConfigurationSync:
    sync = ConfigurationSync(ConfigurationStore())
    assert sync.apply(update(1, -1, VALID), SENDER)
    return sync


@pytest.mark.parametrize(
    "patch",
    [
        BAD_PATCH,
        {"upsert": {"routes": [{"name": "r1"}]}, "remove": {}, "generation": 4},
        {"upsert": {}, "remove": {}, "generation": "four"},
        {"upsert": {}, "remove": {"limits": []}},
    ],
)
def test_a_patch_that_cannot_be_applied_is_followed_by_the_complete_configuration(
    patch: dict[str, Any], sync: ConfigurationSync
) -> None:
    assert sync.known_sequence == 1
    assert not sync.apply(update(2, 1, patch), SENDER)
    assert sync.known_sequence == -1
    assert not sync.apply(update(2, 1, patch), "127.0.0.2"), "another controller's copy of the patch"
    assert sync.apply(update(2, -1, changed(generation=4)), SENDER)
    assert sync.known_sequence == 2
    assert sync.unusable_sequence == -1


def test_a_complete_configuration_that_cannot_be_applied_is_not_asked_for_again(
    sync: ConfigurationSync,
) -> None:
    assert not sync.apply(update(2, 1, BAD_PATCH), SENDER)
    assert not sync.apply(update(2, -1, INVALID_DOCUMENT), SENDER)
    assert (sync.known_sequence, sync.unusable_sequence) == (1, 2)
    assert sync.apply(update(3, 1, {"upsert": {}, "remove": {}, "generation": 5}), SENDER)
    assert sync.known_sequence == 3


def test_each_failure_is_logged_once_however_many_controllers_send_it(
    sync: ConfigurationSync, monkeypatch: pytest.MonkeyPatch
) -> None:
    logged: list[int] = []
    monkeypatch.setattr(log, "event", lambda name, **fields: logged.append(fields["base"]))
    for sender in (SENDER, "127.0.0.2", "127.0.0.3"):
        assert not sync.apply(update(2, 1, BAD_PATCH), sender)
    for sender in (SENDER, "127.0.0.2", "127.0.0.3"):
        assert not sync.apply(update(2, -1, INVALID_DOCUMENT), sender)
    assert logged == [1, -1]


def test_only_what_the_last_pull_declined_is_unwanted(sync: ConfigurationSync) -> None:
    sync.record_pull(SENDER)
    unusable = update(2, -1, INVALID_DOCUMENT)
    assert not sync.apply(unusable, SENDER)
    assert not sync.is_unwanted(SENDER, unusable), "it was sent before this router could decline it"
    sync.record_pull(SENDER)
    assert sync.is_unwanted(SENDER, unusable)
    assert not sync.is_unwanted(SENDER, update(3, -1, VALID))


def run_with_controller(
    scenario: Callable[[Router, Controller], Awaitable[None]],
) -> None:
    async def work() -> None:
        subnet = f"127.78.{os.getpid() % 199 + 1}"
        controller = Controller()
        server = await asyncio.start_server(controller.serve, f"{subnet}.1", 0)
        try:
            port = server.sockets[0].getsockname()[1]
            async with running_router(subnet, port) as router, asyncio.timeout(TEST_TIMEOUT_S):
                await scenario(router, controller)
        finally:
            server.close()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(work())


async def expect_pull(reader: asyncio.StreamReader) -> Pull:
    pull = await next_pull(reader)
    assert pull is not None, "the router has closed the connection"
    return pull


def upstream_news(number: int) -> dict[str, Any]:
    upstream = Upstream(f"u{number}", "s", f"127.0.0.1:{number}", "z")
    return {"records": [Record(upstream, "c/1", number)], "vector": {"c/1": number}}


def test_a_router_stays_connected_and_gets_news_of_upstreams_whatever_the_configuration() -> None:
    # Guards against links that end, and upstreams that are not learned of, for one bad patch (review/5).
    async def scenario(router: Router, controller: Controller) -> None:
        reader, writer = await controller.connections.get()
        await expect_pull(reader)
        send(writer, Delta(config=update(1, -1, VALID)))
        assert (await expect_pull(reader)).config_sequence == 1
        send(writer, Delta(config=update(2, 1, BAD_PATCH), **upstream_news(1)))
        pull = await expect_pull(reader)
        assert (pull.config_sequence, pull.vector) == (-1, {"c/1": 1})
        send(writer, Delta(config=update(2, -1, INVALID_DOCUMENT), **upstream_news(2)))
        pull = await expect_pull(reader)
        assert (pull.config_sequence, pull.unusable_config_sequence) == (1, 2)
        assert pull.vector == {"c/1": 2}
        send(writer, Delta(config=update(3, 1, {"upsert": {}, "remove": {}, "generation": 5})))
        assert (await expect_pull(reader)).config_sequence == 3

    run_with_controller(scenario)


def test_a_controller_that_repeats_an_unusable_configuration_is_asked_again_after_a_pause() -> None:
    # Controllers of earlier releases answer each pull with it at once.
    async def scenario(router: Router, controller: Controller) -> None:
        reader, writer = await controller.connections.get()
        await expect_pull(reader)
        send(writer, Delta(config=update(1, -1, INVALID_DOCUMENT)))
        assert (await expect_pull(reader)).unusable_config_sequence == 1
        send(writer, Delta(config=update(1, -1, INVALID_DOCUMENT), **upstream_news(1)))
        assert await next_pull(reader) is None, "the connection is closed"
        reader, writer = await controller.connections.get()
        assert (await expect_pull(reader)).vector == {"c/1": 1}, "its other news was taken"

    run_with_controller(scenario)
