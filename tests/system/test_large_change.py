"""A change of many routes reaches a router over a slow link that also carries its requests."""

from __future__ import annotations

import random
from collections import Counter
from pathlib import Path
from typing import Any

import msgspec
import pytest

from larkweir.cluster.links import Connection
from tests.system.loopback import Fleet, ask, run_scenario
from tests.system.test_fleet import configuration

CONTROLLERS = 5
ROUTES = 1_400  # added by one change
LINK_BYTES_PER_S = 5_000_000 / 8
MAX_TRANSFER_S = 1.25  # half of the time until a change must be in force, as requests use the link too


def routes(count: int) -> list[dict[str, Any]]:
    """Return routes with the usual fields, and with random names and path prefixes."""
    rng = random.Random(69)
    names = rng.sample(range(36**5, 36**6), count)
    return [
        {
            "name": f"r-{name:x}",
            "host": "a.example",
            "path_prefix": f"/{rng.randrange(16**7):x}/",
            "kind": "streaming",
            "timeout_ms": 8000,
            "target_latency_ms": 800,
            "priority": 0,
            "backend": "s",
            "max_attempts": 2,
            "public": False,
            "sticky": True,
            "resumable": True,
            "gap_aim_ms": 250,
        }
        for name in names
    ]


@pytest.fixture
def received(monkeypatch: pytest.MonkeyPatch) -> Counter[Connection]:
    """Count the received bytes of each connection between processes of the fleet."""
    counts: Counter[Connection] = Counter()
    data_received = Connection.data_received

    def counted(connection: Connection, data: bytes) -> None:
        counts[connection] += len(data)
        data_received(connection, data)

    monkeypatch.setattr(Connection, "data_received", counted)
    return counts


def test_a_change_of_many_routes_fits_a_slow_link(tmp_path: Path, received: Counter[Connection]) -> None:
    async def scenario(fleet: Fleet) -> None:
        front = fleet.fronts[0]

        async def is_in_force_everywhere() -> bool:
            """Return whether the router has reported the newest sequence to each controller."""
            await ask(fleet.control[0], "GET", "/status")
            controllers = [fleet.nodes[address] for address in fleet.control]
            newest = max(one._state.configuration.sequence for one in controllers)
            known = [list(one._subscriptions.router_sequences().values()) for one in controllers]
            return newest >= 0 and known == [[newest]] * CONTROLLERS

        assert (await fleet.put(configuration(1), 0)).status == 200
        await fleet.until(is_in_force_everywhere)
        received.clear()
        added = routes(ROUTES)
        patch = {"generation": 2, "upsert": {"routes": added}}
        assert (await fleet.put(patch, 1, "PATCH")).status == 200
        await fleet.until(is_in_force_everywhere)

        router = fleet.nodes[front]
        table = router._plane.configuration.table
        assert table.version == 2
        for route in added:
            assert table.find_route("a.example", route["path_prefix"] + "x").name == route["name"]
        router_bytes = sum(
            count
            for connection, count in received.items()
            if any(link.connection is connection for link in router._sync._links._links.values())
        )
        assert router_bytes > 0
        size = len(msgspec.json.encode(patch))
        assert (
            router_bytes / LINK_BYTES_PER_S < MAX_TRANSFER_S
        ), f"{router_bytes} bytes for a change of {size}"

    run_scenario(tmp_path, scenario, controllers=CONTROLLERS, routers=1, tolerance=2)
