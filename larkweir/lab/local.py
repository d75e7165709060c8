"""What a balancer on one machine needs around it: plain settings, a discovery service with a fixed list, and a reader
of requests. Used by `demo` and by the lab's runs in real time.
"""

from __future__ import annotations

import asyncio
import json
from contextlib import suppress
from typing import Any

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


async def read_request(reader: asyncio.StreamReader) -> tuple[str, bytes] | None:
    """The target and the body of the next request."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").lower()
        length = head.partition("content-length:")[2].partition("\r")[0].strip()
        body = await reader.readexactly(int(length or "0"))
    except (asyncio.IncompleteReadError, asyncio.LimitOverrunError, ConnectionError, ValueError):
        return None
    return head.split(" ", 2)[1], body


def answer(body: bytes) -> bytes:
    """A 200 answer with this body."""
    return b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (len(body), body)


async def discovery(entries: list[dict[str, Any]]) -> asyncio.Server:
    """A list that never changes: a watch waits for as long as it may."""
    listing = json.dumps({"generation": 1, "reset": True, "instances": entries}).encode()
    nothing = json.dumps({"generation": 1, "reset": False, "instances": []}).encode()

    async def talk(reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        with suppress(ConnectionError, asyncio.CancelledError):
            while (request := await read_request(reader)) is not None:
                wait = request[0].partition("wait_ms=")[2]
                if wait:
                    await asyncio.sleep(int(wait) / 1000.0)
                writer.write(answer(nothing if wait else listing))
        writer.close()

    return await asyncio.start_server(talk, "127.0.0.1", 0)


def port_of(server: asyncio.Server) -> int:
    """The port that a server listens on."""
    return int(server.sockets[0].getsockname()[1])
