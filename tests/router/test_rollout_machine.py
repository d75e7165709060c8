"""Property test of roll-outs: requests, failures and roll-out states in any order.

Checks which requests a version on trial is sent, and which attempts and answers are counted.
"""

from __future__ import annotations

from collections import Counter

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import invariant, rule

from tests.router.rollout_model import (
    COMPLETED,
    NEW,
    NEW_IDS,
    OLD,
    OLD_IDS,
    ROLLED_BACK,
    RUNNING,
    RolloutScenario,
    rollout,
)
from tests.router.test_exchange import ExchangeMachine

STATES = [(RUNNING, weight) for weight in (0.0, 0.3, 0.7, 1.0)] + [(COMPLETED, 1.0), (ROLLED_BACK, 0.0)]


class RolloutMachine(ExchangeMachine):
    """Adds roll-outs between two versions to the events of `ExchangeMachine`."""

    def __init__(self) -> None:
        super().__init__()
        self.harness.close()
        self.rollouts = RolloutScenario()
        self.harness = self.rollouts
        self.weight = 0.0  # of the target version; no roll-out is in force at first
        self.has_rollout = False
        self.checked_runs: Counter[str] = Counter()  # number of runs already checked, by request id

    @rule(state=st.sampled_from(STATES), order=st.integers(1, 2))
    def a_roll_out_changes(self, state: tuple[object, float], order: int) -> None:
        self.has_rollout, self.weight = True, state[1]
        self.rollouts.order(rollout(state[1], state[0], ordered_unix_ms=1_000.0 * order))  # type: ignore[arg-type]

    @rule()
    def the_roll_out_is_removed(self) -> None:
        self.has_rollout = False
        self.rollouts.order()

    @rule(milliseconds=st.sampled_from([10, 300, 5_000]))
    def time_passes(self, milliseconds: int) -> None:
        self.rollouts.wait(milliseconds / 1000.0)

    @rule(number=st.integers(1, len(OLD_IDS) + len(NEW_IDS)))
    def an_upstream_refuses_or_takes_connections(self, number: int) -> None:
        self.model.refusing ^= {f"127.0.0.1:{number}"}

    @invariant()
    def only_permitted_attempts_go_to_the_target(self) -> None:
        for id_, runs in self.model.runs.items():
            for number in range(self.checked_runs[id_], len(runs)):
                if runs[number].headers["x-target-instance"] in NEW_IDS and self.has_rollout:
                    assert self.weight > 0.0, f"{id_} was sent to a version whose weight is 0"
                    assert (
                        self.weight >= 1.0 or number == 0
                    ), f"{id_} was sent to a version on trial by a retry"
            self.checked_runs[id_] = len(runs)

    @invariant()
    def attempts_in_flight_are_counted(self) -> None:
        plane = self.model.plane
        exchanges = [client._exchange for client in plane.connections if client._exchange is not None]  # type: ignore[attr-defined]
        attempts = [exchange._attempt for exchange in exchanges if exchange._attempt is not None]
        found = Counter(("s", NEW if attempt.instance in NEW_IDS else OLD) for attempt in attempts)
        assert plane.rollout_samples._in_flight == found

    @invariant()
    def reports_match_the_roll_out_state(self) -> None:
        report = self.rollouts.report()
        assert (report is not None) == any(
            rollout.is_running for rollout in self.model.plane.upstreams.rollouts.values()
        )
        if report is not None:
            for track in (report.target, report.others):
                failed = sum(route.failed for route in track.routes.values())
                assert failed == sum(track.failures_by_upstream.values())

    def teardown(self) -> None:
        super().teardown()
        assert not self.model.plane.rollout_samples._in_flight


RolloutMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, report_multiple_bugs=False
)
TestRolloutMachine = RolloutMachine.TestCase
