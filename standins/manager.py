"""A service manager on one machine: the socket of its notify protocol, listening sockets that it opens and passes."""

from __future__ import annotations

import asyncio
import os
import socket
import sys
import tempfile
from collections.abc import Sequence
from pathlib import Path

from standins.peers import PATIENCE_S

ROOT = Path(__file__).parents[1]
# LISTEN_PID is the child's own id, which nobody knows before it runs.
EXEC = """
import fcntl, os, sys
kept = [fcntl.fcntl(int(item), fcntl.F_DUPFD, 100) for item in sys.argv[1].split(",")]
for n, item in enumerate(kept):
    os.dup2(item, 3 + n)
    os.close(item)
os.environ["LISTEN_PID"] = str(os.getpid())
os.execv(sys.argv[2], sys.argv[2:])
"""


class Words(asyncio.DatagramProtocol):
    """Every word that came, in order."""

    def __init__(self) -> None:
        self.all: list[dict[str, str]] = []
        self._came = asyncio.Event()

    def datagram_received(self, data: bytes, addr: object) -> None:
        pairs = (line.partition("=") for line in data.decode().splitlines())
        self.all.append({key: value for key, _, value in pairs})
        self._came.set()

    async def until(self, key: str, value: str | None = None, after: int = 0) -> int:
        """The place of the first word, at `after` or later, that sets a key (to a value)."""
        async with asyncio.timeout(PATIENCE_S):
            at = after
            while True:
                while at < len(self.all):
                    found = self.all[at].get(key)
                    if found is not None and (value is None or found == value):
                        return at
                    at += 1
                self._came.clear()
                await self._came.wait()


class Manager:
    """Opens the notify socket, by a path or by an abstract name."""

    def __init__(self, abstract: bool = False) -> None:
        self._folder = tempfile.TemporaryDirectory()
        self.path = f"@larkweir-{os.getpid()}-{id(self)}" if abstract else f"{self._folder.name}/notify"
        self.words = Words()
        self._transport: asyncio.DatagramTransport | None = None

    async def start(self) -> Manager:
        sock = socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM)
        sock.setblocking(False)
        sock.bind("\0" + self.path[1:] if self.path.startswith("@") else self.path)
        loop = asyncio.get_running_loop()
        self._transport, _ = await loop.create_datagram_endpoint(lambda: self.words, sock=sock)
        return self

    def stop(self) -> None:
        if self._transport is not None:
            self._transport.close()
        self._folder.cleanup()


async def launch(
    *arguments: str,
    env: dict[str, str],
    listening: Sequence[socket.socket] = (),
    log: int | None = asyncio.subprocess.PIPE,
) -> asyncio.subprocess.Process:
    """Start larkweir as a service manager would; `listening` are passed by LISTEN_FDS from descriptor 3 on."""
    base = {
        k: v for k, v in os.environ.items() if not k.startswith(("GW_", "LISTEN_", "NOTIFY_", "WATCHDOG_"))
    }
    command = [sys.executable, "-m", "larkweir", *arguments]
    passed = [sock.fileno() for sock in listening]
    if passed:
        base["LISTEN_FDS"] = str(len(passed))
        command = [sys.executable, "-c", EXEC, ",".join(map(str, passed)), *command]
    return await asyncio.create_subprocess_exec(
        *command, cwd=ROOT, env=base | env, stdin=asyncio.subprocess.DEVNULL, stderr=log, pass_fds=passed
    )
