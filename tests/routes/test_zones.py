"""Spill between zones: it converges, moves only the excess, and overloads no zone."""

from __future__ import annotations

import asyncio
from random import Random

import pytest

from larkweir.config.options import Pool, Route
from larkweir.routes.zones import FULL_ABOVE, Spill
from standins.peers import FakeUpstream, Incoming, Talk, ok
from tests.fakes import running
from tests.lifecycle.service import until
from tests.routes.test_loopback import ask, upstream_answering
from tests.upstreams.test_attempts import run

ZONES = ("a", "b", "c")


def simulate(
    demand: dict[str, float], capacity: dict[str, float], steps: int, balancer_count: int = 30, seed: int = 1
) -> list[dict[str, float]]:
    """The load of each zone by step. Each balancer sees the load one step late and with an error of up to 5%."""
    rng = Random(seed)
    spills = [Spill(ZONES[n % 3]) for n in range(balancer_count)]
    parts = [{zone: float(zone == spill.home) for zone in ZONES} for spill in spills]
    loads = dict.fromkeys(ZONES, 0.0)
    rows = []
    for _ in range(steps):
        now = dict.fromkeys(ZONES, 0.0)
        for spill, part in zip(spills, parts, strict=True):
            for zone, value in part.items():
                now[zone] += value * demand[spill.home] * 3.0 / balancer_count
        rows.append(now)
        for n, spill in enumerate(spills):
            seen = {zone: value * (1.0 + rng.uniform(-0.05, 0.05)) for zone, value in loads.items()}
            parts[n] = spill.update(seen, capacity)
        loads = now
    return rows


EVEN = dict.fromkeys(ZONES, 100.0)


def test_an_overloaded_zone_spills_its_excess_and_converges() -> None:
    rows = simulate({"a": 140.0, "b": 50.0, "c": 50.0}, EVEN, 200)
    last = rows[100:]
    assert all(60.0 <= row["a"] <= 100.0 for row in last)
    assert max(row["a"] for row in last) - min(row["a"] for row in last) < 10.0  # no oscillation
    assert all(max(row["b"], row["c"]) <= 100.0 for row in rows)
    assert rows[0]["a"] == pytest.approx(140.0)


def test_nothing_spills_while_the_home_zone_has_room() -> None:
    rows = simulate({"a": 70.0, "b": 20.0, "c": 60.0}, EVEN, 50)
    assert all(row == pytest.approx({"a": 70.0, "b": 20.0, "c": 60.0}) for row in rows)


def test_full_zones_do_not_overload_each_other() -> None:
    rows = simulate({"a": 150.0, "b": 95.0, "c": 95.0}, EVEN, 100)
    assert all(row["b"] <= 1.1 * 95.0 + 10.0 and row["c"] <= 1.1 * 95.0 + 10.0 for row in rows)


def test_a_lost_zone_gets_no_traffic_at_once_and_regains_it_gradually() -> None:
    spill = Spill("a")
    load = {"a": 50.0, "b": 50.0, "c": 50.0}
    assert spill.update(load, EVEN)["a"] == 1.0
    gone = spill.update(load, EVEN | {"a": 0.0})
    assert gone["a"] == 0.0 and gone["b"] + gone["c"] == pytest.approx(1.0)
    back = [spill.update(load | {"a": 0.0}, EVEN)["a"] for _ in range(200)]
    assert 0.0 < back[0] <= 0.06 and back == sorted(back) and back[-1] == 1.0


def test_the_traffic_of_a_lost_zone_is_divided_by_free_capacity() -> None:
    found = Spill("a").update({"a": 0.0, "b": 80.0, "c": 20.0}, EVEN | {"a": 0.0})
    assert found["c"] / found["b"] == pytest.approx((100.0 * FULL_ABOVE - 20.0) / (100.0 * FULL_ABOVE - 80.0))


def test_shares_are_valid_for_any_loads_and_capacities() -> None:
    rng = Random(4)
    spill = Spill("a")
    for _ in range(2_000):
        loads = {zone: rng.choice([0.0, rng.uniform(0, 300)]) for zone in ZONES}
        capacities = {zone: rng.choice([0.0, -1.0, rng.uniform(0, 200)]) for zone in ZONES}
        found = spill.update(loads, capacities)
        assert all(-1e-9 <= value <= 1.0 + 1e-9 for value in found.values())
        total = sum(found.values())
        assert total == pytest.approx(1.0) or not any(value > 0.0 for value in capacities.values())
        assert all(found[zone] == 0.0 for zone in ZONES if capacities[zone] <= 0.0)


def test_a_pool_spills_when_the_home_zone_is_full_or_lost() -> None:
    async def work() -> None:
        slots = asyncio.Semaphore(1)

        async def narrow(request: Incoming, talk: Talk) -> None:
            async with slots:
                await asyncio.sleep(0.02)
            await talk.send(ok(b"north"))

        north, south = await FakeUpstream(narrow).start(), await upstream_answering("south")
        rows = [north.entry("u0"), south.entry("u1", zone="south")]
        categories = [
            {"Name": "look", "Effect": "read_like", "AimMs": 150, "HardLimitMs": 300, "Group": "all"}
        ]
        routes = {"api": Route(path="/api", pool="p")}
        async with running(*rows, routes=routes, pools={"p": Pool(spill=True)}, categories=categories) as it:
            assert it.node is not None and it.node.routes is not None
            routes_ = it.node.routes
            routes_.SPILL_INTERVAL_MS = 20.0
            assert [await ask(it) for _ in range(10)] == [(200, b"north")] * 10
            over = False

            async def caller() -> None:
                while not over:
                    await ask(it)

            callers = [asyncio.ensure_future(caller()) for _ in range(24)]
            await until(lambda: routes_._shares["p"]["south"] > 0.1, "some of it crosses")
            over = True
            await asyncio.gather(*callers)
            assert len(south.seen) > 0
            it.discovery.change(rows[0] | {"lifecycle": "left"})
            await until(lambda: routes_._shares["p"]["north"] == 0.0, "the lost zone is left")
            assert [await ask(it) for _ in range(10)] == [(200, b"south")] * 10
        north.close()
        south.close()

    run(work())
