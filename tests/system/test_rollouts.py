"""Roll-outs on a fleet on loopback: they are ordered, read, aborted, completed, and survive restarts."""

from __future__ import annotations

import itertools
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any

import msgspec
import pytest
from larkweir_rollouts.schedule import CANARY_WEIGHT

from tests.system.loopback import Fleet, Reply, ask, run_scenario
from tests.system.reporting_router import ReportingRouter
from tests.system.test_fleet import configuration, respond_ok, serve

LONG_DURATION_S = 600.0  # longer than any test
ELECTION_RESERVE_S = 8.0  # a roll-out of this duration tolerates full weight 2 s late, as after an election


def order(version: str = "v2", duration_s: float = LONG_DURATION_S, service: str = "s") -> bytes:
    return msgspec.json.encode({"backend": service, "target_version": version, "duration_s": duration_s})


async def definite_answer(fleet: Fleet, method: str, target: str, body: bytes = b"") -> Reply:
    """Call the controllers in turn until one gives a definite answer (a status below 500)."""
    for address in itertools.cycle(fleet.control):
        reply = await ask(address, method, target, body)
        if 0 < reply.status < 500:
            return reply
    raise AssertionError


async def place(fleet: Fleet, **fields: Any) -> Reply:
    return await definite_answer(fleet, "POST", "/rollouts", order(**fields))


async def state_of(fleet: Fleet, service: str = "s") -> dict[str, Any]:
    reply = await definite_answer(fleet, "GET", f"/rollouts/{service}")
    assert reply.status == 200, reply
    return dict(msgspec.json.decode(reply.body))


async def until_state(fleet: Fleet, state: str) -> dict[str, Any]:
    async def found() -> bool:
        return bool((await state_of(fleet))["state"] == state)

    await fleet.until(found)
    return await state_of(fleet)


def primary(fleet: Fleet) -> str:
    """Return the control address of the primary."""
    return next(address for address in fleet.control if _is_primary(fleet.nodes.get(address)))


def _is_primary(node: Any) -> bool:
    return node is not None and bool(node._driver.is_primary())


def test_an_order_at_any_controller_is_read_at_every_other(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        assert (await ask(fleet.control[0], "GET", "/rollouts/s")).status == 404
        backup = next(address for address in fleet.control if address != primary(fleet))
        reply = await ask(backup, "POST", "/rollouts", order())
        assert reply.status == 200
        assert msgspec.json.decode(reply.body)["state"] == "running"
        assert msgspec.json.decode(reply.body)["target_weight"] == CANARY_WEIGHT
        for address in fleet.control:
            reply = await ask(address, "GET", "/rollouts/s")
            assert reply.status == 200
            found = msgspec.json.decode(reply.body)
            assert (found["state"], found["target_version"]) == ("running", "v2")
            listed = msgspec.json.decode((await ask(address, "GET", "/rollouts")).body)
            assert [one["backend"] for one in listed] == ["s"]
            configured = msgspec.json.decode((await ask(address, "GET", "/config")).body)
            assert configured == configuration()

    run_scenario(tmp_path, scenario)


def test_a_repeated_order_is_acknowledged_and_another_is_in_conflict(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        for address in fleet.control:
            assert (await ask(address, "POST", "/rollouts", order())).status == 200
        assert (await place(fleet, version="v3")).status == 409
        assert (await place(fleet, service="nobody")).status == 404
        assert (await state_of(fleet))["target_version"] == "v2"
        reply = await definite_answer(fleet, "DELETE", "/rollouts/s")
        assert msgspec.json.decode(reply.body)["state"] == "rolled_back"
        assert (await state_of(fleet))["reason"] == "aborted by the operator"
        assert (
            await definite_answer(fleet, "DELETE", "/rollouts/s")
        ).status == 200, "a repeated abort is acknowledged"
        assert (await definite_answer(fleet, "DELETE", "/rollouts/nobody")).status == 404
        assert (await place(fleet, version="v3")).status == 200

    run_scenario(tmp_path, scenario)


@pytest.mark.parametrize(
    "body",
    [
        b"",
        b"{",
        b"[]",
        b'{"backend":"s","target_version":"v2"}',
        b'{"backend":"s","target_version":"v2","duration_s":0}',
        b'{"backend":"s","target_version":"v2","duration_s":-1}',
        b'{"backend":"s","target_version":"v2","duration_s":"12"}',
        b'{"backend":"s","target_version":"v2","duration_s":1e300}',
        b'{"backend":"s","target_version":"","duration_s":12}',
        b'{"backend":7,"target_version":"v2","duration_s":12}',
        b'{"backend":"s","target_version":"%s","duration_s":12}' % (b"v" * 300),
        b'{"backend":"\xff","target_version":"v2","duration_s":12}',
        b'{"backend":"s","target_version":"v2","duration_s":12,"odd":%s}' % (b"[" * 5_000),
    ],
)
def test_an_invalid_order_is_rejected(body: bytes, tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        reply = await definite_answer(fleet, "POST", "/rollouts", body)
        assert reply.status == 400
        assert msgspec.json.decode(reply.body)["error"]

    run_scenario(tmp_path, scenario, controllers=1, routers=0, tolerance=0)


def test_without_a_configuration_there_is_nothing_to_roll_out(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        async def answered() -> bool:
            reply = await ask(fleet.control[0], "POST", "/rollouts", order())
            assert reply.status in (0, 503)
            return b"there is no configuration yet" in reply.body

        await fleet.until(answered)

    run_scenario(tmp_path, scenario, controllers=1, routers=0, tolerance=0)


def test_changes_of_the_configuration_keep_a_rollout(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        assert (await place(fleet)).status == 200
        assert (await fleet.put(configuration(2), 1)).status == 200, "an order does not change the version"
        assert (await fleet.put({"generation": 3, "remove": {"routes": ["plain"]}}, 2, "PATCH")).status == 200
        assert (await fleet.put(configuration(4, larkweir_rollouts=[]), 3)).status == 400
        assert (await state_of(fleet))["state"] == "running"

    run_scenario(tmp_path, scenario)


def test_an_acknowledged_rollout_is_there_after_all_were_killed(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        assert (await place(fleet)).status == 200
        for address in fleet.control:
            await fleet.kill(address)
        for number in range(3):
            fleet.start_controller(number)
        assert (await state_of(fleet))["target_version"] == "v2"

    run_scenario(tmp_path, scenario)


def test_a_new_primary_goes_on_with_a_rollout(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        await fleet.upstream("s", respond_ok, version="v2")
        assert (await place(fleet, duration_s=6.0)).status == 200
        await fleet.kill(primary(fleet))
        assert (await state_of(fleet))["state"] == "running"
        assert "no time left" in (await until_state(fleet, "rolled_back"))["reason"]

    run_scenario(tmp_path, scenario)


def test_a_version_without_upstreams_is_rolled_back_by_its_deadline(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok)
        assert (await place(fleet, duration_s=0.8)).status == 200
        found = await until_state(fleet, "rolled_back")
        assert found["target_weight"] == 0.0
        assert "no time left" in found["reason"]

    run_scenario(tmp_path, scenario)


async def run_reported_rollout(
    fleet: Fleet, router: ReportingRouter, during: Callable[[], Awaitable[None]] | None = None
) -> dict[str, Any]:
    """Run a roll-out for which `router` reports samples, while upstreams send heartbeats; return its final state."""
    assert (await fleet.put(configuration(), 0)).status == 200
    for version in ("v1", "v2"):
        await fleet.upstream("s", respond_ok, version=version)
    router.start()
    assert (await place(fleet, duration_s=ELECTION_RESERVE_S)).status == 200
    if during is not None:
        await during()

    async def has_ended() -> bool:
        for upstream in fleet.upstreams:
            await fleet.register(upstream, "s")
        return bool((await state_of(fleet))["state"] != "running")

    try:
        await fleet.until(has_ended)
    finally:
        await router.stop()
    return await state_of(fleet)


def test_a_good_version_is_completed(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        found = await run_reported_rollout(fleet, ReportingRouter(fleet))
        assert (found["state"], found["target_weight"]) == ("completed", 1.0), found

    run_scenario(tmp_path, scenario, routers=0)


def test_a_bad_version_is_rolled_back(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        found = await run_reported_rollout(fleet, ReportingRouter(fleet, target_fails=True))
        assert (found["state"], found["target_weight"]) == ("rolled_back", 0.0)
        assert "answers failed" in found["reason"]

    run_scenario(tmp_path, scenario, routers=0)


def test_a_good_version_is_completed_by_the_next_primary(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        async def lose_primary() -> None:
            await fleet.kill(primary(fleet))

        found = await run_reported_rollout(fleet, ReportingRouter(fleet), lose_primary)
        assert (found["state"], found["reason"]) == ("completed", ""), found

    run_scenario(tmp_path, scenario, routers=0)
