"""The engine: owns the balancer, the clock, the timers and the request table. Events go in, actions come out,
and nothing is decided here: whom to send to, when again, refuse or fail is all the balancer's.
"""

from __future__ import annotations

import asyncio
import sys
import time
import traceback
from collections import deque
from collections.abc import Callable
from contextlib import suppress
from heapq import heapify, heappop, heappush
from math import ceil
from typing import Any, Protocol

from larkweir.config import Config
from larkweir.discovery import Discovery, Listing
from larkweir.http1 import Headers, Message, encode_request
from larkweir.room import Room
from larkweir.upstreams import LOAD_HEADER, Call, Upstreams, report_of
from mulleinhitch import Balancer
from mulleinhitch.interface import (
    Action,
    AttemptEnded,
    Cancel,
    ClientGone,
    CloseIdle,
    Event,
    Fail,
    FetchList,
    ListKind,
    ListUpdate,
    Log,
    Outcome,
    Probe,
    ProbeEnded,
    Refuse,
    ReportMode,
    RequestArrived,
    Send,
    ServerState,
    SetTimer,
    TimerFired,
    WatchList,
)


class Timer:
    __slots__ = ("call", "due_ms")

    def __init__(self, due_ms: float, call: Callable[[], None]) -> None:
        self.due_ms = due_ms
        self.call: Callable[[], None] | None = call

    def cancel(self) -> None:
        self.call = None


class Clock:
    """Unix milliseconds, taken once and carried on by the monotonic clock: a step of the system's time can't
    turn it back. Its timers fire at their time or after, never before, in the order of their times.
    """

    def __init__(self, loop: asyncio.AbstractEventLoop) -> None:
        self._loop = loop
        self._offset_ms = time.time() * 1000.0 - time.monotonic() * 1000.0
        self._heap: list[tuple[float, int, Timer]] = []
        self._serial = 0
        self._armed: asyncio.TimerHandle | None = None
        self._armed_ms = 0.0
        self._compact_at = 1024

    def now_ms(self) -> float:
        return self._offset_ms + time.monotonic() * 1000.0

    def after(self, delay_ms: float, call: Callable[[], None]) -> Timer:
        timer = Timer(self.now_ms() + delay_ms, call)
        self._serial += 1
        heappush(self._heap, (timer.due_ms, self._serial, timer))
        if len(self._heap) > self._compact_at:  # guards against a heap of cancelled timers
            self._heap = [item for item in self._heap if item[2].call is not None]
            heapify(self._heap)
            self._compact_at = max(1024, 2 * len(self._heap))
        self._arm()
        return timer

    def _arm(self) -> None:
        if not self._heap:
            return
        due = self._heap[0][0]
        if self._armed is not None:
            if self._armed_ms <= due:
                return
            self._armed.cancel()
        self._armed_ms = due
        # The loop counts whole milliseconds.
        self._armed = self._loop.call_later(max(0, ceil(due - self.now_ms())) / 1000.0, self._fire)

    def _fire(self) -> None:
        self._armed = None
        try:
            while self._heap and self._heap[0][0] <= self.now_ms():
                timer = heappop(self._heap)[2]
                call, timer.call = timer.call, None
                if call is not None:
                    call()
        finally:
            self._arm()


class Journal:
    """Lines on standard error, few enough that a fault that repeats can't drown the log or the process."""

    PER_SECOND = 10

    def __init__(self, name: str) -> None:
        self._name = name
        self._second = 0
        self._lines = 0
        self._dropped = 0

    def line(self, text: str) -> None:
        second = int(time.monotonic())
        if second != self._second:
            dropped, self._dropped = self._dropped, 0
            self._second, self._lines = second, 0
            if dropped:
                self._write(f"{dropped} lines dropped")
        if self._lines >= self.PER_SECOND:
            self._dropped += 1
            return
        self._lines += 1
        self._write(text)

    def _write(self, text: str) -> None:
        with suppress(OSError):  # a log that can't be written must not end the balancer
            print(f"larkweir {self._name}: {text[:2000]}", file=sys.stderr, flush=True)


class Decisions(Protocol):
    """What decides: `mulleinhitch.Balancer`."""

    def handle(self, now_ms: float, event: Event) -> list[Action]: ...


class Caller(Protocol):
    """Where an answer goes."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None: ...


class Exchange:
    """One request, from its arrival until it is answered and its last attempt has ended."""

    __slots__ = ("attempts", "caller", "deadline_ms", "message", "number", "out", "over", "timer", "trace")

    def __init__(
        self, number: int, caller: Caller, message: Message, deadline_ms: float, trace: bytes
    ) -> None:
        self.number = number
        self.caller = caller
        self.message = message
        self.deadline_ms = deadline_ms
        self.trace = trace
        self.attempts: list[Call | None] = []  # by their numbers; none for one that was never sent
        self.out = 0  # attempts whose end is still owed to the balancer
        self.over = False  # answered, or the client is gone
        self.timer: Timer | None = None


class Engine:
    PROBE_TIMEOUT_MS = 50.0
    MOST_PAST = 4096  # ids remembered

    def __init__(
        self, config: Config, loop: asyncio.AbstractEventLoop, decisions: Decisions | None = None
    ) -> None:
        settings = config.settings
        self.config = config
        self.clock = Clock(loop)
        self.journal = Journal(config.name)
        loop.set_exception_handler(self._on_loop_error)
        # Of the descriptors, what the process itself needs goes first; callers and upstreams share the rest.
        spare = max(8, config.sockets - 24)
        self.caller_budget = spare * 9 // 20
        self.room = Room(config.memory_mb)
        self.upstreams = Upstreams(
            self.clock,
            self.room,
            spare // 2,
            settings.conn_idle_ms,
            settings.connect_timeout_ms,
            config.drain_grace_ms,
        )
        self.discovery = Discovery(config, self.on_listing, self.journal.line)
        self._balancer: Decisions = decisions or Balancer(settings, config.seed)
        self._exchanges: dict[int, Exchange] = {}
        self._traces: set[bytes] = set()  # ids of the same
        self._past: dict[
            bytes, float
        ] = {}  # ids of requests that are over, and when they ended; oldest first
        self._past_ms = 2.0 * max(item.deadline_ms for item in settings.classes)
        self._next = 1
        self._events: deque[Event] = deque()
        self._busy = False
        reports = settings.report_mode is not ReportMode.OFF
        self._report_names = config.report_names if reports else ()
        self._inline = reports and settings.report_mode is ReportMode.INLINE
        self._probe_target = b"/status/load" if reports else b"/health"

    @property
    def ready(self) -> bool:
        """Whether there is a list that requests can be served from."""
        return any(item.state is ServerState.READY for item in self.upstreams.table.values())

    @property
    def owed(self) -> int:
        """Requests that still wait for their answer."""
        return sum(not exchange.over for exchange in self._exchanges.values())

    def _on_loop_error(self, loop: asyncio.AbstractEventLoop, context: dict[str, Any]) -> None:
        """What no handler caught: one bounded line, and the process goes on."""
        problem = context.get("exception")
        frames = "".join(traceback.format_exception(problem, limit=-3)) if problem is not None else ""
        self.journal.line(f"{context.get('message')} {frames.strip()}".replace("\n", " | "))

    # ------------------------------------------------ events in

    def is_known(self, trace: bytes) -> bool:
        """Whether a request with this id is open here, or was until lately: an id is new with every request,
        so a copy that comes a moment after the answer must not run either.
        """
        return trace in self._traces or trace in self._past

    def _remember(self, trace: bytes) -> None:
        now = self.clock.now_ms()
        self._past[trace] = now
        while self._past:
            oldest = next(iter(self._past))
            if len(self._past) <= self.MOST_PAST and self._past[oldest] > now - self._past_ms:
                break
            del self._past[oldest]

    def arrive(
        self, caller: Caller, message: Message, time_left_ms: float, trace: bytes, event: RequestArrived
    ) -> int:
        """A request has come whole, under an id that is not open; returns its number."""
        number = self._next
        self._next += 1
        event.request = number
        exchange = Exchange(number, caller, message, self.clock.now_ms() + time_left_ms, trace)
        self._exchanges[number] = exchange
        self._traces.add(trace)
        exchange.timer = self.clock.after(time_left_ms, lambda: self._overdue(exchange))
        self._deliver(event)
        return number

    def client_gone(self, number: int) -> None:
        exchange = self._exchanges.get(number)
        if exchange is not None and not exchange.over:
            self._close(exchange)
            self._deliver(ClientGone(number))
            self._forget(exchange)

    def on_listing(self, listing: Listing) -> None:
        whole = listing.kind in (ListKind.FULL, ListKind.CACHED)
        named = {entry.server for entry in listing.entries}
        if whole:
            for upstream in list(self.upstreams.table.values()):
                if upstream.number not in named:  # absent from a whole list: gone
                    self.upstreams.update(
                        upstream.number, upstream.address, ServerState.GONE, upstream.started_ms
                    )
        for entry, address in zip(listing.entries, listing.addresses, strict=True):
            self.upstreams.update(entry.server, address, entry.state, entry.started_ms)
        self._deliver(ListUpdate(listing.kind, listing.version, listing.entries))

    def _deliver(self, event: Event) -> None:
        """Hand over an event; one that comes while another is handled waits for its turn."""
        self._events.append(event)
        if self._busy:
            return
        self._busy = True
        try:
            while self._events:
                self._step(self._events.popleft())
        finally:
            self._busy = False

    def _step(self, event: Event) -> None:
        try:
            for action in self._balancer.handle(self.clock.now_ms(), event):
                self._act(action)
        except Exception as problem:
            # Guards the other requests: whatever went wrong with this one, it alone is answered 500.
            number = getattr(event, "request", event.cookie if isinstance(event, TimerFired) else 0)
            exchange = self._exchanges.get(number)
            trace = exchange.trace.decode("latin-1") if exchange is not None else "-"
            frames = traceback.format_exc(limit=-3).strip().replace("\n", " | ")
            self.journal.line(f"request {trace}: {type(event).__name__}: {problem!r}: {frames}")
            if exchange is not None:
                self._answer(exchange, 500)

    # ------------------------------------------------ actions out

    def _act(self, action: Action) -> None:
        if isinstance(action, Send):
            self._send(action)
        elif isinstance(action, SetTimer):
            cookie = action.cookie
            self.clock.after(max(0.0, action.delay_ms), lambda: self._deliver(TimerFired(cookie)))
        elif isinstance(action, Probe):
            self._probe(action.server)
        elif isinstance(action, Refuse):
            headers: Headers = []
            if action.wait_ms > 0.0:
                headers.append((b"Retry-After", b"%.3f" % (action.wait_ms / 1000.0)))
            self._answer_number(action.request, 503, headers)
        elif isinstance(action, Fail):
            self._answer_number(action.request, 502)
        elif isinstance(action, Cancel):
            exchange = self._exchanges.get(action.request)
            if exchange is not None and 0 <= action.attempt < len(exchange.attempts):
                call = exchange.attempts[action.attempt]
                if call is not None:
                    call.end(Outcome.CANCELLED)
        elif isinstance(action, CloseIdle):
            self.upstreams.close_idle(action.server)
        elif isinstance(action, FetchList):
            self.discovery.fetch()
        elif isinstance(action, WatchList):
            self.discovery.watch(action.active)
        elif isinstance(action, Log):
            self.journal.line(action.text)
        else:
            self.journal.line(f"{type(action).__name__} is not built")

    def _answer_number(self, number: int, status: int, headers: Headers | None = None) -> None:
        exchange = self._exchanges.get(number)
        if exchange is not None:
            self._answer(exchange, status, headers)

    def _answer(
        self, exchange: Exchange, status: int, headers: Headers | None = None, body: bytes = b""
    ) -> None:
        """The one final answer; a second is dropped."""
        if exchange.over:
            return
        self._close(exchange)
        exchange.caller.answer(status, headers or [], body)
        self._forget(exchange)

    def _close(self, exchange: Exchange) -> None:
        exchange.over = True
        if exchange.timer is not None:
            exchange.timer.cancel()

    def _forget(self, exchange: Exchange) -> None:
        if exchange.over and not exchange.out and self._exchanges.pop(exchange.number, None) is not None:
            self._traces.discard(exchange.trace)
            self._remember(exchange.trace)

    def _overdue(self, exchange: Exchange) -> None:
        """The deadline: attempts out end first, then the engine answers what the balancer still owes."""
        for call in exchange.attempts:
            if call is not None:
                call.time_out()
        self._answer(exchange, 504)

    # ------------------------------------------------ attempts

    def _send(self, action: Send) -> None:
        exchange = self._exchanges.get(action.request)
        if exchange is None:
            self.journal.line(f"a send for request {action.request}, which is over")
            return
        now = self.clock.now_ms()
        number = len(exchange.attempts)
        left = exchange.deadline_ms - now
        timeout = min(left, action.timeout_ms) if action.timeout_ms else left
        upstream = self.upstreams.table.get(action.server)
        exchange.attempts.append(None)
        exchange.out += 1
        moot = exchange.over or timeout <= 0.0 or number >= self.config.settings.max_attempts
        if moot or upstream is None:
            self._attempt_ended(exchange, number, action.server, Outcome.MOOT, now, None)
            return

        def payload() -> bytes:
            return self._request_bytes(exchange.message, now + timeout - self.clock.now_ms())

        def blocked() -> Outcome | None:
            if exchange.over or self.upstreams.past_grace(upstream):
                return Outcome.MOOT
            return None

        def finish(outcome: Outcome, answer: Message | None) -> None:
            self._attempt_ended(exchange, number, action.server, outcome, now, answer)

        call = Call(upstream, payload, blocked, finish, now)
        exchange.attempts[number] = call
        self.upstreams.start(call, timeout)

    def _attempt_ended(
        self,
        exchange: Exchange,
        number: int,
        server: int,
        outcome: Outcome,
        sent_ms: float,
        answer: Message | None,
    ) -> None:
        if outcome is Outcome.OK and answer is not None and not exchange.over:
            self._close(exchange)
            headers = [(k, v) for k, v in answer.passed_on() if k.lower() != LOAD_HEADER]
            exchange.caller.answer(200, headers, answer.body)
        exchange.out -= 1
        report = report_of(answer, self._report_names, False) if self._inline else ()
        spent = self.clock.now_ms() - sent_ms
        self._deliver(AttemptEnded(exchange.number, number, server, outcome, exchange.over, spent, report))
        self._forget(exchange)

    @staticmethod
    def _request_bytes(message: Message, left_ms: float) -> bytes:
        headers = [(k, v) for k, v in message.passed_on() if k.lower() != b"x-expires-in-ms"]
        headers.append((b"X-Expires-In-Ms", b"%d" % max(1, int(left_ms))))
        return encode_request(message.method, message.target, headers, message.body)

    # ------------------------------------------------ probes

    def _probe(self, server: int) -> None:
        now = self.clock.now_ms()
        upstream = self.upstreams.table.get(server)
        if upstream is None:
            self._deliver(ProbeEnded(server, Outcome.CONNECT_FAILED))
            return
        host = f"{upstream.address[0]}:{upstream.address[1]}".encode()
        payload = encode_request(b"GET", self._probe_target, ((b"Host", host),), b"")

        def finish(outcome: Outcome, answer: Message | None) -> None:
            report = report_of(answer, self._report_names, True)
            self._deliver(ProbeEnded(server, outcome, self.clock.now_ms() - now, report))

        call = Call(
            upstream,
            lambda: payload,
            lambda: Outcome.MOOT if self.upstreams.past_grace(upstream) else None,
            finish,
            now,
            probe=True,
        )
        self.upstreams.start(call, self.PROBE_TIMEOUT_MS)
