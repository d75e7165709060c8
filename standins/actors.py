"""Hands: who takes part in a scene: scripted upstreams, discovery, callers, and real larkweir processes with their
service managers and operators.
"""

from __future__ import annotations

import asyncio
import json
import os
import re
import signal
import socket
from collections import Counter
from contextlib import suppress
from pathlib import Path
from typing import Any

from standins.manager import Manager, launch
from standins.peers import PATIENCE_S, Answer, Caller, FakeUpstream, Incoming, Talk, read_head, request_bytes
from standins.transcript import TIMES, Actor, Inbox, Transcript, message, shown


class Exchange:
    """One request at a server, which the script answers."""

    def __init__(self, server: Server, request: Incoming, talk: Talk, pid: int) -> None:
        self.server, self.request, self.talk, self.pid = server, request, talk, pid
        self.over = asyncio.Event()

    @property
    def source(self) -> str:
        return self.server.stage.name_of(self.pid)

    def _line(self, what: str) -> None:
        self.server.script.line(self.server.name, self.source, what)

    async def answers(self, code: int = 200, body: bytes = b"served", **headers: str) -> None:
        fields = {name.replace("_", "-").lower(): value for name, value in headers.items()}
        fields.setdefault("content-length", str(len(body)))
        self._line(message(self.server.script, str(code), fields, body))
        head = "".join(f"{name}: {value}\r\n" for name, value in fields.items())
        await self.talk.send(f"HTTP/1.1 {code} X\r\n{head}\r\n".encode() + body)
        if int(fields["content-length"]) <= len(body):
            self.over.set()

    async def goes_on(self, body: bytes, last: bool = False) -> None:
        """More of an answer whose length said that more would come."""
        self._line(f"more, [{shown(body)}]")
        await self.talk.send(body)
        if last:
            self.over.set()

    def resets(self) -> None:
        self._line("a reset")
        self.talk.reset()
        self.over.set()

    async def sees_end(self) -> None:
        """Until the balancer closes it."""
        async with asyncio.timeout(PATIENCE_S):
            await self.talk.ended()
        self.server.script.line(self.source, self.server.name, "the connection's end")
        self.over.set()


class Server(Actor):
    """An upstream, or discovery: whatever answers requests, each by a step of the script."""

    def __init__(self, script: Transcript, name: str, stage: Stage, fastcgi: bool = False) -> None:
        super().__init__(script, name)
        self.stage = stage
        self.by_itself: bytes | None = None
        self.served = 0
        self.inbox: Inbox[Exchange] = Inbox(name)
        self.peer = FakeUpstream(self._behave)
        self.peer.speaks = "fastcgi" if fastcgi else "http1"

    async def start(self) -> Server:
        await self.peer.start()
        self.script.name(f"127.0.0.1:{self.peer.port}", f"<{self.name}>")
        return self

    def stop(self) -> None:
        self.peer.close()

    def entry(self, **more: Any) -> dict[str, Any]:
        return self.peer.entry(self.name, **more)

    async def _behave(self, request: Incoming, talk: Talk) -> None:
        if self.by_itself is not None:
            self.served += 1
            await talk.send(self.by_itself)
            return
        pid = self.stage.owner_of(talk.writer.get_extra_info("peername")[1], self.peer.port)
        exchange = Exchange(self, request, talk, pid)
        self.came(exchange)
        await exchange.over.wait()

    def came(self, exchange: Exchange) -> None:
        self.inbox.came(exchange)

    def what(self, exchange: Exchange) -> str:
        request = exchange.request
        return message(self.script, f"{request.method} {request.target}", request.headers, request.body)

    def serves(self, data: bytes) -> None:
        """Answer all that comes with these bytes from now on, and count it."""
        self.by_itself = data

    def told(self, source: str = "lb") -> None:
        """How many it has answered by itself since it was told so, or since the last time."""
        self.script.line(source, self.name, f"{self.served} requests, all answered by itself")
        self.served = 0

    async def takes(self) -> Exchange:
        exchange = await self.inbox.take()
        self.script.line(exchange.source, self.name, self.what(exchange))
        return exchange

    def left(self) -> list[tuple[str, str, str]]:
        return [(item.source, self.name, self.what(item)) for item in self.inbox.items]


class Discovery(Server):
    """Calls that the same balancer repeats are told once: how often a watch without news is opened again goes by the
    time that a scene takes. `silent` leaves watches unanswered, else one without news is answered before it is given
    up.
    """

    silent = False

    def __init__(self, script: Transcript, name: str, stage: Stage) -> None:
        super().__init__(script, name, stage)
        self._last: dict[int, str] = {}
        self._open: dict[int, Exchange] = {}  # the call that is out, by process

    def what(self, exchange: Exchange) -> str:
        return f"{exchange.request.method} {exchange.request.target}"

    def came(self, exchange: Exchange) -> None:
        self._open[exchange.pid] = exchange
        if "wait_ms=" in exchange.request.target and not self.silent:
            wait_ms = float(exchange.request.target.rpartition("wait_ms=")[2])
            asyncio.get_running_loop().call_later(wait_ms / 1000.0, self._no_news, exchange)
        if self.silent or self._last.get(exchange.pid) != exchange.request.target:
            self._last[exchange.pid] = exchange.request.target
            self.inbox.came(exchange)

    def _no_news(self, exchange: Exchange) -> None:
        after = int(exchange.request.target.partition("after=")[2].partition("&")[0])
        if not exchange.over.is_set() and not self.silent:
            exchange.talk.writer.write(listing(after, [], False))
            exchange.over.set()

    async def tells(
        self, generation: int, *rows: dict[str, Any], whole: bool = False, to: str = "lb"
    ) -> None:
        """Answer the call that is out with changes, or with the whole list."""
        words = [f"{row['instanceId']} {row['lifecycle']}" for row in rows]
        kind = "the whole list" if whole else "changes"
        self.script.line(self.name, to, f"generation {generation}, {kind}: {', '.join(words) or 'none'}")
        call = next(call for call in self._open.values() if call.source == to)
        await call.talk.send(listing(generation, list(rows), whole))
        call.over.set()


def listing(generation: int, rows: list[dict[str, Any]], whole: bool) -> bytes:
    body = json.dumps({"generation": generation, "reset": whole, "instances": rows}).encode()
    return f"HTTP/1.1 200 OK\r\nContent-Length: {len(body)}\r\n\r\n".encode() + body


class Client(Actor):
    """A caller with one connection, made with its first word."""

    def __init__(self, script: Transcript, name: str, port: int, to: str, fastcgi: bool = False) -> None:
        super().__init__(script, name)
        self._to = to
        self._caller = Caller(port)
        self._caller.speaks = "fastcgi" if fastcgi else "http1"
        self._connected = False

    async def connects(self) -> Client:
        if not self._connected:
            await self._caller.__aenter__()
            self._connected = True
        return self

    async def asks(
        self, cls: str, trace: str, target: str = "/api", body: bytes = b"", **headers: str
    ) -> None:
        body = body or (b"" if cls == "look" else b"x")
        data = request_bytes(cls, body, target, X_Trace_Id=trace, **headers)
        head, _, rest = data.decode("latin-1").partition("\r\n\r\n")
        first, *lines = head.split("\r\n")
        fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        what = message(self.script, first.removesuffix(" HTTP/1.1"), fields, rest.encode("latin-1"))
        self.script.line(self.name, self._to, what)
        await self.connects()
        self._caller.ask(cls, body, target, X_Trace_Id=trace, **headers)

    async def sends(self, data: bytes, what: str) -> None:
        """Bytes that are no whole request."""
        await self.connects()
        self.script.line(self.name, self._to, what)
        self._caller.send(data)

    async def gets(self) -> Answer:
        answer = await self._caller.answer()
        self._line(message(self.script, str(answer.status), answer.headers, answer.body))
        return answer

    async def asks_often(self, cls: str, prefix: str, count: int) -> None:
        """One after the other, each with an id of its own; the answers by their statuses."""
        found = Counter[int]()
        await self.connects()
        for n in range(count):
            self._caller.ask(cls, X_Trace_Id=f"{prefix}{n}")
            found[(await self._caller.answer()).status] += 1
        self.script.line(
            self.name, self._to, f"{count} of {cls}, {prefix}0 to {prefix}{count - 1}, one by one"
        )
        self._line(", ".join(f"{found[code]} times {code}" for code in sorted(found)))

    async def gets_head(self) -> None:
        """Of an answer that is still coming."""
        async with asyncio.timeout(PATIENCE_S):
            head = await read_head(self._caller.reader)
        assert head is not None
        self._length = int(head[1].get("content-length", "0"))
        self._line(message(self.script, f"{head[0].split()[1]}, and a body begins", head[1], b""))

    async def gets_body(self, expected: bytes) -> None:
        async with asyncio.timeout(PATIENCE_S):
            body = await self._caller.reader.readexactly(self._length)
        self._line(f"its body, {shown(body)}{'' if body == expected else ', not as it was sent'}")

    async def gets_part(self) -> None:
        """A body that breaks off: how much of it had come goes by the sockets' moods."""
        part = b""
        with suppress(ConnectionError):
            async with asyncio.timeout(PATIENCE_S):
                while more := await self._caller.reader.read(65536):
                    part += more
        self._line(
            f"{'not all' if len(part) < self._length else 'all'} of its body, and the connection's end"
        )

    async def sees_end(self) -> None:
        with suppress(ConnectionError):
            assert await self._caller.ended() == b""
        self._line("the connection's end")

    def _line(self, what: str) -> None:
        self.script.line(self._to, self.name, what)

    def stop(self) -> None:
        if self._connected:
            self._caller.writer.close()


class Process(Actor):
    """A larkweir process with a service manager and a control address of its own."""

    def __init__(self, script: Transcript, name: str, control: int) -> None:
        super().__init__(script, name)
        self._control = control
        self._manager = Manager()
        self._told = 0
        self._log: Inbox[str] = Inbox(f"the log of {name}")
        self._seen: set[str] = set()
        self.ended = False
        self.pids: dict[int, str] = {}

    async def start(self, *arguments: str, env: dict[str, str]) -> Process:
        await self._manager.start()
        env = env | {"NOTIFY_SOCKET": self._manager.path, "GW_CONTROL": f"127.0.0.1:{self._control}"}
        self.process = await launch(*arguments, env=env)
        self.pids = {self.process.pid: self.name}
        self.script.name(self.process.pid, f"<{self.name}>")
        self._reading = asyncio.ensure_future(self._read())
        return self

    async def _read(self) -> None:
        """A line that comes again is told once: how often goes by the time that a scene takes."""
        assert self.process.stderr is not None
        while line := await self.process.stderr.readline():
            text = re.sub(r"^larkweir \S+: ", "", line.decode().strip())
            if text not in self._seen:
                self._seen.add(text)
                self._log.came(text)

    async def says(self, part: str) -> None:
        """The lines of its log up to the one with these words."""
        line = ""
        while part not in line:
            line = await self._log.take()
            self.script.line(self.name, "log", line)

    def _words(self, at: int) -> str:
        pairs = self._manager.words.all[at].items()
        return " ".join(
            f"{key}={self.script.time(key.lower(), value) if key.lower() in TIMES else value}"
            for key, value in pairs
        )

    async def tells(self, key: str) -> str:
        """What the manager is told, up to the word that sets this key; its value."""
        at = await self._manager.words.until(key, after=self._told)
        for n in range(self._told, at + 1):
            self.script.line(self.name, "manager", self._words(n))
        self._told = at + 1
        return self._manager.words.all[at][key]

    async def hands_over(self, name: str) -> int:
        """Until a successor is told of; it is called `name` from here on."""
        at = await self._manager.words.until("MAINPID", after=self._told)
        pid = int(self._manager.words.all[at]["MAINPID"])
        self.pids[pid] = name
        self.script.name(pid, f"<{name}>")
        await self.tells("MAINPID")
        return pid

    def gets(self, number: signal.Signals, pid: int | None = None) -> None:
        os.kill(pid or self.process.pid, number)
        self.script.line("manager", self.pids[pid or self.process.pid], number.name)

    async def called(self, order: str) -> str:
        """An operator's call and its answer."""
        self.script.line("operator", self.name, order)
        async with asyncio.timeout(PATIENCE_S):
            reader, writer = await asyncio.open_connection("127.0.0.1", self._control)
            writer.write(order.encode() + b"\n")
            answer = (await reader.read()).decode().strip()
            writer.close()
        self.script.line(self.name, "operator", answer)
        return answer

    async def ends(self) -> None:
        """Until it has ended, and whoever else writes to its log."""
        async with asyncio.timeout(PATIENCE_S):
            code = await self.process.wait()
            await self._reading
        await self._words_to_the_last()
        self.script.line(self.name, "manager", f"exit {code}")
        self.ended = True

    async def _words_to_the_last(self) -> None:
        """What the manager was told by processes that have ended: behind it comes a word of one's own."""
        with socket.socket(socket.AF_UNIX, socket.SOCK_DGRAM) as own:
            own.sendto(b"END=1", self._manager.path)
        end = await self._manager.words.until("END", after=self._told)
        for n in range(self._told, end):
            self.script.line(self.name, "manager", self._words(n))
        self._told = end + 1

    def left(self) -> list[tuple[str, str, str]]:
        words = [
            (self.name, "manager", self._words(n)) for n in range(self._told, len(self._manager.words.all))
        ]
        return words + [(self.name, "log", line) for line in self._log.items]

    def stop(self) -> None:
        for pid in self.pids:
            with suppress(ProcessLookupError):
                os.kill(pid, signal.SIGKILL)
        self._reading.cancel()
        self._manager.stop()


class Stage:
    """Who takes part in one scene, and which process a connection comes from."""

    def __init__(self, folder: Path, *bounds_ms: float) -> None:
        self.folder = folder
        self.script = Transcript(*bounds_ms)
        self.script.name(folder, "<folder>")
        self.servers: list[Server] = []
        self.clients: list[Client] = []
        self.processes: list[Process] = []

    def name_of(self, pid: int) -> str:
        return next((process.pids[pid] for process in self.processes if pid in process.pids), "someone")

    def owner_of(self, port: int, to: int) -> int:
        """The process, of those on the stage and their children, that has connected from this port; 0: none."""
        inode = socket_inode(port, to)
        for pid in [pid for process in self.processes for parent in process.pids for pid in family(parent)]:
            with suppress(OSError):
                for item in os.scandir(f"/proc/{pid}/fd"):
                    with suppress(OSError):
                        if os.readlink(item.path) == f"socket:[{inode}]":
                            return pid
        return 0

    async def end(self) -> None:
        """The end of each scene: callers go, and every process that still runs has a clean way out."""
        for client in self.clients:
            client.stop()
        running = [process for process in self.processes if not process.ended]
        if running:
            self.script.part("The end")
        for process in running:
            for pid in process.pids:
                with suppress(ProcessLookupError):
                    process.gets(signal.SIGTERM, pid)
            await process.ends()

    def stop(self) -> None:
        for client in self.clients:
            client.stop()
        for process in self.processes:
            process.stop()
        for server in self.servers:
            server.stop()


def family(pid: int) -> list[int]:
    """A process and its children."""
    try:
        return [pid, *map(int, Path(f"/proc/{pid}/task/{pid}/children").read_text().split())]
    except OSError:
        return [pid]


def socket_inode(port: int, to: int) -> str:
    """The inode of the loopback socket from `port` to `to`, as proc(5) has it; "" if there is none."""
    for line in Path("/proc/net/tcp").read_text().splitlines()[1:]:
        fields = line.split()
        if fields[1].endswith(f":{port:04X}") and fields[2].endswith(f":{to:04X}"):
            return fields[9]
    return ""
