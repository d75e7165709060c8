"""Pure functions that change the replicated roll-outs: an operator places an order, the primary controller advances it.

`rollouts` holds the latest roll-out of each service, one per service. Every replica applies the same changes in the
same sequence. A change that no longer matches the current state is ignored.
"""

from __future__ import annotations

import msgspec

from larkweir_rollouts.state import Rollout, RolloutState, Versions, Weight

# After a roll-back, an order for the same target within this time of the rolled-back order is a repeat of it.
REPEAT_WINDOW_MS = 10_000.0


class OrderConflict(msgspec.Struct, frozen=True):
    """An order that was refused.

    Attributes:
        detail: what the order conflicts with, for the operator.
    """

    detail: str


class Advance(msgspec.Struct, frozen=True):
    """A step of one roll-out, decided by the primary controller.

    Attributes:
        service: the service whose roll-out advances.
        order_id: the order that the decision is based on (`Rollout.order_id`).
        state: the new state.
        target_weight: the new share of new requests that go to the target version.
        reason: one line that explains the step.
        other_versions: versions of the service's other upstreams that this controller has seen since the order.
    """

    service: str
    order_id: str
    state: RolloutState
    target_weight: Weight
    reason: str = ""
    other_versions: Versions = msgspec.UNSET


def place_order(rollouts: tuple[Rollout, ...], order: Rollout) -> tuple[Rollout, ...] | OrderConflict:
    """Place an order. It replaces the service's last roll-out unless it repeats or conflicts with that one.

    Returns:
        The new roll-outs, or the reason why the order was refused. A repeated order changes nothing: it is
        acknowledged again, and the time of the first order counts.
    """
    current = rollout_of(rollouts, order.service)
    if current is None:
        return (*rollouts, order)
    if current.target_version == order.target_version:
        return rollouts if _is_repeat(current, order) else _replace(rollouts, _with_withdrawn(current, order))
    if current.is_running:
        return OrderConflict(
            f"a roll-out of {current.service} to {current.target_version} is running; it ends before another is ordered"
        )
    return _replace(rollouts, _with_withdrawn(current, order))


def advance(rollouts: tuple[Rollout, ...], change: Advance) -> tuple[Rollout, ...]:
    """Apply a step if its order is the current one and still running; otherwise change nothing."""
    current = rollout_of(rollouts, change.service)
    if current is None or not current.is_running or current.order_id != change.order_id:
        return rollouts
    changed = msgspec.structs.replace(
        current,
        state=change.state,
        target_weight=change.target_weight,
        reason=change.reason,
        other_versions=_merge_versions(current.other_versions, change.other_versions),
    )
    return _replace(rollouts, changed)


def _merge_versions(one: Versions, other: Versions) -> Versions:
    """Return the union of both sets of versions, because no single controller may have seen all of them."""
    if isinstance(one, msgspec.UnsetType) or isinstance(other, msgspec.UnsetType):
        return other if isinstance(one, msgspec.UnsetType) else one
    return tuple(sorted({*one, *other}))


def rollout_of(rollouts: tuple[Rollout, ...], service: str) -> Rollout | None:
    """Return the latest roll-out of a service."""
    return next((rollout for rollout in rollouts if rollout.service == service), None)


def _is_repeat(current: Rollout, order: Rollout) -> bool:
    """Whether an order for the same target repeats the current one and is to be ignored.

    A rolled-back version may be ordered again once a repeat of the first order can no longer arrive. The two times
    may come from the clocks of different controllers, so the later order may have the earlier time.
    """
    if current.state is not RolloutState.ROLLED_BACK:
        return True
    return order.ordered_unix_ms - current.ordered_unix_ms < REPEAT_WINDOW_MS


def _with_withdrawn(current: Rollout, order: Rollout) -> Rollout:
    """Return the order with the withdrawn and replaced versions, whose upstreams may keep running for some seconds."""
    withdrawn = {*current.withdrawn_versions}
    if current.state is RolloutState.COMPLETED:
        withdrawn = {*(current.other_versions or ())}
    if current.state is RolloutState.ROLLED_BACK:
        withdrawn.add(current.target_version)
    withdrawn.discard(order.target_version)
    return msgspec.structs.replace(order, withdrawn_versions=tuple(sorted(withdrawn)))


def _replace(rollouts: tuple[Rollout, ...], changed: Rollout) -> tuple[Rollout, ...]:
    return tuple(changed if rollout.service == changed.service else rollout for rollout in rollouts)
