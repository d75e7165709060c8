"""A PATCH that sets the version back is acknowledged (see claim.txt)."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "4"))

from fleet import Fleet, Record, configuration, route, run_case, service  # noqa: E402

TROUBLE = os.environ.get("TROUBLE", "1") != "0"


def whole(generation: int, *names: str) -> bytes:
    """Return a whole configuration with a route for each name."""
    return configuration(generation, [route(name, "api", f"/{name}/") for name in names], [service("api")])


async def play(record: Record, fleet: Fleet) -> int:
    """Play the case and return the exit code."""
    acknowledged: list[int] = []
    built_on: dict[int, list[int]] = {}

    async def send(method: str, body: bytes, base: int, what: str) -> int:
        generation = json.loads(body)["generation"]
        status = await fleet.order(method, "/config", body, base)
        record.write(f"{method} generation {generation} on {base} ({what}): {status}")
        if status == 200:
            acknowledged.append(generation)
            built_on.setdefault(base, []).append(generation)
        return status

    async def read() -> int:
        for _ in range(20):
            for address in fleet.control_order():
                status, body = await fleet.control(address, "GET", "/config")
                if status == 200:
                    document = json.loads(body)
                    names = [one["name"] for one in document["routes"]]
                    record.write(f"GET /config: generation {document['generation']}, routes {names}")
                    return int(document["generation"])
            await asyncio.sleep(0.2)
        return -1

    await fleet.start()
    if await send("PUT", whole(10, "first"), 0, "the first") != 200:
        return 2
    if await send("PUT", whole(20, "first", "second"), 10, "adds a route") != 200:
        return 2
    if await send("PUT", whole(30, "first", "other"), 10, "lost the race for 10") != 412:
        return 2
    if TROUBLE:
        spoilt = json.dumps({"generation": 40, "upsert": {"generation": 10}}).encode()
        await send("PATCH", spoilt, 20, "invalid: sets the generation back to 10")
    newest = max(acknowledged)
    broken = []
    if await read() < newest:
        broken.append(f"read back is older than {newest}, which was acknowledged")
    change = json.dumps({"generation": 50, "upsert": {"routes": [route("third", "api", "/third/")]}}).encode()
    if await send("PATCH", change, newest, "proper, on top of the newest acknowledged version") != 200:
        broken.append(f"a proper change on top of {newest} is refused")
    if TROUBLE:
        await send("PUT", whole(11, "first", "other"), 10, "on 10, as it is read back")
    await read()
    twice = {base: made for base, made in built_on.items() if len(made) > 1}
    if twice:
        broken.append(f"two changes on top of one version are acknowledged: {twice}")
    for one in broken:
        record.write(f"CONFIG broken: {one}")
    return 1 if broken else 0


sys.exit(run_case(FOLDER, play))
