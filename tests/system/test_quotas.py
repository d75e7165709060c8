"""Quotas over real sockets, also after losses of controllers and without a majority of them."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

from larkweir_quotas.local_reserve import ISOLATED_FRACTION, ISOLATION_NOTICE_MS
from larkweir_quotas.quota_requester import QuotaRequester

from tests.system.loopback import Client, Fleet, ask, run_scenario
from tests.system.test_fleet import respond_ok, serve

BURST = 60
GRANTED_METRIC = 'larkweir_quota_granted_units{tenant="t"}'
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


async def metric(fleet: Fleet, number: int, name: str) -> float:
    """Return a metric of a controller; 0 if it does not report it."""
    reply = await ask(fleet.control[number], "GET", "/metrics")
    lines = reply.body.decode().splitlines()
    return sum(float(line.split()[1]) for line in lines if line.startswith(f"{name} "))


async def total_share(fleet: Fleet, numbers: list[int]) -> float:
    """Return the sum of the quota shares that these controllers report."""
    return sum([await metric(fleet, number, "larkweir_quota_share") for number in numbers])


def isolated_units(fleet: Fleet) -> float:
    """Return the part of the rate that the only router has accrued because no controller has had a share for 2 s."""
    isolated_ms = asyncio.get_running_loop().time() * 1000.0 - requester(fleet, 0)._isolated_since_ms
    noticed_s = max(0.0, isolated_ms - ISOLATION_NOTICE_MS) / 1000.0
    return ISOLATED_FRACTION * float(FAST_TENANT[0]["rate_per_s"]) * noticed_s


async def until_total_share(fleet: Fleet, numbers: list[int], at_least: float) -> None:
    """Wait until these controllers hold that part of all quotas, and every router knows that they grant units."""

    async def found() -> bool:
        total = await total_share(fleet, numbers)
        known = [len(requester(fleet, router)._granting_controllers) for router in range(len(fleet.fronts))]
        return total >= at_least and min(known) >= len(numbers)

    await fleet.until(found)


def requester(fleet: Fleet, router: int) -> QuotaRequester:
    return fleet.nodes[fleet.fronts[router]]._plane.quotas._requester  # type: ignore[no-any-return]


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
        assert await admitted(fleet, 6) == 6
        assert sum([await metric(fleet, number, GRANTED_METRIC) for number in range(3)]) >= 6.0
        for number in (1, 2):
            await fleet.kill(fleet.control[number])

        async def has_no_share() -> bool:
            return await total_share(fleet, [0]) == 0.0

        await fleet.until(has_no_share)
        granted_units = await metric(fleet, 0, GRANTED_METRIC)
        requests = await admitted(fleet, 20)
        assert await metric(fleet, 0, GRANTED_METRIC) == granted_units, "the controller's lease has ended"
        assert requests <= 2 + isolated_units(fleet), "the router's reserve is small"

    run_scenario(tmp_path, scenario)
