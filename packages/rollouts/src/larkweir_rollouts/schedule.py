"""Decides when the weight of the target version changes and when a roll-out ends.

`next_step` is a pure function of what the primary controller sees, and is evaluated several times a second.
`docs/design/rollouts.md` calculates how many requests a bad version gets under this schedule.
"""

from __future__ import annotations

import msgspec

from larkweir_rollouts.exposure import ExposureBounds, exposure_budget
from larkweir_rollouts.orders import Advance
from larkweir_rollouts.pooling import count_answers
from larkweir_rollouts.samples import RolloutReport
from larkweir_rollouts.state import Rollout, RolloutState
from larkweir_rollouts.verdict import Verdict

CANARY_WEIGHT = 0.08  # initial weight, from the order on
FULL_WEIGHT = 1.0
FULL_WEIGHT_FRACTION = 0.68  # fraction of the duration after which all requests go to the target
MIN_DURATION_WITH_RESERVE_S = 8.0  # shorter roll-outs do not apply FULL_WEIGHT_RESERVE_S
FULL_WEIGHT_RESERVE_S = 4.0  # for requests that are still in flight at the others, and one slow state change
LATEST_FULL_WEIGHT_S = 2.5  # before the deadline; later there is no time to complete
LATEST_FULL_WEIGHT_FRACTION = 0.25  # of the duration; applies if it is shorter than LATEST_FULL_WEIGHT_S

# Before full weight, the exposure budget determines the target's weight.
PLANNING_FRACTIONS = (0.1, 0.8)  # the weight is planned between these fractions of the time until full weight
# Of the budget, spent when full weight begins; the rest is for detecting a late fault.
PLANNED_BUDGET_FRACTION = 0.75
PAUSED_BUDGET_FRACTION = 0.9  # of the budget, spent by the deadline if the weight may not grow
MAX_CANARY_WEIGHT = 0.25
MIN_PAUSED_WEIGHT = 0.02  # keeps answers coming, so that a suspect version can still be judged
MIN_CHANGE_FACTOR = 1.2  # of the weight; smaller changes do not justify a change of the replicated state

# Answers from the target before its weight may grow. For a service with little traffic, the fraction of the answers
# expected at canary weight suffices.
MIN_ANSWERS = 20
EXPECTED_ANSWERS_FRACTION = 0.3
MIN_READY_FRACTION = 0.6  # of the number of other upstreams; fewer could not carry their load

# Limit of the target's requests in flight: factor times the number expected from the others' load, plus margin.
MAX_IN_FLIGHT_FACTOR = 1.6
MAX_IN_FLIGHT_MARGIN = 8

FULL_WEIGHT_DWELL_S = 1.5  # observation time at full weight before the other upstreams are stopped
COMPLETION_MARGIN_S = 1.0  # before the deadline; then completion no longer waits for requests at the others
ROLLBACK_MARGIN_S = 0.5  # before the deadline; a target that is suspect or has no answers is then rolled back
CONFIRMATION_GRACE_S = 3.0  # after the deadline; until then routers may still confirm a target at full weight


class View(msgspec.Struct, frozen=True):
    """The primary controller's view of one roll-out.

    Attributes:
        rollout: the replicated state of the roll-out.
        elapsed_s: time since the order.
        verdict: the verdict on the target version.
        totals: the sums of all routers' reports.
        target_ready: number of ready upstreams of the target version.
        others_ready: number of all other ready upstreams of the service.
        are_routers_confirmed: whether every connected router has applied the current state of the roll-out.
        others_in_flight: number of requests in flight at the other upstreams.
        bounds: limits of the target's exposure; None for the defaults.
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
        """Time until the deadline; negative after it."""
        return self.rollout.duration_s - self.elapsed_s


def next_step(view: View) -> Advance | None:
    """Return the next step of a roll-out, or None if nothing changes now."""
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
    """Return the weight of a target whose weight may grow."""
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
    """Complete once no requests are in flight at the others, or shortly before the deadline."""
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
    """Return the reason why the target's weight may not grow; empty if it may."""
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
    """Return which evidence is missing to complete a target at full weight; empty if none is."""
    if view.verdict.is_suspect:
        return f"suspect: {view.verdict.reason}"
    if view.target_ready < 1 or view.verdict.target_answers < 1:
        return "no answer of the target"
    return ""


def needed_answers(totals: RolloutReport) -> int:
    """Return how many answers from the target its weight needs to grow, given the service's traffic so far."""
    total = count_answers(totals.target) + count_answers(totals.others)
    return min(MIN_ANSWERS, int(EXPECTED_ANSWERS_FRACTION * CANARY_WEIGHT * total))


def _expected_in_flight(view: View) -> float:
    """Return how many requests would be in flight at the target if it were as fast as the others.

    Answers that have not ended are not counted yet, so this number is the first sign of a version that turns slow.
    """
    weight = view.rollout.target_weight
    return view.totals.others.in_flight * weight / (1.0 - weight)


def _paused_weight(view: View) -> float:
    """Return the weight of a target whose weight may not grow.

    It never increases, and keeps the target within the exposure budget until the deadline.
    """
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
