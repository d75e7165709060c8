"""Compares the lines that a router writes to a controller, over a socket, with stored ones."""

from __future__ import annotations

import asyncio
import os
from typing import Any

import uvloop

from tests.router.scripted_controller import ScriptedController, running_router
from tests.system.loopback import Client, ReceivedRequest, Upstream, answer, ask

EXPECTED_LINES = [
    '{"type":"hello","node":"NODE","kind":"router","life":"LIFE"}',
    '{"type":"pull","vector":{},"sent_ms":SENT}',
    # After a configuration and the records of two upstreams have been received.
    '{"type":"pull","config":3,"vector":{"c/1":3},"sent_ms":SENT}',
    # The prefix lookup and the backlog update of a long prompt.
    '{"type":"place","service":"e","head":"h","tokens":6000.0,"known":null}',
    '{"type":"waiting","tokens":{"e0":6000}}',
    # While the request waits for its first event.
    '{"type":"pull","config":3,"usage":{"acme":1.0},"sent_ms":SENT,"waiting":{"e0":6000}}',
    # After its answer, and after another call has failed.
    '{"type":"pull","config":3,"usage":{"acme":2.0},"sent_ms":SENT,"endings":{"s0":[0,1]}}',
    # After SIGTERM.
    '{"type":"pull","config":3,"usage":{"acme":2.0},"sent_ms":SENT,"endings":{"s0":[0,1]},"is_leaving":true}',
]
PLACEHOLDERS = {
    r'"node":"127\.78\.[0-9]+\.2"': '"node":"NODE"',
    r'"life":"[0-9a-f]{12}"': '"life":"LIFE"',
    r'"sent_ms":[0-9]+': '"sent_ms":SENT',
}
DOCUMENT = {
    "generation": 3,
    "routes": [
        {"name": "engine", "host": "a.example", "path_prefix": "/e/", "backend": "e"},
        {"name": "plain", "host": "a.example", "path_prefix": "/s/", "backend": "s"},
    ],
    "services": [{"name": "s"}, {"name": "e", "engine": {}}],
    "tenants": [{"name": "acme", "api_keys": ["key"], "rate_per_s": 100.0, "burst": 100.0}],
}


def record(id_: str, service: str, address: str, counter: int) -> list[Any]:
    return [{"id": id_, "service": service, "address": address, "zone": "z"}, "c/1", counter]


async def run_session() -> None:
    subnet = os.getpid() % 199 + 1
    ip = f"127.78.{subnet}"
    controller = ScriptedController(EXPECTED_LINES, PLACEHOLDERS)
    server = await asyncio.start_server(controller.serve, f"{ip}.1", 0)
    port = server.sockets[0].getsockname()[1]
    arrived = asyncio.Event()

    def resets(request: ReceivedRequest) -> tuple[bytes, bool]:
        return b"", True

    def hold(request: ReceivedRequest) -> tuple[bytes, bool]:
        arrived.set()
        return b"", False

    engine = Upstream("e0", f"{ip}.3:{port}", hold)
    failing = Upstream("s0", f"{ip}.4:{port}", resets)
    for upstream in (engine, failing):
        await upstream.start()
    try:
        async with running_router(ip, port) as router:
            await controller.wait_for_lines(2)
            controller.send(
                {
                    "type": "delta",
                    "config": {"sequence": 3, "base": -1, "body": DOCUMENT},
                    "records": [record("e0", "e", engine.address, 1), record("s0", "s", failing.address, 2)],
                    "vector": {"c/1": 3},
                    "controllers": [f"{ip}.1"],
                }
            )
            await controller.wait_for_lines(3)
            client = Client(f"{ip}.2:{port}")
            prompt = {"X_Api_Key": "key", "X_Token_Usage": "6000,10", "X_Prompt_Prefix": "h:5000,own:1000"}
            pending = asyncio.get_running_loop().create_task(
                client.request("POST", "/e/x", b"p", X_Request_Id="1", **prompt)
            )
            await controller.wait_for_lines(4)
            controller.send({"type": "placed", "head": "h", "engine": "e0", "kept": False})
            await controller.wait_for_lines(5)
            controller.send({"type": "delta", "vector": {"c/1": 3}})
            await controller.wait_for_lines(6)
            await arrived.wait()
            engine.writers[-1].write(answer(engine.requests[-1]))
            assert (await pending).status == 200
            failed = await ask(f"{ip}.2:{port}", "POST", "/s/x", b"p", X_Request_Id="2", X_Api_Key="key")
            assert failed.status == 502
            controller.send({"type": "delta", "vector": {"c/1": 3}})
            await controller.wait_for_lines(7)
            client.close()
            router._terminated.set()
            while not router._sync.is_leaving:
                await asyncio.sleep(0)
            controller.send({"type": "delta", "vector": {"c/1": 3}})
            await controller.wait_for_lines(8)
    finally:
        for upstream in (engine, failing):
            upstream.close()
        server.close()


def test_lines_that_a_router_writes_to_a_controller() -> None:
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # the program's own loop
        runner.run(run_session())
