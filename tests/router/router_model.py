"""Test model of a router's request path. A test plays the clients and upstreams byte by byte, without sockets."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field
from random import Random
from typing import Any, TypeVar

import h11
import msgspec
from larkweir_registry.records import Upstream

from larkweir.cluster.messages import ConfigUpdate
from larkweir.cluster.settings import Bounds
from larkweir.router.answers import ErrorKind
from larkweir.router.client_connection import ClientConnection
from larkweir.router.data_plane import DataPlane
from larkweir.router.upstream_connection import UpstreamConnection
from larkweir.router.upstream_pool import UpstreamPool

T = TypeVar("T")
KINDS = {
    "plain": {"kind": "non_idempotent", "max_attempts": 3},
    "safe": {"kind": "idempotent", "max_attempts": 3},
    "stream": {"kind": "streaming", "max_attempts": 3},
    "resumable": {"kind": "streaming", "resumable": True, "max_attempts": 3},
}
REPEATABLE = frozenset(("safe", "resumable"))
STREAMS = frozenset(("stream", "resumable"))
EVENTS = 3  # number of events in each stream
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))
SIGNATURE = "x-server-signature"


class FakeTransport(asyncio.Transport):
    """The router's end of a connection. Bytes that the router writes are passed to the test at once."""

    def __init__(self, on_write: Callable[[bytes], None], protocol: asyncio.Protocol) -> None:
        super().__init__()
        self._on_write = on_write
        self._protocol = protocol
        self._closing = False
        self._reading = True
        self._unread: list[bytes] = []  # what the other side has sent while the router did not read
        self._has_unread_eof = False
        self.lost = False
        self.accepts_bytes = True  # whether the other side accepts what the router writes

    def write(self, data: bytes | bytearray | memoryview) -> None:
        if not self._closing:
            self._on_write(bytes(data))

    def get_write_buffer_size(self) -> int:
        return 0 if self.accepts_bytes else 1

    def is_closing(self) -> bool:
        return self._closing

    def close(self) -> None:
        if not self._closing:
            self._closing = True
            asyncio.get_running_loop().call_soon(self.end, None)

    def abort(self) -> None:
        self.close()

    def end(self, problem: Exception | None) -> None:
        """Ends the connection, whichever side closed it."""
        self._closing = True
        if not self.lost:
            self.lost = True
            self._protocol.connection_lost(problem)

    def deliver(self, data: bytes) -> None:
        """Passes bytes from the other side to the router, once it reads."""
        if self._closing:
            return
        if self._reading:
            self._protocol.data_received(data)
        else:
            self._unread.append(data)

    def deliver_eof(self) -> None:
        """Signals that the other side has closed the connection with an end of file, not a reset."""
        if self._closing:
            return
        if not self._reading:
            self._has_unread_eof = True
            return
        stays_open = self._protocol.eof_received()
        if not stays_open:
            self.end(None)

    def pause_reading(self) -> None:
        self._reading = False

    def resume_reading(self) -> None:
        self._reading = True
        asyncio.get_running_loop().call_soon(self._deliver_unread)

    def _deliver_unread(self) -> None:
        while self._unread and self._reading:
            self.deliver(self._unread.pop(0))
        if self._has_unread_eof and self._reading:
            self._has_unread_eof = False
            self.deliver_eof()

    def is_reading(self) -> bool:
        return self._reading and not self._closing

    def set_write_buffer_limits(self, high: int | None = None, low: int | None = None) -> None: ...

    def get_extra_info(self, name: str, default: Any = None) -> Any:
        return default


@dataclass
class Run:
    """One delivery of a request to an upstream, and its result there."""

    id: str
    kind: str
    number: int  # how many deliveries of this request came before
    resumed_after: int  # number of the event after which the stream is resumed; 0: from the start
    executed: bool = True
    complete: bool = False  # whether the upstream has sent the complete response
    headers: dict[str, str] = field(
        default_factory=dict
    )  # the headers of the request, as the upstream received it

    def body(self) -> bytes:
        """A response body that differs from that of every other run."""
        return f"{self.id}/{self.number}".encode()

    def event(self, number: int) -> bytes:
        return f"id: {number}\ndata: {self.id} {number}\n\n".encode()


class FakeUpstream:
    """One connection at an upstream. Parses what the router sends; the test decides on the responses."""

    def __init__(self, model: RouterModel, connection: UpstreamConnection) -> None:
        self.model = model
        self.transport = FakeTransport(self._on_data, connection)
        self._h11 = h11.Connection(h11.SERVER)
        self.run: Run | None = None  # the request that waits for a response
        self.last_answer = b""
        self.unsent = b""  # the rest of a response that has been started
        self.ended = False
        self.is_unframed = False  # the current response has no length and ends with the connection
        connection.connection_made(self.transport)

    @property
    def is_open(self) -> bool:
        return not self.transport.is_closing() and not self.ended

    @property
    def can_send_unrequested(self) -> bool:
        """Whether the router can distinguish unrequested bytes sent now from a part of a response."""
        return self.is_open and not self.unsent and not self.is_unframed

    @property
    def shows_its_cut(self) -> bool:
        """Whether what has been sent of a response without a length shows that there is more."""
        head, end_of_head, body = self.last_answer.removesuffix(self.unsent).partition(b"\r\n\r\n")
        if not end_of_head:
            return bool(head)
        is_stream = self.run is not None and self.run.kind in STREAMS
        return is_stream and bool(body) and not body.endswith(b"\n\n")

    def _on_data(self, data: bytes) -> None:
        assert self.transport.is_reading(), "a request on a connection whose response would not be read"
        assert self.transport.accepts_bytes, "a request behind one that the upstream has not read to its end"
        self._h11.receive_data(data)
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Request):
                assert self.run is None, "two requests at the same time on one connection"
                self.run = self.model.record_run(event)
            elif isinstance(event, h11.EndOfMessage):
                left = self._h11.trailing_data[0]
                self._h11 = h11.Connection(h11.SERVER)
                if left:
                    self._h11.receive_data(left)
            elif not isinstance(event, h11.Data):
                return

    def begin(self, answer: bytes, complete: bool = True, executed: bool = True) -> None:
        """Prepares a response to the waiting request; `send` sends it."""
        assert self.run is not None
        self.run.executed = executed
        self.unsent, self.last_answer = answer, answer
        self.is_unframed = not complete

    def send(self, count: int) -> None:
        """Sends the next `count` bytes of the response, or all that are left if there are fewer."""
        data, self.unsent = self.unsent[:count], self.unsent[count:]
        run = self.run
        if not self.unsent and run is not None and not self.is_unframed:
            run.complete = True
            self.run = None
        self.transport.deliver(data)

    def send_unrequested(self, data: bytes) -> None:
        """Sends bytes that do not belong to a response to the current request."""
        self.transport.deliver(data)

    def close(self, in_order: bool) -> None:
        """Ends the connection with an end of file if `in_order`, else with a reset."""
        self.ended = True
        if in_order:
            self.transport.deliver_eof()
        else:
            self.transport.end(ConnectionResetError())


@dataclass
class SentRequest:
    """A client's request, and the response that the client received."""

    id: str
    kind: str
    status: int = 0
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    complete: bool = False
    ended: bool = False


class FakeClient:
    """One connection of a client. Responses are matched to requests by order, as in HTTP."""

    def __init__(self, model: RouterModel) -> None:
        connection = self.connection = ClientConnection(model.plane)
        self.transport = FakeTransport(self._on_data, connection)
        self.reads = True
        self._h11 = h11.Connection(h11.CLIENT)
        self._current: SentRequest | None = None
        self.waiting: list[SentRequest] = []
        self.unsent = b""  # bytes of requests that have not been sent to the router yet
        connection.connection_made(self.transport)

    @property
    def is_open(self) -> bool:
        return not self.transport.is_closing()

    def stop_reading(self) -> None:
        """Makes the router's buffer for this client full."""
        self.reads = False
        self.connection.pause_writing()

    def read_on(self) -> None:
        """Makes the router's buffer for this client empty."""
        self.reads = True
        self.connection.resume_writing()

    def queue(self, sent: SentRequest, body: bytes, headers: str = "") -> None:
        """Queues a request with the additional header lines `headers`; `send` sends it."""
        self.waiting.append(sent)
        head = f"POST /{sent.kind}/x HTTP/1.1\r\nHost: a\r\nX-Request-Id: {sent.id}\r\n{headers}"
        self.unsent += f"{head}Content-Length: {len(body)}\r\n\r\n".encode() + body

    def send(self, count: int) -> None:
        data, self.unsent = self.unsent[:count], self.unsent[count:]
        self.transport.deliver(data)

    def _on_data(self, data: bytes) -> None:
        if self._current is None:
            self._next_answer()
        self._h11.receive_data(data)
        while True:
            event = self._h11.next_event()
            if isinstance(event, h11.Response):
                assert self._current is not None, "a response without a request"
                self._current.status = event.status_code
                self._current.headers = {name.decode(): value.decode() for name, value in event.headers}
            elif isinstance(event, h11.Data):
                assert self._current is not None
                self._current.body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                assert self._current is not None
                self._current.complete = self._current.ended = True
                self._current = None
                if self._h11.their_state is not h11.DONE or self._h11.our_state is not h11.DONE:
                    return
                self._h11.start_next_cycle()
                if not self._h11.trailing_data[0]:
                    return
                self._next_answer()
            else:
                return

    def _next_answer(self) -> None:
        assert self.waiting, "bytes on a connection without an unanswered request"
        self._current = self.waiting.pop(0)
        self._h11.send(h11.Request(method="POST", target="/", headers=[("Host", "a")]))
        self._h11.send(h11.EndOfMessage())

    def close(self) -> None:
        self.transport.end(None)


class FakePool(UpstreamPool):
    """A pool that opens connections to the fake upstreams of the model."""

    def __init__(self, model: RouterModel) -> None:
        super().__init__()
        self._model = model

    async def connect(self, address: str) -> UpstreamConnection:
        await asyncio.sleep(0)
        if address in self._model.refusing:
            raise ConnectionRefusedError
        connection = UpstreamConnection(self._on_idle, self._on_closed)
        self._addresses[connection] = address
        self._model.upstreams.append(FakeUpstream(self._model, connection))
        return connection


class RouterModel:
    """Clients, a router's data plane, and two upstreams."""

    ADDRESSES = ("127.0.0.1:1", "127.0.0.1:2")

    def __init__(self) -> None:
        """Must be created inside the event loop."""
        self.plane = DataPlane(Bounds(retry_budget_ratio=10.0, retry_budget_slack=1_000.0), Random(1))
        self.plane.pool = FakePool(self)
        self.upstreams: list[FakeUpstream] = []
        self.clients: list[FakeClient] = []
        self.refusing: set[str] = set()
        self.sent: dict[str, SentRequest] = {}
        self.runs: dict[str, list[Run]] = {}
        self.configure(1)
        listed = [Upstream(f"i{n}", "s", address, "z") for n, address in enumerate(self.ADDRESSES)]
        self.instances = {one.id for one in listed}
        self.plane.upstreams.update(listed, 0.0)

    def configure(self, generation: int, **members: object) -> None:
        """Puts a configuration in force that has a route for each of `KINDS`."""
        routes = [
            {
                "name": name,
                "host": "a",
                "path_prefix": f"/{name}/",
                "backend": "s",
                "timeout_ms": 60_000,
                **kind,
            }
            for name, kind in KINDS.items()
        ]
        body = {"generation": generation, "routes": routes, "services": [{"name": "s"}], **members}
        self.plane.configuration.apply(ConfigUpdate(generation, -1, msgspec.Raw(msgspec.json.encode(body))))

    def record_run(self, head: h11.Request) -> Run:
        """Records that an upstream has received a request."""
        headers = {name.decode(): value.decode() for name, value in head.headers}
        id_ = headers["x-request-id"]
        assert id_ in self.sent, "a request that no client sent"
        assert headers["x-target-instance"] in self.instances
        before = self.runs.setdefault(id_, [])
        after = int(headers.get("last-event-id", "0"))
        run = Run(id_, self.sent[id_].kind, len(before), after, headers=headers)
        before.append(run)
        return run

    def check(self) -> None:
        """Checks the guarantees of the request path.

        Each response goes to its own client. A request that must not be repeated is executed at most once. A status
        that says that a request was not executed is true. A truncated response does not look complete. Connections to
        upstreams are read or closed where no client is slow. There are no internal errors.
        """
        assert self.plane.error_counts[ErrorKind.INTERNAL] == 0
        if all(client.reads for client in self.clients if client.is_open):
            for upstream in self.upstreams:
                assert (
                    upstream.transport.is_reading() or not upstream.is_open
                ), "nothing resumes this connection"
        for id_, sent in self.sent.items():
            runs = self.runs.get(id_, [])
            executed = [run for run in runs if run.executed]
            if sent.kind not in REPEATABLE:
                assert len(executed) <= 1, f"{id_} was executed {len(executed)} times"
                if sent.ended and sent.status in NOT_EXECUTED_STATUSES:
                    assert not executed, f"{id_} got status {sent.status} but was executed"
            if 200 <= sent.status < 300:
                assert SIGNATURE in sent.headers, f"{id_}: a success that no upstream sent"
                self._check_success(sent, runs)

    def _check_success(self, sent: SentRequest, runs: list[Run]) -> None:
        if sent.kind in STREAMS:
            numbers = range(1, EVENTS + 1)
            complete = b"".join(f"id: {n}\ndata: {sent.id} {n}\n\n".encode() for n in numbers)
            assert complete.startswith(
                sent.body
            ), f"{sent.id}: foreign, duplicate or missing events: {sent.body!r}"
            assert (
                not sent.complete or sent.body == complete
            ), f"{sent.id}: marked as complete before its last event"
        else:
            bodies = [run.body() for run in runs]
            assert any(
                body.startswith(sent.body) for body in bodies
            ), f"{sent.id}: {sent.body!r} is the body of another request"
            assert not sent.complete or any(run.complete and run.body() == sent.body for run in runs)


def answer_of(run: Run, *, framed: bool = True, echo: bool = True, status: int = 200, **more: str) -> bytes:
    """The bytes of a complete response to `run`.

    Args:
        run: the request.
        framed: whether the response has a length or is chunked; otherwise it ends with the connection.
        echo: whether the response repeats the id of the request.
        status: the status of the response.
        more: additional headers.
    """
    headers = {"X-Server-Signature": run.body().decode(), **more}
    if echo:
        headers["X-Request-Id"] = run.id
    body = run.body() if run.kind not in STREAMS or status != 200 else b""
    if run.kind in STREAMS and status == 200:
        events = [run.event(number) for number in range(run.resumed_after + 1, EVENTS + 1)]
        if not framed:
            body = b"".join(events)
        else:
            headers["Transfer-Encoding"] = "chunked"
            body = b"".join(b"%x\r\n%s\r\n" % (len(event), event) for event in events) + b"0\r\n\r\n"
    elif framed:
        headers["Content-Length"] = str(len(body))
    lines = [f"HTTP/1.1 {status} X", *(f"{name}: {value}" for name, value in headers.items())]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


LOOP_ITERATIONS = 12  # enough for all pending callbacks of the event loop and their follow-ups to run


class FrozenClockLoop(asyncio.SelectorEventLoop):
    """An event loop whose clock stands still, so that no timer of the router fires, however slow the test is."""

    def time(self) -> float:
        return 0.0


class RouterHarness:
    """Runs the model in an event loop of its own, whose clock stands still."""

    def __init__(self) -> None:
        self.loop = FrozenClockLoop()
        self.model = self.do(RouterModel)

    def do(self, call: Callable[[], T]) -> T:
        """Calls `call` inside the event loop, and runs the loop until its consequences are complete."""

        async def inside() -> T:
            found = call()
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)
            return found

        return self.loop.run_until_complete(inside())

    def close(self) -> None:
        async def cancel() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(cancel())
        self.loop.close()

    def client(self) -> FakeClient:
        client = self.do(lambda: FakeClient(self.model))
        self.model.clients.append(client)
        return client

    def request(self, client: FakeClient, kind: str, body: bytes = b"") -> SentRequest:
        """Sends a complete request on the connection of `client`."""
        sent = SentRequest(f"r{len(self.model.sent)}", kind)
        self.model.sent[sent.id] = sent
        client.queue(sent, body)
        self.do(lambda: client.send(len(client.unsent)))
        return sent

    def waiting(self) -> list[FakeUpstream]:
        """The upstream connections on which a request waits for its response."""
        return [one for one in self.model.upstreams if one.is_open and one.run is not None]

    def answer(self, upstream: FakeUpstream, **how: object) -> Run:
        run = upstream.run
        assert run is not None
        upstream.begin(answer_of(run, **how))  # type: ignore[arg-type]
        self.do(lambda: upstream.send(len(upstream.unsent)))
        return run
