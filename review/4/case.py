"""Streams without a length whose upstream crashes partway through an event (see claim.txt)."""

from __future__ import annotations

import asyncio
import os
import sys
from pathlib import Path

FOLDER = Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER))

from fleet import (  # noqa: E402
    Answer,
    Fleet,
    Record,
    client_request,
    configuration,
    request,
    route,
    run_case,
    service,
)

EVENTS = 30
STREAMS = 60
ENGINES = 6  # one of them crashes: a share of 0.17
CRASH_AFTER_S = 1.2
TROUBLE = os.environ.get("TROUBLE", "1") != "0"


async def start_engine(fleet: Fleet, number: int) -> asyncio.subprocess.Process:
    """Start an engine as a process of its own."""
    process = await asyncio.create_subprocess_exec(
        "python3",
        str(FOLDER / "engine.py"),
        f"i-engine{number}",
        "lm",
        f"{fleet.net}.{201 + number}:{fleet.upstream_port}",
        str(EVENTS),
        *fleet.control_addresses,
        stdout=asyncio.subprocess.PIPE,
    )
    fleet.processes[f"engine{number}"] = process
    return process


def pieces(answer: Answer) -> list[int]:
    """Return the numbers of the whole pieces that the client has received."""
    found = []
    for event in answer.body.decode().split("\n\n"):
        lines = event.split("\n")
        if len(lines) == 2 and lines[1].endswith(f"end of piece {lines[0][4:]}"):
            found.append(int(lines[0][4:]))
    return found


async def play(record: Record, fleet: Fleet) -> int:
    """Play the case and return the exit code."""
    await fleet.start()
    routes = [route("r", "lm", "/answers/", kind="streaming", resumable=True, sticky=True, gap_aim_ms=300)]
    if await fleet.order("PUT", "/config", configuration(1, routes, [service("lm")]), 0) != 200:
        return 2
    engines = [await start_engine(fleet, number) for number in range(ENGINES)]
    if not await fleet.wait_ready():
        return 2
    await asyncio.sleep(1.0)
    tasks = []
    for number in range(STREAMS):
        id_ = f"stream{number:02}"
        record.write(f"{id_} sent")
        data = client_request("/answers/x", id_, b"a question", "X-Deadline-Ms: 8000")
        tasks.append(asyncio.create_task(request(fleet.fronts[0], data, 9.0)))
        await asyncio.sleep(0.01)
    await asyncio.sleep(CRASH_AFTER_S)
    if TROUBLE:
        engines[0].kill()
        record.write("engine0 crashed (SIGKILL)")
    answers = await asyncio.gather(*tasks)
    ran: dict[str, list[str]] = {}
    for number, engine in enumerate(engines):
        if engine.returncode is None:
            engine.kill()
        assert engine.stdout is not None
        for line in (await engine.stdout.read()).decode().splitlines():
            id_, first = line.split()
            ran.setdefault(id_, []).append(f"engine{number} from piece {first}")
    broken = served = 0
    for number, answer in enumerate(answers):
        id_, got = f"stream{number:02}", pieces(answer)
        is_whole = got == list(range(1, EVENTS + 1))
        ends_in_event = not answer.body.endswith(b"\n\n")  # only this shows that the upstream broke off
        is_broken = answer.status == 200 and answer.complete and not is_whole and ends_in_event
        broken += is_broken
        served += answer.complete and is_whole
        end = "ends as complete" if answer.complete else "ends early, and shows it"
        tail = repr(answer.body[-24:].decode())
        record.write(
            f"{id_} answered {answer.status}, {len(got)} whole pieces of {EVENTS}, {end}, last bytes {tail}; "
            f"ran at {', '.join(ran.get(id_, ['none']))}{'  <-- ORDER broken' if is_broken else ''}"
        )
    record.write(
        f"{broken} of {STREAMS} streams end as complete partway through an event; {served} are whole"
    )
    return 1 if broken else 0


sys.exit(run_case(FOLDER, play))
