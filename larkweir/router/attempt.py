"""One attempt at an upstream: its connection, its part of the upstream's backlog, its overdue timer, its outcome."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.interface import Outcome
from larkweir_balancing.prompt import Prompt

from larkweir.cluster.tasks import start_task
from larkweir.router.admission import Admission
from larkweir.router.attempt_samples import AttemptSamples
from larkweir.router.data_plane import DataPlane
from larkweir.router.request_trace import RequestTrace
from larkweir.router.rollout_samples import SampleKey
from larkweir.router.upstream_choice import SelectedUpstream
from larkweir.router.upstream_connection import UpstreamConnection

MIN_ANNOUNCED_TOKENS = 4_000.0  # prefill tokens from which other routers are notified at once
# Outcomes that the fleet's outlier detection counts against or for an upstream; all others are not counted.
FAILURES = frozenset((Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR))
SUCCESSES = frozenset((Outcome.OK, Outcome.REJECTED))


class Attempt:
    """One attempt, from the selection of an upstream to the end of the call to it. Owns the task that connects."""

    def __init__(
        self, plane: DataPlane, admission: Admission, selected: SelectedUpstream, prompt: Prompt
    ) -> None:
        """Take a token of the upstream, and notify the other routers of a long prefill.

        Args:
            plane: the router's shared state.
            admission: the admission of the request.
            selected: the upstream.
            prompt: the prompt that an engine has to prefill.
        """
        service, instance = admission.service, selected.id
        self._plane = plane
        self._service = service
        self._prompt = prompt
        self._loop = asyncio.get_running_loop()
        self._sent_ms = 0.0
        self._has_upstream_token = True
        self._has_first_event = False
        self._is_overdue = False
        self._is_reported = False  # the outcome has been recorded for the fleet's outlier detection
        self._overdue_timer: asyncio.TimerHandle | None = None
        self._connect_task: asyncio.Task[None] | None = None
        self._selector = selected.selector
        self.instance = instance
        self.address = plane.upstreams.address(instance)
        self.connection: UpstreamConnection | None = None  # None until the request is sent
        self.queued_tokens = self._selector.prefill_backlog_tokens(instance)
        self.prefill_tokens = self._selector.on_attempt_started(
            instance, prompt, self._now_ms(), is_cached=selected.is_cached
        )
        self._samples = AttemptSamples(
            plane.rollout_samples, admission, _sample_key(plane, admission, instance)
        )
        is_long = self.prefill_tokens >= MIN_ANNOUNCED_TOKENS
        if OPTIONS.announce_long_prompts and is_long and plane.is_engine(service):
            plane.announce_backlog()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def connect(
        self, on_connected: Callable[[UpstreamConnection], None], on_failed: Callable[[str], None]
    ) -> None:
        """Take an idle connection, or open a new one. No callback is called after `cancel_connect`.

        Args:
            on_connected: called with an open connection; called at once if an idle connection exists.
            on_failed: called with the error message if no connection could be opened.
        """
        connection = self._plane.pool.take(self.address)
        if connection is not None:
            on_connected(connection)
        else:
            self._connect_task = start_task(
                "connect", self._open(on_connected, on_failed), lambda: on_failed("internal error")
            )

    async def _open(
        self, on_connected: Callable[[UpstreamConnection], None], on_failed: Callable[[str], None]
    ) -> None:
        try:
            connection = await self._plane.pool.connect(self.address)
        except (OSError, TimeoutError) as error:
            self._connect_task = None
            on_failed(str(error))
            return
        self._connect_task = None
        if connection.is_open:
            on_connected(connection)
        else:
            on_failed("reset at once")

    def cancel_connect(self) -> None:
        """Cancel the connect task, if it is running."""
        if self._connect_task is not None:
            self._connect_task.cancel()
            self._connect_task = None

    def on_request_sent(self, connection: UpstreamConnection, on_overdue: Callable[[], None]) -> None:
        """Record that the request is sent on `connection`, and start the timer that calls `on_overdue`."""
        self.connection = connection
        self._sent_ms = self._now_ms()
        self._samples.on_sent(self._sent_ms)
        timeout_ms = self._selector.overdue_after_ms(self._prompt, self.prefill_tokens + self.queued_tokens)
        self._overdue_timer = self._loop.call_later(timeout_ms / 1000.0, self._on_timer, on_overdue)

    def _on_timer(self, on_overdue: Callable[[], None]) -> None:
        self._overdue_timer = None
        self._is_overdue = True
        self._report(failed=True)
        on_overdue()

    def _cancel_timer(self) -> None:
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None

    def on_head(self, status: int) -> None:
        """Record that the head of the response arrived."""
        self._samples.on_head(status)

    def on_event(self) -> None:
        """Record that a chunk of the response body arrived."""
        now_ms = self._now_ms()
        self._samples.on_event(now_ms)
        if not self._has_first_event:
            self._has_first_event = True
            self.on_first_event(now_ms)

    def on_first_event(self, now_ms: float) -> None:
        """Record that the upstream has prefilled the prompt.

        An engine's token is returned now. Those of other upstreams are returned at the end of the attempt.
        """
        self._cancel_timer()
        tokens = self.prefill_tokens + self.queued_tokens
        self._selector.prefill_time.observe(tokens, now_ms - self._sent_ms)
        if self._plane.is_engine(self._service):
            self._has_upstream_token = False
            self._selector.on_attempt_released(self.instance, self.prefill_tokens, now_ms)

    def record_shedding(self) -> None:
        """Record a failure: the upstream rejected the request although it reports free capacity."""
        self._report(failed=True)

    def end(self, outcome: Outcome, trace: RequestTrace | None) -> None:
        """End the attempt: return the token, and report the outcome to the selector and to the fleet."""
        if trace is not None and outcome is not Outcome.OK:
            trace.on_ended(outcome.name)
        self._cancel_timer()
        now_ms = self._now_ms()
        if self._has_upstream_token:
            self._selector.on_attempt_released(self.instance, self.prefill_tokens, now_ms)
        self._selector.on_outcome(self.instance, outcome, now_ms)
        is_leaving = self._plane.upstreams.is_leaving(self.instance)
        self._samples.on_ended(outcome, now_ms, is_leaving=is_leaving, is_overdue=self._is_overdue)
        if outcome in FAILURES:
            self._report(failed=True)
        elif outcome in SUCCESSES:
            self._report(failed=False)

    def abort(self, outcome: Outcome, trace: RequestTrace | None) -> None:
        """End the attempt in any state, and close its connection."""
        self.cancel_connect()
        self.end(outcome, trace)
        if self.connection is not None:
            self.connection.close()

    def pause_reading(self) -> None:
        """Stop reading the response: the client reads more slowly than the upstream sends."""
        if self.connection is not None:
            self.connection.pause_reading()

    def resume_reading(self) -> None:
        """Continue reading the response: the client has read what was buffered."""
        if self.connection is not None:
            self.connection.resume_reading()

    def _report(self, *, failed: bool) -> None:
        """Record success or failure for the fleet's outlier detection; only the first call per attempt counts."""
        if not self._is_reported:
            self._is_reported = True
            self._plane.outcomes.record(self.instance, self._now_ms(), failed=failed)


def _sample_key(plane: DataPlane, admission: Admission, instance: str) -> SampleKey:
    table = plane.configuration.table
    assert table is not None
    route = table.sample_name(admission.route)
    return SampleKey(admission.service, plane.upstreams.version(instance), route, instance)
