"""Records one attempt in the roll-out samples of the version that runs it.

Durations are recorded as soon as they are known, and the verdict on the attempt at its end.
"""

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

PACE_SAMPLE_EVENTS = 5  # the pace of a stream is recorded when this many events have arrived
MIN_PACE_SAMPLE_EVENTS = 3  # the pace of a shorter stream is recorded at its end if it had this many events


class AttemptSamples:
    """The samples of one attempt. Times are milliseconds on the event loop's clock.

    If its service has no running roll-out, the attempt is only counted as in flight.
    """

    def __init__(self, samples: RolloutSamples, admission: Admission, key: SampleKey) -> None:
        """Count the attempt as in flight until `on_ended`.

        Args:
            samples: the router's samples, which the attempt is added to.
            admission: the admission of the request.
            key: the key of the samples that the attempt belongs to.
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
        """Record that the request is sent."""
        self._sent_ms = now_ms

    def on_head(self, status: int) -> None:
        """Record that the head of the response arrived."""
        self._status = status

    @property
    def _is_server_error(self) -> bool:
        return self._status >= HTTPStatus.INTERNAL_SERVER_ERROR

    def on_event(self, now_ms: float) -> None:
        """Record that a chunk of the response body arrived."""
        self._event_count += 1
        if self._event_count == 1:
            self._first_event_ms = now_ms
            if self._sent_ms is not None and not self._is_server_error:
                self._samples.record_first_byte(self._key, now_ms - self._sent_ms)
        elif self._event_count == PACE_SAMPLE_EVENTS:
            self._record_pace(now_ms)

    def _record_pace(self, now_ms: float) -> None:
        """Record the mean time between the events of a stream so far, once per attempt."""
        if self._route.is_streaming and not self._has_pace and not self._is_server_error:
            self._has_pace = True
            pace_ms = (now_ms - self._first_event_ms) / (self._event_count - 1)
            self._samples.record_pace(self._key, pace_ms)

    def on_ended(self, outcome: Outcome, now_ms: float, *, is_leaving: bool, is_overdue: bool) -> None:
        """Record the end of the attempt.

        Args:
            outcome: how the attempt ended.
            now_ms: the event loop's time.
            is_leaving: whether the upstream had announced that it is shutting down.
            is_overdue: whether the upstream was silent for much longer than is usual for such a request.
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
