"""One request from its arrival until it is answered and its last attempt has ended."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from larkweir_balancing.interface import Outcome

from larkweir.core.body_stream import BodyStream
from larkweir.core.clock import Timer
from larkweir.core.message import Headers, Message
from larkweir.core.ports import Attempt, RequestBudget


class Caller(Protocol):
    """The sender of a request, to which the answer is sent."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the request's only answer, which is complete."""

    @property
    def streams(self) -> bool:
        """Whether the caller accepts a streamed answer, which is forwarded while it arrives."""

    def begin(self, status: int, headers: Headers, stream: BodyStream) -> None:
        """Begin the request's only answer, whose body arrives through `stream`. If the body can't be completed,
        `stream` reports it.
        """

    def gone(self) -> bool:
        """Whether the caller has closed its connection, according to the system: the event loop may not have read the
        close yet.
        """

    @property
    def peer(self) -> str:
        """The caller's address; `unix` on a Unix socket, or empty if the address is unknown."""


class AttemptTime(NamedTuple):
    """How long an attempt has taken, in milliseconds."""

    total_ms: float
    remote_ms: float  # the part of `total_ms` that was certainly spent at the upstream and on the network


class ActiveRequest:
    """One request, from its arrival until it is answered and its last attempt has ended."""

    __slots__ = (
        "answer_started",
        "attempts",
        "budget",
        "caller",
        "deadline_ms",
        "finished",
        "in_flight",
        "max_attempts",
        "may_have_run",
        "memory_ms",
        "message",
        "number",
        "run_once",
        "time_left_ms",
        "timer",
        "trace",
    )

    def __init__(
        self,
        number: int,
        caller: Caller,
        message: Message,
        deadline_ms: float,
        trace: bytes,
        max_attempts: int,
    ) -> None:
        """`deadline_ms`: by the clock; infinity while the body is still arriving."""
        self.number = number
        self.caller = caller
        self.message = message
        self.deadline_ms = deadline_ms
        self.trace = trace
        self.max_attempts = max_attempts
        # Indexed by attempt number; None for an attempt that was not sent.
        self.attempts: list[Attempt | None] = []
        self.in_flight = 0  # attempts whose end has not been reported to the decisions
        self.may_have_run = False  # an upstream may have run an attempt that has ended
        self.finished = False  # answered, or the client is gone
        self.timer: Timer | None = None
        self.run_once = False  # it may not run twice, so it is recorded on disk before it is first sent
        self.memory_ms = 0.0  # how long servers recognize and drop its repeats; set with `run_once`
        self.budget: RequestBudget | None = None  # None if retry budgets are off
        self.time_left_ms = 0.0  # the time until its deadline, counted from its last byte
        # How long the first bytes of a streamed answer took; None if there is no streamed answer.
        self.answer_started: AttemptTime | None = None

    @property
    def is_arriving(self) -> bool:
        """Whether its last byte has not been received yet."""
        stream = self.message.stream
        return stream is not None and not stream.ended

    @property
    def is_body_consumed(self) -> bool:
        """Whether part of its body is no longer available, so that another attempt could not send all of it."""
        stream = self.message.stream
        return stream is not None and (stream.consumed or stream.failed)

    def finish(self) -> None:
        """Mark it as answered or abandoned by its client, and stop its deadline."""
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()

    def cancel_attempts(self) -> None:
        """Cancel the attempts that are in flight."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.end(Outcome.CANCELLED)

    def time_out_attempts(self) -> None:
        """Time out the attempts that are in flight."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.time_out()
