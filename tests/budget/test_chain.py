"""Retry budgets over up to three tiers of real processes: attempts, loops, time, and which headers are trusted."""

from __future__ import annotations

import asyncio
import time
from random import Random

import pytest

from standins.chain import Chain
from standins.peers import Talk, ok
from tests.upstreams.test_attempts import run


@pytest.mark.parametrize("divide", ["half", "even", "most", "all"])
def test_attempts_at_the_last_tier_never_exceed_the_client_s_budget(divide: str) -> None:
    """At 30% errors of all kinds: no budget is exceeded, no unsafe effect happens twice, and every request gets an
    answer.
    """

    async def work() -> None:
        async with Chain(errors=0.3, seed=3, options=f'divide = "{divide}"\nretry_ratio = 5.0') as rig:
            rng = Random(5)
            budgets = {n: rng.choice([1, 2, 3, 5, 8]) for n in range(150)}
            classes = {n: rng.choice(["consulta", "publicar", "traspaso"]) for n in budgets}
            gate = asyncio.Semaphore(10)

            async def one(n: int) -> int:
                async with gate:
                    answer = await rig.client(n, classes[n], budgets[n])
                assert int(answer.headers["x-budget-spent"]) <= budgets[n]
                if answer.status == 503 and classes[n] == "traspaso":
                    assert not rig.ledger.effects[f"c{n}"]
                return answer.status

            codes = await asyncio.gather(*(one(n) for n in budgets))
            await asyncio.sleep(0.3)
            for n, budget in budgets.items():
                assert rig.ledger.attempts[f"c{n}"] <= budget, (n, budget)
                if classes[n] == "traspaso":
                    assert rig.ledger.effects[f"c{n}"] <= 1
            assert len(codes) == 150 and codes.count(200) > 75
            assert max(rig.ledger.attempts.values()) > 1  # there were retries

    run(work())


def test_without_budgets_the_same_chain_multiplies() -> None:
    """Guards the test above: without budgets one request makes more attempts than any budget there allows."""

    async def work() -> None:
        async with Chain(budget=False, errors=1.0, stall_s=0.0, seed=3) as rig:
            for n in range(12):
                await rig.client(n)
            assert max(rig.ledger.attempts.values()) > 8

    run(work())


@pytest.mark.parametrize("tiers", [2, 3])
def test_a_ring_of_tiers_is_refused_at_the_first_repeat(tiers: int) -> None:
    """Two tiers that forward to each other, and three in a ring: the request passes each tier at most once, is reported
    as never run, and is not retried above.
    """

    async def work() -> None:
        async with Chain(tiers=tiers, ring=True) as rig:
            for n in range(5):
                for cls in ("consulta", "traspaso"):
                    number = n * 10 + (cls == "traspaso")
                    begun = time.monotonic()
                    answer = await rig.client(number, cls, 8)
                    spent_ms = (time.monotonic() - begun) * 1000.0
                    assert answer.status == 503
                    assert answer.headers["x-budget-loop"] == "1" and answer.headers["x-never-ran"] == "1"
                    assert answer.headers["x-budget-spent"] == "1"  # the one attempt that met the loop
                    for tier in range(tiers):
                        assert rig.ledger.passes[f"c{number}", tier] == 1
                    assert spent_ms < 2_000.0  # its figure is measured in benchmarks.chain_budget
            assert "loop number 1 refused" in rig.log()

    run(work())


def test_a_hop_that_strips_the_headers_does_bounded_damage() -> None:
    """Each section between two hops that strip the headers has the operator's default budget, and no more."""

    async def work() -> None:
        async with Chain(
            errors=1.0, stall_s=0.0, strips=True, options="attempts = 2\nretry_ratio = 5.0"
        ) as rig:
            for n in range(6):
                await rig.client(n, budget=1)
            # One attempt above, and two at each tier below, which uses its default for lack of the headers.
            assert max(rig.ledger.attempts.values()) <= 4
            assert all(n <= (1, 1, 4)[tier] for (_, tier), n in rig.ledger.passes.items() if tier != 1)

    run(work())


def test_headers_of_untrusted_callers_are_ignored() -> None:
    """A forged budget, worth and path from an untrusted caller have no effect and are not forwarded."""

    async def work() -> None:
        async with Chain(
            tiers=2, errors=1.0, stall_s=0.0, trust=(), options="attempts = 2\nretry_ratio = 5.0"
        ) as rig:
            for n in range(5):
                answer = await rig.client(
                    n, budget=1000, x_budget_path="tier-0, tier-1", x_budget_worth="999999"
                )
                assert answer.status in (502, 503, 504)
                assert not any(name.startswith("x-budget") for name in answer.headers)
                assert rig.ledger.passes[f"c{n}", 0] <= 2
                assert rig.ledger.attempts[f"c{n}"] <= 4

    run(work())


@pytest.mark.parametrize(
    "headers",
    [
        {"x_budget": "lots"},
        {"x_budget": "-5"},
        {"x_budget": "9" * 500},
        {"x_budget_worth": "nan"},
        {"x_budget_path": "," * 200},
        {"x_budget_path": "x" * 5000},
        {"x_budget_worth": "\x7f"},
    ],
)
def test_absurd_values_from_a_trusted_caller_are_bounded(headers: dict[str, str]) -> None:
    async def work() -> None:
        async with Chain(tiers=1, nodos=1, options="attempts = 2") as rig:
            answer = await rig.client(1, **headers)
            assert answer.status in (200, 400)
            assert (await rig.client(2)).status == 200
            assert rig.processes[0].returncode is None and "Traceback" not in rig.log()

    run(work())


def test_time_shrinks_on_the_way_down_and_only_durations_travel() -> None:
    """Each tier deducts the time for the way back. No header holds a time of day, so clocks may differ."""

    async def work() -> None:
        async with Chain(options="way_back_ms = 300.0") as rig:
            for n in range(3):
                assert (await rig.client(n)).status == 200
            assert all(left <= 4000 - 900 for left in rig.ledger.expires)

    run(work())


def test_a_traspaso_without_time_is_refused_before_it_is_sent() -> None:
    """With less time than the way back needs, nothing is sent, and the refusal says that the request never ran."""

    async def work() -> None:
        async with Chain(tiers=2, options="way_back_ms = 300.0") as rig:
            answer = await rig.client(1, "traspaso", x_expires_in_ms="250")
            assert answer.status == 503 and answer.headers["x-never-ran"] == "1"
            assert not rig.ledger.passes
            # Enough time for both tiers: the request is served.
            answer = await rig.client(2, "traspaso", x_expires_in_ms="4000", x_budget="1")
            assert answer.status == 200

    run(work())


def test_a_traspaso_whose_budget_expires_after_it_was_sent_is_a_failure() -> None:
    """The last tier holds it past its time: it fails without `X-Never-Ran` and is not sent again."""

    async def work() -> None:
        async with Chain(tiers=2, errors=0.0, deadline_ms=4000.0) as rig:
            go = asyncio.Event()

            async def held(request: object, talk: Talk) -> None:
                rig.ledger.attempts["held"] += 1
                await go.wait()
                await talk.send(ok())

            for nodo in rig.nodos[1]:
                nodo.server.behave = held
            answer = await rig.client(1, "traspaso", 4, x_expires_in_ms="1500")
            assert answer.status in (502, 504)
            assert "x-never-ran" not in answer.headers
            assert int(answer.headers["x-budget-spent"]) >= 1
            go.set()
            assert rig.ledger.attempts["held"] == 1

    run(work())


def test_an_unsafe_request_that_was_refused_unread_is_retried() -> None:
    """The upstreams of the last tier refuse it unread twice: each tier may retry, within the one budget."""

    async def work() -> None:
        async with Chain(tiers=2, options="retry_ratio = 5.0") as rig:
            seen: list[str] = []

            async def turn(request: object, talk: Talk) -> None:
                seen.append("x")
                if len(seen) < 3:
                    await talk.send(b"HTTP/1.1 503 X\r\nX-Never-Ran: 1\r\nContent-Length: 0\r\n\r\n")
                else:
                    await talk.send(ok())

            for nodo in rig.nodos[1]:
                nodo.server.behave = turn
            answer = await rig.client(1, "traspaso", 8)
            assert answer.status == 200 and len(seen) == 3

    run(work())


def test_a_hop_that_copies_calls_costs_its_copies_and_no_more() -> None:
    """A hop copies each call and gives both copies the whole grant: the last tier sees twice the budget, but the tiers
    above hear of no more than they granted, and the excess does not grow further.
    """

    async def work() -> None:
        async with Chain(tiers=2, copies=2) as rig:
            for n in range(6):
                answer = await rig.client(n, budget=1)
                assert answer.status == 200 and answer.headers["x-budget-spent"] == "1"
                assert rig.ledger.attempts[f"c{n}"] == 2
                assert rig.ledger.passes[f"c{n}", 0] == 1

    run(work())


def test_a_traspaso_whose_answer_is_late_fails_and_ran_once() -> None:
    """The last tier has served it, but the answer arrives too late at the first tier: no refusal, no second run."""

    async def work() -> None:
        async with Chain(late_s=2.5) as rig:
            answer = await rig.client(1, "traspaso", 8, x_expires_in_ms="1800")
            assert answer.status in (502, 504) and "x-never-ran" not in answer.headers
            assert int(answer.headers["x-budget-spent"]) >= 1
            assert rig.ledger.effects["c1"] == 1 == rig.ledger.attempts["c1"]

    run(work())


def test_with_the_last_tier_down_every_request_is_answered_and_costs_nothing() -> None:
    """Connections are refused: nothing ran, and every tier reports that, also for unsafe requests."""

    async def work() -> None:
        async with Chain() as rig:
            for nodo in rig.nodos[2]:
                nodo.server.close()
            for n, cls in enumerate(("consulta", "publicar", "traspaso") * 3):
                answer = await rig.client(n, cls, 4)
                assert answer.status == 503 and answer.headers["x-never-ran"] == "1"
                assert answer.headers["x-budget-spent"] == "0"
            assert not rig.ledger.attempts

    run(work())
