"""Changes of the replicated roll-outs: an order is placed, and its one decider advances it. Pure functions.

`rollouts` is the latest roll-out of each service, one per service. Every replica applies the same changes in the same
order, so a change that no longer fits what is there leaves it as it is.
"""

from __future__ import annotations

import msgspec

from larkweir_rollouts.state import Rollout, RolloutState, Versions, Weight

REPEAT_WINDOW_MS = 10_000.0  # an order this soon after a rolled-back one of the same target is its repeat


class OrderConflict(msgspec.Struct, frozen=True):
    """An order that was refused.

    Attributes:
        detail: what it is in conflict with, for the operator.
    """

    detail: str


class Advance(msgspec.Struct, frozen=True):
    """A step of one roll-out, as the primary controller decides it.

    Attributes:
        service: whose roll-out it is.
        order_id: of the order that was judged (`Rollout.order_id`).
        state: from now on.
        target_weight: share of new requests that go to the target version from now on.
        reason: why, in one line.
        other_versions: those of the service's other upstreams that the decider has known since the order.
    """

    service: str
    order_id: str
    state: RolloutState
    target_weight: Weight
    reason: str = ""
    other_versions: Versions = msgspec.UNSET


def place_order(rollouts: tuple[Rollout, ...], order: Rollout) -> tuple[Rollout, ...] | OrderConflict:
    """Place an order, which replaces the service's last roll-out unless it repeats it or is in conflict with it.

    Returns:
        The roll-outs from now on, or why the order is refused. A repeated order changes nothing: it is acknowledged
        again, and the time of the first one counts.
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
    """Apply a step if its order is in place and running; leave everything as it is otherwise."""
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
    """Return the versions of both: no decider need have known all of them."""
    if isinstance(one, msgspec.UnsetType) or isinstance(other, msgspec.UnsetType):
        return other if isinstance(one, msgspec.UnsetType) else one
    return tuple(sorted({*one, *other}))


def rollout_of(rollouts: tuple[Rollout, ...], service: str) -> Rollout | None:
    """Return the latest roll-out of a service."""
    return next((rollout for rollout in rollouts if rollout.service == service), None)


def _is_repeat(current: Rollout, order: Rollout) -> bool:
    """Whether an order of the same target adds nothing to the current roll-out.

    A rolled-back version may be ordered again, once a repeat of the first order can no longer arrive. The two times may
    be of different controllers' clocks, so the later order may have the earlier time.
    """
    if current.state is not RolloutState.ROLLED_BACK:
        return True
    return order.ordered_unix_ms - current.ordered_unix_ms < REPEAT_WINDOW_MS


def _with_withdrawn(current: Rollout, order: Rollout) -> Rollout:
    """Return the order with what is withdrawn or replaced: such upstreams may live on for some seconds."""
    withdrawn = {*current.withdrawn_versions}
    if current.state is RolloutState.COMPLETED:
        withdrawn = {*(current.other_versions or ())}
    if current.state is RolloutState.ROLLED_BACK:
        withdrawn.add(current.target_version)
    withdrawn.discard(order.target_version)
    return msgspec.structs.replace(order, withdrawn_versions=tuple(sorted(withdrawn)))


def _replace(rollouts: tuple[Rollout, ...], changed: Rollout) -> tuple[Rollout, ...]:
    return tuple(changed if rollout.service == changed.service else rollout for rollout in rollouts)
