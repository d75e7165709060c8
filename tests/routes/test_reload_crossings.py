"""Requests that are open during a reload and then fall back to another pool keep their class and tenant."""

from __future__ import annotations

import asyncio
from collections.abc import Sequence
from dataclasses import replace
from typing import Any

from larkweir_balancing.interface import (
    Action,
    Effect,
    Event,
    ListUpdate,
    Refuse,
    RequestArrived,
    RequestClass,
    Settings,
    Tenant,
)

from larkweir.config.options import Operator, Pool, Route
from standins.peers import PATIENCE_S, Caller, FakeUpstream, Incoming, Talk, ok, status
from tests.fakes import SETTINGS, Running, running
from tests.upstreams.test_attempts import run

NEVER_RAN = "X-Never-Ran: 1\r\n"


class RejectingUpstream:
    """An upstream's behaviour: rejects every request as not executed, once `released` is set."""

    def __init__(self) -> None:
        self.released = asyncio.Event()

    async def __call__(self, request: Incoming, talk: Talk) -> None:
        await self.released.wait()
        await talk.send(status(503, NEVER_RAN))


async def answer_500(request: Incoming, talk: Talk) -> None:
    await talk.send(status(500))


def fixed(*upstreams: FakeUpstream, **more: Any) -> Pool:
    return Pool(fixed=tuple(f"127.0.0.1:{upstream.port}" for upstream in upstreams), **more)


def settings_of(it: Running) -> Settings:
    assert it.node is not None
    return it.node.config.settings


def reconfigure(it: Running, routes: dict[str, Route], pools: dict[str, Pool], settings: Settings) -> None:
    assert it.node is not None
    it.node.reconfigure(replace(it.node.config, settings=settings), Operator(routes=routes, pools=pools))


def with_class(classes: Sequence[RequestClass], name: str, **changes: Any) -> tuple[RequestClass, ...]:
    return tuple(replace(item, **changes) if item.name == name else item for item in classes)


FALLBACK_ROUTES = {"r": Route(path="/api", pool="first", fallback=("spare",))}


def test_an_unsafe_request_runs_once_though_its_class_is_safe_when_it_falls_back() -> None:
    """The first pool refuses the request after a reload that makes its class safe. A fallback pool that treated it as
    safe would repeat it.
    """

    async def work() -> None:
        rejecting = RejectingUpstream()
        first = await FakeUpstream(rejecting).start()
        spares = [await FakeUpstream(answer_500).start() for _ in range(2)]
        pools = {"first": fixed(first, attempts=1), "spare": fixed(*spares)}
        async with running(routes=FALLBACK_ROUTES, pools=pools) as it, Caller(it.port) as caller:
            caller.ask("move", b"x")
            await first.arrived.get()
            settings = settings_of(it)
            classes = with_class(settings.classes, "move", effect=Effect.SAFE)
            reconfigure(it, FALLBACK_ROUTES, pools, replace(settings, classes=classes))
            rejecting.released.set()
            assert (await caller.answer()).status == 503
            assert sum(len(spare.seen) for spare in spares) == 0
            caller.ask("move", b"x")  # a request that arrives after the reload
            assert (await caller.answer()).status in (502, 503)
            assert sum(len(spare.seen) for spare in spares) > 1
        for upstream in (first, *spares):
            upstream.close()

    run(work())


def test_a_request_whose_class_is_unchanged_falls_back_after_a_reload() -> None:
    """The reload changes another class, and moves the class of the request to another position in the file."""

    async def work() -> None:
        rejecting = RejectingUpstream()
        first, spare = await FakeUpstream(rejecting).start(), await FakeUpstream().start()
        pools = {"first": fixed(first), "spare": fixed(spare)}
        async with running(routes=FALLBACK_ROUTES, pools=pools) as it, Caller(it.port) as caller:
            caller.ask("move", b"x")
            await first.arrived.get()
            settings = settings_of(it)
            classes = with_class(settings.classes, "look", worth=3.0)[::-1]
            reconfigure(it, FALLBACK_ROUTES, pools, replace(settings, classes=classes))
            rejecting.released.set()
            assert (await caller.answer()).status == 200
            assert len(spare.seen) == 1
        first.close()
        spare.close()

    run(work())


def test_a_request_that_falls_back_keeps_its_maximum_number_of_attempts() -> None:
    """The request arrived with a limit of one attempt and has made it. The new limit of four is for later requests."""

    async def work() -> None:
        rejecting = RejectingUpstream()
        first, spare = await FakeUpstream(rejecting).start(), await FakeUpstream().start()
        pools = {"first": fixed(first), "spare": fixed(spare)}
        limits = {"SendCap": 1}
        async with (
            running(routes=FALLBACK_ROUTES, pools=pools, limits=limits) as it,
            Caller(it.port) as caller,
        ):
            caller.ask("look")
            await first.arrived.get()
            reconfigure(it, FALLBACK_ROUTES, pools, replace(settings_of(it), max_attempts=4))
            rejecting.released.set()
            assert (await caller.answer()).status in (502, 503)
            assert len(first.seen) == 1 and not spare.seen
            caller.ask("look")
            assert (await caller.answer()).status == 200
            assert len(spare.seen) == 1
        first.close()
        spare.close()

    run(work())


def test_a_request_that_falls_back_counts_for_its_own_tenant() -> None:
    """Tenants change positions in the file and one is removed. The tenant now at its position must not be charged."""

    async def work() -> None:
        rejecting = RejectingUpstream()
        first, spare = await FakeUpstream(rejecting).start(), await FakeUpstream().start()
        pools = {"first": fixed(first), "spare": fixed(spare)}
        rows = [{"Name": name, "QuotaPerS": 100, "Fraction": 0.3} for name in ("acme", "beta", "gone")]
        counted: list[str] = []
        async with (
            running(routes=FALLBACK_ROUTES, pools=pools, base=_base(Tenants=rows)) as it,
            Caller(it.port) as beta,
            Caller(it.port) as gone,
        ):
            assert it.node is not None and it.node.routes is not None
            for caller, name in ((beta, "beta"), (gone, "gone")):
                caller.ask("look", X_Customer=name)
                await first.arrived.get()
            settings = settings_of(it)
            tenants = (Tenant(100.0, name="beta"), Tenant(100.0, name="acme"))
            reconfigure(it, FALLBACK_ROUTES, pools, replace(settings, tenants=tenants))
            callers = it.node.routes.switch.pools["spare"].decisions.client_stats
            real = callers.is_over_share

            def counting(event: Any) -> bool:
                counted.append(tenants[event.tenant].name if event.tenant < len(tenants) else "")
                return real(event)

            callers.is_over_share = counting  # type: ignore[method-assign]
            rejecting.released.set()
            for caller in (beta, gone):
                assert (await caller.answer()).status == 200
            assert sorted(counted) == ["", "beta"]
        first.close()
        spare.close()

    run(work())


def _base(**changes: Any) -> dict[str, Any]:
    return SETTINGS | changes


def test_a_mirrored_request_is_not_sent_after_a_reload() -> None:
    """The reload happens between the request and its mirrored copy, and makes the class unsafe."""

    async def work() -> None:
        async def answers(request: Incoming, talk: Talk) -> None:
            await talk.send(ok(b"main"))

        main, shadow = await FakeUpstream(answers).start(), await FakeUpstream().start()
        pools = {"main": fixed(main), "shadow": fixed(shadow)}
        routes = {"r": Route(path="/api", pool="main", mirror="shadow", mirror_part=1.0)}
        async with running(routes=routes, pools=pools) as it, asyncio.timeout(PATIENCE_S):
            assert it.node is not None and it.node.routes is not None
            real = it.dispatcher.arrive

            def arrive(*told: Any) -> int:
                number = real(*told)
                it.dispatcher.arrive = real  # type: ignore[method-assign]
                settings = settings_of(it)
                classes = with_class(settings.classes, "look", effect=Effect.UNSAFE)
                reconfigure(it, routes, pools, replace(settings, classes=classes))
                return number

            it.dispatcher.arrive = arrive  # type: ignore[method-assign]
            async with Caller(it.port) as caller:
                for _ in range(2):
                    caller.ask("look")
                    assert (await caller.answer()).body == b"main"
            assert (it.node.routes.mirrored, it.node.routes.unmirrored) == (0, 1)
            assert not shadow.seen
        main.close()
        shadow.close()

    run(work())


def test_a_request_admitted_by_the_list_of_a_reload_uses_the_pools_of_the_reload() -> None:
    """The second of two pipelined requests is admitted when the first one is answered, which happens as the pools get
    the list of a reload. The route of the second request then leads to a pool that is new with the reload.
    """

    async def work() -> None:
        before, after = await FakeUpstream().start(), await FakeUpstream().start()
        routes = {"r": Route(path="/api", pool="only")}
        async with running(routes=routes, pools={"only": fixed(before)}) as it, Caller(it.port) as caller:
            assert it.node is not None and it.node.routes is not None
            decisions = it.node.routes.switch.pools["only"].decisions
            handle = decisions.handle
            arrived = asyncio.Event()

            def refuses_first_at_a_list(now_ms: float, event: Event) -> list[Action]:
                if isinstance(event, RequestArrived) and event.request == 1:
                    arrived.set()
                    return []
                refusal: list[Action] = [Refuse(1)] if isinstance(event, ListUpdate) else []
                return refusal + handle(now_ms, event)

            decisions.handle = refuses_first_at_a_list  # type: ignore[method-assign]
            caller.ask("look")
            caller.ask("look")
            async with asyncio.timeout(PATIENCE_S):
                await arrived.wait()
            routes = {"r": Route(path="/api", pool="other")}
            reconfigure(it, routes, {"other": fixed(after)}, settings_of(it))
            assert (await caller.answer()).status == 503
            assert (await caller.answer()).status == 200
            assert (len(before.seen), len(after.seen)) == (0, 1)
        before.close()
        after.close()

    run(work())
