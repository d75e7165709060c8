"""The life of one request in a router: checks, attempts at upstreams, the answer."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from enum import Enum
from typing import TYPE_CHECKING, Protocol

import h11
from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.interface import Outcome
from larkweir_balancing.prompt import Prompt

from larkweir.cluster import log
from larkweir.router.answers import ERROR_RESPONSES, ErrorKind, ErrorResponse
from larkweir.router.attempt import Attempt
from larkweir.router.client_request import HOP_BY_HOP_HEADERS, ClientRequest, Headers, RoutingHeaders
from larkweir.router.configuration import Route, Tenant
from larkweir.router.event_stream import EventBuffer
from larkweir.router.prefix_affinity import PrefixOwner
from larkweir.router.request_trace import RequestTrace
from larkweir.router.upstream_connection import CallFailure, UpstreamConnection

if TYPE_CHECKING:
    from larkweir.router.data_plane import DataPlane

MAX_FAILED_CONNECTS = 3  # upstreams without a connection that are tried for one request
MIN_REMAINING_MS = 5.0  # of the deadline, under which a request is not sent any more
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))  # statuses that say that the request has not run
MISDIRECTED_REQUEST = 421
LOAD_HEADER = b"x-server-load"
LOAD_FIELD_COUNT = 3  # requests running, requests waiting, slots


class ResponseWriter(Protocol):
    """Where the answer goes."""

    def start_response(self, status: int, headers: Headers) -> None:
        """The answer begins."""

    def send_body(self, data: bytes) -> bool:
        """A piece of its body; False while the client does not keep up."""

    def end_response(self) -> None:
        """The answer is whole."""

    def abort_response(self) -> None:
        """The answer ends early and must not seem whole."""


class ExchangeState(Enum):
    """Where a request stands; `Exchange._transition` is the one place where it changes."""

    NEW = "new"
    PLACING = "placing"  # a controller is asked which engine keeps the prompt's head
    CONNECTING = "connecting"  # to an upstream; nothing is written yet
    AWAITING = "awaiting"  # written; no head of an answer yet
    DISCARDING = "discarding"  # an answer that is not passed on is read to its end
    RELAYING = "relaying"
    DONE = "done"


class Exchange:
    """One request. The client's connection begins it and may cancel it; it always ends with one answer."""

    def __init__(
        self, plane: DataPlane, client: ResponseWriter, request: ClientRequest, on_done: Callable[[], None]
    ) -> None:
        """`on_done`: called once, after the last call of `client`."""
        self._plane = plane
        self._client = client
        self._request = request
        self._prompt = Prompt()
        self._on_done = on_done
        self._loop = asyncio.get_running_loop()
        self._state = ExchangeState.NEW
        self._route: Route | None = None
        self._tenant: Tenant | None = None
        self._quota_units = 0.0
        self._service = ""
        self._prefix_owner: PrefixOwner | None = None
        self._attempt: Attempt | None = None
        self._tried_instances: set[str] = set()
        self._attempts_sent = 0  # attempts that were written
        self._failed_connects = 0
        self._may_have_executed = False
        self._deadline_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._response_started = False
        self._events: EventBuffer | None = None
        self._discard_outcome: Outcome | None = None
        self._first_event_ms = 0.0
        self._trace = RequestTrace(request.received_ms) if log.is_debug_enabled() else None

    def _transition(self, state: ExchangeState) -> None:
        self._state = state

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    # Checks

    def start(self) -> None:
        """Checks the request against the configuration and sends it on."""
        plane, request = self._plane, self._request
        table = plane.configuration.table
        if table is None:
            return self._respond_error(ErrorKind.NO_CONFIGURATION)
        route = table.find_route(request.host, request.path)
        if route is None:
            return self._respond_error(ErrorKind.NO_ROUTE)
        self._route = route
        self._prompt = request.prompt(route.target_latency_ms)
        if table.has_tenants and not route.public:
            self._tenant = table.find_tenant(request.header(b"x-api-key").decode("latin-1"))
            if self._tenant is None:
                return self._respond_error(ErrorKind.UNKNOWN_KEY)
            self._quota_units = self._tenant.quota_units(request.tokens)
            wait_s = plane.quotas.admit(self._tenant.name, self._quota_units, self._now_ms())
            if wait_s > 0.0:
                self._tenant = None  # nothing was counted
                return self._respond_error(ErrorKind.OVER_QUOTA, wait_s)
        self._service = route.service(plane.rng)
        plane.retries(self._service).record_request(self._now_ms())
        timeout_ms = min(route.timeout_ms, request.deadline_ms or route.timeout_ms)
        self._deadline_ms = request.received_ms + timeout_ms
        self._timer = self._loop.call_at(self._deadline_ms / 1000.0, self._on_deadline)
        return self._locate_prefix()

    def _locate_prefix(self) -> None:
        """Finds which engine keeps the head of the prompt, where it has one."""
        plane, prompt = self._plane, self._prompt
        if not (OPTIONS.controller_prefix_owners and prompt.is_shared and plane.is_engine(self._service)):
            self._start_attempt()
            return
        self._transition(ExchangeState.PLACING)
        is_ready = plane.balancer(self._service).is_ready
        plane.prefix_affinity.find_owner(
            self._service, prompt, len(self._request.body), is_ready, self._on_prefix_owner
        )

    def _on_prefix_owner(self, owner: PrefixOwner | None) -> None:
        if self._state is ExchangeState.PLACING:
            if self._trace is not None:
                self._trace.placed_ms = self._trace.elapsed_ms(self._now_ms())
            self._prefix_owner = owner
            self._start_attempt()

    # Attempts

    def _start_attempt(self) -> None:
        """Goes to the next upstream, or answers where there is none to go to."""
        assert self._route is not None
        balancer = self._plane.balancer(self._service)
        now_ms = self._now_ms()
        instance = balancer.select(
            self._prompt,
            self._tried_instances,
            now_ms,
            self._prefix_owner.engine if self._prefix_owner else None,
            is_cached=self._prefix_owner is not None and self._prefix_owner.is_cached,
            remaining_ms=self._request.received_ms + self._route.target_latency_ms - now_ms,
        )
        if instance is None:
            self._respond_unavailable()
            return
        self._tried_instances.add(instance)
        if self._trace is not None:
            self._trace.on_chosen(
                instance, balancer.last_reason, balancer.prefill_backlog_tokens(instance), self._now_ms()
            )
        kept = (
            self._prefix_owner is not None
            and self._prefix_owner.is_cached
            and self._prefix_owner.engine == instance
        )
        self._attempt = Attempt(self._plane, self._service, instance, self._prompt, kept=kept)
        self._transition(ExchangeState.CONNECTING)
        connection = self._plane.pool.take(self._attempt.address)
        if connection is not None:
            self._send_request(connection)
        else:
            self._connecting = self._loop.create_task(self._connect(self._attempt))

    async def _connect(self, attempt: Attempt) -> None:
        try:
            connection = await self._plane.pool.connect(attempt.address)
        except (OSError, TimeoutError) as error:
            self._connecting = None
            self._connect_failed(attempt, str(error))
            return
        self._connecting = None
        if connection.is_open:
            self._send_request(connection)
        else:
            self._connect_failed(attempt, "reset at once")

    def _connect_failed(self, attempt: Attempt, error: str) -> None:
        """Nothing was written: another upstream may be asked."""
        log.debug("connect_failed", instance=attempt.instance, error=error)
        self._end_attempt(Outcome.CONNECT_FAILED)
        self._failed_connects += 1
        if self._failed_connects >= MAX_FAILED_CONNECTS:
            self._respond_unavailable()
        else:
            self._start_attempt()

    def _send_request(self, connection: UpstreamConnection) -> None:
        assert self._attempt is not None
        assert self._route is not None
        left_ms = self._deadline_ms - self._now_ms()
        if left_ms < MIN_REMAINING_MS:
            connection.close()
            self._on_deadline()
            return
        self._attempt.on_request_sent(connection, self._on_overdue)
        self._attempts_sent += 1
        self._may_have_executed = True
        self._discard_outcome = None
        priority = self._route.priority
        if self._tenant is not None and self._tenant.priority is not None:
            priority = self._tenant.priority
        routing_headers = RoutingHeaders(
            deadline_ms=int(left_ms),
            instance=self._attempt.instance,
            tenant=self._tenant.name if self._tenant is not None else None,
            priority=max(0, min(9, priority)),
            last_event_id=self._events.last_id if self._events is not None else None,
        )
        request = h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=self._request.upstream_headers(routing_headers),
        )
        if self._trace is not None:
            self._trace.on_request_sent(self._attempt.prefill_tokens, self._now_ms())
        self._transition(ExchangeState.AWAITING)
        connection.call(request, self._request.header(b"x-request-id"), self._request.body, self)

    def _take_retry(self) -> bool:
        """Within the route's attempts and the budget that all routers share."""
        assert self._route is not None
        if self._attempts_sent >= self._route.max_attempts:
            return False
        return self._plane.retries(self._service).try_consume(self._now_ms())

    def _end_attempt(self, outcome: Outcome) -> None:
        """The attempt is over."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.end(outcome, self._trace)

    def _on_overdue(self) -> None:
        """The upstream is silent for longer than others are: it goes elsewhere what may, and where others are left."""
        assert self._route is not None
        log.debug("overdue", instance=self._attempt.instance if self._attempt else None, state=self._state)
        may_go = OPTIONS.retry_overdue and self._route.is_idempotent
        if not may_go or self._state not in (ExchangeState.AWAITING, ExchangeState.RELAYING):
            return
        others = self._plane.balancer(self._service).ready_count > len(self._tried_instances)
        restartable = not self._response_started or (self._events is not None and self._events.resumable)
        if others and restartable and self._take_retry():
            self._abort_attempt(Outcome.TIMEOUT)
            if self._events is not None:
                self._events.restart()
            self._start_attempt()

    def _respond_unavailable(self) -> None:
        """No further upstream: what can be promised is, of what has been sent."""
        if self._response_started:
            self._abort_response()
        elif self._may_have_executed:
            self._respond_error(ErrorKind.UPSTREAM_FAILED)
        elif self._attempts_sent:
            self._respond_error(ErrorKind.REJECTED)
        else:
            self._respond_error(ErrorKind.NO_UPSTREAM)

    # What comes from the upstream

    def on_response_head(self, response: h11.Response) -> None:
        """The head of an answer: passed on, unless the request goes elsewhere."""
        assert self._route is not None
        status = response.status_code
        if self._trace is not None:
            load = next((value for name, value in response.headers if name == LOAD_HEADER), b"")
            self._trace.on_head(status, load.decode("latin-1"), self._now_ms())
        not_executed = status == MISDIRECTED_REQUEST or any(
            name == b"x-not-executed" for name, _ in response.headers
        )
        if not_executed and status in NOT_EXECUTED_STATUSES:
            self._may_have_executed = False
            self._discard_outcome = Outcome.CONNECT_FAILED if status == MISDIRECTED_REQUEST else Outcome.FULL
            if status != MISDIRECTED_REQUEST and self._attempt is not None and _has_capacity(response):
                self._attempt.record_shedding()
            self._transition(ExchangeState.DISCARDING)
        elif status >= 500 and self._route.is_idempotent and self._take_retry():
            self._discard_outcome = Outcome.ERROR
            self._transition(ExchangeState.DISCARDING)
        elif (status in NOT_EXECUTED_STATUSES and not self._route.is_idempotent) or (
            self._response_started and status != 200
        ):
            self._discard_outcome = Outcome.ERROR  # it may have run: its promise can't be passed on
            self._transition(ExchangeState.DISCARDING)
        else:
            self._relay_head(response)

    def _relay_head(self, response: h11.Response) -> None:
        assert self._route is not None
        self._transition(ExchangeState.RELAYING)
        if self._response_started:  # a stream that goes on keeps its first head
            return
        if self._route.is_streaming and self._route.resumable and response.status_code == 200:
            self._events = EventBuffer()
        self._response_started = True
        headers = [(name, value) for name, value in response.headers if name not in HOP_BY_HOP_HEADERS]
        self._client.start_response(response.status_code, headers)

    def on_response_data(self, data: bytes) -> None:
        """A piece of an answer."""
        if self._state is not ExchangeState.RELAYING:
            return
        self._on_first_event()
        if self._events is not None:
            data = self._events.feed(data)
        if data and not self._client.send_body(data) and self._attempt and self._attempt.connection:
            self._attempt.connection.pause_reading()

    def _on_first_event(self) -> None:
        """An engine that answers has read the prompt: its token returns."""
        assert self._route is not None
        if not self._first_event_ms:
            self._first_event_ms = self._now_ms()
            if self._trace is not None:
                self._trace.on_first_event(self._first_event_ms)
        if self._attempt is not None:
            self._attempt.on_first_event()

    def on_response_end(self) -> None:
        """The answer is whole."""
        if self._state is ExchangeState.DISCARDING:
            self._on_discarded()
            return
        if self._events is not None:
            rest = self._events.flush()
            if rest:
                self._client.send_body(rest)
        self._end_attempt(Outcome.OK)
        self._client.end_response()
        self._finish()

    def _on_discarded(self) -> None:
        """An answer that is not passed on has been read."""
        outcome = self._discard_outcome or Outcome.ERROR
        self._end_attempt(outcome)
        if outcome is Outcome.ERROR:
            assert self._route is not None
            if self._route.is_idempotent and self._attempts_sent < self._route.max_attempts:
                self._start_attempt()  # taken from the budget when its head came
            else:
                self._respond_unavailable()
        elif self._take_retry():
            self._start_attempt()
        else:
            self._respond_unavailable()

    def on_call_failed(self, ending: CallFailure) -> None:
        """The connection ended, or spoke nonsense, before the answer was whole."""
        assert self._route is not None
        log.debug("call_failed", ending=ending, state=self._state, sent=self._attempts_sent)
        discarding = self._state is ExchangeState.DISCARDING
        if discarding and not self._may_have_executed:
            self._on_discarded()
            return
        self._end_attempt(Outcome.RESET)
        if self._response_started:
            self._resume_stream()
        elif self._route.is_idempotent and self._take_retry():
            self._start_attempt()
        else:
            self._respond_unavailable()

    def _resume_stream(self) -> None:
        """A begun answer broke off: a resumable stream goes on elsewhere, any other ends early."""
        if self._events is not None and self._events.resumable and self._take_retry():
            self._events.restart()
            self._start_attempt()
        else:
            self._abort_response()

    # The end

    def on_client_writable(self) -> None:
        """The client has taken what was held up for it."""
        if self._attempt is not None and self._attempt.connection is not None:
            self._attempt.connection.resume_reading()

    def cancel(self) -> None:
        """The client has gone: the upstream need not go on."""
        if self._state is ExchangeState.DONE:
            return
        self._abort_attempt(Outcome.CANCELLED)
        if not self._may_have_executed:
            self._refund()
        self._finish()

    def _on_deadline(self) -> None:
        if self._state is ExchangeState.DONE:
            return
        unsent = not self._attempts_sent or (
            self._state is ExchangeState.DISCARDING and not self._may_have_executed
        )
        self._abort_attempt(
            Outcome.CONNECT_FAILED if self._state is ExchangeState.CONNECTING else Outcome.TIMEOUT
        )
        if self._response_started:
            self._abort_response()
        else:
            self._respond_error(ErrorKind.TIMED_OUT_UNSENT if unsent else ErrorKind.TIMED_OUT)

    def _abort_attempt(self, outcome: Outcome) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        attempt = self._attempt
        self._end_attempt(outcome)
        if attempt is not None and attempt.connection is not None:
            attempt.connection.close()

    def _refund(self) -> None:
        if self._tenant is not None:
            self._plane.quotas.refund(self._tenant.name, self._quota_units)

    def _respond_error(self, kind: ErrorKind, retry_after_s: float | None = None) -> None:
        """The router's own answer."""
        answer: ErrorResponse = ERROR_RESPONSES[kind]
        if not self._may_have_executed:
            self._refund()
        wait_s = answer.retry_after_s if retry_after_s is None else retry_after_s
        headers = [(b"content-length", b"0")]
        if wait_s is not None:
            headers.append((b"retry-after", b"%.3f" % wait_s))
        self._plane.count_error(kind)
        self._client.start_response(answer.status, headers)
        self._client.end_response()
        self._finish()

    def _abort_response(self) -> None:
        self._client.abort_response()
        self._finish()

    def _finish(self) -> None:
        self._transition(ExchangeState.DONE)
        if self._timer is not None:
            self._timer.cancel()
        if self._trace is not None:
            self._log(self._trace)
        self._on_done()

    def _log(self, trace: RequestTrace) -> None:
        request, received_ms = self._request, self._request.received_ms
        log.debug(
            "request",
            id=request.header(b"x-request-id").decode("latin-1"),
            route=self._route.name if self._route is not None else None,
            tokens=request.tokens,
            aim_ms=self._route.target_latency_ms if self._route is not None else None,
            head=self._prompt.prefix,
            head_tokens=round(self._prompt.prefix_tokens),
            placed_ms=trace.placed_ms,
            attempts=trace.attempts,
            sent=self._attempts_sent,
            first_ms=round(self._first_event_ms - received_ms) if self._first_event_ms else None,
            total_ms=round(self._now_ms() - received_ms),
        )


def _has_capacity(response: h11.Response) -> bool:
    """Whether an upstream says that it could run another request; False where it says nothing."""
    fields = next((value for name, value in response.headers if name == LOAD_HEADER), b"").split(b",")
    if len(fields) != LOAD_FIELD_COUNT or not all(part.strip().isdigit() for part in fields):
        return False
    running, waiting, slots = (int(part) for part in fields)
    return running < slots and waiting == 0
