"""All state changes of exchanges are in the table of transitions, and each transition of the table occurs."""

from __future__ import annotations

import pytest
from hypothesis import Phase, settings
from hypothesis.stateful import run_state_machine_as_test

from larkweir.router.exchange import Exchange
from larkweir.router.exchange_state import TRANSITIONS, ExchangeState
from tests.router.test_exchange import ExchangeMachine
from tests.router.test_wire_golden import SCENARIOS, WireHarness, head, run_scenario

SETTINGS = settings(
    max_examples=30, stateful_step_count=40, deadline=None, phases=[Phase.generate], derandomize=True
)


def a_client_that_disconnects_while_the_prefix_is_placed(harness: WireHarness) -> None:
    harness.configure()
    harness.plane.prefix_affinity.send_lookup = lambda message: True
    prompt = ("X-Token-Usage: 1460,80", "X-Prompt-Prefix: a:800,b:410,c:250")
    client = harness.request(head("POST", "/v1", *prompt, host="e.example"))
    harness.do(lambda: client.end(None))


def test_every_state_has_a_row() -> None:
    assert set(TRANSITIONS) == set(ExchangeState)


def test_transitions_are_those_of_the_table(monkeypatch: pytest.MonkeyPatch) -> None:
    seen: set[tuple[ExchangeState, ExchangeState]] = set()
    transition = Exchange._transition

    def recorded(exchange: Exchange, state: ExchangeState) -> None:
        seen.add((exchange._state, state))
        transition(exchange, state)

    monkeypatch.setattr(Exchange, "_transition", recorded)
    for harness in (*SCENARIOS, a_client_that_disconnects_while_the_prefix_is_placed):
        run_scenario(harness)
    run_state_machine_as_test(ExchangeMachine, settings=SETTINGS)
    assert seen == {(before, after) for before, afters in TRANSITIONS.items() for after in afters}
