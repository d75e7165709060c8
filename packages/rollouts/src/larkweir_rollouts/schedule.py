"""When the target version gets more of the requests, and when a roll-out ends.

A pure function of what the primary controller sees, evaluated several times a second. `docs/design/rollouts.md` has the
arithmetic of how many requests a bad version gets by these steps.
"""

from __future__ import annotations

import msgspec

from larkweir_rollouts.exposure import ExposureBounds, exposure_budget
from larkweir_rollouts.orders import Advance
from larkweir_rollouts.pooling import count_answers
from larkweir_rollouts.samples import RolloutReport
from larkweir_rollouts.state import Rollout, RolloutState
from larkweir_rollouts.verdict import Verdict

CANARY_WEIGHT = 0.08  # from the order on
FULL_WEIGHT = 1.0
FULL_WEIGHT_FRACTION = 0.68  # of the duration, at which all requests go to the target
MIN_DURATION_WITH_RESERVE_S = 8.0
FULL_WEIGHT_RESERVE_S = 4.0  # for requests that are under way at the others, and one slow change of state
LATEST_FULL_WEIGHT_S = 2.5  # before the deadline; later there is no time to complete
LATEST_FULL_WEIGHT_FRACTION = 0.25  # of the duration, where that is less

# Until full weight the target's share follows from the exposure budget.
PLANNING_FRACTIONS = (0.1, 0.8)  # of the time until full weight, between which the weight is planned
PLANNED_BUDGET_FRACTION = (
    0.75  # of the budget, that is spent when full weight begins; the rest is for finding a late fault
)
PAUSED_BUDGET_FRACTION = 0.9  # of the budget, that a target which may not grow spends until the deadline
MAX_CANARY_WEIGHT = 0.25
MIN_PAUSED_WEIGHT = 0.02  # a suspect goes on to be judged
MIN_CHANGE_FACTOR = 1.2  # of the weight: smaller changes are not worth a change of the replicated state

MIN_ANSWERS = 20  # of the target, where the service's traffic allows it
EXPECTED_ANSWERS_FRACTION = 0.3  # of those that the traffic makes expect
MIN_READY_FRACTION = 0.6  # of the others' upstreams; fewer would not bear their load

MAX_IN_FLIGHT_FACTOR = 1.6  # of the target's requests under way, beside those at the others by their share
MAX_IN_FLIGHT_MARGIN = 8

FULL_WEIGHT_DWELL_S = 1.5  # a target with all requests is looked at for so long before the others are stopped
COMPLETION_MARGIN_S = 1.0  # before the deadline: requests under way at the others are waited for no longer
ROLLBACK_MARGIN_S = 0.5  # before the deadline: an unanswered or suspect target is rolled back
CONFIRMATION_GRACE_S = 3.0  # after the deadline: a target at full weight may still be confirmed


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
        bounds: what the target is allowed; None for the usual.
    """

    rollout: Rollout
    elapsed_s: float
    verdict: Verdict
    totals: RolloutReport
    target_ready: int
    others_ready: int
    are_routers_confirmed: bool
    others_in_flight: int
    bounds: ExposureBounds | None = None

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
    obstacle = _obstacle(view)
    latest_s = min(LATEST_FULL_WEIGHT_S, LATEST_FULL_WEIGHT_FRACTION * view.rollout.duration_s)
    if view.remaining_s <= latest_s:
        return _roll_back(view, f"no time left: {obstacle or 'too late for full weight'}")
    weight = _paused_weight(view) if obstacle else _scheduled_weight(view)
    if weight == view.rollout.target_weight:
        return None
    return _advance(view, RolloutState.RUNNING, weight, obstacle)


def _scheduled_weight(view: View) -> float:
    """Return the weight of a target that nothing speaks against."""
    current = view.rollout.target_weight
    full_weight_s = full_weight_time_s(view.rollout.duration_s)
    if view.elapsed_s >= full_weight_s:
        return FULL_WEIGHT
    first, last = PLANNING_FRACTIONS
    if not first <= view.elapsed_s / full_weight_s <= last:
        return current
    budget = exposure_budget(view.totals, view.elapsed_s, view.rollout.duration_s, view.bounds)
    planned = budget.weight_until(PLANNED_BUDGET_FRACTION, full_weight_s - view.elapsed_s)
    planned = min(MAX_CANARY_WEIGHT, max(CANARY_WEIGHT, planned))
    is_small_change = current / MIN_CHANGE_FACTOR < planned < current * MIN_CHANGE_FACTOR
    return current if is_small_change else planned


def full_weight_time_s(duration_s: float) -> float:
    """Return how long after the order all requests go to the target version."""
    full_weight_s = FULL_WEIGHT_FRACTION * duration_s
    if duration_s >= MIN_DURATION_WITH_RESERVE_S:
        return min(full_weight_s, duration_s - FULL_WEIGHT_RESERVE_S)
    return full_weight_s


def _next_step_at_full_weight(view: View) -> Advance | None:
    """Complete once nothing is under way at the others, or when the time is nearly up."""
    if obstacle := _missing_evidence(view):
        is_time_up = view.remaining_s <= ROLLBACK_MARGIN_S
        return _roll_back(view, f"no time left: {obstacle}") if is_time_up else None
    if not view.are_routers_confirmed:
        is_time_up = view.remaining_s <= -CONFIRMATION_GRACE_S
        return _roll_back(view, "no time left: not confirmed by all routers") if is_time_up else None
    is_observed = view.elapsed_s >= full_weight_time_s(view.rollout.duration_s) + FULL_WEIGHT_DWELL_S
    if (view.others_in_flight > 0 or not is_observed) and view.remaining_s >= COMPLETION_MARGIN_S:
        return None
    return _advance(view, RolloutState.COMPLETED, FULL_WEIGHT, "")


def _obstacle(view: View) -> str:
    """Tell why the target's weight may not grow; empty if it may."""
    if view.verdict.is_doubtful:
        return f"suspect: {view.verdict.reason}"
    if view.target_ready < max(1.0, MIN_READY_FRACTION * view.others_ready):
        return f"{view.target_ready} upstreams of the target ready beside {view.others_ready} others"
    needed = needed_answers(view.totals)
    if view.verdict.target_answers < needed:
        return f"{view.verdict.target_answers} answers of the target, {needed} needed"
    expected = _expected_in_flight(view)
    if view.totals.target.in_flight > MAX_IN_FLIGHT_FACTOR * expected + MAX_IN_FLIGHT_MARGIN:
        return f"{view.totals.target.in_flight} requests under way at the target, {expected:.0f} usual"
    return ""


def _missing_evidence(view: View) -> str:
    """Tell what is missing to call a target at full weight good; empty if nothing is."""
    if view.verdict.is_suspect:
        return f"suspect: {view.verdict.reason}"
    if view.target_ready < 1 or view.verdict.target_answers < 1:
        return "no answer of the target"
    return ""


def needed_answers(totals: RolloutReport) -> int:
    """Return how many answers of the target allow its weight to grow, given the service's traffic so far."""
    total = count_answers(totals.target) + count_answers(totals.others)
    return min(MIN_ANSWERS, int(EXPECTED_ANSWERS_FRACTION * CANARY_WEIGHT * total))


def _expected_in_flight(view: View) -> float:
    """Return how many requests would be under way at the target if it were as fast as the others.

    Slow answers that have not ended are in no count yet, so a version that has just become slow shows here first.
    """
    weight = view.rollout.target_weight
    return view.totals.others.in_flight * weight / (1.0 - weight)


def _paused_weight(view: View) -> float:
    """Return the weight of a target that may not grow: it never rises, and keeps to the budget until the deadline."""
    current = view.rollout.target_weight
    budget = exposure_budget(view.totals, view.elapsed_s, view.rollout.duration_s, view.bounds)
    allowed = max(MIN_PAUSED_WEIGHT, budget.weight_until(PAUSED_BUDGET_FRACTION, view.remaining_s))
    if view.verdict.is_suspect:
        allowed = min(allowed, CANARY_WEIGHT)
    return allowed if allowed < current / MIN_CHANGE_FACTOR else current


def _roll_back(view: View, reason: str) -> Advance:
    return _advance(view, RolloutState.ROLLED_BACK, 0.0, reason)


def _advance(view: View, state: RolloutState, weight: float, reason: str) -> Advance:
    return Advance(view.rollout.service, view.rollout.order_id, state, weight, reason)
