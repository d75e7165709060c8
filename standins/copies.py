"""One balancer of the rig: its files, its process, its disk, and what its log says."""

from __future__ import annotations

import asyncio
import json
import os
import re
import resource
import shutil
import signal
from collections.abc import Sequence
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from standins.checkers import GivenUp, Hit, Owned, Taken
from standins.fleet import SETTINGS
from standins.manager import Manager, launch
from standins.peers import PATIENCE_S
from standins.plans import Disk
from standins.ports import free_port

if TYPE_CHECKING:
    from standins.together import Together

OWNED = re.compile(r"owners: (\S+) owned here, term (\d+)$")
GIVEN_UP = re.compile(r"owners: (\S+) given up: (.*)$")
TAKEN = re.compile(r"owners: (\S+) (\d+)\.(\d+) taken$")
MOST_LOG = 2_000  # lines that are kept of each copy


class Copy:
    """One balancer: its files, its present process, and what its log says."""

    def __init__(self, name: str, rig: Together) -> None:
        self.name, self._rig = name, rig
        self.folder = rig.folder / name
        self.folder.mkdir()
        self.disk, self._saved = self.folder / "disk", self.folder / "saved"
        self.said: dict[str, dict[str, Any]] = dict(rig.routes)  # routes and pools, as its staff have them
        self.settle: list[str] = []
        self.public = ""  # its name among peers, at the relay
        self.own = ("127.0.0.1", free_port())
        self.listen, self._control = free_port(), free_port()
        self.life = 0
        self.up = asyncio.Event()  # a caller may connect
        self.log: list[str] = []
        self.process: asyncio.subprocess.Process | None = None
        self._reading: asyncio.Task[None] | None = None
        self._manager: Manager | None = None

    async def start(self) -> None:
        self._write()
        self._manager = await Manager().start()  # its words are of one life
        env = {"GW_CONFIG": str(self.folder / "config.json"), "NOTIFY_SOCKET": self._manager.path}
        self.process = await launch("run", "--operator", str(self.folder / "operator.toml"), env=env)
        self.life += 1
        self._reading = asyncio.ensure_future(self._read(self.process, self.life))
        try:
            await self._manager.words.until("READY")
        except TimeoutError:
            raise AssertionError(f"{self.name} never came up: {self.log[-10:]}") from None
        self._hit("start")
        self.up.set()

    def _write(self) -> None:
        rig = self._rig
        config: dict[str, Any] = {
            "name": self.name,
            "listen": f"127.0.0.1:{self.listen}",
            "control": f"127.0.0.1:{self._control}",
            "discovery": f"127.0.0.1:{rig.discovery.port}",
            "seed": f"{rig.seed % 10_000 + 1:x}",
            "limits": {"cores": 1.0, "memory_mb": 64, "sockets": 256},
            "settings": SETTINGS,
        }
        (self.folder / "config.json").write_text(json.dumps(config))
        lifecycle = {"notify": True} | ({"reload": "whole", "handover": "signal"} if rig.edits else {})
        tables: dict[str, dict[str, Any]] = {
            "lifecycle": lifecycle,
            "peers": {
                "on": True,
                "listen": f"{self.own[0]}:{self.own[1]}",
                "name": self.public,
                "peers": [copy.public for copy in rig.copies.values()],
            }
            | rig.peers,
        }
        if rig.owners:
            keepers = [rig.copies[name].public for name in rig.keepers]
            tables["owners"] = {"on": True, "keepers": keepers, "folder": str(self.disk / "keeper")}
            tables["owners"] |= rig.owners
        if rig.edits:
            tables["edits"] = {"on": True, "folder": str(self.disk / "edits"), "settle": self.settle}
            tables["edits"] |= rig.edits
        tables |= self.said
        text = "".join(
            f"[{table}]\n" + "".join(f"{key} = {json.dumps(value)}\n" for key, value in rows.items())
            for table, rows in tables.items()
        )
        (self.folder / "operator.toml").write_text(text)

    def edit(self, settle: Sequence[str] = (), **rows: dict[str, Any] | None) -> None:
        """Its staff write the file anew and have it read: rows by name, `route_a`; None for one that goes."""
        for name, row in rows.items():
            key = name.replace("_", ".", 1)
            self.said = {other: said for other, said in self.said.items() if other != key}
            if row is not None:
                self.said[key] = row
        self.settle = list(settle)
        self._write()
        self._signal(signal.SIGHUP, "reload")

    async def _read(self, process: asyncio.subprocess.Process, life: int) -> None:
        assert process.stderr is not None
        while line := await process.stderr.readline():
            text = line.decode().strip()
            self.log.append(text)
            del self.log[:-MOST_LOG]
            now_ms, note = self._rig.now_ms(), self._rig.note
            if found := OWNED.search(text):
                note(Owned(now_ms, self.name, life, found[1], int(found[2])))
            elif found := GIVEN_UP.search(text):
                note(GivenUp(now_ms, self.name, life, found[1], found[2]))
            elif found := TAKEN.search(text):
                note(Taken(now_ms, self.name, life, found[1], int(found[2]), int(found[3])))

    def _hit(self, what: str) -> None:
        self._rig.note(Hit(self._rig.now_ms(), self.name, what))

    def _signal(self, number: signal.Signals, what: str) -> None:
        assert self.process is not None and self.process.returncode is None, f"{self.name} has ended"
        self._hit(what)
        os.kill(self.process.pid, number)

    def stop(self) -> None:
        self.up.clear()
        self._signal(signal.SIGSTOP, "stop")

    def go_on(self) -> None:
        self._signal(signal.SIGCONT, "go on")
        self.up.set()

    def drain(self) -> None:
        self.up.clear()
        self._signal(signal.SIGTERM, "drain")

    def fill(self) -> None:
        """Its disk is full, without a right that a test has not: no write to a file is taken (RLIMIT_FSIZE, EFBIG in
        place of ENOSPC; setrlimit(2)). Of this life alone."""
        assert self.process is not None and self.process.returncode is None, f"{self.name} has ended"
        self._hit("full")
        _, hard = resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE)
        resource.prlimit(self.process.pid, resource.RLIMIT_FSIZE, (0, hard))

    async def kill(self) -> None:
        self.up.clear()
        self._signal(signal.SIGKILL, "kill")
        await self.ended()

    async def ended(self) -> None:
        assert self.process is not None and self._reading is not None
        async with asyncio.timeout(PATIENCE_S):
            await self.process.wait()
            await self._reading
        self._close_manager()

    def _close_manager(self) -> None:
        if self._manager is not None:
            self._manager.stop()
            self._manager = None

    def save(self) -> None:
        """Its disk as it is now, in the midst of whatever is being written."""
        shutil.rmtree(self._saved, ignore_errors=True)
        if self.disk.exists():
            shutil.copytree(self.disk, self._saved)

    def change_disk(self, disk: Disk) -> None:
        if disk is not Disk.OLD:
            shutil.rmtree(self.disk, ignore_errors=True)
            if disk is Disk.YESTERDAY and self._saved.exists():
                shutil.copytree(self._saved, self.disk)

    async def status(self) -> dict[str, str]:
        """Its own word on itself; empty where it gives none at once."""
        try:
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection("127.0.0.1", self._control)
                writer.write(b"STATUS\n")
                line = (await reader.read()).decode()
                writer.close()
        except (OSError, TimeoutError):
            return {}
        return dict(pair.partition("=")[::2] for pair in line.split() if "=" in pair)

    async def end(self) -> None:
        if self.process is not None and self.process.returncode is None:
            with suppress(ProcessLookupError):
                os.kill(self.process.pid, signal.SIGCONT)
                os.kill(self.process.pid, signal.SIGKILL)
            await self.process.wait()
        if self._reading is not None:
            self._reading.cancel()
        self._close_manager()
