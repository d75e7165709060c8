"""The scripted peers of a scene: upstreams, discovery, callers."""

from __future__ import annotations

import asyncio
import json
import re
from collections import Counter
from contextlib import suppress
from typing import TYPE_CHECKING, Any

from standins.peers import PATIENCE_S, Answer, Caller, FakeUpstream, Incoming, Talk, read_head, request_bytes
from standins.ports import free_port
from standins.transcript import Actor, Inbox, Transcript, message, shown

if TYPE_CHECKING:
    from standins.scene import Stage


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

    def ends(self) -> None:
        """Close the connection in good order."""
        self._line("the connection's end")
        self.talk.writer.close()
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
        self._owners: dict[asyncio.StreamWriter, int] = {}  # by connection, the process at its other end
        self.row: dict[str, Any] = {}  # what discovery says of it beyond the usual
        self.by_itself: bytes | None = None
        self.served = 0
        self.inbox: Inbox[Exchange] = Inbox(name)
        self.peer = FakeUpstream(self._behave)
        self.peer.speaks = "fastcgi" if fastcgi else "http1"

    async def start(self) -> Server:
        await self.peer.start()
        for text in (f"127.0.0.1:{self.peer.port}", f"('127.0.0.1', {self.peer.port})"):
            self.script.name(text, f"<{self.name}>")
        return self

    def stop(self) -> None:
        self.peer.close()

    def entry(self, **more: Any) -> dict[str, Any]:
        return self.peer.entry(self.name, **self.row | more)

    async def _behave(self, request: Incoming, talk: Talk) -> None:
        if self.by_itself is not None:
            # Guards against what a process of another test, whose upstream had this port before, still sends to it.
            if self.stage.has_asked(request.headers.get("x-trace-id", "")) or self._owner(talk):
                self.served += 1
            await talk.send(self.by_itself)
            return
        exchange = Exchange(self, request, talk, self._owner(talk))
        self.came(exchange)
        await exchange.over.wait()

    def _owner(self, talk: Talk) -> int:
        if talk.writer not in self._owners:
            port = talk.writer.get_extra_info("peername")[1]
            self._owners[talk.writer] = self.stage.owner_of(port, self.peer.port)
        return self._owners[talk.writer]

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
    """An agent that pushes. It answers by itself: a call for the whole list with what it holds, a watch that is behind
    with the same, and a watch without news before it is given up. `silent`: from a process's first watch on, it
    answers nothing, until it is told something.

    Calls that the same balancer repeats are told once: how often a watch is opened again, and whether a slow moment
    of this machine passed for silence, goes by the clock.
    """

    silent = False

    def __init__(self, script: Transcript, name: str, stage: Stage) -> None:
        super().__init__(script, name, stage)
        self.peer.port = free_port()  # where it comes back to
        self._generation = 0
        self._rows: dict[str, dict[str, Any]] = {}
        self._calls: dict[int, list[Exchange]] = {}  # by process, all that came
        self.taken: Exchange  # the last
        self._answers: dict[Exchange, str] = {}  # whole lists that were sent, in words

    def holds(self, generation: int, *rows: dict[str, Any]) -> None:
        """What it has before anybody asks."""
        self._generation, self._rows = generation, {row["instanceId"]: row for row in rows}

    def what(self, exchange: Exchange) -> str:
        return f"{exchange.request.method} {exchange.request.target}"

    def came(self, exchange: Exchange) -> None:
        if not exchange.pid:
            return  # its process was gone before the call was read
        calls = self._calls.setdefault(exchange.pid, [])
        target = exchange.request.target
        if target not in [call.request.target for call in (calls[-1:] if self.silent else calls)]:
            self.inbox.came(exchange)
        calls.append(exchange)
        after, wait_ms = watched(exchange)
        if self.silent and any(watched(call)[1] for call in calls):
            return
        if not wait_ms:
            self._answers[exchange] = spoken(self._generation, [*self._rows.values()], True)
            self._send(exchange, self._generation, [*self._rows.values()], True)
        elif after < self._generation:  # it missed what its last call was told
            self._send(exchange, self._generation, [*self._rows.values()], True)
        else:
            asyncio.get_running_loop().call_later(wait_ms / 2000.0, self._no_news, exchange)

    def _no_news(self, exchange: Exchange) -> None:
        if not exchange.over.is_set() and not self.silent:
            self._send(exchange, watched(exchange)[0], [], False)

    def _send(self, call: Exchange, generation: int, rows: list[dict[str, Any]], whole: bool) -> None:
        call.talk.writer.write(listing(generation, rows, whole))
        call.over.set()

    async def takes(self) -> Exchange:
        call = self.taken = await super().takes()
        if call in self._answers:
            self.script.line(self.name, call.source, self._answers[call])
        return call

    async def is_asked_again(self, by: str = "lb") -> None:
        """Until the same call has come on a second connection, while the first is out."""
        async with asyncio.timeout(PATIENCE_S):
            while True:
                out = [call for call in self._out(by) if not watched(call)[1]]
                if len({call.talk.writer for call in out}) > 1:
                    break
                await asyncio.sleep(0.01)
        self.script.line(by, self.name, f"{self.what(out[-1])}, on a further connection")

    def _out(self, by: str) -> list[Exchange]:
        calls = [call for calls in self._calls.values() for call in calls]
        return [call for call in calls if call.source == by and not call.over.is_set()]

    async def tells(
        self, generation: int, *rows: dict[str, Any], whole: bool = False, to: str = "lb"
    ) -> None:
        """News: it goes to the watch that is out, else to the next; the whole list to the newest call for it, which
        ends a silence.
        """
        self.script.line(self.name, to, spoken(generation, [*rows], whole))
        if whole:
            self._rows = {}
        for row in rows:
            if row["lifecycle"] == "left":
                self._rows.pop(row["instanceId"], None)
            else:
                self._rows[row["instanceId"]] = row
        self._generation, self.silent = generation, False
        out = [call for call in self._out(to) if bool(watched(call)[1]) is not whole]
        if out:
            self._send(out[-1], generation, [*rows], whole)


def watched(call: Exchange) -> tuple[int, float]:
    """The generation a watch goes on from, and its wait in milliseconds; zeros: a call for the whole list."""
    found = re.search(r"[?]after=(\d+)&wait_ms=(\d+)", call.request.target)
    return (int(found[1]), float(found[2])) if found else (0, 0.0)


def spoken(generation: int, rows: list[dict[str, Any]], whole: bool) -> str:
    words = [f"{row['instanceId']} {row['lifecycle']}" for row in rows]
    return (
        f"generation {generation}, {'the whole list' if whole else 'changes'}: {', '.join(words) or 'none'}"
    )


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
        self.asked: set[str] = set()  # ids

    async def connects(self) -> Client:
        if not self._connected:
            await self._caller.__aenter__()
            self._connected = True
        return self

    async def asks(
        self, cls: str, trace: str, target: str = "/api", body: bytes = b"", **headers: str
    ) -> None:
        headers = {"X_Trace_Id": trace, "X_Expires_In_Ms": "60000"} | headers
        body = body or (b"" if cls == "look" else b"x")
        data = request_bytes(cls, body, target, **headers)
        head, _, rest = data.decode("latin-1").partition("\r\n\r\n")
        first, *lines = head.split("\r\n")
        fields = {k.lower(): v.strip() for k, _, v in (line.partition(":") for line in lines)}
        what = message(self.script, first.removesuffix(" HTTP/1.1"), fields, rest.encode("latin-1"))
        self.script.line(self.name, self._to, what)
        await self.connects()
        self.asked.add(headers["X_Trace_Id"])
        self._caller.ask(cls, body, target, **headers)

    async def asks_ready(self) -> None:
        await self.sends(b"GET /ready HTTP/1.1\r\nHost: api.internal\r\n\r\n", "GET /ready")

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
            self.asked.add(f"{prefix}{n}")
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
