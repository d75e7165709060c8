"""Limits on new connections: the rules alone, and on sockets, where calls reuse connections and each ends once."""

from __future__ import annotations

import asyncio

import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_balancing.interface import Outcome

from larkweir.storms.pace import AcceptLimiter, ConnectLimiter, TokenBucket
from tests.fakes import PATIENCE_S, Caller, FakeUpstream, Incoming, Script, Talk, ok, running
from tests.upstreams.test_attempts import run


@given(st.lists(st.floats(0.0, 500.0), max_size=200), st.floats(1.0, 200.0))
def test_a_bucket_never_gives_more_than_its_rate_and_burst(steps: list[float], per_s: float) -> None:
    bucket = TokenBucket(0.0, 5.0)
    now, taken = 0.0, 0
    for step in steps:
        now += step
        taken += bucket.take(now, per_s)
        assert taken <= 5.0 + per_s * now / 1000.0 + 1e-6


def test_connections_to_a_cold_upstream_follow_its_capacity() -> None:
    limiter = ConnectLimiter(40.0, lambda upstream, now: 0.25 if upstream == 1 else 1.0)
    counts = {1: 0, 2: 0}
    for now in range(0, 10_000, 5):
        for upstream in counts:
            counts[upstream] += limiter.try_open(upstream, float(now))
    assert 95 <= counts[1] <= 125  # 10 a second, and the burst
    assert 395 <= counts[2] <= 425


def test_the_number_of_buckets_is_bounded() -> None:
    limiter = ConnectLimiter(10.0, lambda upstream, now: 1.0)
    for upstream in range(20_000):
        limiter.try_open(upstream, float(upstream))
    assert len(limiter._buckets) <= ConnectLimiter.MAX_BUCKETS


@pytest.mark.parametrize("aim_ms", [50.0, 410.0, 5000.0])
def test_a_full_backlog_is_accepted_well_within_the_latency_target(aim_ms: float) -> None:
    limiter = AcceptLimiter(aim_ms, 1024)
    now, taken = 0.0, 0
    while taken < 1024:
        while limiter.try_accept(now):
            taken += 1
        now += 5.0  # the listener's pause
    assert now <= 0.25 * aim_ms + 10.0, now


class LimitedConnects:
    """Allows `free` new connections, and no more."""

    def __init__(self, free: int) -> None:
        self.free = free

    def is_allowed(self, upstream: int, now_ms: float) -> bool:
        if self.free <= 0:
            return False
        self.free -= 1
        return True

    def wait_ms(self, upstream: int, now_ms: float) -> float:
        return 5.0


def test_calls_wait_for_a_free_connection_when_none_may_be_opened() -> None:
    async def work() -> None:
        async def answer(request: Incoming, talk: Talk) -> None:
            await asyncio.sleep(0.02)
            await talk.send(ok(b"x"))

        upstream = await FakeUpstream(answer).start()
        async with running(upstream.entry("a"), script=Script([1])) as balancer:
            balancer.dispatcher.upstreams.rate_limiter = LimitedConnects(2)
            callers = [Caller(balancer.port) for _ in range(12)]
            for caller in callers:
                await caller.__aenter__()
                caller.ask()
            assert [(await caller.answer()).status for caller in callers] == [200] * 12
            assert upstream.connections == 2
            assert not balancer.dispatcher.upstreams._waiting
            for caller in callers:
                await caller.__aexit__(None, None, None)

    run(work())


def test_a_call_that_times_out_without_a_connection_has_never_run() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1], timeout_ms=60.0)
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            balancer.dispatcher.upstreams.rate_limiter = LimitedConnects(0)
            caller.ask("move", b"x")
            assert (await caller.answer()).status == 502
            assert (await script.ended()).outcome is Outcome.CONNECT_FAILED
            balancer.dispatcher.upstreams.rate_limiter = LimitedConnects(5)
            script.timeout_ms = 0.0
            caller.ask("move", b"x")
            assert (await caller.answer()).status == 200
            assert upstream.connections == 1 and len(upstream.seen) == 1
            async with asyncio.timeout(PATIENCE_S):
                while balancer.dispatcher.upstreams._waiting:
                    await asyncio.sleep(0.01)

    run(work())


def test_a_call_that_waits_past_the_drain_grace_of_its_upstream_is_never_sent() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        script = Script([1])
        async with running(upstream.entry("a"), script=script) as balancer, Caller(balancer.port) as caller:
            balancer.dispatcher.upstreams.rate_limiter = LimitedConnects(0)
            caller.ask("move", b"x")
            balancer.discovery.change(upstream.entry("a") | {"lifecycle": "leaving"})
            target = balancer.dispatcher.upstreams.targets[1]
            async with asyncio.timeout(PATIENCE_S):
                while not target.draining_since_ms or not target.drain_expired(
                    balancer.dispatcher.clock.now_ms()
                ):
                    await asyncio.sleep(0.01)
            balancer.dispatcher.upstreams.rate_limiter = LimitedConnects(5)
            assert (await script.ended()).outcome is Outcome.MOOT
            assert not upstream.seen

    run(work())
