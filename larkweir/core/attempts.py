"""Sends the attempts of requests to upstreams, and reports the start of each streamed answer and each attempt's end."""

from __future__ import annotations

import math
from collections.abc import Callable, Sequence

from larkweir_balancing.interface import NEVER_RAN, AnswerStarted, AttemptEnded, Cancel, Outcome, Send

from larkweir.core.active_request import ActiveRequest, AttemptTime
from larkweir.core.clock import Clock
from larkweir.core.extensions import Extensions
from larkweir.core.message import Headers, Message
from larkweir.core.ports import Attempt, Pool
from larkweir.core.reports import LOAD_HEADER, report_of
from larkweir.core.request_table import RequestTable
from larkweir.core.stderr_log import StderrLog


class _AttemptObserver:
    """Reports the progress of one attempt, which is identified by its request and its number within the request."""

    __slots__ = ("_number", "_request", "_runner", "_sent_ms", "_server", "is_launching")

    def __init__(
        self, runner: AttemptRunner, request: ActiveRequest, number: int, server: int, sent_ms: float
    ) -> None:
        self._runner = runner
        self._request = request
        self._number = number
        self._server = server
        self._sent_ms = sent_ms
        self.is_launching = True  # during `_launch`, which has just checked whether the client is gone

    @property
    def streams(self) -> bool:
        return self._request.caller.streams

    def no_longer_needed(self) -> bool:
        return self._request.finished or (
            not self.is_launching and self._runner.is_client_gone(self._request)
        )

    def started(self, answer: Message) -> bool:
        return self._runner.answer_started(self._request, self._number, self._server, self._sent_ms, answer)

    def ended(self, outcome: Outcome, answer: Message | None) -> None:
        self._runner.attempt_ended(self._request, self._number, self._server, outcome, self._sent_ms, answer)


class AttemptRunner:
    """Sends attempts. Each `Send` action leads to exactly one `AttemptEnded` event."""

    def __init__(
        self,
        clock: Clock,
        log: StderrLog,
        upstreams: Pool,
        requests: RequestTable,
        extensions: Extensions,
        report_names: Sequence[str],
        is_client_gone: Callable[[ActiveRequest], bool],
        deliver: Callable[[AnswerStarted | AttemptEnded], None],
    ) -> None:
        """`report_names`: the names of the values in the load report of an answer's headers; empty if no report is
        expected. `is_client_gone`: checks a request's client, and ends the request if the client is gone.
        """
        self.is_client_gone = is_client_gone
        self._clock = clock
        self._log = log
        self._upstreams = upstreams
        self._requests = requests
        self._extensions = extensions
        self._report_names = report_names
        self._deliver = deliver

    # ------------------------------------------------ sending

    def send(self, action: Send) -> None:
        """Start the next attempt of a request. The first attempt of a request that may not run twice starts only after
        the request has been recorded on disk.
        """
        request = self._requests.get(action.request)
        if request is None:
            self._log.write(f"Send action for request {action.request}, which has ended")
            return
        now = self._clock.now_ms()
        number = len(request.attempts)
        until_ms = request.deadline_ms
        if action.timeout_ms:
            until_ms = min(until_ms, now + action.timeout_ms)
        request.attempts.append(None)
        request.in_flight += 1
        durable_state = self._extensions.durable_state
        if not request.run_once or number or durable_state is None:
            self._launch(request, number, action, until_ms)
            return
        process = self._process_of(action.server)

        def on_recorded() -> None:
            process_changed = process is not self._process_of(action.server)
            self._launch(request, number, action, until_ms, process_changed=process_changed)

        durable_state.began(request.trace, on_recorded, request.memory_ms)

    def cancel(self, action: Cancel) -> None:
        """Cancel an attempt that is in flight."""
        request = self._requests.get(action.request)
        if request is None or not 0 <= action.attempt < len(request.attempts):
            return
        attempt = request.attempts[action.attempt]
        if attempt is not None:
            attempt.end(Outcome.CANCELLED)

    def _process_of(self, server: int) -> object:
        target = self._upstreams.targets.get(server)
        return None if target is None else target.process

    def _launch(
        self,
        request: ActiveRequest,
        number: int,
        action: Send,
        until_ms: float,
        process_changed: bool = False,
    ) -> None:
        """Start the attempt if it is still allowed. `process_changed`: the upstream's process was replaced."""
        now = self._clock.now_ms()
        too_late = request.finished or until_ms <= now or request.is_body_consumed
        excluded = too_late or number >= request.max_attempts or process_changed
        attempt: Attempt | None = None
        if not excluded and not self.is_client_gone(request):
            attempt = self._begin(request, number, action, until_ms, now)
        if attempt is None:
            self.attempt_ended(request, number, action.server, Outcome.MOOT, now, None)
        else:
            request.attempts[number] = attempt

    def _begin(
        self, request: ActiveRequest, number: int, action: Send, until_ms: float, now: float
    ) -> Attempt | None:
        """Start the attempt. Returns None if the retry budget does not allow it or the upstream is unknown."""
        patience_ms = return_margin_ms = 0.0
        extra: Headers | None = None
        budgets = self._extensions.budgets
        if request.budget is not None and budgets is not None:
            return_margin_ms = budgets.way_back_ms
            if until_ms - now <= return_margin_ms:
                return None  # no answer could reach the caller in time
            extra = request.budget.grant(number, request.max_attempts - number, now)
            if extra is None:
                return None
        if request.is_arriving:
            patience_ms = min(until_ms - now, request.time_left_ms)
            until_ms = math.inf
        observer = _AttemptObserver(self, request, number, action.server, now)
        attempt = self._upstreams.call(
            action.server,
            request.message,
            until_ms,
            observer,
            extra=extra,
            margin_ms=return_margin_ms,
            patience_ms=patience_ms,
            write_by_ms=action.write_by_ms,
        )
        observer.is_launching = False
        return attempt

    # ------------------------------------------------ answers and ends

    def answer_started(
        self, request: ActiveRequest, number: int, server: int, sent_ms: float, answer: Message
    ) -> bool:
        """A streamed answer has begun. It is the request's only answer: there is no further attempt, even if it breaks
        off. Returns whether the answer is accepted.
        """
        if request.finished or answer.stream is None:
            return False
        verifier = self._extensions.answer_verifier
        if verifier is not None and not verifier.begun(server, answer):
            return False
        request.finish()
        request.answer_started = taken = self._time_taken(request, number, sent_ms)
        self._deliver(AnswerStarted(request.number, number, server, taken.total_ms))
        request.caller.begin(200, self._answer_headers(request, answer), answer.stream)
        return True

    def attempt_ended(
        self,
        request: ActiveRequest,
        number: int,
        server: int,
        outcome: Outcome,
        sent_ms: float,
        answer: Message | None,
    ) -> None:
        """An attempt has ended: pass the first successful answer to the caller, and notify the decisions."""
        verifier = self._extensions.answer_verifier
        if verifier is not None and not verifier.ended(server, outcome, answer):
            outcome = Outcome.ERROR  # the request has run, but at the wrong upstream
        budget = request.budget
        if budget is not None:
            budget.settle(number, outcome, answer, self._clock.now_ms())
        if outcome not in NEVER_RAN:
            request.may_have_run = True
        if outcome is Outcome.OK and answer is not None and not request.finished:
            request.finish()
            request.caller.answer(200, self._answer_headers(request, answer), answer.body)
        request.in_flight -= 1
        report = report_of(answer, self._report_names, False) if self._report_names else ()
        attempts_left = None if budget is None else budget.left
        if request.is_body_consumed:
            attempts_left = 0  # the part of the body that was sent with the attempt is not retained
        total_ms, remote_ms = request.answer_started or self._time_taken(request, number, sent_ms)
        finished = request.finished
        self._deliver(
            AttemptEnded(
                request.number, number, server, outcome, finished, total_ms, report, attempts_left, remote_ms
            )
        )
        self._requests.remove_if_done(request)

    def _answer_headers(self, request: ActiveRequest, answer: Message) -> Headers:
        """The headers that are forwarded to the caller with an upstream's 200."""
        headers = [
            (name, value) for name, value in answer.end_to_end_headers() if name.lower() != LOAD_HEADER
        ]
        budgets = self._extensions.budgets
        if request.budget is not None and budgets is not None:
            headers = [item for item in headers if not item[0].lower().startswith(budgets.own)]
            headers += request.budget.closing(200)
        return headers

    def _time_taken(self, request: ActiveRequest, number: int, sent_ms: float) -> AttemptTime:
        """How long an attempt has taken, and how much of that was certainly spent at the upstream. Delays that this
        process added to reading the answer or to connecting are excluded, since they say nothing about the upstream.
        If the request's body was streamed, the time counts from its last byte.
        """
        loop_timing = self._clock.loop_iteration()
        attempt = request.attempts[number]
        stream = request.message.stream
        if stream is not None and attempt is not None and attempt.written_ms:
            sent_ms = max(sent_ms, attempt.written_ms)
        total_ms = self._clock.now_ms() - sent_ms
        if attempt is not None and attempt.written_ms:
            remote_ms = attempt.connect_ms + loop_timing.remote_ms(attempt.written_ms)
        else:
            remote_ms = loop_timing.remote_ms(sent_ms)
        return AttemptTime(total_ms, min(total_ms, remote_ms))
