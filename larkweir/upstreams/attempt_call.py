"""A call to an upstream: one attempt or health check, which ends with exactly one outcome. Pure logic.

Each protocol defines a point in a request, its dividing line. Until the system has accepted a byte at or after that
point, the upstream can't have begun to run the request; after that, it may have. In HTTP/1.1 the point is the request's
last byte. A call is never sent a second time.
"""

from __future__ import annotations

import math
from typing import TYPE_CHECKING

from larkweir_balancing.interface import Outcome

from larkweir.core.clock import Clock, Timer
from larkweir.core.message import Headers, Message
from larkweir.core.ports import CallObserver
from larkweir.upstreams.upstream import Upstream

if TYPE_CHECKING:
    from larkweir.upstreams.connection import UpstreamConnection

NEVER_RAN_HEADER = b"x-never-ran"


class _NoObserver:
    """The observer of a call that has ended."""

    streams = False

    def no_longer_needed(self) -> bool:
        return True

    def started(self, answer: Message) -> bool:
        return False

    def ended(self, outcome: Outcome, answer: Message | None) -> None:
        raise AssertionError("a call ends once")


_NO_OBSERVER = _NoObserver()
_NO_MESSAGE = Message()


class AttemptCall:
    """An attempt or a health check. Its observer is notified of its end once, with the outcome and the answer."""

    # A call with less time is not sent: the header that states the upstream's time has whole milliseconds.
    MIN_TIME_LEFT_MS = 1.0

    __slots__ = (
        "clock",
        "connect_ms",
        "connection",
        "ended",
        "extra",
        "has_answer_bytes",
        "margin_ms",
        "message",
        "observer",
        "patience_ms",
        "probe",
        "process",
        "timer",
        "until_ms",
        "upstream",
        "write_by_ms",
        "written",
        "written_ms",
    )

    def __init__(
        self,
        clock: Clock,
        upstream: Upstream,
        message: Message,
        until_ms: float,
        observer: CallObserver,
        probe: bool = False,
        extra: Headers | None = None,
        margin_ms: float = 0.0,
        patience_ms: float = 0.0,
        write_by_ms: float = math.inf,
    ) -> None:
        # The maximum wait from the body's last byte, used while the body is still arriving.
        self.patience_ms = patience_ms
        self.clock = clock
        self.upstream = upstream
        self.process = upstream.process  # the upstream's process when the call was made
        self.message = message
        self.until_ms = until_ms  # its deadline
        self.write_by_ms = write_by_ms  # its last byte may not be written later than this
        self.observer = observer
        self.probe = probe
        self.extra = extra  # headers of this attempt only
        self.margin_ms = margin_ms  # time reserved before the deadline for returning the answer to the caller
        self.connection: UpstreamConnection | None = None
        self.timer: Timer | None = None
        self.written = False  # its dividing line may have been crossed, so the upstream may have begun it
        self.written_ms = 0.0  # when it was passed to a connection; 0: not yet
        self.connect_ms = 0.0  # how long the connection took to be established, minus this process's own time
        self.has_answer_bytes = False  # at least one byte of an answer was received
        self.ended = False

    def write(self, connection: UpstreamConnection, now_ms: float) -> bool:
        """Send it on an established connection, unless it has ended or may not be sent. Returns whether it was sent."""
        if self.ended:
            return False
        if (
            self.upstream.drain_expired(now_ms)
            or now_ms >= self.write_by_ms
            or self.left_ms(now_ms) < self.MIN_TIME_LEFT_MS  # its timer may be late
            or self.observer.no_longer_needed()
        ):
            self.end(Outcome.MOOT)
            return False
        self.connection = connection
        self.written_ms = now_ms
        connection.send(self)
        return True

    @property
    def process_changed(self) -> bool:
        """Whether another process has replaced the upstream's process for which the call was made."""
        return self.process is not self.upstream.process

    def left_ms(self, now_ms: float) -> float:
        """How long its upstream may still take; while the body is arriving, counted from the body's last byte."""
        left = self.until_ms - now_ms
        return (left if left < math.inf else self.patience_ms) - self.margin_ms

    def end_if_unwritten(self) -> None:
        """After `write_by_ms`, end it unless its dividing line may have been crossed. The rest is never written."""
        if self.write_by_ms == math.inf or self.clock.now_ms() < self.write_by_ms:
            return
        if self.connection is not None:
            self.connection.update_written(self)
        if not self.written:
            self.end(Outcome.RESET if self.has_answer_bytes else Outcome.MOOT)

    def on_body_received(self, until_ms: float) -> None:
        """The request's last byte was received: set the deadline to `until_ms`, or to `patience_ms` from now if that is
        earlier.
        """
        if not self.ended and self.timer is None:
            clock = self.clock
            self.until_ms = min(until_ms, clock.now_ms() + self.patience_ms)
            self.timer = clock.at(self.until_ms, self.time_out)

    def begin(self, answer: Message) -> bool:
        """A streamed answer has begun. Stop the deadline if the observer accepts it. Returns whether it does."""
        if self.ended or not self.observer.started(answer):
            return False
        if self.timer is not None:
            self.timer.cancel()
        return True

    def time_out(self) -> None:
        """End it because no answer has arrived in time. If its dividing line has not been crossed, it can't have run
        and never will: the rest of the request is not written.
        """
        if self.connection is not None:
            self.connection.update_written(self)
        self.end(Outcome.TIMEOUT if self.written or self.has_answer_bytes else Outcome.CONNECT_FAILED)

    def on_connection_lost(self) -> None:
        """Its connection is lost, so it can't be answered any more. If the upstream has sent any byte of an answer, it
        may have run the request, no matter how much of the request was written.
        """
        self.end(Outcome.RESET if self.written or self.has_answer_bytes else Outcome.CONNECT_FAILED)

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        """End it with this outcome. Has no effect after it has ended."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.release(self)
        observer = self.observer
        # Both refer to the request, which refers to its calls. Dropping them avoids reference cycles, which only the
        # garbage collector would free.
        self.observer, self.message = _NO_OBSERVER, _NO_MESSAGE
        observer.ended(outcome, answer)


def outcome_of(answer: Message) -> Outcome:
    """The outcome of a complete answer according to the platform's protocol."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.values(NEVER_RAN_HEADER) == [b"1"]:
        return Outcome.FULL
    return Outcome.REJECTED if 400 <= answer.status < 500 else Outcome.ERROR
