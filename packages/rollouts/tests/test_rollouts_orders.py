"""Tests of roll-out orders (placed, repeated, conflicting) and of their steps, including those of a stale primary."""

from __future__ import annotations

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_rollouts.orders import (
    REPEAT_WINDOW_MS,
    Advance,
    OrderConflict,
    advance,
    place_order,
    rollout_of,
)
from larkweir_rollouts.state import Rollout, RolloutState

FIRST = Rollout("chat", "v2", 15.0, 100_000.0, target_weight=0.08)
OTHER_SERVICE = Rollout("embed", "v9", 15.0, 5.0)
RUNNING, COMPLETED, ROLLED_BACK = RolloutState.RUNNING, RolloutState.COMPLETED, RolloutState.ROLLED_BACK


def order(version: str, after_ms: float) -> Rollout:
    return Rollout("chat", version, 20.0, FIRST.ordered_unix_ms + after_ms, target_weight=0.08)


def rollouts_in_state(state: RolloutState) -> tuple[Rollout, ...]:
    return OTHER_SERVICE, msgspec.structs.replace(FIRST, state=state)


@pytest.mark.parametrize(
    ("state", "version", "after_ms", "result"),
    [
        (RUNNING, "v2", 3_000.0, "unchanged"),
        (RUNNING, "v2", 60_000.0, "unchanged"),
        (RUNNING, "v3", 3_000.0, "conflict"),
        (COMPLETED, "v2", 3_000.0, "unchanged"),
        (COMPLETED, "v2", 60_000.0, "unchanged"),
        (COMPLETED, "v3", 3_000.0, "placed"),
        (ROLLED_BACK, "v2", 3_000.0, "unchanged"),
        (ROLLED_BACK, "v2", -3_000.0, "unchanged"),
        (ROLLED_BACK, "v2", REPEAT_WINDOW_MS - 1.0, "unchanged"),
        (ROLLED_BACK, "v2", REPEAT_WINDOW_MS, "placed"),
        (ROLLED_BACK, "v3", 0.0, "placed"),
    ],
)
def test_an_order_is_placed_ignored_or_refused_by_the_state_of_the_last_one(
    state: RolloutState, version: str, after_ms: float, result: str
) -> None:
    rollouts, placed = rollouts_in_state(state), order(version, after_ms)
    answer = place_order(rollouts, placed)
    if result == "conflict":
        assert isinstance(answer, OrderConflict) and "v2 is running" in answer.detail
    else:
        withdrawn = ("v2",) if state is ROLLED_BACK and version != "v2" else ()
        placed = msgspec.structs.replace(placed, withdrawn_versions=withdrawn)
        assert answer == (rollouts if result == "unchanged" else (OTHER_SERVICE, placed))


def test_the_first_order_of_a_service_is_added() -> None:
    assert place_order((OTHER_SERVICE,), FIRST) == (OTHER_SERVICE, FIRST)


def step(order_id: str, state: RolloutState = RUNNING, weight: float = 0.15) -> Advance:
    return Advance("chat", order_id, state, weight, "why")


@pytest.mark.parametrize("weight", [0.02, 0.15, 1.0])
def test_a_step_of_the_running_order_changes_its_weight_up_or_down(weight: float) -> None:
    changed = advance(rollouts_in_state(RUNNING), step(FIRST.order_id, weight=weight))
    assert changed == (OTHER_SERVICE, msgspec.structs.replace(FIRST, target_weight=weight, reason="why"))


@pytest.mark.parametrize(
    ("state", "change"),
    [
        (COMPLETED, step(FIRST.order_id, ROLLED_BACK)),
        (ROLLED_BACK, step(FIRST.order_id, COMPLETED)),
        (RUNNING, step("v2/1", ROLLED_BACK)),
        (RUNNING, Advance("unknown", FIRST.order_id, ROLLED_BACK, 0.0)),
    ],
)
def test_a_step_that_does_not_match_the_running_order_changes_nothing(
    state: RolloutState, change: Advance
) -> None:
    assert advance(rollouts_in_state(state), change) == rollouts_in_state(state)


versions = st.sampled_from(["v2", "v3"])
services = st.sampled_from(["chat", "embed"])
times = st.floats(0.0, 40_000.0)
orders_made = st.builds(Rollout, services, versions, st.just(10.0), times)
steps_made = st.tuples(services, st.sampled_from(list(RolloutState)), st.booleans())


@given(st.lists(st.one_of(orders_made, steps_made), max_size=30))
def test_a_terminal_order_never_changes_and_each_service_has_one(
    changes: list[Rollout | tuple[str, RolloutState, bool]],
) -> None:
    rollouts: tuple[Rollout, ...] = ()
    ended: dict[tuple[str, str], Rollout] = {}
    for change in changes:
        if isinstance(change, Rollout):
            placed = place_order(rollouts, change)
            rollouts = placed if isinstance(placed, tuple) else rollouts
        else:
            service, state, is_current_order = change
            found = rollout_of(rollouts, service)
            order_id = found.order_id if found is not None and is_current_order else "v2/-1"
            rollouts = advance(rollouts, Advance(service, order_id, state, 0.5))
        assert len({rollout.service for rollout in rollouts}) == len(rollouts)
        for rollout in rollouts:
            known = ended.get((rollout.service, rollout.order_id))
            if (
                known is not None and rollout.is_running
            ):  # ordered again with the same time, and so with the same order id
                del ended[rollout.service, rollout.order_id]
            elif known is not None:
                assert rollout == known
            elif not rollout.is_running:
                ended[rollout.service, rollout.order_id] = rollout


def test_a_version_that_was_rolled_back_stays_withdrawn_with_the_next_order() -> None:
    first = Rollout("chat", "v2", 15.0, 0.0, RolloutState.ROLLED_BACK)
    second = place_order((first,), Rollout("chat", "v3", 15.0, 20_000.0))
    assert isinstance(second, tuple)
    assert second[0].withdrawn_versions == ("v2",), "its upstreams may keep running for some seconds"
    again = place_order(
        (msgspec.structs.replace(second[0], state=RolloutState.ROLLED_BACK),),
        Rollout("chat", "v2", 15.0, 60_000.0),
    )
    assert isinstance(again, tuple)
    assert again[0].withdrawn_versions == ("v3",)
    completed = msgspec.structs.replace(second[0], state=RolloutState.COMPLETED)
    third = place_order((completed,), Rollout("chat", "v4", 15.0, 60_000.0))
    assert isinstance(third, tuple)
    assert third[0].withdrawn_versions == (), "only the completed version is left after the completion"


def test_the_versions_that_a_completion_replaced_are_withdrawn_with_the_next_order() -> None:
    running = msgspec.structs.replace(rollouts_in_state(RUNNING)[1], other_versions=("v0",))
    done = Advance("chat", FIRST.order_id, COMPLETED, 1.0, other_versions=("v1",))
    (_, completed) = advance((OTHER_SERVICE, running), done)
    assert completed.other_versions == (
        "v0",
        "v1",
    ), "versions reported by all controllers that decided a step"
    third = place_order((completed,), Rollout("chat", "v4", 15.0, 60_000.0))
    assert isinstance(third, tuple)
    assert third[0].withdrawn_versions == ("v0", "v1")
    assert third[0].other_versions is msgspec.UNSET
