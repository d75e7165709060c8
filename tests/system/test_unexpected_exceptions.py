"""Unexpected exceptions: a periodic task is retried; a process whose replica fails exits with its own code."""

from __future__ import annotations

import asyncio
from pathlib import Path

import pytest
from click.testing import CliRunner

from larkweir.cluster import log
from larkweir.cluster.tasks import EssentialTaskError
from larkweir.controller.node import Controller
from larkweir.router.upstream_pool import UpstreamPool
from larkweir.system import cli
from tests.system.loopback import Fleet, answer, ask, run_scenario
from tests.system.test_fleet import configuration


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[str]:
    lines: list[str] = []
    monkeypatch.setattr(log, "event", lambda name, **fields: lines.append(f"{name} {fields.get('task', '')}"))
    return lines


def fail() -> None:
    raise ValueError("as planned")


def test_a_controller_whose_replica_fails_exits_and_the_others_serve(
    tmp_path: Path, logged: list[str]
) -> None:
    async def scenario(fleet: Fleet) -> None:
        assert (await fleet.put(configuration(), 0)).status == 200
        address = fleet.control[0]
        node = fleet.nodes[address]
        assert isinstance(node, Controller)
        node._driver.replica.tick = lambda now_ms: fail()  # type: ignore[method-assign]
        with pytest.raises(EssentialTaskError):
            async with asyncio.timeout(20.0):
                await fleet.tasks[address]
        assert "task_failed ticks" in logged
        assert (
            await ask(address, "GET", "/config")
        ).status == 0, "the failed controller has closed its sockets"
        assert (await fleet.put(configuration(generation=2), 1)).status == 200

    run_scenario(tmp_path, scenario)


def test_a_router_keeps_serving_when_a_periodic_task_raises(
    tmp_path: Path, logged: list[str], monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(UpstreamPool, "expire", lambda self: fail())

    async def scenario(fleet: Fleet) -> None:
        assert (await fleet.put(configuration(), 0)).status == 200
        await fleet.upstream("s", lambda request: (answer(request), False))
        await fleet.until_ready()
        await fleet.until(lambda: asyncio.sleep(0, "periodic_task_failed idle_connections" in logged))
        reply = await ask(fleet.fronts[0], "GET", "/plain/x", X_Api_Key="key", X_Request_Id="1")
        assert reply.status == 200
        assert not fleet.tasks[fleet.fronts[0]].done()

    run_scenario(tmp_path, scenario)


def test_an_essential_task_error_has_its_own_exit_code(
    monkeypatch: pytest.MonkeyPatch, logged: list[str]
) -> None:
    class Broken:
        def __init__(self, settings: object) -> None:
            pass

        async def run(self) -> None:
            raise EssentialTaskError("ticks ended")

    class FakeSettings:
        node = "c"

    monkeypatch.setattr("larkweir.controller.node.Controller", Broken)
    monkeypatch.setattr(cli, "load", FakeSettings)
    monkeypatch.setattr(log, "configure", lambda node, debug: None)
    assert CliRunner().invoke(cli.main, ["controller"]).exit_code == cli.EXIT_INTERNAL
    assert logged == ["process_failed "]
