"""The steps of a roll-out to the version that all upstreams of the service already have. A pure function."""

from __future__ import annotations

from larkweir_rollouts.orders import Advance
from larkweir_rollouts.schedule import (
    COMPLETION_MARGIN_S,
    FULL_WEIGHT,
    FULL_WEIGHT_DWELL_S,
    View,
    full_weight_time_s,
)
from larkweir_rollouts.state import RolloutState


def next_step_of_only_version(view: View) -> Advance | None:
    """Decide the next step, at the times of any other roll-out; it is never rolled back: nothing else could serve."""
    if not view.rollout.is_running:
        return None
    after_full_weight_s = view.elapsed_s - full_weight_time_s(view.rollout.duration_s)
    if after_full_weight_s < 0.0:
        return None
    if view.rollout.target_weight < FULL_WEIGHT:
        return _advance(view, RolloutState.RUNNING)
    is_time_left = view.remaining_s >= COMPLETION_MARGIN_S
    if not view.are_routers_confirmed or (after_full_weight_s < FULL_WEIGHT_DWELL_S and is_time_left):
        return None
    return _advance(view, RolloutState.COMPLETED)


def _advance(view: View, state: RolloutState) -> Advance:
    return Advance(view.rollout.service, view.rollout.order_id, state, FULL_WEIGHT)
