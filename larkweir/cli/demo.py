"""Hands: `demo`: a balancer with a few small upstreams and a discovery of its own, all on 127.0.0.1."""

from __future__ import annotations

import asyncio
import json
import sys
import uuid
from contextlib import suppress
from typing import Any

import uvloop

from larkweir.config.options import Operator
from larkweir.config.platform import ConfigError, decode_object
from larkweir.lifecycle.daemon import Daemon
from larkweir.lifecycle.reading import Generation

SETTINGS: dict[str, Any] = {
    "Categories": [
        {"Name": "consulta", "Effect": "read_like", "AimMs": 410, "HardLimitMs": 1000, "Worth": 1},
        {
            "Name": "publicar",
            "Effect": "idempotency_key",
            "AimMs": 410,
            "HardLimitMs": 1000,
            "Worth": 8,
            "Group": "zone",
            "MemorySpanMs": 4000,
        },
        {"Name": "traspaso", "Effect": "non_idempotent", "AimMs": 410, "HardLimitMs": 1000, "Worth": 8},
    ],
    "Zones": ["here"],
    "MachineTypes": ["demo"],
    "Tiers": ["demo"],
    "Discovery": "pushed",
    "Guarantees": {"ColdShare": 0.32, "ColdMs": 1000, "DrainGraceMs": 500, "FallMultiple": 3, "FallMs": 1000},
    "PolicyLimits": {"SendCap": 4, "MayCancel": True, "RetryAfter": True, "MaxRetryAfterMs": 2000},
    "Stats": {"How": "off", "Fields": []},
}


async def _read(reader: asyncio.StreamReader) -> tuple[str, bytes] | None:
    """The target and the body of the next request."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = head.partition("content-length:")[2].partition("\r")[0].strip()
        body = await reader.readexactly(int(length or "0"))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
        return None
    return head.split(" ", 2)[1], body


def _answer(body: bytes) -> bytes:
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


class _Upstream:
    """Answers each request with its own name."""

    def __init__(self, name: str) -> None:
        self.name = name

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            while (request := await _read(reader)) is not None:
                await asyncio.sleep(0.02)
                writer.write(_answer(f"{self.name} served {len(request[1])} bytes\n".encode()))
        writer.close()


async def _discovery(entries: list[dict[str, Any]]) -> asyncio.Server:
    """A list that never changes: a watch waits for as long as it may."""
    listing = json.dumps({"generation": 1, "reset": True, "instances": entries}).encode()
    nothing = json.dumps({"generation": 1, "reset": False, "instances": []}).encode()

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            while (request := await _read(reader)) is not None:
                wait = request[0].partition("wait_ms=")[2]
                if wait:
                    await asyncio.sleep(int(wait) / 1000.0)
                writer.write(_answer(nothing if wait else listing))
        writer.close()

    return await asyncio.start_server(talk, "127.0.0.1", 0)


def _port(server: asyncio.Server) -> int:
    return int(server.sockets[0].getsockname()[1])


async def _demo(port: int, upstreams: int) -> int:
    servers = [
        await asyncio.start_server(_Upstream(f"nodo-{n + 1}").talk, "127.0.0.1", 0) for n in range(upstreams)
    ]
    entries = [
        {
            "instanceId": f"nodo-{n + 1}",
            "hostPort": f"127.0.0.1:{_port(server)}",
            "zone": "here",
            "machineType": "demo",
            "lifecycle": "active",
        }
        for n, server in enumerate(servers)
    ]
    discovery = await _discovery(entries)
    raw = {
        "name": "demo",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{_port(discovery)}",
        "seed": uuid.uuid4().hex[:8],
        "settings": SETTINGS,
    }
    daemon = Daemon(Generation(decode_object(raw, {}), Operator(), raw))
    running = asyncio.ensure_future(daemon.run())
    while not running.done() and not daemon.listening:
        await asyncio.sleep(0.01)
    if not running.done():
        address = f"127.0.0.1:{daemon.node.listener.port}"
        print(
            f"larkweir demo: {upstreams} upstreams behind http://{address}/api. Ask it from another window:\n"
        )
        # An id is new with every request: the shell makes one.
        print(f'    curl -s -H "X-Trace-Id: $RANDOM$RANDOM" -H "X-Qos: consulta" http://{address}/api\n')
        print("Ctrl-C ends it.", flush=True)
    try:
        return await running
    finally:
        for server in (*servers, discovery):
            server.close()


def demo(port: int, upstreams: int) -> int:
    """Run until Ctrl-C; the exit code."""
    if not 0 <= port <= 65535 or not 1 <= upstreams <= 50:
        print("demo: a port from 0 to 65535 and 1 to 50 upstreams would do", file=sys.stderr)
        return 2
    try:
        return uvloop.run(_demo(port, upstreams))
    except ConfigError as problem:
        print(f"larkweir: {problem}", file=sys.stderr)
        return 2
