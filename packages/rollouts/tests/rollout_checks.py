"""What must hold of every simulated roll-out."""

from __future__ import annotations

from larkweir_rollouts.schedule import COMPLETION_MARGIN_S
from larkweir_rollouts.state import RolloutState
from rollout_fleet import Replicated, Result
from rollout_scenarios import Scenario
from rollout_simulation import Simulation

EXPOSE_SHARE = 0.1
EXPOSE_SLACK = 50
ROLLBACK_S = 5.0  # after the 50th bad answer


def check(scenario: Scenario) -> Result:
    """Play a scenario, and assert what must hold."""
    result = Simulation(scenario).play()
    check_result(scenario, result)
    return result


def check_both(first: Scenario, second: Scenario) -> None:
    """Play the roll-outs of two services at once, and assert what must hold of each."""
    replicated = Replicated()
    plays = [Simulation(first, "chat", replicated), Simulation(second, "embed", replicated)]
    while not all(play.is_over for play in plays):
        for play in plays:
            if not play.is_over:
                play.play_step()
    for play in plays:
        check_result(play.scenario, play.finished())


def check_result(scenario: Scenario, result: Result) -> None:
    """Assert what must hold of a scenario that was played."""
    assert not result.is_order_replaced, "an order that was repeated or in conflict changed the running one"
    if scenario.version.is_good:
        check_good(scenario, result)
    else:
        check_bad(scenario, result)


def check_good(scenario: Scenario, result: Result) -> None:
    """A good version is completed in time, and what is under way is not cut before the time is nearly up."""
    assert result.state is RolloutState.COMPLETED, f"a good version: {result.state}, {result.reason}"
    assert result.end_s <= scenario.duration_s, f"a good version was completed late, at {result.end_s:.1f} s"
    is_at_margin = result.end_s > scenario.duration_s - COMPLETION_MARGIN_S
    assert is_at_margin or result.cut_requests == 0, f"{result.cut_requests} requests were cut off"


def check_bad(scenario: Scenario, result: Result) -> None:
    """A bad version gets few requests, none long after it showed itself, and is rolled back in time."""
    allowed = EXPOSE_SHARE * result.sends + EXPOSE_SLACK
    assert result.target_sends <= allowed, f"exposure: {result.target_sends} requests, {allowed:.0f} allowed"
    after_s = result.last_target_send_s - result.bad_since_s
    assert after_s <= ROLLBACK_S, f"requests to a bad version {after_s:.1f} s after its 50th bad answer"
    assert result.state is RolloutState.ROLLED_BACK, f"a bad version: {result.state}"
    assert result.end_s <= scenario.duration_s, f"a bad version was rolled back late, at {result.end_s:.1f} s"
