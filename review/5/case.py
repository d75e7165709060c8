"""A proper configuration that comes into force nowhere, after an invalid one was acknowledged (see claim.txt)."""

from __future__ import annotations

import asyncio
import json
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent / "4"))

from fleet import (  # noqa: E402
    Call,
    Fleet,
    Record,
    client_request,
    configuration,
    request,
    route,
    run_case,
    service,
)

CONFIG_S = 2.0  # `config_ms`
TROUBLE = os.environ.get("TROUBLE", "1") != "0"
DRAIN_S = 2.0  # `drain_ms`
RAN: dict[str, int] = {}  # by upstream, the requests that it ran
NAMES = ("kept", "dropped", "added")


async def handle(call: Call) -> None:
    """Run a request at once."""
    RAN[call.upstream.id] = RAN.get(call.upstream.id, 0) + 1
    await call.answer(b"done")


def whole(generation: int, names: tuple[str, ...], **more: object) -> bytes:
    """Return a whole configuration with a route for each name."""
    return configuration(
        generation, [route(name, "api", f"/{name}/") for name in names], [service("api")], **more
    )


async def statuses(fleet: Fleet, record: Record, when: str) -> dict[str, dict[str, int]]:
    """Return, by router and route, the status of one request each."""
    found: dict[str, dict[str, int]] = {}
    for front in fleet.fronts:
        found[front] = {}
        for name in NAMES:
            answer = await request(front, client_request(f"/{name}/x", os.urandom(8).hex()), 3.0)
            found[front][name] = answer.status
        record.write(f"{when}: router {front} answers {found[front]}")
    return found


async def read_back(fleet: Fleet, record: Record) -> list[str]:
    """Return the routes of the configuration that a controller tells."""
    _, body = await fleet.control(fleet.control_addresses[0], "GET", "/config")
    document = json.loads(body)
    names = [one["name"] for one in document["routes"]]
    record.write(f"GET /config: generation {document['generation']}, routes {names}")
    return names


async def leave(fleet: Fleet, record: Record) -> None:
    """One upstream says that it drains, and is acknowledged; requests are sent after `drain_ms`. Not judged."""
    leaving = fleet.upstreams[0]
    leaving.state = "draining"
    status = await leaving.heartbeat()
    record.write(f"upstream {leaving.id} says draining: {status}")
    await asyncio.sleep(DRAIN_S + 1.0)
    before = RAN.get(leaving.id, 0)
    for front in fleet.fronts:
        for _ in range(15):
            await request(front, client_request("/kept/x", os.urandom(8).hex()), 3.0)
    record.write(
        f"of 30 requests sent {DRAIN_S + 1.0:.0f} s after that acknowledgement it ran {RAN.get(leaving.id, 0) - before}"
    )


async def play(record: Record, fleet: Fleet) -> int:
    """Play the case and return the exit code."""
    await fleet.start()
    status = await fleet.order("PUT", "/config", whole(1, ("kept", "dropped")), 0)
    record.write(f"PUT generation 1 (kept, dropped): {status}")
    if status != 200:
        return 2
    for _ in range(3):
        await fleet.add_upstream("api", handle)
    if not await fleet.wait_ready():
        return 2
    await asyncio.sleep(3.5)  # all machines are in touch
    first = await statuses(fleet, record, "before")
    if any(one != {"kept": 200, "dropped": 200, "added": 404} for one in first.values()):
        return 2
    base = 1
    if TROUBLE:
        status = await fleet.order("PUT", "/config", whole(2, ("kept", "dropped"), upsert={}, remove={}), 1)
        record.write(
            f"PUT generation 2, with the members `upsert` and `remove` of a PATCH, both empty: {status}"
        )
        if status == 200:
            record.write("it was acknowledged")
            base = 2
        await asyncio.sleep(CONFIG_S + 1.0)
        await statuses(fleet, record, "after it")
    status = await fleet.order("PUT", "/config", whole(3, ("kept", "added")), base)
    record.write(f"PUT generation 3 (kept, added), a proper configuration: {status}")
    if status != 200:
        return 2
    broken = 0
    for wait_s in (CONFIG_S + 1.0, 6.0):
        await asyncio.sleep(wait_s)
        names = await read_back(fleet, record)
        last = await statuses(fleet, record, "after generation 3")
        expected = {name: 200 if name in names else 404 for name in NAMES}
        broken = sum(one != expected for one in last.values())
    await leave(fleet, record)
    for front in fleet.fronts:
        lines = fleet.log_of(front).splitlines()
        failures = [line for line in lines if "callback_failed" in line]
        record.write(f"log of {front}: {len(failures)} lines like {failures[-1] if failures else 'none'}")
    record.write(
        f"{broken} of {len(fleet.fronts)} routers act by an older version, 9 s after the acknowledgement"
    )
    return 1 if broken else 0


sys.exit(run_case(FOLDER, play, routers=2))
