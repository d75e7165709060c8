"""Random sequences of changes and roll-out commands: configurations and roll-outs change independently."""

from __future__ import annotations

from typing import Any

import msgspec
from hypothesis import given
from hypothesis import strategies as st
from larkweir_rollouts.orders import Advance
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.cluster.configuration.changes import ConfigurationChange
from larkweir.cluster.configuration.commands import apply_command
from larkweir.cluster.configuration.rollout_commands import RolloutAbort, RolloutAdvance, RolloutOrder, encode
from larkweir.cluster.configuration.rollouts import operators_text, rollouts_of
from tests.cluster.configurations import VALID, changed

SERVICES = ("s", "t", "nobody")
TIMES = tuple(1_764_771_837_000.0 + 6_000.0 * number for number in range(4))

orders = st.builds(
    Rollout, st.sampled_from(SERVICES), st.sampled_from(("v1", "v2")), st.just(12.0), st.sampled_from(TIMES)
)
steps = st.builds(
    lambda order, state, weight: Advance(order.service, order.order_id, state, weight),
    orders,
    st.sampled_from(RolloutState),
    st.sampled_from((0.0, 0.5, 1.0)),
)
rollout_commands = st.one_of(
    st.builds(RolloutOrder, orders),
    st.builds(RolloutAdvance, steps),
    st.builds(RolloutAbort, st.sampled_from(SERVICES)),
).map(encode)
bodies = st.sampled_from(
    (
        (False, VALID),
        (False, changed(services=[{"name": "s"}])),
        (False, changed(routes=[], services=[{"name": "t"}])),
        (True, {"remove": {"services": ["t"]}}),
        (True, {"remove": {"routes": ["r1", "r2"], "services": ["s"]}}),
        (True, {"upsert": {"services": [{"name": "s"}, {"name": "t"}]}}),
    )
)


def change(value: str, is_patch: bool, body: dict[str, Any]) -> str:
    """Return a change that builds on the current version."""
    base = msgspec.json.decode(value)["generation"]
    return ConfigurationChange(
        is_patch, base, msgspec.json.encode({**body, "generation": base + 1}).decode()
    ).encode()


@given(st.lists(st.one_of(rollout_commands, bodies), max_size=30))
def test_configurations_and_rollouts_change_independently(commands: list[Any]) -> None:
    value = alone = msgspec.json.encode(VALID).decode()
    for command in commands:
        before = rollouts_of(msgspec.json.decode(value))
        if isinstance(command, str):
            value = apply_command(value, command).unwrap_or(value)
        else:
            result = apply_command(alone, change(alone, *command))
            assert apply_command(value, change(value, *command)).is_ok() == result.is_ok()
            value = apply_command(value, change(value, *command)).unwrap_or(value)
            alone = result.unwrap_or(alone)
        after = rollouts_of(msgspec.json.decode(value))
        assert msgspec.json.decode(operators_text(value)) == msgspec.json.decode(alone)
        assert len({one.service for one in after}) == len(after)
        if not isinstance(command, str):
            assert set(after) <= set(before)
            assert {one for one in before if one.is_running} <= set(after)
