"""When the durations of an attempt are recorded."""

from __future__ import annotations

import pytest
from larkweir_balancing.interface import Outcome
from larkweir_rollouts.samples import RouteSamples, bucket_of

from larkweir.router.admission import Admission
from larkweir.router.attempt_samples import MIN_PACE_SAMPLE_EVENTS, PACE_SAMPLE_EVENTS, AttemptSamples
from larkweir.router.configuration import Route
from larkweir.router.rollout_samples import RolloutSamples, SampleKey
from tests.router.rollout_model import NEW, rollout

SENT_MS = 1_000.0
EVENT_INTERVAL_MS = 40.0


class AttemptHarness:
    """One attempt at the target version."""

    def __init__(self, kind: str = "streaming") -> None:
        self.samples = RolloutSamples()
        self.samples.set_rollouts({"s": rollout(1.0)})
        route = Route("r", "a", "/", kind=kind, target_latency_ms=100.0)
        admission = Admission(route, "s", SENT_MS + 100_000.0, None, None)
        self.attempt = AttemptSamples(self.samples, admission, SampleKey("s", NEW, "r", "t0"))

    def send(self) -> None:
        self.attempt.on_sent(SENT_MS)
        self.attempt.on_head(200)

    def events(self, first: int, last: int) -> None:
        """Delivers the events numbered `first` to `last`, one per `EVENT_INTERVAL_MS`."""
        for number in range(first, last + 1):
            self.attempt.on_event(SENT_MS + number * EVENT_INTERVAL_MS)

    def end(self, outcome: Outcome, after_ms: float) -> None:
        self.attempt.on_ended(outcome, SENT_MS + after_ms, is_leaving=False, is_overdue=False)

    @property
    def route(self) -> RouteSamples:
        return self.samples.changed_since(0)["s"].target.routes.get("r", RouteSamples())


def test_the_pace_of_a_stream_is_recorded_after_its_first_events() -> None:
    harness = AttemptHarness()
    harness.send()
    harness.events(1, PACE_SAMPLE_EVENTS - 1)
    assert harness.route == RouteSamples(first_byte={bucket_of(EVENT_INTERVAL_MS): 1})
    harness.events(PACE_SAMPLE_EVENTS, PACE_SAMPLE_EVENTS)
    assert harness.route.pace == {bucket_of(EVENT_INTERVAL_MS): 1}
    harness.events(PACE_SAMPLE_EVENTS + 1, 4 * PACE_SAMPLE_EVENTS)
    harness.end(Outcome.OK, 90_000.0)
    assert harness.route == RouteSamples(
        1, 0, {bucket_of(EVENT_INTERVAL_MS): 1}, {bucket_of(EVENT_INTERVAL_MS): 1}
    )


@pytest.mark.parametrize("events", range(1, PACE_SAMPLE_EVENTS))
def test_the_pace_of_a_short_stream_is_recorded_at_its_end(events: int) -> None:
    harness = AttemptHarness()
    harness.send()
    harness.events(1, events)
    assert not harness.route.pace
    harness.end(Outcome.OK, events * EVENT_INTERVAL_MS)
    assert harness.route.pace == (
        {bucket_of(EVENT_INTERVAL_MS): 1} if events >= MIN_PACE_SAMPLE_EVENTS else {}
    )


@pytest.mark.parametrize("outcome", [Outcome.RESET, Outcome.CANCELLED])
def test_durations_of_an_incomplete_response_are_recorded(outcome: Outcome) -> None:
    harness = AttemptHarness()
    harness.send()
    harness.events(1, PACE_SAMPLE_EVENTS)
    harness.end(outcome, 1_000.0)
    assert harness.route == RouteSamples(
        0, int(outcome is Outcome.RESET), {bucket_of(EVENT_INTERVAL_MS): 1}, {bucket_of(EVENT_INTERVAL_MS): 1}
    )


def test_a_response_that_is_no_stream_records_its_total_time_as_pace() -> None:
    harness = AttemptHarness("idempotent")
    harness.send()
    harness.events(1, 2 * PACE_SAMPLE_EVENTS)
    assert harness.route == RouteSamples(first_byte={bucket_of(EVENT_INTERVAL_MS): 1})
    harness.end(Outcome.OK, 900.0)
    assert harness.route == RouteSamples(1, 0, {bucket_of(EVENT_INTERVAL_MS): 1}, {bucket_of(900.0): 1})


def test_error_responses_record_no_durations() -> None:
    harness = AttemptHarness()
    harness.attempt.on_sent(SENT_MS)
    harness.attempt.on_head(500)
    harness.events(1, 2 * PACE_SAMPLE_EVENTS)
    harness.end(Outcome.OK, 900.0)
    assert harness.route == RouteSamples(failed=1)


def test_an_unsent_attempt_is_only_counted_as_in_flight() -> None:
    harness = AttemptHarness()
    assert harness.samples.changed_since(0)["s"].target.in_flight == 1
    harness.end(Outcome.CONNECT_FAILED, 0.0)
    assert harness.samples.changed_since(0)["s"].target.in_flight == 0
    assert harness.route == RouteSamples()
