"""`python -m benchmarks.upgrade`: requests ended at the door for each upgrade, by the way that the sockets take.

Callers ask without a pause while `run` is started once more beside the process that serves; the old one gets SIGTERM at
the new one's yes. Way (a): each listens for itself, by SO_REUSEPORT (no $TMPDIR to meet in). Way (b): the new one
fetches the old one's sockets. Counted: connections refused, reset or closed on a request. Last come those of way (b),
for each upgrade.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import os
import signal
import sys
import tempfile
import time
from pathlib import Path

from benchmarks.bulk import Upstream
from benchmarks.hot_path import ROOT, SETTINGS
from standins.ports import free_port

HEAD = (
    b"GET /api?size=100 HTTP/1.1\r\nHost: x\r\nX-Trace-Id: up%012x\r\nX-Qos: look\r\nX-Customer: acme\r\n\r\n"
)


class Callers:
    def __init__(self, port: int, count: int, fresh: bool) -> None:
        self.port = port
        self.fresh = fresh  # a connection for each request
        self.asked = self.ended = self.other = 0
        self.stop = False
        self.tasks = [asyncio.ensure_future(self.go()) for _ in range(count)]

    async def go(self) -> None:
        talk = None
        while not self.stop:
            self.asked += 1
            number = self.asked
            try:
                reader, writer = talk or await asyncio.open_connection("127.0.0.1", self.port)
                talk = (reader, writer)
                writer.write(HEAD % number)
                head = (await reader.readuntil(b"\r\n\r\n")).lower()
                await reader.readexactly(100)
                self.other += b" 200 " not in head.split(b"\r\n")[0]
                if self.fresh or b"connection: close" in head:
                    writer.close()
                    talk = None
            except (OSError, asyncio.IncompleteReadError):
                self.ended += 1
                talk = None
            await asyncio.sleep(0.002)


async def status(port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection("127.0.0.1", port)
        writer.write(b"STATUS\n")
        line = await reader.read()
        writer.close()
        return line.startswith(b"SUCCESS")
    except OSError:
        return False


async def one_way(options: argparse.Namespace, way: str, fresh: bool) -> float:
    upstream = Upstream()
    at = await upstream.start()
    port = free_port()
    entry = {"instanceId": "u", "hostPort": f"127.0.0.1:{at}", "zone": "north", "lifecycle": "active"}
    data = {
        "name": "up",
        "listen": f"127.0.0.1:{port}",
        "discovery": f"127.0.0.1:{free_port()}",
        "limits": {"cores": 1.0, "memory_mb": 80, "sockets": 384},
        "known": {"generation": 1, "reset": True, "instances": [entry]},
        "settings": SETTINGS,
    }
    with tempfile.TemporaryDirectory() as folder:
        path = Path(folder) / "config.json"
        path.write_text(json.dumps(data))
        env = os.environ | {"GW_CONFIG": str(path), "TMPDIR": folder if way == "b" else ""}

        async def start() -> tuple[asyncio.subprocess.Process, float]:
            control = free_port()
            begun = time.monotonic()
            process = await asyncio.create_subprocess_exec(
                *(sys.executable, "-m", "larkweir", "run", "--operator", "deploy/platform.toml"),
                cwd=ROOT,
                env=env | {"GW_CONTROL": f"127.0.0.1:{control}"},
                stderr=asyncio.subprocess.DEVNULL,
            )
            while not await status(control):
                await asyncio.sleep(0.005)
            return process, time.monotonic() - begun

        old, _ = await start()
        callers = Callers(port, options.callers, fresh)
        yes = []
        try:
            for _ in range(options.upgrades):
                await asyncio.sleep(0.3)
                new, spent = await start()
                yes.append(spent)
                old.send_signal(signal.SIGTERM)
                await old.wait()
                old = new
            await asyncio.sleep(0.3)
        finally:
            callers.stop = True
            await asyncio.gather(*callers.tasks)
            old.kill()
            await old.wait()
    each = callers.ended / options.upgrades
    kind = "new connections" if fresh else "kept connections"
    print(
        f"way ({way}), {kind:16}: {callers.asked} requests, {options.upgrades} upgrades,"
        f" {each:.2f} ended at the door each, {callers.other} not served, yes after {max(yes):.2f} s at the most",
        flush=True,
    )
    return each


async def measure(options: argparse.Namespace) -> int:
    each = {way: [await one_way(options, way, fresh) for fresh in (False, True)] for way in ("a", "b")}
    print(f"ended at the door for each upgrade, way (b): {sum(each['b']):.2f}")
    return 0


def main() -> int:
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--upgrades", type=int, default=5)
    parser.add_argument("--callers", type=int, default=30)
    return asyncio.run(measure(parser.parse_args()))


if __name__ == "__main__":
    sys.exit(main())
