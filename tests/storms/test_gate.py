"""Storm handling on sockets: headers of refusals, client fingerprints, and that nothing is imported while it is off."""

from __future__ import annotations

import subprocess
import sys
from dataclasses import replace
from typing import Any

import pytest

from larkweir.config.operator import decode as decode_operator
from larkweir.config.options import Storms as Options
from larkweir.storms.signs import State
from tests.fakes import Caller, FakeUpstream, Running, request_bytes, running
from tests.upstreams.test_attempts import run

ON = Options(on=True)


def gate(balancer: Running) -> Any:
    assert balancer.node is not None
    return balancer.node.storms


def refuse_all(balancer: Running) -> None:
    """Put the balancer in a storm in which every request is refused."""
    storm = gate(balancer).storm
    storm.state_machine.state = State.STORM
    storm.state_machine.step = lambda *args: False
    balancer.node.decisions.limiter.arbiter = lambda cls, verdict, waiting: type(verdict).REFUSE  # type: ignore


@pytest.mark.parametrize("speaks", ["http1", "fastcgi"])
def test_refused_clients_get_an_immediate_answer_with_different_waits(speaks: str) -> None:
    async def work() -> None:
        Caller.speaks = speaks  # reset after each test
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a"), storms=ON) as balancer:
            refuse_all(balancer)
            waits: dict[str, list[float]] = {}
            for _ in range(3):
                async with Caller(balancer.port) as caller:
                    for n in range(12):
                        caller.ask(X_Object=f"o{n}")
                        answer = await caller.answer()
                        assert answer.status == 503
                        waits.setdefault(f"o{n}", []).append(float(answer.headers["retry-after"]))
            firsts = [times[0] for times in waits.values()]
            assert len(set(firsts)) == 12 and min(firsts) > 0.0 and max(firsts) <= 2.0
            for first, second, third in waits.values():  # the client returns early each time
                assert first <= second <= third <= 2.0
            assert upstream.seen == []

    run(work())


def test_whole_seconds_and_rate_limit_fields() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        storms = replace(ON, whole_seconds=True, fields=True)
        async with running(upstream.entry("a"), storms=storms) as balancer, Caller(balancer.port) as caller:
            refuse_all(balancer)
            caller.ask()
            answer = await caller.answer()
            seconds = answer.headers["retry-after"]
            assert seconds in ("1", "2")
            assert answer.headers["ratelimit"] == f'"storm";r=0;t={seconds}'
            assert answer.headers["ratelimit-policy"] == '"storm";q=1;w=2'

    run(work())


def test_a_fingerprint_depends_on_request_and_address_and_not_on_the_attempt() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a"), storms=ON) as balancer:
            taken: list[int] = []
            part = gate(balancer)
            storm = part.storm
            storm.needs_fingerprints = lambda now: True
            arrive = storm.arrive
            storm.arrive = lambda now, tenant, again, client: (  # type: ignore[method-assign]
                taken.append(client),
                arrive(now, tenant, again, client),
            )
            async with Caller(balancer.port) as caller, Caller(balancer.port) as other:
                for one, more in (
                    (caller, {"X_Object": "1"}),
                    (other, {"X_Object": "1", "X_Second_Try": "1", "X_Expires_In_Ms": "7000"}),
                    (caller, {"X_Object": "2"}),
                    (caller, {"X_Object": "1", "X_Customer": "another"}),
                ):
                    one.ask(**more)
                    assert (await one.answer()).status == 200
            assert taken[0] == taken[1]  # the same client, with another connection and another id
            assert len({taken[0], taken[2], taken[3]}) == 3

    run(work())


def test_the_status_shows_the_storm_state() -> None:
    async def work() -> None:
        upstream = await FakeUpstream().start()
        async with running(upstream.entry("a"), storms=ON) as balancer, Caller(balancer.port) as caller:
            caller.ask()
            await caller.answer()
            facts = gate(balancer).facts()
            assert facts["storm"] == "calm" and facts["turned_away"] == 0 and facts["storms"] == 0

    run(work())


def test_nothing_is_imported_while_storms_are_off() -> None:
    script = (
        "import sys, larkweir.lifecycle.daemon, larkweir.cli.main;"
        "print([name for name in sys.modules if 'storms' in name])"
    )
    done = subprocess.run([sys.executable, "-c", script], capture_output=True, text=True, check=True)
    assert done.stdout.strip() == "[]"


def test_the_operator_file_enables_storms() -> None:
    options, faults = decode_operator("[storms]\non = true\nconnects_per_s = 5\n")
    assert not faults and options.storms.on and options.storms.connects_per_s == 5
    assert decode_operator("[storms]\nclients = 3\n")[1]


def test_waits_of_refusals_in_calm_are_spread_too() -> None:
    async def work() -> None:
        async with running(storms=ON) as balancer, Caller(balancer.port) as caller:
            waits = set()
            for n in range(8):
                caller.send(request_bytes(X_Expires_In_Ms="1", X_Object=f"o{n}"))
                answer = await caller.answer()
                assert answer.status in (503, 502, 504)
                waits.add(answer.headers.get("retry-after"))
            assert len(waits - {None}) >= 4

    run(work())
