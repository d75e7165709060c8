"""A stand-in for one model upstream, as a process of its own, so that it can crash as a process does.

Usage: engine.py ID SERVICE ADDRESS EVENTS CONTROL... It answers each request with a stream of EVENTS events that has no
length and ends with its connection. An event is written in two parts, as an engine does that writes while it generates.
It goes on behind `Last-Event-Id`.
"""

from __future__ import annotations

import asyncio
import json
import sys

PART_S = 0.09  # between the two parts of an event
PAUSE_S = 0.01  # between two events
HEARTBEAT_S = 1.2


async def serve(id_: str, events: int, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
    """Answer one request and close the connection."""
    try:
        head = (await reader.readuntil(b"\r\n\r\n")).decode("latin-1").split("\r\n")
        headers = {}
        for line in head[1:]:
            name, _, value = line.partition(":")
            headers[name.strip().lower()] = value.strip()
        await reader.readexactly(int(headers.get("content-length", "0")))
        request = headers.get("x-request-id", "")
        last = headers.get("last-event-id", "")
        first = int(last) + 1 if last.isdigit() else 1
        print(f"{request} {first}", flush=True)
        answer = [
            "HTTP/1.1 200 OK",
            "Content-Type: text/event-stream",
            "Connection: close",
            f"X-Request-Id: {request}",
            f"X-Server-Signature: s.{id_}.{request}",
        ]
        writer.write(("\r\n".join(answer) + "\r\n\r\n").encode())
        for number in range(first, events + 1):
            writer.write(f"id: {number}\ndata: words of piece {number}, ".encode())
            await writer.drain()
            await asyncio.sleep(PART_S)
            writer.write(f"end of piece {number}\n\n".encode())
            await writer.drain()
            await asyncio.sleep(PAUSE_S)
    except (OSError, asyncio.IncompleteReadError):
        pass
    finally:
        writer.close()


async def heartbeat(id_: str, service: str, address: str, controls: list[str]) -> None:
    """Send heartbeats; each goes to the next controller, and on to another one if it fails there."""
    sequence = 0
    while True:
        sequence += 1
        record = {
            "backend": service,
            "address": address,
            "zone": "z1",
            "generation": "v1",
            "slots": 64,
            "state": "ready",
            "cold_remaining_ms": 0,
            "sequence": sequence,
        }
        body = json.dumps(record).encode()
        for number in range(len(controls)):
            host, port = controls[(sequence + number) % len(controls)].rsplit(":", 1)
            try:
                async with asyncio.timeout(1.0):
                    reader, writer = await asyncio.open_connection(host, int(port))
                    head = f"PUT /instances/{id_} HTTP/1.1\r\nHost: {host}\r\nContent-Length: {len(body)}\r\n\r\n"
                    writer.write(head.encode() + body)
                    status = await reader.readline()
                    writer.close()
                if b" 200 " in status:
                    break
            except (OSError, TimeoutError):
                continue
        await asyncio.sleep(HEARTBEAT_S)


async def main() -> None:
    """Serve until killed."""
    id_, service, address, events, *controls = sys.argv[1:]
    host, port = address.rsplit(":", 1)
    await asyncio.start_server(lambda r, w: serve(id_, int(events), r, w), host, int(port))
    await heartbeat(id_, service, address, controls)


asyncio.run(main())
