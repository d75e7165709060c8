"""One request from its arrival until it is answered and its last attempt has ended."""

from __future__ import annotations

from typing import NamedTuple, Protocol

from larkweir_balancing.interface import Outcome

from larkweir.core.body_stream import BodyStream
from larkweir.core.clock import Timer
from larkweir.core.message import Headers, Message
from larkweir.core.ports import Attempt, RequestBudget


class Caller(Protocol):
    """Where an answer goes."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None:
        """Send the one answer, which is complete."""

    @property
    def streams(self) -> bool:
        """Whether it accepts an answer that is forwarded while it arrives."""

    def begin(self, status: int, headers: Headers, stream: BodyStream) -> None:
        """Begin the one answer, whose body arrives by `stream`; that it can't be completed is reported there."""

    def gone(self) -> bool:
        """Whether the caller has closed its connection, as the system knows by now: also where that is not read yet."""

    @property
    def peer(self) -> str:
        """The address it asks from, `unix` on a Unix socket, or empty if that is not known."""


class AttemptTime(NamedTuple):
    """How long an attempt has taken, in milliseconds."""

    total_ms: float
    remote_ms: float  # of it, what was certainly spent at the upstream and on the way


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
        self.attempts: list[Attempt | None] = []  # by their numbers; None for one that was never sent
        self.in_flight = 0  # attempts whose end the decisions have not been told
        self.may_have_run = False  # an attempt that has ended may have run
        self.finished = False  # answered, or the client is gone
        self.timer: Timer | None = None
        self.run_once = False  # it may not run twice, which is recorded on disk before it is sent
        self.memory_ms = 0.0  # for so long servers drop its repeats; set with `run_once`
        self.budget: RequestBudget | None = None  # where budgets are on
        self.time_left_ms = 0.0  # that it has from its last byte on
        # Of an answer that is forwarded while it arrives: how long its first bytes took.
        self.answer_started: AttemptTime | None = None

    @property
    def is_arriving(self) -> bool:
        """Whether its last byte has not been received yet."""
        stream = self.message.stream
        return stream is not None and not stream.ended

    @property
    def is_body_consumed(self) -> bool:
        """Whether a part of its body is gone, so that no further attempt could send it completely."""
        stream = self.message.stream
        return stream is not None and (stream.consumed or stream.failed)

    def finish(self) -> None:
        """It is answered, or its client is gone: no deadline runs any more."""
        self.finished = True
        if self.timer is not None:
            self.timer.cancel()

    def cancel_attempts(self) -> None:
        """End the attempts that are in flight, as cancelled."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.end(Outcome.CANCELLED)

    def time_out_attempts(self) -> None:
        """End the attempts that are in flight, as timed out."""
        for attempt in self.attempts:
            if attempt is not None:
                attempt.time_out()
