"""A call to an upstream: one attempt or health check, which ends with exactly one outcome. Pure logic.

Each protocol has a dividing line: until the system has accepted a byte from it on, the upstream can't have begun the
request; from then on it may have. In HTTP/1.1 it is the last byte. Nothing is ever sent again from here.
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
    """An attempt or a health check. Its observer is told of its end once, with the outcome and the answer."""

    MIN_TIME_LEFT_MS = 1.0  # less time than that can't be told to an upstream, so that nothing is sent

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
        self.patience_ms = (
            patience_ms  # how long it is waited for from its last byte on, while that is to come
        )
        self.clock = clock
        self.upstream = upstream
        self.process = upstream.process  # that it is meant for
        self.message = message
        self.until_ms = until_ms  # nobody waits for it any longer than that
        self.write_by_ms = write_by_ms  # its last byte may not be written later than that
        self.observer = observer
        self.probe = probe
        self.extra = extra  # fields that go with this attempt alone
        self.margin_ms = margin_ms  # of the time until then, what the way back takes
        self.connection: UpstreamConnection | None = None
        self.timer: Timer | None = None
        self.written = False  # it may have been begun: its dividing line may have been crossed
        self.written_ms = 0.0  # when it was handed to a connection; 0: not yet
        self.connect_ms = 0.0  # how long that took to come up, less what was this process's own time
        self.has_answer_bytes = False  # something has come back for it
        self.ended = False

    def write(self, connection: UpstreamConnection, now_ms: float) -> bool:
        """Send it on a connection that is up, unless it is over; whether a byte was written."""
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
        """Whether its upstream is another process by now than the one that it is meant for."""
        return self.process is not self.upstream.process

    def left_ms(self, now_ms: float) -> float:
        """The time that its upstream has; from the last byte of its body on, while that is still to come."""
        left = self.until_ms - now_ms
        return (left if left < math.inf else self.patience_ms) - self.margin_ms

    def end_if_unwritten(self) -> None:
        """Past `write_by_ms` it ends, unless its dividing line may have been crossed: the rest is never written."""
        if self.write_by_ms == math.inf or self.clock.now_ms() < self.write_by_ms:
            return
        if self.connection is not None:
            self.connection.update_written(self)
        if not self.written:
            self.end(Outcome.RESET if self.has_answer_bytes else Outcome.MOOT)

    def on_body_received(self, until_ms: float) -> None:
        """Its last byte has come: it is waited for until then, or for as long as it was given."""
        if not self.ended and self.timer is None:
            clock = self.clock
            self.until_ms = min(until_ms, clock.now_ms() + self.patience_ms)
            self.timer = clock.at(self.until_ms, self.time_out)

    def begin(self, answer: Message) -> bool:
        """A long answer has begun: no deadline runs any more; whether anybody takes it."""
        if self.ended or not self.observer.started(answer):
            return False
        if self.timer is not None:
            self.timer.cancel()
        return True

    def time_out(self) -> None:
        """No answer in time; if its line has not been crossed, it never will be."""
        if self.connection is not None:
            self.connection.update_written(self)
        self.end(Outcome.TIMEOUT if self.written or self.has_answer_bytes else Outcome.CONNECT_FAILED)

    def on_connection_lost(self) -> None:
        """Its connection is lost: it can't be answered any more. An upstream that has sent a byte back may have run it,
        whatever was written by then.
        """
        self.end(Outcome.RESET if self.written or self.has_answer_bytes else Outcome.CONNECT_FAILED)

    def end(self, outcome: Outcome, answer: Message | None = None) -> None:
        """End it with this outcome; without effect once it has ended."""
        if self.ended:
            return
        self.ended = True
        if self.timer is not None:
            self.timer.cancel()
        connection, self.connection = self.connection, None
        if connection is not None:
            connection.release(self)
        observer = self.observer
        # They hold the request, and the request holds its calls: guards against cycles left to the collector.
        self.observer, self.message = _NO_OBSERVER, _NO_MESSAGE
        observer.ended(outcome, answer)


def outcome_of(answer: Message) -> Outcome:
    """The outcome of a complete answer, by the platform's protocol."""
    if answer.status == 200:
        return Outcome.OK
    if answer.status in (503, 504) and answer.values(NEVER_RAN_HEADER) == [b"1"]:
        return Outcome.FULL
    return Outcome.REJECTED if 400 <= answer.status < 500 else Outcome.ERROR
