"""A tenant whose name is not in Latin letters is never served (see claim.txt)."""

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

TROUBLE = os.environ.get("TROUBLE", "1") != "0"
NEW_TENANT = "ሰላም" if TROUBLE else "selam"
KEYS = {"first": "3d3zji9n73hh2b9wu3fe", "second": "xd9dnn2ctnfzs989anu6"}
REQUESTS = 40  # for each route
RAN: set[str] = set()


async def handle(call: Call) -> None:
    """Run a request at once."""
    RAN.add(call.id)
    await call.answer(b"done")


async def play(record: Record, fleet: Fleet) -> int:
    """Play the case and return the exit code."""
    await fleet.start()
    first = route("first", "api", "/first/", public=False)
    tenant = {"name": "huka270", "api_keys": [KEYS["first"]], "priority": 1}
    if (
        await fleet.order("PUT", "/config", configuration(5, [first], [service("api")], tenants=[tenant]), 0)
        != 200
    ):
        return 2
    for _ in range(3):
        await fleet.add_upstream("api", handle)
    if not await fleet.wait_ready():
        return 2
    change = {
        "generation": 7,
        "upsert": {
            "routes": [route("second", "api", "/second/", public=False)],
            "tenants": [{"name": NEW_TENANT, "api_keys": [KEYS["second"]], "priority": 1}],
        },
    }
    status = await fleet.order("PATCH", "/config", json.dumps(change).encode(), 5)
    record.write(f"PATCH generation 7, a route `second` and a tenant {NEW_TENANT!r}: {status}")
    if status != 200:
        return 0  # refused: nothing was promised
    await asyncio.sleep(4.0)  # `config_ms` is 2 s, `contact_ms` 3 s
    served = dict.fromkeys(KEYS, 0)
    statuses: dict[str, dict[int, int]] = {name: {} for name in KEYS}
    for number in range(REQUESTS):
        for name, key in KEYS.items():
            id_ = f"{name}{number:03}"
            data = client_request(f"/{name}/x", id_, b"x", f"X-Api-Key: {key}", "X-Deadline-Ms: 2500")
            answer = await request(fleet.fronts[number % len(fleet.fronts)], data, 3.0)
            served[name] += answer.status == 200 and answer.complete
            statuses[name][answer.status] = statuses[name].get(answer.status, 0) + 1
            record.write(f"{id_} answered {answer.status}, {'run' if id_ in RAN else 'not run'}")
    for front in fleet.fronts:
        failures = [line for line in fleet.log_of(front).splitlines() if "exchange_failed" in line]
        record.write(f"log of {front}: {len(failures)} lines like {failures[-1] if failures else 'none'}")
    record.write(f"served {served} of {REQUESTS} each; statuses {statuses}")
    return 1 if 4 * served["second"] < served["first"] else 0


sys.exit(run_case(FOLDER, play, routers=2))
