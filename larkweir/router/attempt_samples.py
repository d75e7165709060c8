"""What one attempt tells of the version that runs it: its durations as soon as they are known, and how it ends."""

from __future__ import annotations

from http import HTTPStatus

from larkweir_balancing.interface import Outcome

from larkweir.router.admission import Admission
from larkweir.router.answer_verdict import (
    DEADLINE_MARGIN_MS,
    SLOW_RESPONSE_FACTOR,
    AnswerVerdict,
    judge_answer,
)
from larkweir.router.rollout_samples import RolloutSamples, SampleKey

PACE_SAMPLE_EVENTS = 5  # of a stream, at which its pace is counted
MIN_PACE_SAMPLE_EVENTS = 3  # of a stream that ends before that


class AttemptSamples:
    """The samples of one attempt. Times are milliseconds of the event loop's clock.

    Without a running roll-out of its service it is little more than a count of what is in flight.
    """

    def __init__(self, samples: RolloutSamples, admission: Admission, key: SampleKey) -> None:
        """Count the attempt as in flight, until `on_ended`.

        Args:
            samples: where everything is counted.
            admission: of the request.
            key: what the attempt is counted under.
        """
        self._samples = samples
        self._route = admission.route
        self._deadline_ms = admission.deadline_ms
        self._key = key
        self._sent_ms: float | None = None
        self._status = 0
        self._event_count = 0
        self._first_event_ms = 0.0
        self._has_pace = False
        samples.on_attempt_started(self._key)

    def on_sent(self, now_ms: float) -> None:
        """The request goes out."""
        self._sent_ms = now_ms

    def on_head(self, status: int) -> None:
        """The head of the response arrived."""
        self._status = status

    @property
    def _is_server_error(self) -> bool:
        return self._status >= HTTPStatus.INTERNAL_SERVER_ERROR

    def on_event(self, now_ms: float) -> None:
        """A chunk of the response's body arrived."""
        self._event_count += 1
        if self._event_count == 1:
            self._first_event_ms = now_ms
            if self._sent_ms is not None and not self._is_server_error:
                self._samples.record_first_byte(self._key, now_ms - self._sent_ms)
        elif self._event_count == PACE_SAMPLE_EVENTS:
            self._record_pace(now_ms)

    def _record_pace(self, now_ms: float) -> None:
        """The mean time between the events of a stream so far."""
        if self._route.is_streaming and not self._has_pace and not self._is_server_error:
            self._has_pace = True
            pace_ms = (now_ms - self._first_event_ms) / (self._event_count - 1)
            self._samples.record_pace(self._key, pace_ms)

    def on_ended(self, outcome: Outcome, now_ms: float, *, is_leaving: bool, is_overdue: bool) -> None:
        """The attempt is over.

        Args:
            outcome: how it ended.
            now_ms: the event loop's time.
            is_leaving: the upstream had announced that it stops.
            is_overdue: it was silent for much longer than others are.
        """
        self._samples.on_attempt_ended(self._key)
        if self._sent_ms is None or not self._samples.is_observed(self._key.service):
            return
        elapsed_ms = now_ms - self._sent_ms
        verdict = judge_answer(
            outcome,
            self._status,
            is_leaving=is_leaving,
            is_deadline_over=now_ms >= self._deadline_ms - DEADLINE_MARGIN_MS,
            is_upstream_slow=is_overdue or elapsed_ms > SLOW_RESPONSE_FACTOR * self._route.target_latency_ms,
        )
        self._samples.record_verdict(self._key, verdict)
        if verdict is not AnswerVerdict.ANSWERED:
            return
        if not self._route.is_streaming:
            self._samples.record_pace(self._key, elapsed_ms)
        elif self._event_count >= MIN_PACE_SAMPLE_EVENTS:
            self._record_pace(now_ms)
