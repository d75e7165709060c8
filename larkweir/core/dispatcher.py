"""Passes events to the decisions and has their actions carried out.

Nothing is decided here: which upstream gets a request, whether it is tried again, refused or failed, is up to the
decisions (`larkweir_balancing.Balancer`).
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

    Each request that `arrive` accepts gets exactly one answer, unless its client is gone: the decisions' answer, an
    upstream's, or 503 or 504 at its deadline.
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
        # For how long the process has just stood still: requests read now have waited for about so long.
        self.stalled_ms = 0.0
        # A loop iteration as late as this had a standstill before it; infinity: nobody asks.
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
        """Use a new configuration, from here on in the order of events. Open requests keep theirs: their class,
        deadline and maximum of attempts are their own.
        """
        self._apply(config)
        self.deliver(Reconfigured(config.settings))

    @property
    def ready(self) -> bool:
        """Whether there is a list that requests can be served from, and no newer one that is due in a moment."""
        membership = self.extensions.membership
        if membership is not None and not membership.begun:
            return False
        return any(item.state is ServerState.READY for item in self.upstreams.targets.values())

    @property
    def has_requests(self) -> bool:
        """Whether there are requests that are not finished, or have attempts in flight."""
        return bool(self.requests)

    @property
    def unanswered(self) -> int:
        """How many requests still wait for their answer."""
        return sum(not request.finished for request in self.requests)

    # ------------------------------------------------ arrival

    def arrive(
        self, caller: Caller, message: Message, time_left_ms: float, trace: bytes, event: RequestArrived
    ) -> int:
        """A request has arrived, under an id that is not open; returns its number, under which it may have been
        answered already. Its body may still be arriving: then its time counts from its last byte on.
        """
        # Guards against taking an iteration that brings requests alone for a time spent waiting.
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
        """For how long the process stood still before it read this request. The system's news may be handled before
        the timer that notices a standstill; and a process that is stopped in the middle of an iteration reads on in it.
        """
        waited_ms = max(loop_timing.late_ms, now - loop_timing.poll_ended_ms)
        return max(self.stalled_ms, waited_ms) if waited_ms > self.min_stall_ms else self.stalled_ms

    def _grant_budget(
        self, budgets: Budgets, request: ActiveRequest, event: RequestArrived, now: float
    ) -> bool:
        """Give the request its retry budget; False: it was refused, with nothing sent."""
        budget = budgets.arrive(request.caller.peer, request.message, event, now, request.trace)
        if isinstance(budget, list):
            request.caller.answer(503, [*budget, (b"Retry-After", b"1")], b"")
            return False
        request.budget = budget
        return True

    def _body_ended(self, request: ActiveRequest, complete: bool) -> None:
        """The last byte of a request's body was received. Where it never will be, whoever reads the body gives up."""
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
        """Check whether a request's client has closed its connection; if so the request ends. An attempt must not
        begin after that, and the close may lie unread: behind other bytes while reading is paused, or behind a loop
        iteration that lasts.
        """
        if not request.caller.gone():
            return False
        self.client_gone(request.number)
        return True

    def client_gone(self, number: int) -> None:
        """A request's client has closed its connection: nobody takes the answer any more."""
        request = self.requests.get(number)
        if request is None:
            return
        if request.finished:
            if request.answer_started is not None:
                request.cancel_attempts()  # nobody takes the rest of the answer
            return
        request.finish()
        if request.budget is not None:
            request.budget.closing(499)  # sent to nobody
        self.deliver(ClientGone(number))
        if request.is_arriving or request.is_body_consumed:
            request.cancel_attempts()  # the rest of its body will never arrive
        self.requests.remove_if_done(request)

    def give_up(self, number: int, status: int, text: bytes) -> None:
        """Whoever reads a request's body can't go on: it is answered with `status`, and has not run, since its last
        byte was never received.
        """
        request = self.requests.get(number)
        if request is not None and not request.finished:
            self.deliver(ClientGone(number))
            self._answer(request, status, [], text)
            request.cancel_attempts()

    # ------------------------------------------------ membership

    def on_listing(self, listing: Listing) -> None:
        """Apply what discovery has sent: to the upstreams, then to the decisions."""
        if listing.kind in (ListKind.FULL, ListKind.CACHED):
            self._remove_absent(listing)
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self.upstreams.update(entry.server, address, entry.state, entry.started_ms, entry.kind)
        self.deliver(ListUpdate(listing.kind, listing.version, listing.entries))

    def _remove_absent(self, listing: Listing) -> None:
        """An upstream that a complete list does not name is gone."""
        named = {entry.server for entry in listing.entries}
        for upstream in list(self.upstreams.targets.values()):
            if upstream.number not in named:
                self.upstreams.update(
                    upstream.number, upstream.address, ServerState.GONE, upstream.started_ms
                )

    def on_peer_health(self, event: PeerHealthReport) -> None:
        """Another replica's finding of an upstream's health."""
        self.deliver(event)

    # ------------------------------------------------ events and answers

    def deliver(self, event: Event) -> None:
        """Pass an event to the decisions; one that comes while another is handled is handled after it."""
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
        """Guards the other requests: whatever went wrong with this one, it alone is answered 500."""
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
        """Send the one final answer; a second is dropped."""
        if request.finished:
            return
        request.finish()
        headers = headers or []
        if request.budget is not None:
            headers = headers + request.budget.closing(status)
        request.caller.answer(status, headers, body)
        self.requests.remove_if_done(request)

    def _deadline_passed(self, request: ActiveRequest) -> None:
        """Attempts in flight end first, then the request is answered, if the decisions have not. What no upstream can
        have begun is refused, since asking again is harmless.
        """
        request.time_out_attempts()
        self._answer(request, 504 if request.may_have_run else 503)
