"""`demo`: a balancer with a few small upstreams and a discovery of its own, all on 127.0.0.1."""

from __future__ import annotations

import asyncio
import sys
import uuid
from contextlib import suppress

import uvloop

from larkweir.config.options import Operator
from larkweir.config.platform import ConfigError, decode_object
from larkweir.lab.local import SETTINGS, answer, discovery, port_of, read_request
from larkweir.lifecycle.config_loader import ConfigGeneration
from larkweir.lifecycle.daemon import Daemon


class _Upstream:
    """Answers each request with its own name."""

    def __init__(self, name: str) -> None:
        self.name = name

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                await asyncio.sleep(0.02)
                writer.write(answer(f"{self.name} served {len(request[1])} bytes\n".encode()))
        writer.close()


async def _demo(port: int, upstreams: int) -> int:
    servers = [
        await asyncio.start_server(_Upstream(f"nodo-{n + 1}").talk, "127.0.0.1", 0) for n in range(upstreams)
    ]
    entries = [
        {
            "instanceId": f"nodo-{n + 1}",
            "hostPort": f"127.0.0.1:{port_of(server)}",
            "zone": "here",
            "machineType": "demo",
            "lifecycle": "active",
        }
        for n, server in enumerate(servers)
    ]
    listed = await discovery(entries)
    raw = {
        "name": "demo",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{port_of(listed)}",
        "seed": uuid.uuid4().hex[:8],
        "settings": SETTINGS,
    }
    daemon = Daemon(ConfigGeneration(decode_object(raw, {}), Operator(), raw))
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
        for server in (*servers, listed):
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
