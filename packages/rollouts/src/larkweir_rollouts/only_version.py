"""The schedule of a roll-out to a version that all upstreams of the service already run. A pure function."""

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
    """Return the next step, or None if nothing changes now. There is no roll-back, as no other version could serve.

    Full weight is committed at once, so that routers which have started since the order apply it. The roll-out is
    completed at the usual time.
    """
    if not view.rollout.is_running:
        return None
    if view.rollout.target_weight < FULL_WEIGHT:
        return _advance(view, RolloutState.RUNNING)
    is_due = view.elapsed_s >= full_weight_time_s(view.rollout.duration_s) + FULL_WEIGHT_DWELL_S
    if not view.are_routers_confirmed or (not is_due and view.remaining_s >= COMPLETION_MARGIN_S):
        return None
    return _advance(view, RolloutState.COMPLETED)


def _advance(view: View, state: RolloutState) -> Advance:
    return Advance(view.rollout.service, view.rollout.order_id, state, FULL_WEIGHT)
