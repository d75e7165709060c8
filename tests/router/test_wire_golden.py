"""Compares the bytes that a router writes to upstreams and clients, and its debug log, with stored transcripts.

`data/router_wire.txt` has one transcript per scenario, under the name of the scenario's function. It was written by
the router of 2 December 2026, before its modules were renamed.
"""

from __future__ import annotations

import asyncio
import re
from collections.abc import Callable, Iterator
from pathlib import Path
from random import Random
from typing import TypeVar

import msgspec
import picologging
import pytest
from larkweir_quotas.retry_budget import RetryBudget
from larkweir_registry.records import Upstream

from larkweir.cluster.messages import ConfigUpdate
from larkweir.cluster.settings import Bounds
from larkweir.router.answers import ErrorKind
from larkweir.router.client_connection import ClientConnection
from larkweir.router.data_plane import DataPlane
from larkweir.router.quota_admission import QuotaAdmission
from larkweir.router.upstream_connection import UpstreamConnection
from larkweir.router.upstream_pool import UpstreamPool
from tests.router.granting_controller import GrantingController, connect
from tests.router.router_model import LOOP_ITERATIONS, FakeTransport

T = TypeVar("T")
TRANSCRIPT_FILE = Path(__file__).parent / "data" / "router_wire.txt"
ADDRESSES = ("10.0.0.1:1", "10.0.0.2:2", "10.0.0.3:3", "10.0.0.4:4")
CONFIGURATION = {
    "generation": 7,
    "limits": {
        "max_header_bytes": 2_000,
        "max_body_bytes": 100,
        "header_timeout_ms": 3_000,
        "idle_timeout_ms": 15_000,
    },
    "routes": [
        {"name": "plain", "host": "a.example", "path_prefix": "/plain/", "backend": "s", "max_attempts": 3},
        {
            "name": "safe",
            "host": "a.example",
            "path_prefix": "/safe/",
            "backend": "s",
            "kind": "idempotent",
            "max_attempts": 3,
            "timeout_ms": 8_000,
            "target_latency_ms": 500,
            "priority": 7,
        },
        {
            "name": "resumable",
            "host": "a.example",
            "path_prefix": "/resumable/",
            "backend": "s",
            "kind": "streaming",
            "resumable": True,
            "max_attempts": 3,
        },
        {"name": "empty", "host": "a.example", "path_prefix": "/empty/", "backend": "none"},
        {"name": "engine", "host": "e.example", "path_prefix": "/", "backend": "e"},
    ],
    "services": [{"name": "s"}, {"name": "none"}, {"name": "e", "engine": {}}],
}
TENANTS = [
    {
        "name": "acme",
        "api_keys": ["key-1"],
        "priority": 2,
        "unit": "token_count",
        "rate_per_s": 10.0,
        "burst": 2_000.0,
    },
    {"name": "late", "api_keys": ["key-2"], "rate_per_s": 1.0, "burst": 1.0},
]


class WireHarness:
    """A router's data plane in an event loop whose clock the test advances. Records all that the router writes."""

    def __init__(self) -> None:
        self.now_s = 1_000.0
        self.loop = asyncio.new_event_loop()
        self.loop.time = lambda: self.now_s  # type: ignore[method-assign]
        self.lines: list[str] = []
        self.clients: list[FakeTransport] = []
        self.upstreams: list[FakeTransport] = []
        self.refusing: set[str] = set()
        self.plane = self.do(self._make)

    def _make(self) -> DataPlane:
        plane = DataPlane(Bounds(retry_budget_ratio=10.0, retry_budget_slack=1_000.0), Random(1))
        plane.pool = RecordingPool(self)
        plane.quotas = QuotaAdmission(rng=Random(2))
        self.controller = GrantingController(plane.quotas)
        connect(plane.quotas, self.controller)
        return plane

    def do(self, call: Callable[[], T]) -> T:
        """Calls `call` inside the event loop, and runs the loop until its consequences are complete."""

        async def inside() -> T:
            found = call()
            for _ in range(LOOP_ITERATIONS):
                await asyncio.sleep(0)
            return found

        return self.loop.run_until_complete(inside())

    def configure(self, *, tenants: bool = False) -> None:
        """Applies the configuration, and adds four upstreams for each of the services `s` and `e`."""
        document = {**CONFIGURATION, "tenants": TENANTS if tenants else []}
        update = ConfigUpdate(1, -1, msgspec.Raw(msgspec.json.encode(document)))
        listed = [
            Upstream(f"{service}{n}", service, address, "z")
            for service in ("s", "e")
            for n, address in enumerate(ADDRESSES)
        ]

        def apply() -> None:
            self.plane.configuration.apply(update)
            table = self.plane.configuration.table
            assert table is not None
            self.plane.quotas.set_limits(table.quotas, 1)
            self.controller.set_limits(table.quotas)
            self.plane.upstreams.update(listed, self.now_s * 1000.0)

        self.do(apply)

    def wait(self, seconds: float) -> None:
        """Advances the clock, and runs the timers that are due."""
        self.now_s += seconds
        self.do(lambda: None)

    def client(self) -> FakeTransport:
        """Opens a new connection of a client."""
        number = len(self.clients)

        def connect() -> FakeTransport:
            protocol = ClientConnection(self.plane)
            transport = FakeTransport(
                lambda data: self.lines.append(f"to client {number}: {data!r}"), protocol
            )
            protocol.connection_made(transport)
            return transport

        transport = self.do(connect)
        self.clients.append(transport)
        return transport

    def request(self, data: bytes, client: FakeTransport | None = None) -> FakeTransport:
        """Sends bytes of a client, on a new connection unless `client` is given."""
        used = client if client is not None else self.client()
        self.do(lambda: used.deliver(data))
        return used

    def answer(self, number: int, data: bytes) -> None:
        """Sends bytes of an upstream. `number`: the connection, in the order of opening."""
        self.do(lambda: self.upstreams[number].deliver(data))

    def reset(self, number: int) -> None:
        """Resets the connection to an upstream. `number`: the connection, in the order of opening."""
        self.do(lambda: self.upstreams[number].end(ConnectionResetError()))

    def collect_lines(self) -> list[str]:
        """The recorded lines, followed by the connections that were closed and the counts of errors."""
        for name, transports in (("client", self.clients), ("upstream", self.upstreams)):
            self.lines += [
                f"{name} {number} closed" for number, one in enumerate(transports) if one.is_closing()
            ]
        counted = {kind.value: count for kind, count in self.plane.error_counts.items() if count}
        if counted:
            self.lines.append(f"counted: {counted}")
        return self.lines

    def close(self) -> None:
        async def cancel() -> None:
            tasks = asyncio.all_tasks() - {asyncio.current_task()}
            for task in tasks:
                task.cancel()
            await asyncio.gather(*tasks, return_exceptions=True)

        self.loop.run_until_complete(cancel())
        self.loop.close()


class RecordingPool(UpstreamPool):
    """A pool that opens fake connections and records what the router writes to them."""

    def __init__(self, harness: WireHarness) -> None:
        super().__init__()
        self._harness = harness

    async def connect(self, address: str) -> UpstreamConnection:
        await asyncio.sleep(0)
        harness = self._harness
        if address in harness.refusing:
            raise ConnectionRefusedError("refused")
        connection = UpstreamConnection(self._on_idle, self._on_closed)
        self._addresses[connection] = address
        number = len(harness.upstreams)
        transport = FakeTransport(
            lambda data: harness.lines.append(f"to upstream {number} ({address}): {data!r}"), connection
        )
        harness.upstreams.append(transport)
        connection.connection_made(transport)
        return connection


def head(method: str, target: str, *more: str, host: str = "a.example", body: bytes = b"") -> bytes:
    """The bytes of a client's request."""
    length = [f"Content-Length: {len(body)}"] if body else []
    lines = [f"{method} {target} HTTP/1.1", f"Host: {host}", "X-Request-Id: r-1", *more, *length]
    return ("\r\n".join(lines) + "\r\n\r\n").encode() + body


def reply(status: int = 200, *more: str, body: bytes = b"ok") -> bytes:
    """The bytes of an upstream's complete response."""
    lines = [f"HTTP/1.1 {status} X", "X-Request-Id: r-1", "X-Server-Signature: sig", *more]
    return ("\r\n".join(lines) + f"\r\nContent-Length: {len(body)}\r\n\r\n").encode() + body


STREAM_HEAD = reply(200, "Content-Type: text/event-stream", "Transfer-Encoding: chunked").partition(
    b"\r\nContent-Length"
)[0]


def chunk(data: bytes) -> bytes:
    return b"%x\r\n%s\r\n" % (len(data), data)


def a_get_without_a_body(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/safe/a?b=c", "Accept: */*"))
    harness.answer(0, reply(200, "Connection: keep-alive", "Keep-Alive: timeout=5", "X-Server-Load: 1,0,4"))


def a_post_with_headers_of_its_connection_alone(harness: WireHarness) -> None:
    harness.configure()
    harness.request(
        head(
            "POST",
            "/plain/x",
            "Connection: keep-alive, X-Odd",
            "X-Odd: 1",
            "Keep-Alive: 5",
            "TE: trailers",
            "Trailer: X-T",
            "Upgrade: h2c",
            "Proxy-Connection: x",
            "Proxy-Authorization: x",
            "X-Tenant: forged",
            "Priority: 9",
            "X-Target-Instance: forged",
            "X-Deadline-Ms: 2500",
            "Last-Event-ID: 4",
            "X-Kept: yes",
            body=b"hello",
        )
    )
    harness.answer(0, reply(201, "X-More: 1"))


def a_put_without_a_body_and_a_second_request_on_both_connections(harness: WireHarness) -> None:
    harness.configure()
    client = harness.request(head("PUT", "/plain/x"))
    harness.answer(0, reply(204, body=b""))
    harness.wait(1.0)
    harness.request(head("GET", "/plain/y"), client)
    harness.answer(0, reply(404, body=b"no such thing"))


def a_tenants_request(harness: WireHarness) -> None:
    harness.configure(tenants=True)
    harness.request(
        head("POST", "/safe/x", "X-Api-Key: key-1", "X-Token-Usage: 20,30", "X-Tenant: forged", body=b"b")
    )
    harness.answer(0, reply())


def a_deadline_that_has_partly_passed(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/safe/x", "X-Deadline-Ms: 4000"))
    harness.wait(1.25)
    harness.reset(0)
    harness.answer(1, reply())


def a_refusal_and_a_failure_before_the_answer(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("POST", "/safe/x", body=b"again"))
    harness.answer(0, reply(503, "X-Not-Executed: 1", "X-Server-Load: 1,0,4"))
    harness.answer(1, reply(500))
    harness.answer(2, reply())


def a_resumed_stream(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("POST", "/resumable/x", "Last-Event-ID: 0", body=b"s"))
    harness.answer(0, STREAM_HEAD + b"\r\n\r\n" + chunk(b"id: 1\ndata: a\n\nid: 2\nda"))
    harness.wait(0.5)
    harness.reset(0)
    harness.answer(1, STREAM_HEAD + b"\r\n\r\n" + chunk(b"id: 2\ndata: b\n\n") + b"0\r\n\r\n")


def a_stream_that_breaks_for_good(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/resumable/x"))
    for number in range(3):
        piece = f"id: {number}\ndata: x\n\n".encode()
        harness.answer(number, STREAM_HEAD + b"\r\n\r\n" + chunk(piece))
        harness.reset(number)


def an_answer_that_breaks(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/plain/x"))
    harness.answer(0, reply(body=b"whole")[:-2])
    harness.reset(0)


def an_expected_continue(harness: WireHarness) -> None:
    harness.configure()
    client = harness.request(
        head("POST", "/plain/x", "Expect: 100-continue", "Content-Length: 2", "Content-Type: text/plain")
    )
    harness.request(b"ok", client)
    harness.answer(0, reply())


def a_router_that_stops(harness: WireHarness) -> None:
    harness.configure()
    client = harness.client()
    harness.plane.stopping = True
    harness.request(head("GET", "/plain/x"), client)
    harness.answer(0, reply())


def a_client_that_goes(harness: WireHarness) -> None:
    harness.configure()
    client = harness.request(head("GET", "/plain/x"))
    harness.do(lambda: client.end(None))


def a_silent_call_that_goes_elsewhere(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/safe/x"))
    harness.wait(6.0)
    harness.answer(1, reply())


def a_prompt_for_an_engine(harness: WireHarness) -> None:
    harness.configure()
    harness.request(
        head(
            "POST",
            "/v1",
            "X-Token-Usage: 1460,80",
            "X-Prompt-Prefix: a:800,b:410,c:250",
            host="e.example:80",
            body=b"p",
        )
    )
    harness.wait(0.125)
    harness.answer(0, reply(200, "X-Server-Load: 2,0,16"))


# Error responses of the router itself, by the values of `ErrorKind`


def bad_request(harness: WireHarness) -> None:
    harness.configure()
    harness.request(b"\x00nonsense\r\n\r\n")


def headers_too_large(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/plain/x", "X-Long: " + "x" * 3_000)[:2_500])


def body_too_large(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("POST", "/plain/x", body=b"x" * 101))
    chunked = b"POST /plain/x HTTP/1.1\r\nHost: a.example\r\nTransfer-Encoding: chunked\r\n\r\n"
    harness.request(chunked + chunk(b"x" * 60) + chunk(b"x" * 60))


def client_too_slow(harness: WireHarness) -> None:
    harness.configure()
    harness.request(b"GET /plain/x HTTP/1.1\r\n")
    harness.wait(3.0)


def no_configuration(harness: WireHarness) -> None:
    harness.request(head("GET", "/plain/x"))


def no_route(harness: WireHarness) -> None:
    harness.configure()
    client = harness.request(head("GET", "/other"))
    harness.request(head("GET", "/plain/x", host="b.example"), client)


def unknown_key(harness: WireHarness) -> None:
    harness.configure(tenants=True)
    harness.request(head("GET", "/plain/x", "X-Api-Key: forged"))


def over_quota(harness: WireHarness) -> None:
    harness.configure(tenants=True)
    for _ in range(2):
        harness.request(head("GET", "/plain/x", "X-Api-Key: key-1", "X-Token-Usage: 5000,0"))
    harness.request(head("GET", "/plain/x", "X-Api-Key: key-2"))
    harness.request(head("GET", "/plain/x", "X-Api-Key: key-2"))


def no_upstream(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/empty/x"))
    harness.refusing.update(ADDRESSES)
    harness.request(head("GET", "/plain/x"))


def turned_away(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("POST", "/plain/x", body=b"x"))
    harness.answer(0, reply(503, "X-Not-Executed: 1"))
    harness.answer(1, reply(429, "X-Not-Executed: 1", "X-Server-Load: 4,2,4"))
    harness.answer(2, reply(421))


def upstream_failed(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("POST", "/plain/x", body=b"x"))
    harness.reset(0)
    harness.request(head("POST", "/plain/x", body=b"x"))
    harness.answer(1, reply(503))


def timed_out(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/plain/x"))
    harness.wait(10.0)


def timed_out_unsent(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/plain/x", "X-Deadline-Ms: 4"))


def internal(harness: WireHarness) -> None:
    harness.configure()

    def fail(service: str) -> RetryBudget:
        raise ArithmeticError(service)

    harness.plane.retry_budgets.budget = fail  # type: ignore[method-assign]
    harness.request(head("GET", "/plain/x"))


def a_number_that_no_client_may_state(harness: WireHarness) -> None:
    harness.configure()
    harness.request(head("GET", "/plain/x", "X-Token-Usage: 1,-900000"))


SCENARIOS: list[Callable[[WireHarness], None]] = [
    a_get_without_a_body,
    a_post_with_headers_of_its_connection_alone,
    a_put_without_a_body_and_a_second_request_on_both_connections,
    a_tenants_request,
    a_deadline_that_has_partly_passed,
    a_refusal_and_a_failure_before_the_answer,
    a_resumed_stream,
    a_stream_that_breaks_for_good,
    an_answer_that_breaks,
    an_expected_continue,
    a_router_that_stops,
    a_client_that_goes,
    a_silent_call_that_goes_elsewhere,
    a_prompt_for_an_engine,
    bad_request,
    headers_too_large,
    body_too_large,
    client_too_slow,
    no_configuration,
    no_route,
    unknown_key,
    over_quota,
    no_upstream,
    turned_away,
    upstream_failed,
    timed_out,
    timed_out_unsent,
    internal,
    a_number_that_no_client_may_state,
]


class LogRecorder(picologging.Handler):
    """Adds the router's log lines to the recorded lines, without their time and the name of the process."""

    def __init__(self) -> None:
        super().__init__()
        self.harness: WireHarness | None = None

    def emit(self, record: picologging.LogRecord) -> None:
        if self.harness is not None:
            line = re.sub(r'^\{"time":[0-9.e+]+,("node":"[^"]*",)?', "{", str(record.msg))
            line = re.sub(r'"at":"[^"]*"', '"at":"FILE:LINE"', line)
            self.harness.lines.append(f"log: {line}")


LOG_RECORDER = LogRecorder()


@pytest.fixture
def debugging() -> Iterator[None]:
    logger = picologging.getLogger("larkweir")
    before = logger.level
    logger.addHandler(LOG_RECORDER)
    logger.setLevel(picologging.DEBUG)
    yield
    LOG_RECORDER.harness = None
    logger.removeHandler(LOG_RECORDER)
    logger.setLevel(before)


def run_scenario(scenario: Callable[[WireHarness], None]) -> list[str]:
    """Runs a scenario; returns the lines that it recorded."""
    harness = LOG_RECORDER.harness = WireHarness()
    try:
        scenario(harness)
        return harness.collect_lines()
    finally:
        LOG_RECORDER.harness = None
        harness.close()


def stored_transcripts() -> dict[str, list[str]]:
    """The stored transcripts, by the name of their scenario."""
    found: dict[str, list[str]] = {}
    for line in TRANSCRIPT_FILE.read_text().splitlines():
        if line.startswith("== "):
            lines = found[line[3:]] = []
        elif line:
            lines.append(line)
    return found


def test_each_error_kind_has_a_scenario() -> None:
    kinds = {kind.value for kind in ErrorKind}
    assert kinds <= {one.__name__ for one in SCENARIOS}
    for kind in kinds:
        assert any(
            line.startswith("counted: ") and f"'{kind}'" in line for line in stored_transcripts()[kind]
        ), kind


def test_every_transcript_has_a_scenario() -> None:
    assert list(stored_transcripts()) == [one.__name__ for one in SCENARIOS]


@pytest.mark.parametrize("scenario", SCENARIOS, ids=lambda one: one.__name__)
def test_the_router_writes_the_stored_transcript(
    scenario: Callable[[WireHarness], None], debugging: None
) -> None:
    assert run_scenario(scenario) == stored_transcripts()[scenario.__name__]
