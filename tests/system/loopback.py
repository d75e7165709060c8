"""A complete fleet on loopback in one event loop: real controllers and routers, emulated upstreams and clients."""

from __future__ import annotations

import asyncio
import itertools
import os
import socket
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import h11
import msgspec
import uvloop

from larkweir.cluster.settings import Settings, parse
from larkweir.controller.node import Controller
from larkweir.router.node import Router

_SUBNETS = 254  # 127.77.1.* to 127.77.254.*
_first_subnet = os.getpid() % _SUBNETS
_subnets = itertools.cycle(1 + (_first_subnet + number) % _SUBNETS for number in range(_SUBNETS))


@dataclass
class Reply:
    """The response that a client received; `is_complete` is False if it broke off."""

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool = True


class Client:
    """A client with one connection, over h11."""

    def __init__(self, address: str) -> None:
        host, _, port = address.rpartition(":")
        self.host, self.port = host, int(port)
        self.reader: asyncio.StreamReader | None = None
        self.writer: asyncio.StreamWriter | None = None
        self.connection = h11.Connection(h11.CLIENT)

    async def request(self, method: str, target: str, body: bytes = b"", **headers: str) -> Reply:
        """Send one request on the connection, which is opened if necessary, and return the response.

        Headers are sent as UTF-8.
        """
        if self.writer is None:
            self.reader, self.writer = await asyncio.open_connection(self.host, self.port)
            self.connection = h11.Connection(h11.CLIENT)
        fields = {"Host": headers.pop("Host", "a.example"), "Content-Length": str(len(body)), **headers}
        all_headers = [(name.replace("_", "-"), value.encode()) for name, value in fields.items()]
        out = self.connection.send(h11.Request(method=method, target=target, headers=all_headers)) or b""
        out += self.connection.send(h11.Data(data=body)) or b""
        out += self.connection.send(h11.EndOfMessage()) or b""
        self.writer.write(out)
        return await self._reply()

    async def _reply(self) -> Reply:
        assert self.reader is not None
        reply = Reply(0, {}, b"", is_complete=False)
        while True:
            try:
                event = self.connection.next_event()
            except h11.RemoteProtocolError:
                self.close()
                return reply
            if event is h11.NEED_DATA:
                self.connection.receive_data(await self.reader.read(65536))
            elif isinstance(event, h11.Response):
                reply.status = event.status_code
                reply.headers = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                reply.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                reply.is_complete = True
                if self.connection.our_state is h11.DONE and self.connection.their_state is h11.DONE:
                    self.connection.start_next_cycle()
                else:
                    self.close()
                return reply
            elif isinstance(event, h11.ConnectionClosed):
                self.close()
                return reply

    def close(self) -> None:
        if self.writer is not None:
            self.writer.close()
        self.writer = self.reader = None


async def ask(address: str, method: str, target: str, body: bytes = b"", **headers: str) -> Reply:
    """Send one request on a new connection; the status is 0 if the connection fails."""
    client = Client(address)
    try:
        return await client.request(method, target, body, **headers)
    except OSError:
        return Reply(0, {}, b"", is_complete=False)
    finally:
        client.close()


@dataclass
class ReceivedRequest:
    """A request as received by an upstream."""

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclass
class Upstream:
    """An emulated upstream. `respond` returns the bytes of a response and whether to close the connection after it."""

    id: str
    address: str
    respond: Callable[[ReceivedRequest], tuple[bytes, bool]]
    requests: list[ReceivedRequest] = field(default_factory=list)
    server: asyncio.Server | None = None
    sequence: int = 0
    writers: list[asyncio.StreamWriter] = field(default_factory=list)
    version: str = ""

    async def start(self) -> None:
        host, _, port = self.address.rpartition(":")
        self.server = await asyncio.start_server(self._serve, host, int(port))

    async def _serve(self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter) -> None:
        self.writers.append(writer)
        connection = h11.Connection(h11.SERVER)
        head, body = None, b""
        while True:
            event = connection.next_event()
            if event is h11.NEED_DATA:
                data = await reader.read(65536)
                if not data:
                    break
                connection.receive_data(data)
            elif isinstance(event, h11.Request):
                head, body = event, b""
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert head is not None
                headers = {name.decode(): value.decode() for name, value in head.headers}
                request = ReceivedRequest(head.method.decode(), head.target.decode(), headers, body)
                self.requests.append(request)
                out, close = self.respond(request)
                writer.write(out)
                if close:
                    break
                unread = connection.trailing_data[0]
                connection = h11.Connection(h11.SERVER)
                if unread:
                    connection.receive_data(unread)
            else:
                break
        writer.close()

    def heartbeat(self, service: str, state: str = "ready") -> bytes:
        """Return the body of the next heartbeat."""
        self.sequence += 1
        software = {"generation": self.version} if self.version else {}
        return msgspec.json.encode(
            {
                **software,
                "backend": service,
                "address": self.address,
                "zone": "z",
                "state": state,
                "slots": 4,
                "sequence": self.sequence,
            }
        )

    def close(self) -> None:
        if self.server is not None:
            self.server.close()


def answer(request: ReceivedRequest, status: int = 200, body: bytes = b"ok", **headers: str) -> bytes:
    """Return a complete response that echoes the request's id."""
    all_headers = {
        "X-Request-Id": request.headers.get("x-request-id", ""),
        "X-Server-Signature": "sig",
        **headers,
    }
    lines = [
        f"HTTP/1.1 {status} X",
        *(f"{name.replace('_', '-')}: {value}" for name, value in all_headers.items()),
    ]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


def events(request: ReceivedRequest, ids: range, is_complete: bool = True, signature: str = "sig") -> bytes:
    """Return a chunked stream of events; without its last chunk unless `is_complete`."""
    head = (
        "HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"
        f"X-Request-Id: {request.headers.get('x-request-id', '')}\r\nX-Server-Signature: {signature}\r\n\r\n"
    )
    pieces = [f"id: {n}\ndata: piece {n}\n\n".encode() for n in ids]
    chunks = b"".join(b"%x\r\n%s\r\n" % (len(piece), piece) for piece in pieces)
    return head.encode() + chunks + (b"0\r\n\r\n" if is_complete else b"")


class Fleet:
    """Controllers and routers, each with its own address."""

    def __init__(self, folder: Path, controllers: int = 3, routers: int = 1, tolerance: int = 1) -> None:
        self.folder = folder
        self.tolerance = tolerance
        self.subnet = next(_subnets)
        self.port = _free_port(self._ip(1))
        self.control = [f"{self._ip(n + 1)}:{self.port + 1}" for n in range(controllers)]
        self.fronts = [f"{self._ip(100 + n)}:{self.port + 2}" for n in range(routers)]
        self.ready = [f"{self._ip(100 + n)}:{self.port + 3}" for n in range(routers)]
        self.tasks: dict[str, asyncio.Task[None]] = {}
        self.nodes: dict[str, Any] = {}
        self.upstreams: list[Upstream] = []

    def _ip(self, host: int) -> str:
        return f"127.77.{self.subnet}.{host}"

    def _settings_text(self, ip: str, listen: dict[str, str], bootstrap: bool) -> bytes:
        control = "control" in listen
        return msgspec.json.encode(
            {
                "node": ip,
                "ip": ip,
                "zone": "z",
                "port_range": [self.port, self.port],
                "seeds": self.control[:3],
                "listen": listen,
                "bootstrap": bootstrap,
                "counts_for_quorum": control,
                "data_dir": str(self.folder / ip) if control else None,
                "bounds": {"grace_s": 1.5},
                "fault_tolerance": {"machines": self.tolerance},
            }
        )

    def _settings(self, ip: str, listen: dict[str, str], bootstrap: bool) -> Settings:
        return parse(self._settings_text(ip, listen, bootstrap))

    async def start(self) -> None:
        for number in range(len(self.control)):
            self.start_controller(number, bootstrap=True)
        for number in range(len(self.fronts)):
            self.start_router(number)

    def start_controller(self, number: int, bootstrap: bool = False) -> None:
        address = self.control[number]
        settings = self._settings(address.partition(":")[0], {"control": address}, bootstrap)
        self._start(address, Controller(settings))

    def start_router(self, number: int) -> None:
        front, ready = self.fronts[number], self.ready[number]
        settings = self._settings(front.partition(":")[0], {"front": front, "ready": ready}, False)
        self._start(front, Router(settings))

    def _start(self, address: str, node: Any) -> None:
        self.nodes[address] = node
        self.tasks[address] = asyncio.get_running_loop().create_task(node.run())

    async def kill(self, address: str) -> None:
        """Abort the tasks of a process and close its sockets, without a graceful shutdown."""
        self.nodes.pop(address).close()
        task = self.tasks.pop(address)
        task.cancel()
        await asyncio.gather(task, return_exceptions=True)

    async def stop(self) -> None:
        for address in list(self.tasks):
            await self.kill(address)
        for upstream in self.upstreams:
            upstream.close()

    async def put(self, document: dict[str, Any], base: int, method: str = "PUT") -> Reply:
        """Send a change to the controllers in turn until one gives a definite answer (a status below 500)."""
        body = msgspec.json.encode(document)
        for address in itertools.cycle(self.control):
            reply = await ask(address, method, "/config", body, If_Match=str(base))
            if 0 < reply.status < 500:
                return reply
        raise AssertionError

    async def register(self, upstream: Upstream, service: str, state: str = "ready") -> None:
        """Send one heartbeat of an upstream, to the controllers in turn until one accepts it."""
        for address in itertools.cycle(self.control):
            reply = await ask(address, "PUT", f"/instances/{upstream.id}", upstream.heartbeat(service, state))
            if reply.status == 200:
                return

    async def upstream(
        self,
        service: str,
        respond: Callable[[ReceivedRequest], tuple[bytes, bool]],
        id_: str | None = None,
        version: str = "",
    ) -> Upstream:
        """Start an upstream, register it and return it."""
        number = len(self.upstreams)
        upstream = Upstream(
            id_ or f"i-{number}", f"{self._ip(200 + number)}:{self.port + 4}", respond, version=version
        )
        await upstream.start()
        self.upstreams.append(upstream)
        await self.register(upstream, service)
        return upstream

    async def until(self, found: Callable[[], Awaitable[bool]]) -> None:
        """Call `found` until it returns True. It must await something, such as a request, so that the fleet can run."""
        async with asyncio.timeout(20.0):
            while not await found():
                pass

    async def until_ready(self, number: int = 0) -> None:
        """Wait until the router reports to be ready and knows every registered upstream."""
        known = self.nodes[self.fronts[number]]._plane.upstreams

        async def ready() -> bool:
            reply = await ask(self.ready[number], "GET", "/ready")
            return reply.status == 200 and all(upstream.id in known for upstream in self.upstreams)

        await self.until(ready)


def _free_port(ip: str) -> int:
    """Return the first of eight ports that other programs on this machine are unlikely to use."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return int(sock.getsockname()[1]) // 8 * 8


def run_scenario(folder: Path, scenario: Callable[[Fleet], Awaitable[None]], **sizes: int) -> None:
    """Run a scenario with a fleet that is started before it and stopped after it."""

    async def run() -> None:
        fleet = Fleet(folder, **sizes)
        await fleet.start()
        try:
            await scenario(fleet)
        finally:
            await fleet.stop()

    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:  # as in the program itself
        runner.run(run())
