"""Processes one request in a router: admission, attempts at upstreams, the response.

`Exchange` owns the state of a request and calls the modules that make the decisions: `admission`, `upstream_choice`,
`attempt`, `retry_allowance`, `response_classification` and `response_relay`. Times are milliseconds on the event
loop's clock.
"""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from functools import partial

import h11
from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.interface import Outcome
from larkweir_balancing.prompt import Prompt
from larkweir_quotas.quota_requester import QuotaCharge, QuotaRejection

from larkweir.cluster import log
from larkweir.cluster.tasks import log_failure
from larkweir.router.admission import Admission, Authorization, Denial, admit, authorize
from larkweir.router.answers import ERROR_RESPONSES, ErrorKind
from larkweir.router.attempt import Attempt
from larkweir.router.client_request import ClientRequest
from larkweir.router.configuration import Route
from larkweir.router.data_plane import DataPlane
from larkweir.router.exchange_guard import guarded, run_each
from larkweir.router.exchange_state import ExchangeState
from larkweir.router.quota_admission import Verdict
from larkweir.router.request_trace import RequestTrace
from larkweir.router.response_classification import (
    ResponseClass,
    ResponseHead,
    classify_response,
    classify_without_retry,
)
from larkweir.router.response_relay import ResponseRelay, ResponseWriter
from larkweir.router.retry_allowance import RetryAllowance
from larkweir.router.upstream_choice import UpstreamChoice
from larkweir.router.upstream_connection import CallFailure, UpstreamConnection

MIN_REMAINING_MS = 5.0  # a request with less time left until its deadline is not sent


class Exchange:
    """One request and its response. Every exchange ends with exactly one response or with the client's disconnect."""

    def __init__(
        self, plane: DataPlane, client: ResponseWriter, request: ClientRequest, on_done: Callable[[], None]
    ) -> None:
        """Create an exchange; `start` begins it.

        Args:
            plane: the router's shared state.
            client: writes the response to the client.
            request: the complete request.
            on_done: called once, after the last call to `client`.
        """
        self._plane = plane
        self._request = request
        self._on_done = on_done
        self._loop = asyncio.get_running_loop()
        self._state = ExchangeState.NEW
        self._relay = ResponseRelay(client)
        self._trace = RequestTrace(request.received_ms) if log.is_debug_enabled() else None
        self._route: Route | None = None  # None: not looked up yet, or no route matches
        self._prompt = Prompt()
        self._admission: Admission | None = None
        self._retries: RetryAllowance | None = None
        self._choice: UpstreamChoice | None = None
        self._attempt: Attempt | None = None  # the attempt in progress
        self._discard_outcome = Outcome.ERROR  # outcome of the attempt whose response is being discarded
        self._deadline_timer: asyncio.TimerHandle | None = None

    def _transition(self, state: ExchangeState) -> None:
        """Change the state. All changes go through this method; `exchange_state.TRANSITIONS` lists the valid ones.

        NEW -> ADMITTING: a route matches and the API key is valid
        ADMITTING -> PLACING: the tenant's quota allows the request, and an engine may own the prompt's prefix
        ADMITTING, PLACING -> CONNECTING: an upstream is selected
        CONNECTING -> CONNECTING: the connect failed; another upstream is selected
        CONNECTING -> AWAITING: the request is sent
        AWAITING -> RELAYING: a response head that is relayed to the client arrived
        AWAITING -> DISCARDING: a response head that is not relayed arrived
        AWAITING, RELAYING -> CONNECTING: the call failed or is overdue, and may be retried or resumed
        DISCARDING -> CONNECTING: the discarded response is complete, and the request may be retried
        any state but DONE -> DONE: responded, aborted, or the client disconnected
        """
        self._state = state

    @property
    def _is_done(self) -> bool:
        return self._state is ExchangeState.DONE

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    # Admission and placement

    @guarded
    def start(self) -> None:
        """Admit the request and start its first attempt, or respond with an error."""
        authorized = authorize(self._plane, self._request)
        self._route = authorized.route
        if authorized.route is not None:
            self._prompt = self._request.prompt(authorized.route.target_latency_ms)
        if isinstance(authorized, Denial):
            self._respond_error(authorized.kind, authorized.retry_after_s)
            return
        self._transition(ExchangeState.ADMITTING)
        self._deadline_timer = self._loop.call_at(authorized.deadline_ms / 1000.0, self._on_deadline)
        if authorized.tenant is None:
            self._begin_attempts(admit(self._plane, authorized, None, self._now_ms()))
            return
        name, body_bytes = authorized.tenant.name, len(self._request.body)
        self._plane.quotas.acquire(name, authorized.units, body_bytes, partial(self._on_quota, authorized))

    @guarded
    def _on_quota(self, authorized: Authorization, verdict: Verdict) -> None:
        """Handle the decision on the tenant's quota: start the attempts, or respond with an error."""
        if self._is_done:
            if isinstance(verdict, QuotaCharge):
                self._plane.quotas.refund(verdict)
        elif isinstance(verdict, QuotaRejection):
            self._respond_error(ErrorKind.OVER_QUOTA, verdict.retry_after_s)
        else:
            self._begin_attempts(admit(self._plane, authorized, verdict, self._now_ms()))

    def _begin_attempts(self, admitted: Admission) -> None:
        """Look up the owner of the prompt's prefix, if the controllers place it, then start the first attempt."""
        self._admission = admitted
        budget = self._plane.retry_budgets.budget(admitted.service)
        self._retries = RetryAllowance(admitted.route.max_attempts, budget)
        self._choice = UpstreamChoice(self._plane, admitted, self._prompt, self._request.received_ms)
        if self._choice.needs_prefix_owner:
            self._transition(ExchangeState.PLACING)
            self._choice.find_prefix_owner(len(self._request.body), self._on_prefix_owner)
        else:
            self._start_attempt()

    def _admitted(self) -> tuple[Admission, RetryAllowance]:
        assert self._admission is not None
        assert self._retries is not None
        return self._admission, self._retries

    @guarded
    def _on_prefix_owner(self) -> None:
        """Start the first attempt: the lookup of the prefix owner has finished, with or without an owner."""
        if self._state is not ExchangeState.PLACING:
            return
        if self._trace is not None:
            self._trace.on_placed(self._now_ms())
        self._start_attempt()

    # Attempts

    def _start_attempt(self) -> None:
        """Select the next upstream and connect to it, or respond with an error if no upstream is left."""
        admission, _ = self._admitted()
        assert self._choice is not None
        selected = self._choice.select(self._now_ms())
        if selected is None:
            self._respond_unavailable()
            return
        if self._trace is not None:
            self._trace.on_selected(selected, self._now_ms())
        self._attempt = Attempt(self._plane, admission, selected, self._prompt)
        self._transition(ExchangeState.CONNECTING)
        self._attempt.connect(self._send_request, self._on_connect_failed)

    @guarded
    def _on_connect_failed(self, error: str) -> None:
        """Try another upstream unless too many connects have failed. This is safe, as nothing was sent."""
        _, retries = self._admitted()
        log.debug("connect_failed", instance=self._attempt.instance if self._attempt else None, error=error)
        self._end_attempt(Outcome.CONNECT_FAILED)
        if retries.record_failed_connect():
            self._start_attempt()
        else:
            self._respond_unavailable()

    @guarded
    def _send_request(self, connection: UpstreamConnection) -> None:
        """Send the request on `connection`, unless less than `MIN_REMAINING_MS` is left until its deadline."""
        admission, retries = self._admitted()
        assert self._attempt is not None
        remaining_ms = admission.deadline_ms - self._now_ms()
        if remaining_ms < MIN_REMAINING_MS:
            connection.close()
            self._on_deadline()
            return
        self._attempt.on_request_sent(connection, self._on_overdue)
        if retries.record_sent() and admission.charge is not None:
            self._plane.quotas.charge_again(admission.charge)
        self._discard_outcome = Outcome.ERROR
        routing = admission.routing_headers(self._attempt.instance, remaining_ms, self._relay.last_event_id)
        request = self._request.upstream_request(routing)
        if self._trace is not None:
            self._trace.on_request_sent(self._attempt.prefill_tokens, self._now_ms())
        self._transition(ExchangeState.AWAITING)
        connection.call(request, self._request.header(b"x-request-id"), self._request.body, self)

    def _take_retry(self) -> bool:
        _, retries = self._admitted()
        return retries.take_retry(self._now_ms())

    def _end_attempt(self, outcome: Outcome) -> None:
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.end(outcome, self._trace)

    def _abort_attempt(self, outcome: Outcome) -> None:
        """End the attempt in progress, in whichever state it is, and close its connection."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.abort(outcome, self._trace)

    @guarded
    def _on_overdue(self) -> None:
        """Retry an overdue call at another upstream, if a retry is safe and an untried upstream is left."""
        admission, _ = self._admitted()
        log.debug("overdue", instance=self._attempt.instance if self._attempt else None, state=self._state)
        may_retry = OPTIONS.retry_overdue and admission.route.is_idempotent
        if not may_retry or self._state not in (ExchangeState.AWAITING, ExchangeState.RELAYING):
            return
        assert self._choice is not None
        can_restart = not self._relay.has_started or self._relay.can_resume
        if self._choice.has_untried_upstream and can_restart and self._take_retry():
            self._abort_attempt(Outcome.TIMEOUT)
            self._relay.restart()
            self._start_attempt()

    # The upstream's response: `upstream_connection.ResponseListener`

    @guarded
    def on_response_head(self, response: h11.Response) -> None:
        """Relay a response from its head on, or discard it because the request may be retried elsewhere."""
        admission, retries = self._admitted()
        head = ResponseHead(response.status_code, response.headers)
        if self._trace is not None:
            self._trace.on_head(head.status, head.load.decode("latin-1"), self._now_ms())
        if self._attempt is not None:
            self._attempt.on_head(head.status)
        started = self._relay.has_started
        found = classify_response(head, admission.route, response_started=started)
        if found is ResponseClass.RETRYABLE_ERROR and not self._take_retry():
            found = classify_without_retry(head, admission.route, response_started=started)
        if found is ResponseClass.RELAYABLE:
            self._transition(ExchangeState.RELAYING)
            self._relay.start(response.status_code, response.headers, admission.route)
            return
        if found in (ResponseClass.MISDIRECTED, ResponseClass.REJECTED):
            retries.record_not_executed()
            rejected = found is ResponseClass.REJECTED
            self._discard_outcome = Outcome.FULL if rejected else Outcome.CONNECT_FAILED
            if rejected and self._attempt is not None and head.reports_capacity:
                self._attempt.record_shedding()
        else:
            self._discard_outcome = Outcome.ERROR
        self._transition(ExchangeState.DISCARDING)

    @guarded
    def on_response_data(self, data: bytes) -> None:
        """Relay a chunk of the response body; chunks of a discarded response are dropped."""
        if self._state is not ExchangeState.RELAYING:
            return
        if self._trace is not None:
            self._trace.on_first_event(self._now_ms())
        if self._attempt is not None:
            self._attempt.on_event()
        if not self._relay.send(data) and self._attempt is not None:
            self._attempt.pause_reading()

    @guarded
    def on_response_end(self) -> None:
        """Handle the end of the response: finish the exchange, or retry if the response was discarded."""
        if self._state is ExchangeState.DISCARDING:
            self._on_discarded()
            return
        if self._relay.is_cut_off:
            self.on_call_failed(CallFailure.CUT_OFF)
            return
        self._relay.flush()
        self._end_attempt(Outcome.OK)
        self._relay.end()
        self._finish()

    def _on_discarded(self) -> None:
        """Retry, or respond with an error, after a discarded response has been read to its end."""
        admission, _ = self._admitted()
        outcome = self._discard_outcome
        self._end_attempt(outcome)
        is_repeatable = outcome is not Outcome.ERROR or admission.route.is_idempotent
        if is_repeatable and self._take_retry():
            self._start_attempt()
        else:
            self._respond_unavailable()

    @guarded
    def on_call_failed(self, failure: CallFailure) -> None:
        """Retry or resume a call that ended before its response was complete, or end the response as incomplete."""
        admission, retries = self._admitted()
        log.debug("call_failed", ending=failure, state=self._state, sent=retries.sent)
        if self._state is ExchangeState.DISCARDING and self._discard_outcome is not Outcome.ERROR:
            self._on_discarded()
            return
        is_closed = failure is CallFailure.CLOSED and not self._relay.has_started
        if is_closed and self._request.has_oversized_head:
            # Not counted against the upstream: other upstreams would refuse such a large head too.
            self._end_attempt(Outcome.CANCELLED)
            self._respond_error(ErrorKind.UPSTREAM_FAILED)
            return
        self._end_attempt(Outcome.RESET)
        may_retry = self._relay.can_resume if self._relay.has_started else admission.route.is_idempotent
        if may_retry and self._take_retry():
            self._relay.restart()
            self._start_attempt()
        else:
            self._respond_unavailable()

    # The client, the deadline, the end

    @guarded
    def on_client_writable(self) -> None:
        """Resume reading from the upstream: the data buffered for the client has been sent."""
        if self._attempt is not None:
            self._attempt.resume_reading()

    @guarded
    def cancel(self) -> None:
        """Stop the call to the upstream: the client has disconnected."""
        if self._is_done:
            return
        self._abort_attempt(Outcome.CANCELLED)
        self._refund_unless_executed()
        self._finish()

    @guarded
    def _on_deadline(self) -> None:
        if self._is_done:
            return
        retries, is_discarding = self._retries, self._state is ExchangeState.DISCARDING
        is_unsent = retries is None or not retries.sent or (is_discarding and not retries.executions)
        is_connecting = self._state is ExchangeState.CONNECTING
        self._abort_attempt(Outcome.CONNECT_FAILED if is_connecting else Outcome.TIMEOUT)
        if self._relay.has_started:
            self._abort_response()
        else:
            self._respond_error(ErrorKind.TIMED_OUT_UNSENT if is_unsent else ErrorKind.TIMED_OUT)

    def _respond_unavailable(self) -> None:
        """Respond that no upstream is left; the status says that the request has not run only if that is certain."""
        _, retries = self._admitted()
        if self._relay.has_started:
            self._abort_response()
        elif retries.executions:
            self._respond_error(ErrorKind.UPSTREAM_FAILED)
        else:
            self._respond_error(ErrorKind.REJECTED if retries.sent else ErrorKind.NO_UPSTREAM)

    def _respond_error(self, kind: ErrorKind, retry_after_s: float | None = None) -> None:
        self._plane.count_error(kind)
        self._refund_unless_executed()
        response = ERROR_RESPONSES[kind]
        self._relay.send_error(response.status, response.headers(retry_after_s))
        self._finish()

    def _refund_unless_executed(self) -> None:
        charge = self._admission.charge if self._admission is not None else None
        if charge is not None and (self._retries is None or not self._retries.executions):
            self._plane.quotas.refund(charge)

    def _abort_response(self) -> None:
        self._relay.abort()
        self._finish()

    def fail(self, error: Exception) -> None:
        """Respond with 500, or abort a started response, after an unexpected exception; release all resources."""
        log_failure("exchange_failed", error, id=self._request.header(b"x-request-id").decode("latin-1"))
        if not self._is_done:
            has_started = self._relay.has_started
            respond = (
                self._abort_response if has_started else partial(self._respond_error, ErrorKind.INTERNAL)
            )
            run_each((partial(self._abort_attempt, Outcome.CANCELLED), respond))
        if not self._is_done:  # sending the error response failed too
            run_each((self._relay.abort, self._finish))

    def _finish(self) -> None:
        self._transition(ExchangeState.DONE)
        if self._deadline_timer is not None:
            self._deadline_timer.cancel()
        if self._trace is not None:
            sent = self._retries.sent if self._retries is not None else 0
            self._trace.write(self._request, self._route, self._prompt, sent, self._now_ms())
        self._on_done()
