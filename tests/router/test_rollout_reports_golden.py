"""Compares the lines that a router writes to a controller about a running roll-out, over a socket, with stored ones."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import msgspec
import pytest
import uvloop

from larkweir.cluster import log
from larkweir.cluster.messages import Message
from tests.router.scripted_controller import ScriptedController, running_router
from tests.system.loopback import ReceivedRequest, Upstream, answer, ask

ORDER = '"s":{"order":"v2/1000"'
EXPECTED_LINES = [
    '{"type":"hello","node":"NODE","kind":"router","life":"LIFE"}',
    '{"type":"pull","vector":{},"sent_ms":SENT}',
    # A roll-out that gets all requests has started.
    '{"type":"pull","config":3,"vector":{"c/1":2},"sent_ms":SENT,"rollouts":{'
    + ORDER
    + ',"target":{"open":0,"routes":{},"failures":{}},"others":{"open":0,"routes":{},"failures":{}}}}}',
    # Nothing has changed.
    '{"type":"pull","config":3,"sent_ms":SENT}',
    # A request is in flight at the target.
    '{"type":"pull","config":3,"sent_ms":SENT,"rollouts":{'
    + ORDER
    + ',"target":{"open":1,"routes":{},"failures":{}},"others":{"open":0,"routes":{},"failures":{}}}}}',
    # The request has been answered.
    '{"type":"pull","config":3,"sent_ms":SENT,"rollouts":{'
    + ORDER
    + ',"target":{"open":0,"routes":{"plain":[1,0,{BUCKET:1},{BUCKET:1}]},"failures":{}},'
    '"others":{"open":0,"routes":{},"failures":{}}}}}',
    # The next request has failed.
    '{"type":"pull","config":3,"sent_ms":SENT,"endings":{"s2":[1,1]},"rollouts":{'
    + ORDER
    + ',"target":{"open":0,"routes":{"plain":[1,1,{BUCKET:1},{BUCKET:1}]},"failures":{"s2":1}},'
    '"others":{"open":0,"routes":{},"failures":{}}}}}',
    '{"type":"pull","config":3,"sent_ms":SENT,"endings":{"s2":[1,1]}}',
    # On a new connection.
    '{"type":"hello","node":"NODE","kind":"router","life":"LIFE"}',
    '{"type":"pull","config":3,"vector":{"c/1":2},"sent_ms":SENT,"endings":{"s2":[1,1]},"rollouts":{'
    + ORDER
    + ',"target":{"open":0,"routes":{"plain":[1,1,{BUCKET:1},{BUCKET:1}]},"failures":{"s2":1}},'
    '"others":{"open":0,"routes":{},"failures":{}}}}}',
    # The roll-out is completed.
    '{"type":"pull","config":4,"sent_ms":SENT,"endings":{"s2":[1,1]}}',
]
PLACEHOLDERS = {
    r'"node":"127\.79\.[0-9]+\.2"': '"node":"NODE"',
    r'"life":"[0-9a-f]{12}"': '"life":"LIFE"',
    r'"sent_ms":[0-9]+': '"sent_ms":SENT',
    r'\{"[0-9]+":1\}': "{BUCKET:1}",  # the histogram bucket of a measured duration
}
ROLLOUT = {
    "service": "s",
    "target_version": "v2",
    "duration_s": 12.0,
    "ordered_unix_ms": 1_000.0,
    "target_weight": 1.0,
}
DOCUMENT: dict[str, Any] = {
    "generation": 3,
    "routes": [{"name": "plain", "host": "a.example", "path_prefix": "/", "backend": "s"}],
    "services": [{"name": "s"}],
    "larkweir_rollouts": [ROLLOUT],
}


def record(id_: str, version: str, address: str, counter: int) -> list[Any]:
    upstream = {"id": id_, "service": "s", "address": address, "zone": "z", "version": version}
    return [upstream, "c/1", counter]


async def answer_pull(controller: ScriptedController, count: int, **delta: Any) -> None:
    """Answer the router's pull, and wait until `count` lines have arrived in total."""
    controller.send({"type": "delta", "vector": {"c/1": 2}, **delta})
    await controller.wait_for_lines(count)


async def run_reports(controller: ScriptedController, front: str, old: Upstream, new: Upstream) -> None:
    """Cause the lines of `EXPECTED_LINES` one after another."""
    await controller.wait_for_lines(2)
    records = [record("s1", "v1", old.address, 1), record("s2", "v2", new.address, 2)]
    await answer_pull(controller, 3, config={"sequence": 3, "base": -1, "body": DOCUMENT}, records=records)
    await answer_pull(controller, 4)
    arrived = new.respond = HeldRequest()
    pending = asyncio.get_running_loop().create_task(ask(front, "POST", "/x", b"p", X_Request_Id="1"))
    await arrived.event.wait()
    await answer_pull(controller, 5)
    new.writers[-1].write(answer(new.requests[-1]))
    assert (await pending).status == 200
    await answer_pull(controller, 6)
    new.respond = resets
    assert (await ask(front, "POST", "/x", b"p", X_Request_Id="2")).status == 502
    await answer_pull(controller, 7)
    await answer_pull(controller, 8)
    controller.disconnect()
    await controller.wait_for_lines(10)
    completed = {**DOCUMENT, "larkweir_rollouts": [{**ROLLOUT, "state": "completed"}]}
    await answer_pull(controller, 11, config={"sequence": 4, "base": -1, "body": completed})


class HeldRequest:
    """Leaves a request unanswered, and sets `event` when it has arrived."""

    def __init__(self) -> None:
        self.event = asyncio.Event()

    def __call__(self, request: ReceivedRequest) -> tuple[bytes, bool]:
        self.event.set()
        return b"", False


def resets(request: ReceivedRequest) -> tuple[bytes, bool]:
    return b"", True


async def run_session() -> None:
    ip = f"127.79.{os.getpid() % 199 + 1}"
    controller = ScriptedController(EXPECTED_LINES, PLACEHOLDERS)
    server = await asyncio.start_server(controller.serve, f"{ip}.1", 0)
    port = server.sockets[0].getsockname()[1]
    old, new = Upstream("s1", f"{ip}.3:{port}", resets), Upstream("s2", f"{ip}.4:{port}", resets)
    for upstream in (old, new):
        await upstream.start()
    try:
        async with running_router(ip, port):
            await run_reports(controller, f"{ip}.2:{port}", old, new)
    finally:
        for upstream in (old, new):
            upstream.close()
        server.close()


def test_lines_that_a_router_writes_about_a_roll_out(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[tuple[str, dict[str, Any]]] = []
    monkeypatch.setattr(log, "event", lambda name, **fields: logged.append((name, fields)))
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # the program's own loop
        runner.run(run_session())
    assert [fields for name, fields in logged if name == "rollout"] == [
        {"service": "s", "target_version": "v2", "state": state, "target_weight": 1.0}
        for state in ("running", "completed")
    ]


def test_the_lines_are_messages() -> None:
    for line in EXPECTED_LINES:
        message = line.replace("BUCKET", '"1"').replace("SENT", "1")
        msgspec.json.decode(message, type=Message)
