"""The callers' side over loopback: every kind of bad input, slow and impatient callers, the socket budget."""

from __future__ import annotations

import asyncio
import gc
import socket
from typing import Any

import pytest
from larkweir_balancing.interface import (
    Action,
    ClientGone,
    Event,
    Fail,
    Outcome,
    Refuse,
    RequestArrived,
    Send,
)

from larkweir.core.active_request import ActiveRequest
from larkweir.protocols.http1.caller_input import CallerInput
from larkweir.protocols.http1.callers import CallerConnection
from larkweir.protocols.http1.codec import MAX_BODY, RequestReader, ResponseReader
from larkweir.protocols.http1.upstreams import UpstreamConnection
from larkweir.protocols.listener import Listener
from larkweir.upstreams.attempt_call import AttemptCall
from tests.fakes import (
    PATIENCE_S,
    Caller,
    FakeUpstream,
    Incoming,
    Script,
    Talk,
    ok,
    pass_time,
    request_bytes,
    running,
)
from tests.lifecycle.service import until
from tests.upstreams.test_attempts import run, silence

HEAD = b"POST /api HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\n"
CHUNKED = b"Transfer-Encoding: chunked\r\n"

BAD = [
    ("no HTTP", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400),
    ("unknown method", b"BREW /api HTTP/1.1\r\n\r\n", 400),
    ("bad header", b"GET /api HTTP/1.1\r\nno colon here\r\n\r\n", 400),
    ("bad length", HEAD + b"Content-Length: ten\r\n\r\n", 400),
    ("negative length", HEAD + b"Content-Length: -1\r\n\r\n", 400),
    ("length too large to count", HEAD + b"Content-Length: 99999999999999999999999\r\n\r\n", 400),
    ("repeated length", HEAD + b"Content-Length: 1\r\nContent-Length: 1\r\n\r\na", 400),
    (
        "length and chunks",
        HEAD + b"Content-Length: 1\r\nTransfer-Encoding: chunked\r\n\r\n1\r\na\r\n0\r\n\r\n",
        400,
    ),
    (
        "length and chunks, the other way",
        HEAD + CHUNKED + b"Content-Length: 1\r\n\r\n1\r\na\r\n0\r\n\r\n",
        400,
    ),
    ("signed length", HEAD + b"Content-Length: +1\r\n\r\na", 400),
    ("length and none", HEAD + b"Content-Length: 1, 1\r\n\r\na", 400),
    ("a coding before chunked", HEAD + b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", 400),
    ("chunked twice", HEAD + CHUNKED + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("chunks of an old version", HEAD.replace(b"1.1", b"1.0") + CHUNKED + b"\r\n0\r\n\r\n", 400),
    ("no version", b"GET /api\r\n\r\n", 400),
    ("folded header", HEAD + b"X-A: b\r\n c\r\nContent-Length: 0\r\n\r\n", 400),
    ("bare CR", HEAD + b"X-A: b\rc\r\nContent-Length: 0\r\n\r\n", 400),
    ("bare LF", HEAD + b"X-A: b\nContent-Length: 0\r\n\r\n", 400),
    ("NUL", HEAD + b"X-A: b\0c\r\nContent-Length: 0\r\n\r\n", 400),
    ("thousands of fields", HEAD + b"a:b\r\n" * 3000, 431),
    ("hundreds of requests at once", b"".join(request_bytes() for _ in range(300)), 429),
    ("no host", request_bytes().replace(b"Host: api.internal\r\n", b""), 400),
    ("two hosts", request_bytes().replace(b"\r\n", b"\r\nHost: other\r\n", 1), 400),
    ("a target without a host", request_bytes(target="http:///api"), 400),
    ("a target with a user", request_bytes(target="http://me@x/api"), 400),
    ("no id", HEAD + b"Content-Length: 0\r\n\r\n", 400),
    ("an empty id", request_bytes(X_Trace_Id=""), 400),
    ("two ids", request_bytes().replace(b"\r\n", b"\r\nX-Trace-Id: 5\r\n", 1), 400),
    ("an endless id", request_bytes(X_Trace_Id="5" * 1000), 400),
    ("bad chunk", HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\n", 400),
    ("upgrade", b"GET /api HTTP/1.1\r\nConnection: upgrade\r\nUpgrade: h2c\r\n\r\n", 400),
    ("unknown class", request_bytes("nosuch"), 400),
    ("no class", b"GET /api HTTP/1.1\r\nHost: x\r\n\r\n", 400),
    ("class twice", request_bytes(x_qos="look"), 400),
    ("deadline in words", request_bytes(X_Expires_In_Ms="soon"), 400),
    ("negative deadline", request_bytes(X_Expires_In_Ms="-5"), 400),
    ("empty deadline", request_bytes(X_Expires_In_Ms=""), 400),
    ("keyed without a key", request_bytes("post", b"x", Idempotency_Key=""), 400),
    ("stated body over the limit", HEAD + b"Content-Length: %d\r\n\r\n" % (MAX_BODY + 1), 413),
    ("unknown path", request_bytes(target="/nope"), 404),
    ("near path", request_bytes(target="/apis"), 404),
    ("method that no class has", request_bytes().replace(b"GET", b"OPTIONS", 1), 405),
    ("endless head", b"GET /api HTTP/1.1\r\n" + b"X-A: " + b"a" * 40_000, 431),
]


@pytest.mark.parametrize(("data", "code"), [row[1:] for row in BAD], ids=[row[0] for row in BAD])
def test_bad_input_is_answered_and_harms_no_other(data: bytes, code: int) -> None:
    """Guards the process and the other requests against each kind of bad input."""

    async def work() -> None:
        go = asyncio.Event()

        async def held(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(ok())

        upstream = await FakeUpstream(held).start()
        async with (
            running(upstream.entry("a")) as balancer,
            Caller(balancer.port) as good,
            Caller(balancer.port) as bad,
        ):
            good.ask()
            await upstream.arrived.get()
            bad.send(data)
            assert (await bad.answer()).status == code
            go.set()
            assert (await good.answer()).status == 200
        upstream.close()
        assert len(upstream.seen) == 1

    run(work())


def test_a_missing_deadline_is_the_class_s() -> None:
    """Guards callers that state none."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            caller.send(b"GET /api HTTP/1.1\r\nHost: x\r\nX-Qos: look\r\nX-Trace-Id: 1\r\n\r\n")
            assert (await caller.answer()).status == 200
            caller.ask(X_Expires_In_Ms="999999999")
            assert (await caller.answer()).status == 200
        upstream.close()
        lefts = [e.time_left_ms for e in script.events if isinstance(e, RequestArrived)]
        assert lefts == [8000.0, 8000.0]

    run(work())


def test_requests_sent_ahead_are_answered_in_order_one_at_a_time() -> None:
    """Guards order and 'exactly one answer' where a caller does not wait."""

    async def work() -> None:
        async def echo(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(request.target.encode()))

        upstream = await FakeUpstream(echo).start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.send(b"".join(request_bytes(target=f"/api?n={n}") for n in range(3)) + b"garbage\r\n\r\n")
            for n in range(3):
                assert (await caller.answer()).body == b"/api?n=%d" % n
            assert (await caller.answer()).status == 400
            assert await caller.ended() == b""
        upstream.close()

    run(work())


def test_a_request_sent_ahead_has_the_time_that_is_left_behind_the_one_before_it() -> None:
    """Its caller has waited since it came: seen in simulated days, answered after twice its deadline."""

    async def work() -> None:
        asked, goes_on = asyncio.Event(), asyncio.Event()

        async def slow(request: Incoming, talk: Talk) -> None:
            asked.set()
            await goes_on.wait()
            await talk.send(ok())

        upstream, script = await FakeUpstream(slow).start(), Script([1])
        async with (
            running(upstream.entry("a"), script=script) as balancer,
            Caller(balancer.port) as caller,
            asyncio.timeout(PATIENCE_S),
        ):
            caller.send(request_bytes() + request_bytes())
            await asked.wait()
            balancer.dispatcher.clock.offset_ms += 1_000.0
            goes_on.set()
            assert [(await caller.answer()).status for _ in range(2)] == [200, 200]
        upstream.close()
        first, second = [e.time_left_ms for e in script.events if isinstance(e, RequestArrived)]
        assert first == 8000.0
        assert 0.0 < second <= 7000.0

    run(work())


def test_a_body_is_asked_for_where_the_caller_waits_for_leave() -> None:
    """Guards callers that send `Expect: 100-continue`, which would else wait for nothing."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            head, _, _ = request_bytes("move", b"body", Expect="100-continue").partition(b"\r\n\r\n")
            caller.send(head + b"\r\n\r\n")
            assert (await caller.reader.readuntil(b"\r\n\r\n")).startswith(b"HTTP/1.1 100")
            caller.send(b"body")
            assert (await caller.answer()).status == 200
        upstream.close()
        assert upstream.seen[0].body == b"body"

    run(work())


def test_connection_close_is_honoured() -> None:
    """Guards callers that say the connection ends with this answer."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.ask(Connection="close")
            answer = await caller.answer()
            assert (answer.status, answer.headers["connection"]) == (200, "close")
            assert await caller.ended() == b""
        upstream.close()

    run(work())


def test_refusals_carry_the_advice_in_decimal_seconds() -> None:
    """Guards Refuse: 503 at once, with Retry-After where the decisions advise it, and without where not."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        waits = [1250.0, 0.0]

        def refuse(event: Event) -> list[Action] | None:
            return [Refuse(event.request, waits.pop(0))] if isinstance(event, RequestArrived) else None

        script.more = refuse
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            caller.ask()
            first = await caller.answer()
            caller.ask()
            second = await caller.answer()
        upstream.close()
        assert (first.status, first.headers.get("retry-after")) == (503, "1.250")
        assert (second.status, second.headers.get("retry-after")) == (503, None)

    run(work())


def test_an_error_in_one_request_is_answered_500_with_its_id_in_the_log(capfd: Any) -> None:
    """Guards the process against a fault in the decisions: that request alone ends, and the log names it."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])

        def fault(event: Event) -> list[Action] | None:
            if isinstance(event, RequestArrived) and event.class_index == 2:
                raise RuntimeError("a fault")
            return None

        script.more = fault
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            caller.ask("move", b"x", X_Trace_Id="9b1f03aa5c7e2d41")
            assert (await caller.answer()).status == 500
            caller.ask()
            assert (await caller.answer()).status == 200
        upstream.close()

    run(work())
    assert "9b1f03aa5c7e2d41" in capfd.readouterr().err


def test_a_second_final_answer_is_dropped() -> None:
    """Guards 'exactly one answer': decisions that answer twice while an attempt is out must not answer the
    caller's next request in place of an upstream.
    """

    async def work() -> None:
        upstream = await FakeUpstream(silence).start()
        script = Script([1])

        def twice(event: Event) -> list[Action] | None:
            if isinstance(event, RequestArrived) and event.class_index == 2:
                return [Send(event.request, 1, 300.0), Fail(event.request), Refuse(event.request)]
            return None

        script.more = twice
        other = await FakeUpstream().start()
        script.servers = [2]
        async with (
            running(upstream.entry("a"), other.entry("b"), script=script) as balancer,
            Caller(balancer.port) as caller,
        ):
            caller.send(request_bytes("move", b"x") + request_bytes())
            assert [(await caller.answer()).status for _ in range(2)] == [502, 200]
            first = next(e for e in script.events if isinstance(e, RequestArrived))
            while (event := await script.ended()).request != first.request:
                pass
            assert event.is_final  # the end of the attempt is told all the same
        upstream.close()
        other.close()

    run(work())


def test_half_a_request_that_ends_is_no_request() -> None:
    """Guards against passing on what did not come whole."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer:
            async with Caller(balancer.port) as caller:
                caller.send(request_bytes("move", b"whole")[:-1])
                await caller.writer.drain()
                caller.writer.write_eof()
                assert await caller.ended() == b""
            async with Caller(balancer.port) as caller:
                caller.ask(target="/ready")
                assert (await caller.answer()).status == 200
        upstream.close()
        assert upstream.seen == []
        assert not any(isinstance(e, RequestArrived | ClientGone) for e in script.events)

    run(work())


def test_a_caller_that_does_not_read_holds_bounded_memory() -> None:
    """Guards against slow readers: no further request is taken from one until its answers are read."""

    async def work() -> None:
        async def large(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(b"x" * 64_000))

        upstream = await FakeUpstream(large).start()
        async with running(upstream.entry("a")) as balancer:
            side = socket.socket()
            side.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, 4096)
            side.connect(("127.0.0.1", balancer.port))
            reader, writer = await asyncio.open_connection(sock=side, limit=1024)
            writer.transport.pause_reading()  # type: ignore[attr-defined]
            asked = 400
            connection: Any = None
            async with asyncio.timeout(PATIENCE_S):
                for n in range(asked):  # never more ahead than is allowed
                    writer.write(request_bytes())
                    while len(upstream.seen) <= n and not (connection and connection._write_paused):
                        await asyncio.sleep(0.001)
                        connection = next(iter(balancer.listener._connections))
                    if connection._write_paused:
                        break
            assert connection._transport is not None
            assert connection._transport.get_write_buffer_size() < 512 * 1024
            assert len(upstream.seen) < asked
            async with Caller(balancer.port) as other:
                other.ask()
                assert (await other.answer()).status == 200
            writer.close()
        upstream.close()

    run(work())


def test_idle_callers_give_way_when_the_budget_is_spent() -> None:
    """Guards the descriptors: past the callers' budget the connection idle for longest is closed, and a new
    caller is served.
    """

    async def work() -> None:
        upstream = await FakeUpstream().start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
        async with running(upstream.entry("a"), machine=limits) as balancer:
            budget = balancer.listener.budget
            callers = []
            for _ in range(budget + 10):
                caller = await Caller(balancer.port).__aenter__()
                callers.append(caller)
                caller.ask()
                assert (await caller.answer()).status == 200
            assert len(balancer.listener._connections) <= budget + 1
            for caller in callers:
                caller.writer.close()
        upstream.close()

    run(work())


def test_callers_with_half_a_request_give_way_too() -> None:
    """Guards against callers that hold every connection with a request they never finish."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
        async with running(upstream.entry("a"), machine=limits) as balancer:
            halves = []
            for _ in range(balancer.listener.budget):
                caller = await Caller(balancer.port).__aenter__()
                halves.append(caller)
                caller.send(request_bytes()[:-2])
            async with asyncio.timeout(PATIENCE_S):
                while sum(c.has_partial_request for c in balancer.listener._connections) < len(halves):
                    await asyncio.sleep(0.01)
            async with Caller(balancer.port) as good:
                good.ask()
                assert (await good.answer()).status == 200
            for caller in halves:
                caller.writer.close()
        upstream.close()

    run(work())


def test_sockets_to_upstreams_keep_to_their_budget() -> None:
    """Guards the descriptors on the other side: past the budget an attempt ends as never sent, at once."""

    async def work() -> None:
        upstream = await FakeUpstream(silence).start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
        async with running(upstream.entry("a"), script=Script([1]), machine=limits) as balancer:
            pool = balancer.dispatcher.upstreams
            pool._budget = 3
            callers = []
            for _ in range(3):
                caller = await Caller(balancer.port).__aenter__()
                callers.append(caller)
                caller.ask("move", b"x")
                await upstream.arrived.get()
            async with Caller(balancer.port) as last:
                last.ask("move", b"x")
                assert (await last.answer()).status == 502
            assert pool.sockets == 3 and upstream.connections == 3
            for caller in callers:
                caller.writer.close()
        upstream.close()

    run(work())


def test_an_id_that_is_open_or_was_until_lately_reaches_no_upstream() -> None:
    """Guards the open request: a copy under its id, by another caller, is refused and changes nothing; nor
    does one that comes just after the answer run.
    """

    async def work() -> None:
        go = asyncio.Event()

        async def held(request: Incoming, talk: Talk) -> None:
            await go.wait()
            await talk.send(ok())

        upstream = await FakeUpstream(held).start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as good:
            good.ask("move", b"x", X_Trace_Id="aa")
            await upstream.arrived.get()
            async with Caller(balancer.port) as bad:
                bad.ask("look", X_Trace_Id="aa")
                assert (await bad.answer()).status == 409
                assert await bad.ended() == b""
            go.set()
            assert (await good.answer()).status == 200
            async with Caller(balancer.port) as bad:
                bad.ask("move", b"x", X_Trace_Id="aa")
                assert (await bad.answer()).status == 409
            good.ask("move", b"x", X_Trace_Id="ab")
            assert (await good.answer()).status == 200
            assert not balancer.dispatcher.requests.open_ids
            balancer.dispatcher.requests.recent_ids.MAX_IDS = 1
            good.ask("move", b"x", X_Trace_Id="ac")
            assert (await good.answer()).status == 200
            assert list(balancer.dispatcher.requests.recent_ids) == [b"ac"]
        upstream.close()
        assert [item.headers["x-trace-id"] for item in upstream.seen] == ["aa", "ab", "ac"]
        assert [e.outcome for e in script.ends()] == [Outcome.OK] * 3

    run(work())


def test_what_follows_a_refused_message_is_never_read() -> None:
    """Guards against a request hidden in the body of one whose end two readers would find in two places."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            inner = request_bytes("move", b"x")
            outer = b"Content-Length: %d\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n" % (len(inner) + 5)
            caller.send(HEAD + b"X-Trace-Id: 1\r\n" + outer + inner)
            assert (await caller.answer()).status == 400
            caller.send(request_bytes("move", b"x"))
            assert await caller.ended() == b""
        upstream.close()
        assert upstream.seen == []

    run(work())


def test_callers_that_say_nothing_or_go_on_for_ever_are_ended(monkeypatch: pytest.MonkeyPatch) -> None:
    """Guards places: a silent connection is closed, a request in part gets 408 however often a byte of it
    comes, on a new connection and on a kept one; one that waits for its answer is left alone.
    """

    async def work() -> None:
        monkeypatch.setattr(Listener, "SWEEP_MS", 10.0)
        go = asyncio.Event()

        async def held(request: Incoming, talk: Talk) -> None:
            if request.target == "/api?held":
                await go.wait()
            await talk.send(ok())

        upstream = await FakeUpstream(held).start()

        async def trickle(caller: Caller) -> None:
            for byte in request_bytes("move", b"x" * 5000):
                caller.send(bytes((byte,)))
                await asyncio.sleep(0.01)

        async with (
            running(upstream.entry("a")) as balancer,
            Caller(balancer.port) as waiting,
            Caller(balancer.port) as kept,
        ):
            waiting.ask(target="/api?held")
            kept.ask()
            assert (await kept.answer()).status == 200
            # From here on, so that the requests above have the time they need.
            monkeypatch.setattr(CallerInput, "RECEIVE_TIMEOUT_MS", 1_000.0)
            silent = await Caller(balancer.port).__aenter__()
            slow = await Caller(balancer.port).__aenter__()
            tasks = [asyncio.ensure_future(trickle(caller)) for caller in (slow, kept)]
            assert await silent.ended() == b""
            for caller in (slow, kept):
                assert (await caller.answer()).status == 408
            for task in tasks:
                task.cancel()
            go.set()
            assert (await waiting.answer()).status == 200
            for caller in (silent, slow):
                caller.writer.close()
        upstream.close()

    run(work())


def test_the_callers_part_of_the_descriptors_is_a_cap_that_cuts_nobody_off() -> None:
    """Guards the upstreams' part: with a request open on every place a newcomer waits in the system, and is
    served once a place is left; silent ones go before callers between requests.
    """

    async def work() -> None:
        go = asyncio.Event()

        async def held(request: Incoming, talk: Talk) -> None:
            if request.target == "/api?held":
                await go.wait()
            await talk.send(ok())

        upstream = await FakeUpstream(held).start()
        limits = {"cores": 1.0, "memory_mb": 192, "sockets": 64}
        async with running(upstream.entry("a"), machine=limits, script=Script([1])) as balancer:
            listener, budget = balancer.listener, balancer.listener.budget
            balancer.dispatcher.upstreams._budget = 200
            kept = await Caller(balancer.port).__aenter__()
            kept.ask()
            assert (await kept.answer()).status == 200
            silent = [await Caller(balancer.port).__aenter__() for _ in range(60)]
            busy = []
            for n in range(budget - 1):
                caller = await Caller(balancer.port).__aenter__()
                busy.append(caller)
                caller.ask(target="/api?held")
                while len(upstream.seen) < n + 2:
                    await upstream.arrived.get()
                assert len(listener._connections) <= budget
            kept.ask()  # the silent ones were closed, this one was not
            assert (await kept.answer()).status == 200
            kept.ask(target="/api?held")
            late = [await Caller(balancer.port).__aenter__() for _ in range(5)]
            for caller in late:
                caller.ask()
            async with asyncio.timeout(PATIENCE_S):
                while not listener._paused:
                    await asyncio.sleep(0.01)
            assert len(listener._connections) == budget
            go.set()
            for caller in [*busy, kept, *late]:
                assert (await caller.answer()).status == 200
            for caller in [*silent, *busy, kept, *late]:
                caller.writer.close()
        upstream.close()

    run(work())


def test_all_connections_share_one_room() -> None:
    """Guards the memory limit: what does not fit is refused with word when to come again, others are served,
    and nothing stays booked.
    """

    async def work() -> None:
        go = asyncio.Event()

        async def held(request: Incoming, talk: Talk) -> None:
            if request.body:
                await go.wait()
            await talk.send(ok())

        upstream = await FakeUpstream(held).start()
        async with running(upstream.entry("a")) as balancer:
            memory = balancer.dispatcher.memory
            assert memory.max_bytes == 48 * 1024 * 1024
            memory.max_bytes = 100_000
            async with (
                Caller(balancer.port) as one,
                Caller(balancer.port) as two,
                Caller(balancer.port) as three,
            ):
                one.ask("move", b"x" * 60_000)
                await upstream.arrived.get()
                two.ask("move", b"x" * 60_000)
                answer = await two.answer()
                assert (answer.status, answer.headers["retry-after"]) == (503, "1")
                assert await two.ended() == b""
                three.ask()
                assert (await three.answer()).status == 200
                go.set()
                assert (await one.answer()).status == 200
            async with asyncio.timeout(PATIENCE_S):
                while balancer.listener._connections:
                    await asyncio.sleep(0.01)
            assert memory.used_bytes == 0
        upstream.close()

    run(work())


def test_nothing_is_left_to_the_collector() -> None:
    """Guards memory under ever-new callers: connections and requests are freed as they end, refused ones and
    ones with a parse error too, with the collector off.
    """

    async def work() -> None:
        async def mixed(request: Incoming, talk: Talk) -> None:
            if request.target == "/api?reset":
                talk.reset()
            else:
                await talk.send(ok())

        upstream = await FakeUpstream(mixed).start()
        async with running(upstream.entry("a"), script=Script([1, 1])) as balancer:
            gc.collect()
            gc.disable()
            try:
                for data in (
                    request_bytes("move", b"x"),
                    request_bytes(target="/api?reset"),
                    request_bytes("nosuch"),
                    HEAD + b"Content-Length: -1\r\n\r\n",
                    HEAD + b"Content-Length: 99999999\r\n\r\n",
                    b"".join(request_bytes() for _ in range(50)),
                ):
                    async with Caller(balancer.port) as caller:
                        caller.send(data)
                        assert (await caller.answer()).status
                for connection in list(balancer.dispatcher.upstreams._open):
                    connection.abort()
                async with asyncio.timeout(PATIENCE_S):
                    while balancer.listener._connections or balancer.dispatcher.upstreams._open:
                        await asyncio.sleep(0.01)
                await asyncio.sleep(0)
                kinds = (
                    CallerConnection,
                    RequestReader,
                    UpstreamConnection,
                    ResponseReader,
                    ActiveRequest,
                    AttemptCall,
                )
                left = [type(item).__name__ for item in gc.get_objects() if isinstance(item, kinds)]
            finally:
                gc.enable()
        upstream.close()
        assert left == ["ListReader"]  # of the connection to discovery, a `ResponseReader` too

    run(work())


def test_a_request_that_waits_for_its_caller_to_read_has_waited() -> None:
    """It is read while the answer before it is not taken: that time is not its upstream's to use."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a")) as balancer, Caller(balancer.port) as caller:
            caller.ask()
            assert (await caller.answer()).status == 200
            (connection,) = balancer.listener._connections
            assert isinstance(connection, CallerConnection)
            connection.pause_writing()  # as the loop does where the caller's system takes no more of an answer
            caller.ask()
            await until(lambda: connection._queue, "the second request")
            pass_time(balancer.dispatcher.clock, 5_000.0)
            connection.resume_writing()
            assert (await caller.answer()).status == 200
            assert float(upstream.seen[1].headers["x-expires-in-ms"]) <= 8_000.0 - 5_000.0
        upstream.close()

    run(work())
