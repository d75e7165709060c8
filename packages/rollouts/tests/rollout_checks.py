"""Assertions that every simulated roll-out has to satisfy."""

from __future__ import annotations

from larkweir_rollouts.schedule import COMPLETION_MARGIN_S
from larkweir_rollouts.state import RolloutState
from rollout_fleet import ReplicatedState, Result
from rollout_scenarios import Scenario
from rollout_simulation import Simulation

EXPOSURE_SHARE = 0.1
EXPOSURE_SLACK = 50
MAX_ROLLBACK_S = 5.0  # from the 50th bad answer to the last request that the version gets


def check(scenario: Scenario) -> Result:
    """Simulate a scenario and check the result."""
    result = Simulation(scenario).run()
    check_result(scenario, result)
    return result


def check_both(first: Scenario, second: Scenario) -> None:
    """Simulate the roll-outs of two services at the same time and check each result."""
    replicated = ReplicatedState()
    simulations = [Simulation(first, "chat", replicated), Simulation(second, "embed", replicated)]
    while not all(simulation.is_over for simulation in simulations):
        for simulation in simulations:
            if not simulation.is_over:
                simulation.run_step()
    for simulation in simulations:
        check_result(simulation.scenario, simulation.final_result())


def check_result(scenario: Scenario, result: Result) -> None:
    """Check the result of a simulated scenario."""
    assert not result.is_order_replaced, "a repeated or conflicting order changed the running one"
    if scenario.version.is_good:
        check_good(scenario, result)
    else:
        check_bad(scenario, result)


def check_good(scenario: Scenario, result: Result) -> None:
    """A good version is completed in time, and no requests in flight are aborted until shortly before the deadline."""
    assert result.state is RolloutState.COMPLETED, f"a good version: {result.state}, {result.reason}"
    assert result.end_s <= scenario.duration_s, f"a good version was completed late, at {result.end_s:.1f} s"
    is_at_margin = result.end_s > scenario.duration_s - COMPLETION_MARGIN_S
    assert is_at_margin or result.aborted_requests == 0, f"{result.aborted_requests} requests were aborted"


def check_bad(scenario: Scenario, result: Result) -> None:
    """A bad version gets few requests, none of them long after its 50th bad answer, and is rolled back in time."""
    allowed = EXPOSURE_SHARE * result.sends + EXPOSURE_SLACK
    assert result.target_sends <= allowed, f"exposure: {result.target_sends} requests, {allowed:.0f} allowed"
    delay_s = result.last_target_send_s - result.fiftieth_bad_answer_s
    assert delay_s <= MAX_ROLLBACK_S, f"requests to a bad version {delay_s:.1f} s after its 50th bad answer"
    assert result.state is RolloutState.ROLLED_BACK, f"a bad version: {result.state}"
    assert result.end_s <= scenario.duration_s, f"a bad version was rolled back late, at {result.end_s:.1f} s"
