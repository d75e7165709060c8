"""Passes events to the decisions (`larkweir_balancing.Balancer`) and executes the actions that they return.

The decisions alone determine which upstream gets a request, and whether the request is retried, refused or failed.
"""

from __future__ import annotations

import math
import traceback
from collections import deque
from functools import partial

from larkweir_balancing.interface import (
    ClientGone,
    Effect,
    Event,
    ListKind,
    ListUpdate,
    PeerHealthReport,
    Reconfigured,
    ReportMode,
    RequestArrived,
    RequestBodyReceived,
    ServerState,
    TimerFired,
)

from larkweir.config.platform import Config
from larkweir.core.actions import ActionExecutor
from larkweir.core.active_request import ActiveRequest, Caller
from larkweir.core.attempts import AttemptRunner
from larkweir.core.clock import Clock
from larkweir.core.extensions import Extensions
from larkweir.core.health_probes import HEALTH_TARGET, LOAD_REPORT_TARGET, ProbeSender
from larkweir.core.loop_timing import LoopTiming
from larkweir.core.memory_budget import MemoryBudget
from larkweir.core.message import Headers, Message
from larkweir.core.ports import Budgets, Decisions, Listing, Pool
from larkweir.core.request_table import RequestTable
from larkweir.core.stderr_log import StderrLog


class Dispatcher:
    """Owns the table of requests. Times are milliseconds of its clock.

    Each request that `arrive` accepts gets exactly one answer, unless its client is gone. The answer comes from the
    decisions or from an upstream, or is a 503 or 504 at the request's deadline.
    """

    def __init__(
        self,
        config: Config,
        clock: Clock,
        log: StderrLog,
        upstreams: Pool,
        memory: MemoryBudget,
        decisions: Decisions,
    ) -> None:
        self.clock = clock
        self.log = log
        self.upstreams = upstreams
        self.memory = memory
        self.decisions = decisions
        self.extensions = Extensions()
        self.requests = RequestTable(clock, self.extensions)
        self._create_senders(config)
        self._events: deque[Event] = deque()
        self._is_delivering = False
        # How long the process has just stalled: requests that are read now have waited about that long.
        self.stalled_ms = 0.0
        # Events that waited longer than this indicate that the process stalled; infinity turns the detection off.
        self.min_stall_ms = math.inf
        self._apply(config)

    def _create_senders(self, config: Config) -> None:
        mode = config.settings.report_mode
        names = config.report_names if mode is not ReportMode.OFF else ()
        self.probes = ProbeSender(
            self.clock,
            self.upstreams,
            names,
            HEALTH_TARGET if mode is ReportMode.OFF else LOAD_REPORT_TARGET,
            self.deliver,
        )
        self.attempts = AttemptRunner(
            self.clock,
            self.log,
            self.upstreams,
            self.requests,
            self.extensions,
            names if mode is ReportMode.INLINE else (),
            self.is_client_gone,
            self.deliver,
        )
        self.actions = ActionExecutor(
            self.clock,
            self.log,
            self.upstreams,
            self.extensions,
            self.attempts,
            self.probes,
            self._answer_number,
            self.deliver,
        )

    def _apply(self, config: Config) -> None:
        self.config = config
        self._max_attempts = config.settings.max_attempts
        self.requests.recent_ids.extend_retention(max(item.deadline_ms for item in config.settings.classes))

    def reconfigure(self, config: Config) -> None:
        """Use a new configuration for all events after this one. Open requests keep the class, deadline and maximum
        number of attempts that they arrived with.
        """
        self._apply(config)
        self.deliver(Reconfigured(config.settings))

    @property
    def ready(self) -> bool:
        """Whether some upstream is ready, and discovery has delivered its first list or is no longer waited for."""
        membership = self.extensions.membership
        if membership is not None and not membership.begun:
            return False
        return any(item.state is ServerState.READY for item in self.upstreams.targets.values())

    @property
    def has_requests(self) -> bool:
        """Whether there are requests that are unfinished or have attempts in flight."""
        return bool(self.requests)

    @property
    def unanswered(self) -> int:
        """How many requests have not been answered yet."""
        return sum(not request.finished for request in self.requests)

    # ------------------------------------------------ arrival

    def arrive(
        self, caller: Caller, message: Message, time_left_ms: float, trace: bytes, event: RequestArrived
    ) -> int:
        """Accept a request whose id is not open. Returns the request's number; the request may have been answered
        already. If its body is still arriving, the time until its deadline counts from the last byte.
        """
        # Records the end of this iteration's poll. Otherwise an iteration that only reads requests would be taken for
        # part of the poll, that is for time spent waiting.
        loop_timing = self.clock.loop_iteration()
        event.request = number = self.requests.next_number
        self.requests.next_number += 1
        now = self.clock.now_ms()
        stalled_ms = (
            self._stalled_before_ms(loop_timing, now) if self.min_stall_ms < math.inf else self.stalled_ms
        )
        if stalled_ms:
            time_left_ms = event.time_left_ms = max(0.0, time_left_ms - stalled_ms)
        deadline_ms = now + time_left_ms
        stream = message.stream
        is_arriving = stream is not None and not stream.ended
        if is_arriving:
            event.body_incomplete = True
            deadline_ms = math.inf
        request = ActiveRequest(number, caller, message, deadline_ms, trace, self._max_attempts)
        request.time_left_ms = time_left_ms
        budgets = self.extensions.budgets
        if budgets is not None and not self._grant_budget(budgets, request, event, now):
            return number
        self.requests.add(request)
        if self.extensions.durable_state is not None:
            cls = event.class_in(self.config.settings)
            request.run_once, request.memory_ms = cls.effect is not Effect.SAFE, cls.memory_ms
        if stream is not None and is_arriving:
            stream.on_end = partial(self._body_ended, request)
        else:
            request.timer = self.clock.at(deadline_ms, lambda: self._deadline_passed(request))
        self.deliver(event)
        return number

    def _stalled_before_ms(self, loop_timing: LoopTiming, now: float) -> float:
        """How long the process stalled before it read this request. `stalled_ms` alone is not enough: socket events may
        be handled before the timer that detects a stall, and a process that was stopped in the middle of a loop
        iteration continues to read in that iteration.
        """
        waited_ms = max(loop_timing.late_ms, now - loop_timing.poll_ended_ms)
        return max(self.stalled_ms, waited_ms) if waited_ms > self.min_stall_ms else self.stalled_ms

    def _grant_budget(
        self, budgets: Budgets, request: ActiveRequest, event: RequestArrived, now: float
    ) -> bool:
        """Give the request its retry budget. Returns False if the request was refused, with nothing sent upstream."""
        budget = budgets.arrive(request.caller.peer, request.message, event, now, request.trace)
        if isinstance(budget, list):
            request.caller.answer(503, [*budget, (b"Retry-After", b"1")], b"")
            return False
        request.budget = budget
        return True

    def _body_ended(self, request: ActiveRequest, complete: bool) -> None:
        """The last byte of a request's body was received: start its deadline. If the body has failed, the caller's
        connection, which reads the body, calls `give_up`.
        """
        if request.finished or not complete:
            return
        request.deadline_ms = self.clock.now_ms() + request.time_left_ms
        request.timer = self.clock.at(request.deadline_ms, lambda: self._deadline_passed(request))
        for attempt in request.attempts:
            if attempt is not None:
                attempt.on_body_received(request.deadline_ms)
        self.deliver(RequestBodyReceived(request.number))

    # ------------------------------------------------ clients

    def is_client_gone(self, request: ActiveRequest) -> bool:
        """Check whether a request's client has closed its connection, and end the request if so. No attempt may start
        after the close. The check asks the system because the event loop may not have read the close yet: reading may
        be paused with other bytes before it, or the current loop iteration may be long.
        """
        if not request.caller.gone():
            return False
        self.client_gone(request.number)
        return True

    def client_gone(self, number: int) -> None:
        """A request's client has closed its connection, so its answer is no longer needed."""
        request = self.requests.get(number)
        if request is None:
            return
        if request.finished:
            if request.answer_started is not None:
                request.cancel_attempts()  # the rest of the answer is not needed
            return
        request.finish()
        if request.budget is not None:
            request.budget.closing(499)  # closes the budget; the returned headers are not sent
        self.deliver(ClientGone(number))
        if request.is_arriving or request.is_body_consumed:
            request.cancel_attempts()  # the rest of its body will never arrive
        self.requests.remove_if_done(request)

    def give_up(self, number: int, status: int, text: bytes) -> None:
        """Answer a request whose body could not be read to its end, with `status`. The request has not run, since its
        last byte was never received.
        """
        request = self.requests.get(number)
        if request is not None and not request.finished:
            self.deliver(ClientGone(number))
            self._answer(request, status, [], text)
            request.cancel_attempts()

    # ------------------------------------------------ membership

    def on_listing(self, listing: Listing) -> None:
        """Apply a message of discovery to the upstreams, then pass it to the decisions."""
        if listing.kind in (ListKind.FULL, ListKind.CACHED):
            self._remove_absent(listing)
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self.upstreams.update(entry.server, address, entry.state, entry.started_ms, entry.kind)
        self.deliver(ListUpdate(listing.kind, listing.version, listing.entries))

    def _remove_absent(self, listing: Listing) -> None:
        """Mark each upstream that a complete list does not name as gone."""
        named = {entry.server for entry in listing.entries}
        for upstream in list(self.upstreams.targets.values()):
            if upstream.number not in named:
                self.upstreams.update(
                    upstream.number, upstream.address, ServerState.GONE, upstream.started_ms
                )

    def on_peer_health(self, event: PeerHealthReport) -> None:
        """Another replica has reported an upstream's health."""
        self.deliver(event)

    # ------------------------------------------------ events and answers

    def deliver(self, event: Event) -> None:
        """Pass an event to the decisions. An event that is delivered while another is being handled is queued."""
        self._events.append(event)
        if self._is_delivering:
            return
        self._is_delivering = True
        try:
            while self._events:
                self._handle(self._events.popleft())
        finally:
            self._is_delivering = False

    def _handle(self, event: Event) -> None:
        try:
            for action in self.decisions.handle(self.clock.now_ms(), event):
                self.actions.execute(action)
        except Exception as problem:
            self._fail_request(event, problem)

    def _fail_request(self, event: Event, problem: Exception) -> None:
        """Log an unexpected exception and answer only the request that it concerns, with 500. Guards the other
        requests against it.
        """
        number = getattr(event, "request", event.cookie if isinstance(event, TimerFired) else 0)
        request = self.requests.get(number)
        trace = request.trace.decode("latin-1") if request is not None else "-"
        frames = traceback.format_exc(limit=-3).strip().replace("\n", " | ")
        self.log.write(f"request {trace}: {type(event).__name__}: {problem!r}: {frames}")
        if request is not None:
            self._answer(request, 500)

    def _answer_number(self, number: int, status: int, headers: Headers) -> None:
        request = self.requests.get(number)
        if request is not None:
            self._answer(request, status, headers)

    def _answer(
        self, request: ActiveRequest, status: int, headers: Headers | None = None, body: bytes = b""
    ) -> None:
        """Send the request's final answer. Any further answer is dropped."""
        if request.finished:
            return
        request.finish()
        headers = headers or []
        if request.budget is not None:
            headers = headers + request.budget.closing(status)
        request.caller.answer(status, headers, body)
        self.requests.remove_if_done(request)

    def _deadline_passed(self, request: ActiveRequest) -> None:
        """Time out the attempts in flight, then answer the request unless the decisions have answered it. A request
        that no upstream can have begun gets 503, since repeating it is harmless; any other gets 504.
        """
        request.time_out_attempts()
        self._answer(request, 504 if request.may_have_run else 503)
