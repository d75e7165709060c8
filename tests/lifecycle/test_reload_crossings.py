"""RequestParser that a reload overtakes: each keeps the class, deadline, attempts and window that it was taken with."""

from __future__ import annotations

import asyncio
import json
import signal
from collections.abc import Callable, Sequence
from dataclasses import replace
from pathlib import Path
from typing import Any

import pytest
from larkweir_balancing import Balancer
from larkweir_balancing.concurrency_limiter import ConcurrencyLimiter
from larkweir_balancing.interface import Effect, RequestArrived, RequestClass, Settings

from larkweir.config.classes import MOST_GONE
from larkweir.config.platform import Config, decode
from larkweir.core.message import Message
from larkweir.core.request_parser import RequestParser
from larkweir.protocols.http1.codec import MAX_REPLAYABLE_BODY
from standins.peers import PATIENCE_S, Caller, FakeUpstream, Incoming, Talk, ok, request_bytes, status
from tests.fakes import SETTINGS, Running, Script, config_data, pass_time, running
from tests.lifecycle.service import service, until
from tests.upstreams.test_attempts import run

Classes = Sequence[RequestClass]


class Held:
    """An upstream's behaviour: each request waits until it is let go, by its id, and then has the answer given."""

    def __init__(self) -> None:
        self.let: dict[str, asyncio.Future[bytes]] = {}

    def go(self, trace: str, answer: bytes | None = None) -> None:
        self._of(trace).set_result(answer or ok(trace.encode()))

    def _of(self, trace: str) -> asyncio.Future[bytes]:
        return self.let.setdefault(trace, asyncio.get_running_loop().create_future())

    async def __call__(self, request: Incoming, talk: Talk) -> None:
        await talk.send(await self._of(request.headers["x-trace-id"]))


def balancer_of(it: Running) -> Balancer:
    assert it.node is not None and isinstance(it.node.decisions, Balancer)
    return it.node.decisions


def config_of(it: Running) -> Config:
    assert it.node is not None
    return it.node.config


def retune(it: Running, classes: Classes, **more: Any) -> None:
    """A generation with these classes takes over, now."""
    config = config_of(it)
    assert it.node is not None
    it.node.reconfigure(replace(config, settings=replace(config.settings, classes=tuple(classes), **more)))


def changed(classes: Classes, name: str, **changes: Any) -> tuple[RequestClass, ...]:
    return tuple(replace(item, **changes) if item.name == name else item for item in classes)


def without(classes: Classes, name: str) -> tuple[RequestClass, ...]:
    return tuple(item for item in classes if item.name != name)


def safe(classes: Classes) -> tuple[RequestClass, ...]:
    return changed(classes, "move", effect=Effect.SAFE)


def many(count: int, like: RequestClass) -> tuple[RequestClass, ...]:
    return tuple(replace(like, name=f"many-{n}") for n in range(count))


# What the file says of the classes, one reload after the other.
RELOADS: dict[str, Callable[[Classes], list[Classes]]] = {
    "the effect is another": lambda classes: [safe(classes)],
    "the class goes": lambda classes: [without(classes, "move")],
    "one class is left": lambda classes: [classes[:1]],
    "it goes and comes back": lambda classes: [without(classes, "move"), safe(classes)],
    "it moves to another place": lambda classes: [safe(classes)[::-1]],
    "two in a row": lambda classes: [classes, safe(classes)],
    "others take the places of those that go": lambda classes: [
        (classes[0], *many(MOST_GONE + 9, classes[0])),
        (classes[0], *(replace(item, name=f"x{item.name}") for item in many(30, classes[0]))),
    ],
}


@pytest.mark.parametrize("reloads", RELOADS.values(), ids=RELOADS)
def test_an_unsafe_request_that_is_out_stays_unsafe(reloads: Callable[[Classes], list[Classes]]) -> None:
    """It fails after the reloads, and is not tried again, whatever its name or place stand for by now."""

    async def work() -> None:
        held = Held()
        upstreams = [await FakeUpstream(held).start() for _ in range(2)]
        rows = [upstream.entry(f"u{n}") for n, upstream in enumerate(upstreams)]
        async with running(*rows) as it, Caller(it.port) as caller:
            caller.ask("move", b"x", X_Trace_Id="out")
            await until(lambda: any(upstream.seen for upstream in upstreams), "the request")
            for classes in reloads(config_of(it).settings.classes):
                retune(it, classes)
            held.go("out", status(500))
            assert (await caller.answer()).status == 502
            assert sum(len(upstream.seen) for upstream in upstreams) == 1
        for upstream in upstreams:
            upstream.close()

    run(work())


@pytest.mark.parametrize(("before", "after"), [(1, 4), (4, 1)])
def test_a_request_keeps_its_most_attempts(before: int, after: int) -> None:
    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with (
            running(upstream.entry("u0"), limits={"SendCap": before}) as it,
            Caller(it.port) as early,
            Caller(it.port) as late,
        ):
            early.ask(X_Trace_Id="early")
            await upstream.arrived.get()
            retune(it, config_of(it).settings.classes, max_attempts=after)
            late.ask(X_Trace_Id="late")
            for caller, trace in ((early, "early"), (late, "late")):
                held.go(trace, status(500))
                assert (await caller.answer()).status in (502, 503)
            tries = [item.headers["x-trace-id"] for item in upstream.seen]
            assert (tries.count("early") > 1) == (before > 1) and (tries.count("late") > 1) == (after > 1)
        upstream.close()

    run(work())


def test_an_unsafe_request_that_is_held_stays_unsafe() -> None:
    """Nothing is ready when it comes; its class is safe by the time that something is."""

    async def work() -> None:
        async def fails(request: Incoming, talk: Talk) -> None:
            await talk.send(status(500))

        upstreams = [await FakeUpstream(fails).start() for _ in range(2)]
        async with running() as it, Caller(it.port) as caller:
            decisions = balancer_of(it)
            caller.ask("move", b"x")
            await until(lambda: decisions.requests, "the request")
            retune(it, safe(config_of(it).settings.classes))
            assert not any(request.attempts for request in decisions.requests.values())
            it.discovery.change(*(one.entry(f"u{n}") for n, one in enumerate(upstreams)))
            assert (await caller.answer()).status == 502
            assert sum(len(upstream.seen) for upstream in upstreams) == 1
        for upstream in upstreams:
            upstream.close()

    run(work())


def test_an_unsafe_request_that_awaits_a_load_report_stays_unsafe() -> None:
    """Its class is safe by the time that the upstream says it is idle."""

    async def work() -> None:
        go = asyncio.Event()

        async def asked(request: Incoming, talk: Talk) -> None:
            if request.target == "/status/load":
                await go.wait()
                await talk.send(ok(b"TEXT busy_reqs=0"))
            else:
                await talk.send(status(500))

        upstreams = [await FakeUpstream(asked).start() for _ in range(2)]
        rows = [upstream.entry(f"u{n}") for n, upstream in enumerate(upstreams)]
        stats = {"How": "on_probe", "Fields": ["busy_reqs"]}
        async with running(*rows, limits={"MayProbe": True}, stats=stats) as it, Caller(it.port) as caller:
            decisions = balancer_of(it)
            caller.ask("move", b"x")
            await until(
                lambda: any(one.probed_server is not None for one in decisions.requests.values()), "a probe"
            )
            retune(it, safe(config_of(it).settings.classes))
            go.set()
            assert (await caller.answer()).status == 502
            targets = [item.target for upstream in upstreams for item in upstream.seen]
            assert targets.count("/api") == 1 and "/status/load" in targets
        for upstream in upstreams:
            upstream.close()

    run(work())


def test_a_keyed_request_keeps_its_group_and_window() -> None:
    """Over a reload that makes its group all zones and its window long: it is tried again in its zone alone, and not
    once the window that it came with is over.
    """

    async def work() -> None:
        held = Held()
        north, south = await FakeUpstream(held).start(), await FakeUpstream(held).start()
        rows = [north.entry("u0"), south.entry("u1", zone="south")]
        async with running(*rows) as it, Caller(it.port) as early, Caller(it.port) as late:
            for caller, trace in ((early, "early"), (late, "late")):
                caller.ask("post", b"x", X_Trace_Id=trace)
            await until(lambda: len(north.seen) + len(south.seen) == 2, "both requests")
            first = {
                item.headers["x-trace-id"]: at for at, one in ((0, north), (1, south)) for item in one.seen
            }
            classes = config_of(it).settings.classes
            look = classes[0]
            retune(it, changed(classes, "post", group=look.group, memory_ms=60_000.0))
            held.go("early", status(500))
            assert (await early.answer()).status in (502, 503)
            pass_time(it.dispatcher.clock, 4_500.0)  # past the window of 4 s, before the deadline of 8 s
            held.go("late", status(500))
            assert (await late.answer()).status in (502, 503)
            seen = [
                (item.headers["x-trace-id"], at) for at, one in ((0, north), (1, south)) for item in one.seen
            ]
            assert seen.count(("late", first["late"])) == 1 and seen.count(("late", 1 - first["late"])) == 0
            assert seen.count(("early", first["early"])) > 1
            assert seen.count(("early", 1 - first["early"])) == 0
        north.close()
        south.close()

    run(work())


def test_a_place_is_not_given_away_while_a_request_holds_it() -> None:
    """The request of the class that has gone ends after others have come: what it took is held against none of them."""

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with running(upstream.entry("u0")) as it, Caller(it.port) as caller:
            classes = config_of(it).settings.classes
            caller.ask("move", b"x", X_Trace_Id="out")
            await upstream.arrived.get()
            look = classes[0]
            retune(it, (look, *many(MOST_GONE + 9, look)))
            retune(it, (look, *(replace(item, name=f"x{item.name}") for item in many(30, look))))
            limiter, held_by = balancer_of(it).limiter, balancer_of(it).settings.classes
            before = {cls.name: limiter.mean[at] for at, cls in enumerate(held_by)}
            pass_time(it.dispatcher.clock, 3_000.0)
            held.go("out")
            assert (await caller.answer()).status == 200
            after = {cls.name: limiter.mean[at] for at, cls in enumerate(held_by)}
            assert {name for name in after if after[name] != before[name]} == {"move"}
            assert len(held_by) < 2 * MOST_GONE  # other places were given away
        upstream.close()

    run(work())


class Fixed(ConcurrencyLimiter):
    """A window that stays as it is."""

    MIN_HARD_LIMIT = 1.0

    def __init__(self, settings: Settings, window: float) -> None:
        super().__init__(settings, Balancer(settings, 1).rng)
        self.min_hard_limit, self.window, self.opened, self.is_doubling = 1.0, window, True, True

    def record_end(self, *told: Any) -> None:
        pass

    def configure(self, settings: Settings) -> None:
        window = self.window
        super().configure(settings)
        self.window, self.min_hard_limit = window, 1.0


def fixed(classes: Classes, window: float = 1.0) -> Balancer:
    settings = replace(_settings(), classes=tuple(classes))
    return Balancer(settings, 1, Fixed(settings, window))


def _settings() -> Settings:
    return decode(json.dumps(config_data([], 1)), {}).settings


def test_a_request_that_waits_for_a_place_is_served_as_what_it_came_as() -> None:
    """The window is full, one waits in each class; classes come before and behind, one goes, and all are served in the
    turn of their worth.
    """

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        classes = _settings().classes
        decisions = fixed(classes)
        async with running(upstream.entry("u0"), script=decisions) as it:
            callers = {name: await Caller(it.port).__aenter__() for name in ("out", "look", "post", "move")}
            for count, (name, caller) in enumerate(callers.items(), start=1):
                caller.ask("look" if name == "out" else name, b"x", X_Trace_Id=name)
                await until(lambda: len(decisions.requests) == count, name)  # noqa: B023
            assert len(decisions.queue) == 3
            fresh = replace(classes[0], name="fresh")
            retune(it, (fresh, *without(safe(classes), "post")))
            for name in ("out", "look", "post", "move"):
                held.go(name, status(500) if name == "move" else None)
            answers = {name: await caller.answer() for name, caller in callers.items()}
            assert {name: answer.status for name, answer in answers.items()} == {
                "out": 200,
                "look": 200,
                "post": 200,
                "move": 502,
            }
            assert [item.headers["x-qos"] for item in upstream.seen].count("move") == 1
            for caller in callers.values():
                caller.writer.close()
        upstream.close()

    run(work())


def test_a_request_over_its_share_leaves_the_room_after_a_class_has_come() -> None:
    """The class that comes moves the queues of those over their share. Its caller goes, and the next one is served."""

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        classes = _settings().classes
        decisions = fixed(classes)
        decisions.client_stats.is_over_share = lambda event: event.client_retry  # type: ignore[method-assign]
        async with running(upstream.entry("u0"), script=decisions) as it, Caller(it.port) as out:
            out.ask(X_Trace_Id="out")
            await upstream.arrived.get()
            async with Caller(it.port) as over, Caller(it.port) as within:
                for count, (caller, again) in enumerate(((over, "1"), (within, "0")), start=1):
                    caller.ask(X_Second_Try=again)
                    await until(lambda: len(decisions.queue) == count, "one that waits")  # noqa: B023
                retune(it, (*classes, replace(classes[0], name="fresh")))
            await until(lambda: len(decisions.requests) == 1, "that both are gone")
            assert not decisions.queue
            async with Caller(it.port) as caller:
                caller.ask("fresh", X_Second_Try="1", X_Trace_Id="next")
                await until(lambda: decisions.queue, "one that waits")
                held.go("out")
                held.go("next")
                assert (await out.answer()).status == 200
                assert (await caller.answer()).status == 200
            assert len(upstream.seen) == 2
        upstream.close()

    run(work())


def test_a_class_whose_worth_was_little_does_not_wait_for_turns_that_this_had_cost() -> None:
    """Its turn was a thousand others' behind; worth as much as they are, it takes turns with them."""

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        poor = changed(changed(_settings().classes, "post", worth=0.001), "move", worth=1.0)
        decisions = fixed(poor)
        async with running(upstream.entry("u0"), script=decisions) as it:
            callers: list[Caller] = []

            async def ask(cls: str, trace: str) -> Caller:
                caller = await Caller(it.port).__aenter__()
                callers.append(caller)
                count = len(decisions.requests)
                caller.ask(cls, b"x", X_Trace_Id=trace)
                await until(lambda: len(decisions.requests) == count + 1, trace)
                return caller

            first = await ask("move", "a")
            second = await ask("post", "b")
            held.go("a")
            assert (await first.answer()).status == 200
            retune(it, changed(poor, "post", worth=1.0))
            for trace in ("m1", "m2", "m3"):
                await ask("move", trace)
            await ask("post", "p1")
            for trace in ("b", "m1", "m2", "m3", "p1"):
                held.go(trace)
            assert (await second.answer()).status == 200
            for caller in callers[2:]:
                assert (await caller.answer()).status == 200
            order = [item.headers["x-trace-id"] for item in upstream.seen]
            assert order[:2] == ["a", "b"] and order.index("p1") < 4
            for caller in callers:
                caller.writer.close()
        upstream.close()

    run(work())


def test_a_request_sent_ahead_keeps_the_deadline_and_class_it_was_received_under() -> None:
    """It lies behind another when the reload comes, and is taken up under what counted when it was read; so is one
    whose class has gone meanwhile. One that comes later is read under the new settings.
    """

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with running(upstream.entry("u0")) as it, Caller(it.port) as caller, Caller(it.port) as after:
            ahead = [("look", "first"), ("look", "second"), ("move", "third")]
            caller.send(b"".join(request_bytes(cls, b"x", X_Trace_Id=trace) for cls, trace in ahead))
            await upstream.arrived.get()
            classes = config_of(it).settings.classes
            retune(it, without(changed(classes, "look", deadline_ms=3_000.0, aim_ms=2_000.0), "move"))
            for _, trace in ahead:
                held.go(trace)
            assert [(await caller.answer()).body for _ in ahead] == [b"first", b"second", b"third"]
            left = [float(item.headers["x-expires-in-ms"]) for item in upstream.seen]
            assert min(left) > 3_000.0
            held.go("fourth")
            after.ask("look", b"x", X_Trace_Id="fourth")
            assert (await after.answer()).status == 200
            assert float(upstream.seen[-1].headers["x-expires-in-ms"]) <= 3_000.0
            after.ask("move", b"x")
            assert (await after.answer()).status == 400
        upstream.close()

    run(work())


@pytest.mark.parametrize("reloads", RELOADS.values(), ids=RELOADS)
def test_an_unsafe_request_sent_ahead_stays_unsafe(reloads: Callable[[Classes], list[Classes]]) -> None:
    """It fails, and is not tried again; where its class's place is another's by its turn, it has not run at all."""

    async def work() -> None:
        held = Held()
        upstreams = [await FakeUpstream(held).start() for _ in range(2)]
        rows = [upstream.entry(f"u{n}") for n, upstream in enumerate(upstreams)]
        async with running(*rows) as it, Caller(it.port) as caller:
            ahead = [("look", "first"), ("move", "unsafe")]
            caller.send(b"".join(request_bytes(cls, b"x", X_Trace_Id=trace) for cls, trace in ahead))
            await until(lambda: any(upstream.seen for upstream in upstreams), "the first request")
            for classes in reloads(config_of(it).settings.classes):
                retune(it, classes)
            held.go("unsafe", status(500))
            held.go("first")
            assert (await caller.answer()).body == b"first"
            answer = await caller.answer()
            runs = [item for one in upstreams for item in one.seen if item.headers["x-trace-id"] == "unsafe"]
            assert (answer.status, len(runs)) in ((502, 1), (503, 0))
        for upstream in upstreams:
            upstream.close()

    run(work())


@pytest.mark.parametrize(("before", "after"), [(1, 4), (4, 1)])
def test_a_request_sent_ahead_has_no_more_attempts_than_it_was_received_with(before: int, after: int) -> None:
    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        limits = {"SendCap": before}
        async with running(upstream.entry("u0"), limits=limits) as it, Caller(it.port) as caller:
            ahead = [("look", "first"), ("look", "second")]
            caller.send(b"".join(request_bytes(cls, b"x", X_Trace_Id=trace) for cls, trace in ahead))
            await upstream.arrived.get()
            retune(it, config_of(it).settings.classes, max_attempts=after)
            held.go("second", status(500))
            held.go("first")
            assert (await caller.answer()).status == 200
            assert (await caller.answer()).status in (502, 503)
            tries = [item.headers["x-trace-id"] for item in upstream.seen]
            assert tries.count("second") == 1
        upstream.close()

    run(work())


def test_reloads_without_end_retain_a_bounded_number_of_settings() -> None:
    """The oldest that is retained reads what came before it; none of them retains others of its own."""

    def settings(deadline_ms: float) -> Settings:
        look = RequestClass(name="look", aim_ms=500.0, deadline_ms=deadline_ms, effect=Effect.SAFE)
        return Settings(classes=[look])

    parser = RequestParser(settings(1_000.0))
    for n in range(1, 100):
        parser = RequestParser(settings(1_000.0 + n), None, 10.0 * n, parser)
    assert len(parser._earlier) == RequestParser.MAX_EARLIER
    assert not any(earlier._earlier for _, earlier in parser._earlier)
    message = Message()
    message.headers = [(b"X-Trace-Id", b"one"), (b"X-Qos", b"look")]
    found = {}
    for queued_since_ms in (0.0, 1.0, 915.0, 985.0, 989.9, 990.0):
        message.queued_since_ms = queued_since_ms
        found[queued_since_ms] = parser.parse(message)[1]
    assert found == {
        0.0: 1_099.0,
        1.0: 1_091.0,
        915.0: 1_091.0,
        985.0: 1_098.0,
        989.9: 1_098.0,
        990.0: 1_099.0,
    }


def test_a_body_that_still_comes_keeps_its_deadline_and_effect() -> None:
    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()
        async with running(upstream.entry("u0")) as it, Caller(it.port) as caller:
            body = b"x" * (MAX_REPLAYABLE_BODY + 64 * 1024)
            whole = request_bytes("move", body, X_Trace_Id="out")
            caller.send(whole[:-1])
            decisions = balancer_of(it)
            await until(lambda: decisions.requests, "the request, while its body comes")
            classes = config_of(it).settings.classes
            retune(it, changed(safe(classes), "move", deadline_ms=300.0, aim_ms=200.0))
            caller.send(whole[-1:])
            await upstream.arrived.get()
            pass_time(it.dispatcher.clock, 2_000.0)
            held.go("out")
            assert (await caller.answer()).status == 200
            assert float(upstream.seen[0].headers["x-expires-in-ms"]) > 300.0
        upstream.close()

    run(work())


def test_an_id_is_remembered_as_long_as_it_was_to_be_before_the_reload() -> None:
    """All deadlines become short: a copy that comes later than twice the new ones runs nowhere all the same."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("u0")) as it, Caller(it.port) as caller:
            caller.ask("move", b"x", X_Trace_Id="once")
            assert (await caller.answer()).status == 200
            classes = config_of(it).settings.classes
            retune(it, [replace(item, aim_ms=400.0, deadline_ms=500.0) for item in classes])
            pass_time(it.dispatcher.clock, 5_000.0)
            caller.ask("move", b"x", X_Trace_Id="other")
            assert (await caller.answer()).status == 200
            caller.ask("move", b"x", X_Trace_Id="once")
            assert (await caller.answer()).status == 409
        upstream.close()

    run(work())


def test_nothing_of_a_request_sticks_to_its_connections() -> None:
    """Two tenants on one kept connection, and on one kept connection to the upstream: the second says less."""

    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        said = {
            "Idempotency-Key": "k1",
            "X-Object": "o1",
            "X-Size-Hint": "5000",
            "X-Second-Try": "1",
            "X-Customer": "acme",
            "X-Expires-In-Ms": "700",
        }
        async with running(upstream.entry("u0"), script=script) as it, Caller(it.port) as caller:
            for n, fields in enumerate((said, {}, {"X-Customer": "beta"})):
                lines = {"Host": "h", "X-Trace-Id": f"t{n}", "X-Qos": "move" if n else "post"} | fields
                head = "".join(f"{name}: {value}\r\n" for name, value in lines.items())
                caller.send(f"POST /api HTTP/1.1\r\n{head}Content-Length: 0\r\n\r\n".encode())
                assert (await caller.answer()).status == 200
            events = [event for event in script.events if isinstance(event, RequestArrived)]
            first, second, third = events
            assert (first.class_index, first.tenant, first.client_retry) == (1, 0, True)
            assert (first.time_left_ms, first.expected_ms) == (700.0, 5.0) and first.key
            for event in (second, third):
                assert (event.class_index, event.tenant, event.client_retry) == (2, 1, False)
                assert (event.time_left_ms, event.expected_ms, event.key) == (8000.0, None, 0)
            assert upstream.connections == 1
            once = {name.lower() for name in said} - {"x-expires-in-ms"}
            assert once <= set(upstream.seen[0].headers)
            assert not once & set(upstream.seen[1].headers)
            assert once & set(upstream.seen[2].headers) == {"x-customer"}
            left = [float(item.headers["x-expires-in-ms"]) for item in upstream.seen]
            assert left[0] <= 700.0 and min(left[1:]) > 700.0
        upstream.close()

    run(work())


def test_a_bad_file_between_two_good_ones_leaves_the_first_whole(tmp_path: Path) -> None:
    """One line, and both the deadline and the effect of the first reload; then those of the third. A request that was
    out all the while has its own.
    """

    async def work() -> None:
        held = Held()
        upstream = await FakeUpstream(held).start()

        def file(deadline_ms: int, effect: str) -> dict[str, Any]:
            look, post, move = SETTINGS["Categories"]
            return SETTINGS | {
                "Categories": [
                    look | {"HardLimitMs": deadline_ms, "AimMs": deadline_ms},
                    post,
                    move | {"Effect": effect},
                ]
            }

        async with service(tmp_path, upstream) as it, asyncio.timeout(3 * PATIENCE_S):
            await it.start()
            async with Caller(it.port) as out, Caller(it.port) as caller:

                async def left(trace: str) -> float:
                    held.go(trace)
                    caller.ask("look", X_Trace_Id=trace)
                    assert (await caller.answer()).status == 200
                    return float(upstream.seen[-1].headers["x-expires-in-ms"])

                async def tries(trace: str) -> int:
                    held.go(trace, status(500))
                    caller.ask("move", b"x", X_Trace_Id=trace)
                    assert (await caller.answer()).status in (502, 503)
                    return sum(item.headers["x-trace-id"] == trace for item in upstream.seen)

                out.ask("move", b"x", X_Trace_Id="out", X_Expires_In_Ms="8000")
                await upstream.arrived.get()
                it.write(settings=file(4000, "read_like"))
                it.signal(signal.SIGHUP)
                await it.said("reload: discovery is")
                assert 3000 < await left("a") <= 4000 and await tries("b") > 1
                lines = len(it.log)
                it.write(settings=file(-1, "non_idempotent"))
                it.signal(signal.SIGHUP)
                await it.said("what was read before stays")
                assert len(it.log) == lines + 1
                assert 3000 < await left("c") <= 4000 and await tries("d") > 1
                held.go("out", status(500))
                assert (await out.answer()).status == 502
                assert sum(item.headers["x-trace-id"] == "out" for item in upstream.seen) == 1
                it.write(settings=file(3000, "non_idempotent"))
                it.signal(signal.SIGHUP)
                await it.said("reload: discovery is", times=2)
                assert 2000 < await left("e") <= 3000 and await tries("f") == 1
            it.signal(signal.SIGTERM)
            assert await it.ended() == 0
        upstream.close()

    run(work())
