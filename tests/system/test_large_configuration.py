"""A configuration of four megabytes is committed and patched, and a restarted controller catches up with it."""

from __future__ import annotations

import asyncio
from pathlib import Path
from typing import Any

import msgspec

from tests.system.loopback import Fleet, ask, run_scenario
from tests.system.test_fleet import configuration

ROUTES = 13_000  # about 330 bytes each


def large(generation: int) -> dict[str, Any]:
    document = configuration(generation)
    template = document["routes"][0]
    document["routes"] = [
        {**template, "name": f"r{n}", "path_prefix": f"/r{n}/", "note": "x" * 200} for n in range(ROUTES)
    ]
    return document


def test_a_large_configuration_is_committed_patched_and_caught_up_with(tmp_path: Path) -> None:
    async def scenario(fleet: Fleet) -> None:
        document = large(1)
        size = len(msgspec.json.encode(document))
        assert 4_000_000 < size < 8_000_000
        assert (await fleet.put(document, 0)).status == 200
        await fleet.kill(fleet.control[2])
        for generation in range(2, 5):
            patch = {"generation": generation, "upsert": {"services": [{"name": f"s{generation}"}]}}
            async with asyncio.timeout(4.0):
                assert (await fleet.put(patch, generation - 1, "PATCH")).status == 200
        fleet.start_controller(2)

        async def caught_up() -> bool:
            replica = fleet.nodes[fleet.control[2]]._driver.replica
            await ask(fleet.control[2], "GET", "/status")
            return replica.committed is not None and '"generation":4' in replica.committed.value

        await fleet.until(caught_up)
        await fleet.kill(fleet.control[0])
        patch = {"generation": 5, "upsert": {"services": [{"name": "s5"}]}}
        assert (await fleet.put(patch, 4, "PATCH")).status == 200

    run_scenario(tmp_path, scenario)
