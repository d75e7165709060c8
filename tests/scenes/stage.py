"""The stage of a scene: real balancers between scripted peers; and the decorator that compares what passed with the
text that was approved.
"""

from __future__ import annotations

import asyncio
import copy
import json
import shutil
import tempfile
from collections.abc import Awaitable, Callable
from pathlib import Path
from typing import Any, TypeVar

from syrupy.assertion import SnapshotAssertion

from standins.actors import Client, Discovery, Server
from standins.peers import PATIENCE_S
from standins.ports import free_port
from standins.scene import Process, Stage
from tests.fakes import SETTINGS, config_data
from tests.scenes.approval import compare

LONG_MS = 60_000  # deadlines that no slow machine misses
LIFECYCLE = """[lifecycle]
notify = true
reload = "whole"
handover = "signal"
handover_ready_ms = 60000.0
"""


class Balancer(Process):
    """One balancer with its two files."""

    def __init__(self, scene: Scene, name: str, files: str = "", control: bool = True) -> None:
        """`files`: the balancer whose files, and address, this one shares."""
        super().__init__(scene.script, name, free_port() if control else 0)
        self.port = 0  # where callers come
        self._scene = scene
        base = scene.folder / (files or name)
        self.config_path, self.operator_path = base.with_suffix(".json"), base.with_suffix(".toml")

    def write(self, **changes: Any) -> None:
        """The platform's file anew, renamed into place."""
        data = json.loads(self.config_path.read_text()) if self.config_path.exists() else {}
        fresh = self.config_path.with_suffix(".new")
        fresh.write_text(json.dumps(data | changes))
        fresh.rename(self.config_path)

    async def begin(self, listed: bool = True) -> Balancer:
        """Until it is ready. `listed`: discovery has answered before."""
        env = {"GW_CONFIG": str(self.config_path), "TMPDIR": str(self._scene.folder)}
        self._scene.processes.append(self)
        await self.start("run", "--operator", str(self.operator_path), env=env)
        if listed:
            await self._scene.discovery.takes()
        await self.tells("READY")
        return self


B = TypeVar("B", bound=Balancer)


class Scene(Stage):
    discovery: Discovery

    async def open(self) -> None:
        self.discovery = Discovery(self.script, "discovery", self)
        self.servers.append(await self.discovery.start())

    async def upstream(self, name: str, fastcgi: bool = False, **row: Any) -> Server:
        server = await Server(self.script, name, self, fastcgi).start()
        server.row = row
        self.servers.append(server)
        return server

    async def balancer(self, *upstreams: Server, **more: Any) -> Balancer:
        """See `balancer_of`."""
        return await self.balancer_of(Balancer, *upstreams, **more)

    async def balancer_of(
        self,
        kind: type[B],
        *upstreams: Server,
        name: str = "lb",
        operator: str = "",
        control: bool = True,
        accept_ms: float = 50.0,
        by_the_clock: tuple[str, ...] | None = None,
        **more: Any,
    ) -> B:
        """A balancer that knows these upstreams from its file (generation 1), as discovery does; ready, with its
        watch out.
        """
        port = free_port()
        self.script.name(f"127.0.0.1:{port}", f"<{name}>")
        it = kind(self, name, control=control)
        it.port = port
        if by_the_clock is not None:
            it.by_the_clock = by_the_clock
        entries = [item.entry() for item in upstreams]
        self.discovery.holds(1, *entries)
        more.setdefault("settings", settings())
        listen = {"name": name, "listen": f"127.0.0.1:{port}"}
        it.write(**config_data(entries, self.discovery.peer.port, **listen | more))
        it.operator_path.write_text(LIFECYCLE + f"accept_ms = {accept_ms}\n" + operator)
        await it.begin()
        await self.discovery.takes()
        return it

    def client(self, name: str, of: Balancer, to: str = "", fastcgi: int = 0) -> Client:
        """A caller of this balancer's address, which is called `to` where several processes serve it."""
        client = Client(self.script, name, fastcgi or of.port, to or of.name, bool(fastcgi))
        self.clients.append(client)
        return client


def settings(**changes: Any) -> dict[str, Any]:
    """The settings of the tests, with keys of its tables changed, `PolicyLimits__SendCap=2`."""
    found = copy.deepcopy(SETTINGS)
    for category in found["Categories"]:
        category["AimMs"] = category["HardLimitMs"] = LONG_MS
    found["PolicyLimits"]["SecondCopies"] = False  # those go by the time that an answer takes
    for path, value in changes.items():
        *tables, key = path.split("__")
        at = found
        for table in tables:
            at = at[table]
        at[key] = value
    return found


def scene(*bounds_ms: float) -> Callable[[Callable[[Scene], Awaitable[None]]], Callable[..., None]]:
    """A test that plays the script and compares its transcript with the approved text."""

    def of(script: Callable[[Scene], Awaitable[None]]) -> Callable[..., None]:
        def played(approved: SnapshotAssertion) -> None:
            compare(play(script, *bounds_ms), approved)

        played.__name__, played.__qualname__ = script.__name__, script.__qualname__
        played.__doc__, played.__module__ = script.__doc__, script.__module__
        return played

    return of


def play(script: Callable[[Scene], Awaitable[None]], *bounds_ms: float) -> str:
    # A short path: the names of Unix sockets are bounded.
    folder = Path(tempfile.mkdtemp(prefix="scene-"))
    it = Scene(folder, *bounds_ms)

    async def work() -> None:
        await it.open()
        try:
            async with asyncio.timeout(2.0 * PATIENCE_S):  # a step that waits in vain says so first
                await script(it)
                await it.end()
        except BaseException:
            print(it.script.text())
            raise
        finally:
            await it.stop()

    try:
        asyncio.run(work())
    finally:
        shutil.rmtree(folder, ignore_errors=True)
    doc = " ".join((script.__doc__ or "").split())
    return f"{doc}\n\n{it.script.text()}"
