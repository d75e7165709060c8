"""`python -m benchmarks.bulk`: large transfers through one process: its peak memory, and the time to the first byte.

For 1, 8 and 32 concurrent transfers of 32 MB each way: answers to callers that read as fast as they can, answers to
callers that read slowly (a part of the size, at `--slow-kb` a second), bodies from callers that write fast and slowly,
and bodies in either framing to upstreams that read slowly (`--behind-kb` a second), with how many of them were whole.
The time to the first byte is an answer's, from its request; for bodies it is the time that the first of it takes to its
upstream. Last comes the peak memory of the process over all of them, by its limit of 80 MB.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import sys
import tempfile
import time
from collections.abc import AsyncIterator, Callable, Coroutine
from pathlib import Path
from statistics import median
from typing import Any

from benchmarks.hot_path import ROOT, SETTINGS
from standins.ports import free_port

MEGA = 1_000_000
LIMIT_MB = 80
BLOCK = bytes(65536)


def memory_mb(pid: int) -> float:
    """The most that it held since the last call."""
    text = Path(f"/proc/{pid}/status").read_text()
    peak = next(line for line in text.splitlines() if line.startswith("VmHWM")).split()[1]
    Path(f"/proc/{pid}/clear_refs").write_text("5")
    return int(peak) / 1024.0


class Upstream:
    """Answers GET with as many bytes as the query says, POST with the time at which its first byte came."""

    def __init__(self, pace: float = 0.0) -> None:
        self.pace = pace  # bytes a second at which bodies are read, where there is a bound

    async def start(self) -> int:
        server = await asyncio.start_server(self.talk, "127.0.0.1", 0)
        self.server = server
        return int(server.sockets[0].getsockname()[1])

    async def talk(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        try:
            while True:
                head = await reader.readuntil(b"\r\n\r\n")
                first = head.split(b"\r\n")[0]
                if first.startswith(b"GET"):
                    size = int(first.split()[1].rpartition(b"=")[2])
                    writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n" % size)
                    while size > 0:
                        writer.write(BLOCK[:size])
                        size -= len(BLOCK)
                        await writer.drain()
                    continue
                lines = dict(line.lower().split(b": ", 1) for line in head.split(b"\r\n")[1:-2])
                size = 0
                came = 0.0
                async for part in self.body(reader, lines.get(b"content-length")):
                    came = came or time.monotonic()
                    size += len(part)
                    if self.pace:
                        await asyncio.sleep(len(part) / self.pace)
                text = b"%.6f %d" % (came, size)
                writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%b" % (len(text), text))
        except (ConnectionError, asyncio.IncompleteReadError):
            pass
        finally:
            writer.close()

    @staticmethod
    async def body(reader: asyncio.StreamReader, length: bytes | None) -> AsyncIterator[bytes]:
        left = int(length) if length is not None else await chunk_size(reader)
        while left:
            part = await reader.read(min(left, 65536))
            if not part:
                raise ConnectionError("cut")
            left -= len(part)
            yield part
            if not left and length is None:
                await reader.readline()
                left = await chunk_size(reader)
        if length is None:
            await reader.readline()


async def chunk_size(reader: asyncio.StreamReader) -> int:
    line = await reader.readline()
    if not line:
        raise ConnectionError("cut")
    return int(line.split(b";")[0], 16)


def head_of(number: int, cls: str, size: int | None) -> bytes:
    """Of no stated size: chunks."""
    fields = f"Host: x\r\nX-Trace-Id: bulk{number:012x}\r\nX-Qos: {cls}\r\nX-Customer: acme\r\n"
    if cls == "look":
        return f"GET /api?size={size} HTTP/1.1\r\n{fields}\r\n".encode()
    framing = "Transfer-Encoding: chunked" if size is None else f"Content-Length: {size}"
    return f"POST /api HTTP/1.1\r\n{fields}{framing}\r\n\r\n".encode()


class Rig:
    def __init__(self, port: int, size: int, pace: float) -> None:
        self.port = port
        self.size = size
        self.pace = pace  # bytes a second of a slow caller
        self.number = 0
        self.refused = 0
        self.whole = 0

    def served(self, head: bytes) -> bool:
        """Whether an answer serves; a refusal is counted, and asked again."""
        if b" 503 " in head.split(b"\r\n")[0]:
            self.refused += 1
            return False
        assert b" 200 " in head.split(b"\r\n")[0], head
        return True

    async def read(self, slow: bool) -> float:
        """An answer; the milliseconds to its first byte."""
        self.number += 1
        number = self.number
        size = self.size // 16 if slow else self.size
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port, limit=65536)
        begun = time.monotonic()
        writer.write(head_of(number, "look", size))
        head = await reader.readuntil(b"\r\n\r\n")
        if not self.served(head):
            writer.close()
            await asyncio.sleep(0.05)
            return await self.read(slow)
        await reader.readexactly(1)
        first = time.monotonic() - begun
        left = size - 1
        while left:
            part = await reader.read(min(left, 65536))
            assert part, "cut"
            left -= len(part)
            if slow:
                await asyncio.sleep(len(part) / self.pace)
        writer.close()
        return first * 1000.0

    async def write(self, slow: bool) -> float:
        """A body; the milliseconds that its first byte took to the upstream."""
        self.number += 1
        number = self.number
        size = self.size // 16 if slow else self.size
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        begun = time.monotonic()
        writer.write(head_of(number, "move", size))
        left = size
        while left:
            part = BLOCK[: min(left, len(BLOCK))]
            writer.write(part)
            left -= len(part)
            await writer.drain()
            if slow:
                await asyncio.sleep(len(part) / self.pace)
        head = await reader.readuntil(b"\r\n\r\n")
        if not self.served(head):
            writer.close()
            await asyncio.sleep(0.05)
            return await self.write(slow)
        came = float((await reader.read(100)).split()[0])
        writer.close()
        return (came - begun) * 1000.0

    async def press(self, chunked: bool) -> float:
        """A body for an upstream that reads slowly, sent once; the milliseconds that its first byte took."""
        self.number += 1
        number = self.number
        size = self.size // 2
        reader, writer = await asyncio.open_connection("127.0.0.1", self.port)
        begun = time.monotonic()
        try:
            writer.write(head_of(number, "move", None if chunked else size))
            left = size
            while left:
                part = BLOCK[: min(left, len(BLOCK))]
                writer.write(b"%x\r\n%b\r\n" % (len(part), part) if chunked else part)
                left -= len(part)
                await writer.drain()
            if chunked:
                writer.write(b"0\r\n\r\n")
            head = await reader.readuntil(b"\r\n\r\n")
            assert b" 200 " in head.split(b"\r\n")[0], head
            came, got = (await reader.read(100)).split()
            assert int(got) == size
            self.whole += 1
            return (float(came) - begun) * 1000.0
        except (AssertionError, OSError, asyncio.IncompleteReadError):
            self.refused += 1
            return (time.monotonic() - begun) * 1000.0
        finally:
            writer.close()


async def measure(options: argparse.Namespace) -> int:
    upstreams = [Upstream() for _ in range(4)]
    ports = [await item.start() for item in upstreams]
    if options.behind:
        for item in upstreams:
            item.pace = options.behind_kb * 1000.0
    port = free_port()
    settings: dict[str, Any] = json.loads(json.dumps(SETTINGS))
    settings["Categories"] += [
        {"Name": "move", "Effect": "non_idempotent", "AimMs": 5000, "HardLimitMs": 8000, "Worth": 8}
    ]
    entries = [
        {"instanceId": f"u{n}", "hostPort": f"127.0.0.1:{at}", "zone": "north", "lifecycle": "active"}
        for n, at in enumerate(ports)
    ]
    data = {
        "name": "bulk",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",  # nobody there: what is known serves
        "limits": {"cores": 1.0, "memory_mb": LIMIT_MB, "sockets": 1024},
        "known": {"generation": 1, "reset": True, "instances": entries},
        "settings": settings,
    }
    most = 0.0
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(data))
        process = await asyncio.create_subprocess_exec(
            *(sys.executable, "-m", "larkweir"),
            cwd=ROOT,
            env=os.environ | {"GW_CONFIG": str(path)},
            stderr=asyncio.subprocess.DEVNULL,
        )
        try:
            while True:
                try:
                    (await asyncio.open_connection("127.0.0.1", port))[1].close()
                    break
                except OSError:
                    await asyncio.sleep(0.01)
            rig = Rig(port, int(options.size_mb * MEGA), options.slow_kb * 1000.0)
            print(f"at rest: {memory_mb(process.pid):.1f} MB")
            ways: list[tuple[str, Callable[[bool], Coroutine[Any, Any, float]], bool]] = [
                ("answers, read fast", rig.read, False),
                ("answers, read slowly", rig.read, True),
                ("bodies, written fast", rig.write, False),
                ("bodies, written slowly", rig.write, True),
            ]
            if options.behind:
                ways = [
                    ("lengths, upstream slow", rig.press, False),
                    ("chunks, upstream slow", rig.press, True),
                ]
            for count in options.counts:
                for name, way, slow in ways:
                    begun, rig.refused, rig.whole = time.monotonic(), 0, 0
                    firsts = await asyncio.gather(*(way(slow) for _ in range(count)))
                    spent = time.monotonic() - begun
                    peak = memory_mb(process.pid)
                    most = max(most, peak)
                    print(
                        f"{count:3} x {name:22}  peak {peak:6.1f} MB  first byte p50 {median(firsts):8.1f} ms"
                        f"  most {max(firsts):8.1f} ms  {spent:6.2f} s  {rig.refused} refused"
                        + (f", {rig.whole} of {count} whole" if options.behind else ""),
                        flush=True,
                    )
        finally:
            process.kill()
            await process.wait()
    print(f"peak memory, MB of {LIMIT_MB}: {most:.1f}")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--counts", type=int, nargs="+", default=[1, 8, 32])
    parser.add_argument("--size-mb", type=float, default=32.0)
    parser.add_argument("--slow-kb", type=float, default=640.0, help="of a slow peer, a second")
    parser.add_argument("--behind", action="store_true", help="only bodies to upstreams that read slowly")
    parser.add_argument("--behind-kb", type=float, default=8000.0, help="of such an upstream, a second")
    return asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
