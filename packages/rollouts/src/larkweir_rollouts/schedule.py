"""When the target version gets more of the requests, and when a roll-out ends.

A pure function of what the primary controller sees, evaluated several times a second. `docs/design/rollouts.md` has the
arithmetic of how many requests a bad version gets by these steps.
"""

from __future__ import annotations

import msgspec

from larkweir_rollouts.orders import Advance
from larkweir_rollouts.pooling import answered
from larkweir_rollouts.samples import RolloutReport
from larkweir_rollouts.state import Rollout, RolloutState
from larkweir_rollouts.verdict import Verdict

CANARY_WEIGHT = 0.08  # from the order on
FULL_WEIGHT = 1.0
FULL_WEIGHT_FRACTION = 0.68  # of the duration, at which all requests go to the target
# Earlier growth: from this fraction of the time until full weight on, at most this weight.
GROWTH_STEPS = ((0.50 / FULL_WEIGHT_FRACTION, 0.15), (0.60 / FULL_WEIGHT_FRACTION, 0.4))
HOLD_WEIGHT = 0.15  # a target that may not grow keeps this weight at most
MIN_DURATION_WITH_RESERVE_S = 8.0
FULL_WEIGHT_RESERVE_S = 4.0  # for requests that are under way at the others, and one slow change of state

MIN_ANSWERS = 20  # of the target, where the service's traffic allows it
EXPECTED_ANSWERS_FRACTION = 0.5  # of those that the traffic makes expect
MIN_READY_FRACTION = 0.6  # of the others' upstreams; fewer would not bear their load

COMPLETION_MARGIN_S = 1.0  # before the deadline: requests under way at the others are waited for no longer
ROLLBACK_MARGIN_S = 0.5  # before the deadline: a target without full weight cannot complete any more
LATE_COMPLETION_S = 3.0  # after the deadline: a target at full weight may still be confirmed


class View(msgspec.Struct, frozen=True):
    """What the primary controller sees of one roll-out.

    Attributes:
        rollout: its replicated state.
        elapsed_s: since the order.
        verdict: on the target version.
        totals: what all routers together have reported.
        target_ready: ready upstreams of the target version.
        others_ready: all other ready upstreams of the service.
        are_routers_confirmed: every connected router acts by the present state of the roll-out.
        others_in_flight: requests that are under way at the others.
    """

    rollout: Rollout
    elapsed_s: float
    verdict: Verdict
    totals: RolloutReport
    target_ready: int
    others_ready: int
    are_routers_confirmed: bool
    others_in_flight: int

    @property
    def remaining_s(self) -> float:
        """Until the deadline; negative after it."""
        return self.rollout.duration_s - self.elapsed_s


def next_step(view: View) -> Advance | None:
    """Decide the next step of a roll-out, or None while it stays as it is."""
    if not view.rollout.is_running:
        return None
    if view.verdict.is_bad:
        return _roll_back(view, view.verdict.reason)
    if view.rollout.target_weight >= FULL_WEIGHT:
        return _next_step_at_full_weight(view)
    lack = _lack(view)
    if view.remaining_s <= ROLLBACK_MARGIN_S:
        return _roll_back(view, f"no time left: {lack or 'too late for full weight'}")
    weight = _held_weight(view) if lack else max(view.rollout.target_weight, scheduled_weight(view))
    if weight == view.rollout.target_weight:
        return None
    return _advance(view, RolloutState.RUNNING, weight, lack)


def scheduled_weight(view: View) -> float:
    """Return the weight that the time allows for a target that nothing speaks against."""
    full_weight_s = full_weight_time_s(view.rollout.duration_s)
    if view.elapsed_s >= full_weight_s:
        return FULL_WEIGHT
    reached = [weight for fraction, weight in GROWTH_STEPS if view.elapsed_s >= fraction * full_weight_s]
    return max(reached, default=CANARY_WEIGHT)


def full_weight_time_s(duration_s: float) -> float:
    """Return how long after the order all requests go to the target version."""
    full_weight_s = FULL_WEIGHT_FRACTION * duration_s
    if duration_s >= MIN_DURATION_WITH_RESERVE_S:
        return min(full_weight_s, duration_s - FULL_WEIGHT_RESERVE_S)
    return full_weight_s


def _next_step_at_full_weight(view: View) -> Advance | None:
    """Complete once nothing is under way at the others, or when the time is nearly up."""
    lack = _lack_of_completion(view)
    if lack:
        is_over = view.remaining_s <= (
            -LATE_COMPLETION_S if view.verdict.target_answers else ROLLBACK_MARGIN_S
        )
        return _roll_back(view, f"no time left: {lack}") if is_over else None
    if view.others_in_flight > 0 and view.remaining_s >= COMPLETION_MARGIN_S:
        return None
    return _advance(view, RolloutState.COMPLETED, FULL_WEIGHT, "")


def _lack(view: View) -> str:
    """Tell why the target's weight may not grow; empty if it may."""
    if view.verdict.is_suspect:
        return f"suspect: {view.verdict.reason}"
    if view.target_ready < max(1.0, MIN_READY_FRACTION * view.others_ready):
        return f"{view.target_ready} upstreams of the target ready beside {view.others_ready} others"
    needed = needed_answers(view.totals)
    if view.verdict.target_answers < needed:
        return f"{view.verdict.target_answers} answers of the target, {needed} needed"
    return ""


def _lack_of_completion(view: View) -> str:
    """Tell why a target at full weight is not completed yet; empty if it may be."""
    if view.verdict.is_suspect:
        return f"suspect: {view.verdict.reason}"
    if view.target_ready < 1 or view.verdict.target_answers < 1:
        return "no answer of the target"
    if not view.are_routers_confirmed:
        return "not confirmed by all routers"
    return ""


def needed_answers(totals: RolloutReport) -> int:
    """Return how many answers of the target allow its weight to grow, given the service's traffic so far."""
    total = answered(totals.target) + answered(totals.others)
    return min(MIN_ANSWERS, int(EXPECTED_ANSWERS_FRACTION * CANARY_WEIGHT * total))


def _held_weight(view: View) -> float:
    """Return the weight of a target that may not grow."""
    if view.verdict.is_suspect or view.rollout.target_weight > HOLD_WEIGHT:
        return min(view.rollout.target_weight, CANARY_WEIGHT)
    return view.rollout.target_weight


def _roll_back(view: View, reason: str) -> Advance:
    return _advance(view, RolloutState.ROLLED_BACK, 0.0, reason)


def _advance(view: View, state: RolloutState, weight: float, reason: str) -> Advance:
    return Advance(view.rollout.service, view.rollout.order_id, state, weight, reason)
