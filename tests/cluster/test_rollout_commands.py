"""How roll-out commands change the committed document, and how configuration changes affect roll-outs."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from larkweir_rollouts.orders import Advance
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.cluster.configuration.changes import ConfigurationChange, Rejection, RejectionReason
from larkweir.cluster.configuration.commands import apply_command
from larkweir.cluster.configuration.documents import ROLLOUTS_KEY, Document, make_patch
from larkweir.cluster.configuration.rollout_commands import (
    ABORTED,
    RolloutAbort,
    RolloutAdvance,
    RolloutCommand,
    RolloutOrder,
    encode,
    replicated_command,
)
from larkweir.cluster.configuration.rollouts import operators_text, rollouts_of
from tests.cluster.configurations import VALID, changed

ORDER = Rollout("s", "v2", 12.0, 1_764_771_837_000.0)
OTHER = Rollout("t", "v7", 30.0, 1_764_771_838_000.0)
CONFIGURED = msgspec.json.encode(VALID).decode()


def apply(value: str, *commands: RolloutCommand) -> str:
    for command in commands:
        value = apply_command(value, encode(command)).unwrap()
    return value


def rejection(value: str, text: str) -> RejectionReason:
    found = apply_command(value, text).err()
    assert isinstance(found, Rejection)
    assert found.detail
    return found.reason


def change(document: object, base: int, *, is_patch: bool = False) -> str:
    return ConfigurationChange(is_patch, base, msgspec.json.encode(document).decode()).encode()


def rollouts(value: str) -> tuple[Rollout, ...]:
    return rollouts_of(msgspec.json.decode(value))


def step(state: RolloutState, weight: float, order: Rollout = ORDER) -> RolloutAdvance:
    return RolloutAdvance(Advance(order.service, order.order_id, state, weight, "because"))


def test_an_order_is_stored_without_changing_the_version() -> None:
    value = apply(CONFIGURED, RolloutOrder(ORDER))
    document = msgspec.json.decode(value)
    assert document.pop(ROLLOUTS_KEY) == [msgspec.json.decode(msgspec.json.encode(ORDER))]
    assert document == VALID
    assert operators_text(value) == CONFIGURED


def test_a_repeated_order_changes_nothing() -> None:
    value = apply(CONFIGURED, RolloutOrder(ORDER), step(RolloutState.RUNNING, 0.1))
    later = msgspec.structs.replace(ORDER, ordered_unix_ms=ORDER.ordered_unix_ms + 2_000.0, duration_s=99.0)
    assert apply(value, RolloutOrder(later)) == value


def test_orders_that_are_rejected() -> None:
    running = apply(CONFIGURED, RolloutOrder(ORDER))
    other_target = encode(RolloutOrder(msgspec.structs.replace(ORDER, target_version="v3")))
    nobody = encode(RolloutOrder(msgspec.structs.replace(ORDER, service="nobody")))
    assert rejection(running, other_target) is RejectionReason.CONFLICT
    assert rejection(running, nobody) is RejectionReason.NOT_FOUND
    assert rejection("", encode(RolloutOrder(ORDER))) is RejectionReason.UNAVAILABLE


@pytest.mark.parametrize(
    "text", ['{"type":"of_a_later_release","service":"s"}', '{"type":"rollout_abort","service":{"name":"s"}}']
)
def test_a_command_of_a_later_release_is_rejected(text: str) -> None:
    assert rejection(CONFIGURED, text) is RejectionReason.UNAVAILABLE


def test_a_step_applies_only_to_its_running_order() -> None:
    value = apply(CONFIGURED, RolloutOrder(ORDER), RolloutOrder(OTHER), step(RolloutState.RUNNING, 0.25))
    assert [one.target_weight for one in rollouts(value)] == [0.25, 0.0]
    earlier = msgspec.structs.replace(ORDER, ordered_unix_ms=1.0)
    assert apply(value, step(RolloutState.COMPLETED, 1.0, earlier)) == value
    done = apply(value, step(RolloutState.COMPLETED, 1.0))
    assert rollouts(done)[0].state is RolloutState.COMPLETED
    assert apply(done, step(RolloutState.ROLLED_BACK, 0.0)) == done, "the roll-out has ended"
    assert apply(CONFIGURED, step(RolloutState.RUNNING, 0.5)) == CONFIGURED, "no roll-out was ordered"


def test_an_abort_rolls_back_a_running_rollout() -> None:
    value = apply(CONFIGURED, RolloutOrder(ORDER), step(RolloutState.RUNNING, 0.25), RolloutAbort("s"))
    (found,) = rollouts(value)
    assert (found.state, found.target_weight, found.reason) == (RolloutState.ROLLED_BACK, 0.0, ABORTED)
    assert apply(value, RolloutAbort("s")) == value, "a repeated abort is acknowledged"
    assert rejection(value, encode(RolloutAbort("t"))) is RejectionReason.NOT_FOUND


@pytest.mark.parametrize("state", [RolloutState.COMPLETED, RolloutState.ROLLED_BACK])
def test_a_rollout_that_has_ended_cannot_be_aborted(state: RolloutState) -> None:
    value = apply(CONFIGURED, RolloutOrder(ORDER), step(state, 1.0))
    assert rejection(value, encode(RolloutAbort("s"))) is RejectionReason.CONFLICT


def test_the_replicas_need_not_remember_a_command() -> None:
    command = replicated_command(RolloutAbort("s"))
    assert (command.identity, command.text) == ("", encode(RolloutAbort("s")))


@pytest.mark.parametrize(
    "text",
    [
        change(changed(generation=9, tenants=[]), 3),
        change({"generation": 9, "remove": {"tenants": ["x", "y"]}}, 3, is_patch=True),
    ],
)
def test_a_change_of_the_configuration_retains_the_rollouts(text: str) -> None:
    value = apply(CONFIGURED, RolloutOrder(ORDER), RolloutOrder(OTHER))
    changed_value = apply_command(value, text).unwrap()
    assert rollouts(changed_value) == (ORDER, OTHER)
    assert operators_text(changed_value) == apply_command(CONFIGURED, text).unwrap()


def test_a_running_rollout_of_a_removed_service_remains_until_its_end() -> None:
    value = apply(CONFIGURED, RolloutOrder(ORDER), RolloutOrder(OTHER))
    without_t = changed(generation=4, services=[{"name": "s"}])
    value = apply_command(value, change(without_t, 3)).unwrap()
    assert rollouts(value) == (ORDER, OTHER)
    value = apply(value, step(RolloutState.ROLLED_BACK, 0.0, OTHER))
    value = apply_command(value, change({**without_t, "generation": 5}, 4)).unwrap()
    assert rollouts(value) == (ORDER,)


def test_dropping_the_last_rollout_leaves_an_empty_list_for_routers() -> None:
    value = apply(CONFIGURED, RolloutOrder(OTHER), step(RolloutState.COMPLETED, 1.0, OTHER))
    before: Document = msgspec.json.decode(value)
    value = apply_command(value, change(changed(generation=4, services=[{"name": "s"}]), 3)).unwrap()
    after: Document = msgspec.json.decode(value)
    assert after[ROLLOUTS_KEY] == []
    patch = make_patch(before, after)
    assert patch is not None
    assert patch.apply_to(before) == after


@pytest.mark.parametrize("found", [[], [msgspec.json.decode(msgspec.json.encode(ORDER))], None, 5])
def test_operators_cannot_write_rollouts_into_a_configuration(found: Any) -> None:
    value = apply(CONFIGURED, RolloutOrder(ORDER))
    forged = [
        change(changed(generation=9, **{ROLLOUTS_KEY: found}), 3),
        change({"generation": 9, ROLLOUTS_KEY: found}, 3, is_patch=True),
        change({"generation": 9, "upsert": {ROLLOUTS_KEY: found}}, 3, is_patch=True),
        change({"generation": 9, "remove": {ROLLOUTS_KEY: found}}, 3, is_patch=True),
    ]
    assert {rejection(value, text) for text in forged} == {RejectionReason.INVALID}


def test_a_command_is_written_and_read_by_its_tag() -> None:
    assert encode(RolloutAbort("s")) == '{"type":"rollout_abort","service":"s"}'
    assert encode(RolloutOrder(ORDER)) == (
        '{"type":"rollout_order","rollout":{"service":"s","target_version":"v2","duration_s":12.0,'
        '"ordered_unix_ms":1764771837000.0,"state":"running","target_weight":0.0,"reason":"","withdrawn_versions":[]}}'
    )
    assert encode(step(RolloutState.RUNNING, 0.5)) == (
        '{"type":"rollout_advance","step":{"service":"s","order_id":"v2/1764771837000","state":"running",'
        '"target_weight":0.5,"reason":"because"}}'
    )
