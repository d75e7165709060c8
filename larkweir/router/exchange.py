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
from larkweir.router.answers import ANSWERS, Answer, ErrorKind
from larkweir.router.attempt import Attempt
from larkweir.router.client_request import HOP_BY_HOP, ClientRequest, Headers, UpstreamHeaders
from larkweir.router.configuration import Route, Tenant
from larkweir.router.event_stream import EventBuffer
from larkweir.router.prompt_keepers import Keeper
from larkweir.router.request_log import RequestNote
from larkweir.router.upstream_call import Ending, UpstreamConnection

if TYPE_CHECKING:
    from larkweir.router.data_plane import DataPlane

CONNECTS_MOST = 3  # upstreams without a connection that are tried for one request
LEAST_LEFT_MS = 5.0  # of the deadline, under which a request is not sent any more
PROMISES = frozenset((408, 421, 429, 503))  # statuses that say that the request has not run
MISDIRECTED = 421
LOAD = b"x-server-load"
LOAD_FIGURES = 3  # requests running, requests waiting, slots


class Client(Protocol):
    """Where the answer goes."""

    def answer_head(self, status: int, headers: Headers) -> None:
        """The answer begins."""

    def answer_data(self, data: bytes) -> bool:
        """A piece of its body; False while the client does not keep up."""

    def answer_end(self) -> None:
        """The answer is whole."""

    def answer_broken(self) -> None:
        """The answer ends early and must not seem whole."""


class State(Enum):
    """Where a request stands; `Exchange._become` is the one place where it changes."""

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
        self, plane: DataPlane, client: Client, request: ClientRequest, on_done: Callable[[], None]
    ) -> None:
        """`on_done`: called once, after the last call of `client`."""
        self._plane = plane
        self._client = client
        self._request = request
        self._prompt = Prompt()
        self._on_done = on_done
        self._loop = asyncio.get_running_loop()
        self._state = State.NEW
        self._route: Route | None = None
        self._tenant: Tenant | None = None
        self._units = 0.0
        self._service = ""
        self._keeper: Keeper | None = None
        self._attempt: Attempt | None = None
        self._tried: set[str] = set()
        self._sent = 0  # attempts that were written
        self._connects_failed = 0
        self._may_have_run = False
        self._deadline_ms = 0.0
        self._timer: asyncio.TimerHandle | None = None
        self._connecting: asyncio.Task[None] | None = None
        self._head_sent = False
        self._events: EventBuffer | None = None
        self._refused: Outcome | None = None
        self._first_event_ms = 0.0
        self._note = RequestNote(request.received_ms) if log.is_debug_enabled() else None

    def _become(self, state: State) -> None:
        self._state = state

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    # Checks

    def start(self) -> None:
        """Checks the request against the configuration and sends it on."""
        plane, request = self._plane, self._request
        table = plane.configuration.table
        if table is None:
            return self._answer(ErrorKind.NO_CONFIGURATION)
        route = table.route(request.host, request.path)
        if route is None:
            return self._answer(ErrorKind.NO_ROUTE)
        self._route = route
        self._prompt = request.prompt(route.target_latency_ms)
        if table.has_tenants and not route.public:
            self._tenant = table.tenant(request.header(b"x-api-key").decode("latin-1"))
            if self._tenant is None:
                return self._answer(ErrorKind.UNKNOWN_KEY)
            self._units = self._tenant.units(request.tokens)
            wait_s = plane.quotas.admit(self._tenant.name, self._units, self._now_ms())
            if wait_s > 0.0:
                self._tenant = None  # nothing was counted
                return self._answer(ErrorKind.OVER_QUOTA, wait_s)
        self._service = route.service(plane.rng)
        plane.retries(self._service).record_request(self._now_ms())
        allowed_ms = min(route.timeout_ms, request.deadline_ms or route.timeout_ms)
        self._deadline_ms = request.received_ms + allowed_ms
        self._timer = self._loop.call_at(self._deadline_ms / 1000.0, self._time_out)
        return self._place()

    def _place(self) -> None:
        """Finds which engine keeps the head of the prompt, where it has one."""
        plane, prompt = self._plane, self._prompt
        if not (OPTIONS.controller_prefix_owners and prompt.is_shared and plane.is_engine(self._service)):
            self._try()
            return
        self._become(State.PLACING)
        is_ready = plane.balancer(self._service).is_ready
        plane.keepers.find(self._service, prompt, len(self._request.body), is_ready, self._placed)

    def _placed(self, keeper: Keeper | None) -> None:
        if self._state is State.PLACING:
            if self._note is not None:
                self._note.placed_ms = self._note.since(self._now_ms())
            self._keeper = keeper
            self._try()

    # Attempts

    def _try(self) -> None:
        """Goes to the next upstream, or answers where there is none to go to."""
        assert self._route is not None
        balancer = self._plane.balancer(self._service)
        now_ms = self._now_ms()
        instance = balancer.select(
            self._prompt,
            self._tried,
            now_ms,
            self._keeper.engine if self._keeper else None,
            is_cached=self._keeper is not None and self._keeper.kept,
            remaining_ms=self._request.received_ms + self._route.target_latency_ms - now_ms,
        )
        if instance is None:
            self._give_up()
            return
        self._tried.add(instance)
        if self._note is not None:
            self._note.chosen(
                instance, balancer.last_reason, balancer.prefill_backlog_tokens(instance), self._now_ms()
            )
        kept = self._keeper is not None and self._keeper.kept and self._keeper.engine == instance
        self._attempt = Attempt(self._plane, self._service, instance, self._prompt, kept=kept)
        self._become(State.CONNECTING)
        connection = self._plane.pool.take(self._attempt.address)
        if connection is not None:
            self._write(connection)
        else:
            self._connecting = self._loop.create_task(self._connect(self._attempt))

    async def _connect(self, attempt: Attempt) -> None:
        try:
            connection = await self._plane.pool.connect(attempt.address)
        except (OSError, TimeoutError) as problem:
            self._connecting = None
            self._connect_failed(attempt, str(problem))
            return
        self._connecting = None
        if connection.is_open:
            self._write(connection)
        else:
            self._connect_failed(attempt, "reset at once")

    def _connect_failed(self, attempt: Attempt, problem: str) -> None:
        """Nothing was written: another upstream may be asked."""
        log.debug("connect_failed", instance=attempt.instance, error=problem)
        self._release(Outcome.CONNECT_FAILED)
        self._connects_failed += 1
        if self._connects_failed >= CONNECTS_MOST:
            self._give_up()
        else:
            self._try()

    def _write(self, connection: UpstreamConnection) -> None:
        assert self._attempt is not None
        assert self._route is not None
        left_ms = self._deadline_ms - self._now_ms()
        if left_ms < LEAST_LEFT_MS:
            connection.close()
            self._time_out()
            return
        self._attempt.written(connection, self._overdue)
        self._sent += 1
        self._may_have_run = True
        self._refused = None
        priority = self._route.priority
        if self._tenant is not None and self._tenant.priority is not None:
            priority = self._tenant.priority
        own = UpstreamHeaders(
            deadline_ms=int(left_ms),
            instance=self._attempt.instance,
            tenant=self._tenant.name if self._tenant is not None else None,
            priority=max(0, min(9, priority)),
            last_event_id=self._events.last_id if self._events is not None else None,
        )
        request = h11.Request(
            method=self._request.method,
            target=self._request.target,
            headers=self._request.upstream_headers(own),
        )
        if self._note is not None:
            self._note.written(self._attempt.tokens, self._now_ms())
        self._become(State.AWAITING)
        connection.call(request, self._request.header(b"x-request-id"), self._request.body, self)

    def _may_send_again(self) -> bool:
        """Within the route's attempts and the budget that all routers share."""
        assert self._route is not None
        if self._sent >= self._route.max_attempts:
            return False
        return self._plane.retries(self._service).try_consume(self._now_ms())

    def _release(self, outcome: Outcome) -> None:
        """The attempt is over."""
        attempt, self._attempt = self._attempt, None
        if attempt is not None:
            attempt.end(outcome, self._note)

    def _overdue(self) -> None:
        """The upstream is silent for longer than others are: it goes elsewhere what may, and where others are left."""
        assert self._route is not None
        log.debug("overdue", instance=self._attempt.instance if self._attempt else None, state=self._state)
        may_go = OPTIONS.retry_overdue and self._route.repeatable
        if not may_go or self._state not in (State.AWAITING, State.RELAYING):
            return
        others = self._plane.balancer(self._service).ready_count > len(self._tried)
        restartable = not self._head_sent or (self._events is not None and self._events.resumable)
        if others and restartable and self._may_send_again():
            self._drop_attempt(Outcome.TIMEOUT)
            if self._events is not None:
                self._events.restart()
            self._try()

    def _give_up(self) -> None:
        """No further upstream: what can be promised is, of what has been sent."""
        if self._head_sent:
            self._break()
        elif self._may_have_run:
            self._answer(ErrorKind.UPSTREAM_FAILED)
        elif self._sent:
            self._answer(ErrorKind.TURNED_AWAY)
        else:
            self._answer(ErrorKind.NO_UPSTREAM)

    # What comes from the upstream

    def call_head(self, response: h11.Response) -> None:
        """The head of an answer: passed on, unless the request goes elsewhere."""
        assert self._route is not None
        status = response.status_code
        if self._note is not None:
            load = next((value for name, value in response.headers if name == LOAD), b"")
            self._note.head(status, load.decode("latin-1"), self._now_ms())
        not_executed = status == MISDIRECTED or any(name == b"x-not-executed" for name, _ in response.headers)
        if not_executed and status in PROMISES:
            self._may_have_run = False
            self._refused = Outcome.CONNECT_FAILED if status == MISDIRECTED else Outcome.FULL
            if status != MISDIRECTED and self._attempt is not None and _has_places(response):
                self._attempt.shed()
            self._become(State.DISCARDING)
        elif status >= 500 and self._route.repeatable and self._may_send_again():
            self._refused = Outcome.ERROR
            self._become(State.DISCARDING)
        elif (status in PROMISES and not self._route.repeatable) or (self._head_sent and status != 200):
            self._refused = Outcome.ERROR  # it may have run: its promise can't be passed on
            self._become(State.DISCARDING)
        else:
            self._relay_head(response)

    def _relay_head(self, response: h11.Response) -> None:
        assert self._route is not None
        self._become(State.RELAYING)
        if self._head_sent:  # a stream that goes on keeps its first head
            return
        if self._route.streams and self._route.resumable and response.status_code == 200:
            self._events = EventBuffer()
        self._head_sent = True
        headers = [(name, value) for name, value in response.headers if name not in HOP_BY_HOP]
        self._client.answer_head(response.status_code, headers)

    def call_data(self, data: bytes) -> None:
        """A piece of an answer."""
        if self._state is not State.RELAYING:
            return
        self._first_event()
        if self._events is not None:
            data = self._events.feed(data)
        if data and not self._client.answer_data(data) and self._attempt and self._attempt.connection:
            self._attempt.connection.pause_reading()

    def _first_event(self) -> None:
        """An engine that answers has read the prompt: its token returns."""
        assert self._route is not None
        if not self._first_event_ms:
            self._first_event_ms = self._now_ms()
            if self._note is not None:
                self._note.first_event(self._first_event_ms)
        if self._attempt is not None:
            self._attempt.first_event()

    def call_done(self) -> None:
        """The answer is whole."""
        if self._state is State.DISCARDING:
            self._refusal_read()
            return
        if self._events is not None:
            rest = self._events.flush()
            if rest:
                self._client.answer_data(rest)
        self._release(Outcome.OK)
        self._client.answer_end()
        self._finish()

    def _refusal_read(self) -> None:
        """An answer that is not passed on has been read."""
        refused = self._refused or Outcome.ERROR
        self._release(refused)
        if refused is Outcome.ERROR:
            assert self._route is not None
            if self._route.repeatable and self._sent < self._route.max_attempts:
                self._try()  # taken from the budget when its head came
            else:
                self._give_up()
        elif self._may_send_again():
            self._try()
        else:
            self._give_up()

    def call_failed(self, ending: Ending) -> None:
        """The connection ended, or spoke nonsense, before the answer was whole."""
        assert self._route is not None
        log.debug("call_failed", ending=ending, state=self._state, sent=self._sent)
        refused = self._state is State.DISCARDING
        if refused and not self._may_have_run:
            self._refusal_read()
            return
        self._release(Outcome.RESET)
        if self._head_sent:
            self._resume()
        elif self._route.repeatable and self._may_send_again():
            self._try()
        else:
            self._give_up()

    def _resume(self) -> None:
        """A begun answer broke off: a resumable stream goes on elsewhere, any other ends early."""
        if self._events is not None and self._events.resumable and self._may_send_again():
            self._events.restart()
            self._try()
        else:
            self._break()

    # The end

    def client_ready(self) -> None:
        """The client has taken what was held up for it."""
        if self._attempt is not None and self._attempt.connection is not None:
            self._attempt.connection.resume_reading()

    def cancel(self) -> None:
        """The client has gone: the upstream need not go on."""
        if self._state is State.DONE:
            return
        self._drop_attempt(Outcome.CANCELLED)
        if not self._may_have_run:
            self._refund()
        self._finish()

    def _time_out(self) -> None:
        if self._state is State.DONE:
            return
        unsent = not self._sent or (self._state is State.DISCARDING and not self._may_have_run)
        self._drop_attempt(Outcome.CONNECT_FAILED if self._state is State.CONNECTING else Outcome.TIMEOUT)
        if self._head_sent:
            self._break()
        else:
            self._answer(ErrorKind.TIMED_OUT_UNSENT if unsent else ErrorKind.TIMED_OUT)

    def _drop_attempt(self, outcome: Outcome) -> None:
        if self._connecting is not None:
            self._connecting.cancel()
            self._connecting = None
        attempt = self._attempt
        self._release(outcome)
        if attempt is not None and attempt.connection is not None:
            attempt.connection.close()

    def _refund(self) -> None:
        if self._tenant is not None:
            self._plane.quotas.refund(self._tenant.name, self._units)

    def _answer(self, kind: ErrorKind, retry_after_s: float | None = None) -> None:
        """The router's own answer."""
        answer: Answer = ANSWERS[kind]
        if not self._may_have_run:
            self._refund()
        wait_s = answer.retry_after_s if retry_after_s is None else retry_after_s
        headers = [(b"content-length", b"0")]
        if wait_s is not None:
            headers.append((b"retry-after", b"%.3f" % wait_s))
        self._plane.count(kind)
        self._client.answer_head(answer.status, headers)
        self._client.answer_end()
        self._finish()

    def _break(self) -> None:
        self._client.answer_broken()
        self._finish()

    def _finish(self) -> None:
        self._become(State.DONE)
        if self._timer is not None:
            self._timer.cancel()
        if self._note is not None:
            self._log(self._note)
        self._on_done()

    def _log(self, note: RequestNote) -> None:
        request, received_ms = self._request, self._request.received_ms
        log.debug(
            "request",
            id=request.header(b"x-request-id").decode("latin-1"),
            route=self._route.name if self._route is not None else None,
            tokens=request.tokens,
            aim_ms=self._route.target_latency_ms if self._route is not None else None,
            head=self._prompt.prefix,
            head_tokens=round(self._prompt.prefix_tokens),
            placed_ms=note.placed_ms,
            attempts=note.attempts,
            sent=self._sent,
            first_ms=round(self._first_event_ms - received_ms) if self._first_event_ms else None,
            total_ms=round(self._now_ms() - received_ms),
        )


def _has_places(response: h11.Response) -> bool:
    """Whether an upstream says that it could run another request; False where it says nothing."""
    told = next((value for name, value in response.headers if name == LOAD), b"").split(b",")
    if len(told) != LOAD_FIGURES or not all(part.strip().isdigit() for part in told):
        return False
    running, waiting, slots = (int(part) for part in told)
    return running < slots and waiting == 0
