"""Quotas over real sockets, also after losses of controllers and without a majority of them."""

from __future__ import annotations

from pathlib import Path
from typing import Any

from tests.system.loopback import Client, Fleet, ask, run_scenario
from tests.system.test_fleet import respond_ok, serve

BURST = 60
SLOW_TENANT: list[dict[str, Any]] = [{"name": "t", "api_keys": ["key"], "rate_per_s": 0.001, "burst": BURST}]
FAST_TENANT: list[dict[str, Any]] = [{"name": "t", "api_keys": ["key"], "rate_per_s": 200, "burst": 200}]


async def admitted(fleet: Fleet, tries: int) -> int:
    """Send `tries` requests, spread over all routers; return how many are admitted."""
    clients = [Client(front) for front in fleet.fronts]
    found = 0
    for number in range(tries):
        client = clients[number % len(clients)]
        reply = await client.request("POST", "/plain/x", X_Request_Id=f"r{number}", X_Api_Key="key")
        found += reply.status == 200
    for client in clients:
        client.close()
    return found


async def total_share(fleet: Fleet, numbers: list[int]) -> float:
    """Return the sum of the quota shares that these controllers report."""
    total = 0.0
    for number in numbers:
        reply = await ask(fleet.control[number], "GET", "/metrics")
        lines = reply.body.decode().splitlines()
        total += sum(float(line.split()[1]) for line in lines if line.startswith("larkweir_quota_share "))
    return total


async def until_total_share(fleet: Fleet, numbers: list[int], at_least: float) -> None:
    async def found() -> bool:
        return await total_share(fleet, numbers) >= at_least

    await fleet.until(found)


def test_the_routers_of_a_fleet_admit_one_burst_together(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok, tenants=SLOW_TENANT)
        for number in range(len(fleet.fronts)):
            await fleet.until_ready(number)
        await until_total_share(fleet, [0, 1, 2], 0.99)
        assert 0.9 * BURST <= await admitted(fleet, 3 * BURST) <= BURST

    run_scenario(tmp_path, scenario, routers=3)


def test_restarting_all_controllers_grants_no_second_burst(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok, tenants=SLOW_TENANT)
        await until_total_share(fleet, [0, 1, 2], 0.99)
        before = await admitted(fleet, BURST // 2)
        for address in fleet.control:
            await fleet.kill(address)
        for number in range(3):
            fleet.start_controller(number)
        await until_total_share(fleet, [0, 1, 2], 0.99)
        assert before + await admitted(fleet, 2 * BURST) <= BURST

    run_scenario(tmp_path, scenario)


def test_the_share_of_a_killed_controller_goes_to_the_others_until_it_returns(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok, tenants=FAST_TENANT)
        await until_total_share(fleet, [0, 1, 2], 0.99)
        primary = next(
            n for n, address in enumerate(fleet.control) if fleet.nodes[address]._driver.is_primary()
        )
        await fleet.kill(fleet.control[primary])
        others = [n for n in range(3) if n != primary]
        await until_total_share(fleet, others, 0.99)
        assert await admitted(fleet, 20) == 20
        fleet.start_controller(primary)

        async def is_back() -> bool:
            return await total_share(fleet, [primary]) >= 0.3

        await fleet.until(is_back)
        assert await total_share(fleet, [0, 1, 2]) <= 1.0

    run_scenario(tmp_path, scenario)


def test_a_controller_without_a_majority_hands_out_nothing(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        await serve(fleet, respond_ok, tenants=FAST_TENANT)
        await until_total_share(fleet, [0, 1, 2], 0.99)
        for number in (1, 2):
            await fleet.kill(fleet.control[number])

        async def has_no_share() -> bool:
            return await total_share(fleet, [0]) == 0.0

        await fleet.until(has_no_share)
        assert (
            await admitted(fleet, 20) <= 2
        ), "the controller's lease has ended, and the router's reserve is small"

    run_scenario(tmp_path, scenario)
