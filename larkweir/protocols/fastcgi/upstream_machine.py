"""The upstreams' side of FastCGI as a state machine: calls to records, records to answers. Pure logic. Sections are
those of FastCGI 1.0.

**The dividing line.** An application may begin a request once its params have ended (section 6.2: a Responder reads
the variables, then its stdin as it likes). So the line of a request lies at the first byte of the empty PARAMS record,
ahead of all of its stdin. Once a byte from there on may have left, the attempt may have run.

Ids are given in turn and used again only after all others were, and never while the upstream has not ended them: a
stray record of an old request can't be taken for one of a new one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from larkweir.core.message import Fault, Headers, Message
from larkweir.protocols.fastcgi import codec
from larkweir.protocols.fastcgi.capabilities import MAX_IDS
from larkweir.protocols.fastcgi.cgi import Answer, fixed, variables

MAX_ANSWER = 1024 * 1024  # bytes
MAX_STDERR = 200  # bytes of stderr that are logged, in one line


class Answered(NamedTuple):
    """A request has ended with a complete answer."""

    id: int
    message: Message


class TurnedAway(NamedTuple):
    """The application has ended a request that it never began: overloaded, or no multiplexing here."""

    id: int
    multiplexing: bool  # it refuses to multiplex


class ProtocolViolation(NamedTuple):
    """A request can't be answered any more; `ended` says whether the application has ended its id."""

    id: int
    why: str
    ended: bool


Event = Answered | TurnedAway | ProtocolViolation


class _OpenRequest:
    """A request that the application has not ended."""

    __slots__ = ("abandoned", "answer", "closed", "touched")

    def __init__(self) -> None:
        self.answer = Answer(MAX_ANSWER)
        self.touched = False  # something was received for it
        self.closed = False  # its stdout has ended
        self.abandoned = False  # aborted, or violated: what is still received is dropped


class UpstreamMachine:
    """One connection to an upstream."""

    def __init__(self, port: int, keep: bool = True) -> None:
        self._records = codec.Records()
        self._fixed = codec.pairs(fixed(port))
        self._keep = keep
        self._open: dict[int, _OpenRequest] = {}
        self._last_id = 0  # that was given
        self.fault: Fault | None = None  # of the connection: no record can be trusted
        self.stray_records = 0  # of requests that are not in flight: nothing new is to be sent here
        self.stderr = b""  # the first bytes of stderr
        self.stderr_bytes = 0

    @property
    def in_flight(self) -> int:
        """Requests that the application has not ended, aborted ones included."""
        return len(self._open)

    @property
    def awaited(self) -> int:
        """Requests whose answer is still waited for."""
        return sum(not item.abandoned for item in self._open.values())

    @property
    def buffered_bytes(self) -> int:
        """About what incomplete answers hold in memory."""
        return self._records.held + sum(item.answer.held for item in self._open.values())

    def is_in_flight(self, number: int) -> bool:
        """Whether the application has not ended it."""
        return number in self._open

    def largest_of(self, among: Iterable[int]) -> int:
        """The request whose answer holds the most bytes so far."""
        return max(among, key=lambda number: self._open[number].answer.held)

    # ------------------------------------------------ sending

    def begin(self, message: Message, headers: Headers, extra: Headers) -> tuple[int, bytes, int]:
        """A request's id, its bytes, and how many of them lie before the dividing line.

        FramingError if it can't be put in variables.
        """
        params = self._fixed + codec.pairs(variables(message, headers, extra))
        number = self._last_id
        for _ in range(MAX_IDS):
            number = number % MAX_IDS + 1
            if number not in self._open:
                break
        self._last_id = number
        self._open[number] = _OpenRequest()
        before = [codec.begin(number, flags=codec.KEEP_CONN if self._keep else 0)]
        before += codec.stream(codec.PARAMS, number, params)
        line = sum(map(len, before))
        after = [codec.record(codec.PARAMS, number)]
        after += codec.stream(codec.STDIN, number, message.body)
        after.append(codec.record(codec.STDIN, number))
        return number, b"".join([*before, *after]), line

    def abort(self, number: int) -> bytes:
        """The record that aborts a request. Its id stays in use until the application has ended it."""
        item = self._open[number]
        item.abandoned = True
        item.answer = Answer(0)
        return codec.record(codec.ABORT_REQUEST, number)

    # ------------------------------------------------ receiving

    def feed(self, data: bytes) -> list[Event]:
        """Parse `data`; returns what has become of requests. A fault of the connection is left in `fault`, for good."""
        events: list[Event] = []
        if self.fault is not None:
            return events
        for kind, number, content in self._records.feed(data):
            if number == codec.MANAGEMENT:
                if kind not in (codec.GET_VALUES_RESULT, codec.UNKNOWN_TYPE):
                    self.fault = Fault(502, f"a management record of type {kind}")
            elif kind == codec.STDOUT:
                self._stdout(number, content, events)
            elif kind == codec.STDERR:
                self.stderr_bytes += len(content)
                if len(self.stderr) < MAX_STDERR:
                    self.stderr += content[: MAX_STDERR - len(self.stderr)]
                if number not in self._open:
                    self.stray_records += 1
            elif kind == codec.END_REQUEST:
                self._end(number, content, events)
            else:
                self.fault = Fault(502, f"a record of type {kind} from an application")
            if self.fault is not None:
                break
        if self.fault is None:
            self.fault = self._records.fault
        return events

    def _stdout(self, number: int, content: bytes, events: list[Event]) -> None:
        item = self._open.get(number)
        if item is None:
            self.stray_records += 1
            return
        if content:  # an empty one says that nothing follows, which proves no work
            item.touched = True
        if item.abandoned:
            return
        if item.closed:
            self.stray_records += 1  # behind the end of its stdout: the answer stands as it was
            return
        if not content:
            item.closed = True
            return
        item.answer.feed(content)
        if item.answer.fault:
            why = item.answer.fault
            item.abandoned = True
            item.answer = Answer(0)
            events.append(ProtocolViolation(number, why, ended=False))

    def _end(self, number: int, content: bytes, events: list[Event]) -> None:
        item = self._open.pop(number, None)
        if item is None:
            self.stray_records += 1
            return
        if len(content) != codec.END_BODY.size:
            self.fault = Fault(502, "an END_REQUEST of the wrong size")
            self._open[number] = item
            return
        if item.abandoned:
            return
        app_status, protocol_status = codec.END_BODY.unpack(content)
        if (
            protocol_status in (codec.OVERLOADED, codec.CANT_MPX_CONN, codec.UNKNOWN_ROLE)
            and not item.touched
        ):
            events.append(TurnedAway(number, protocol_status == codec.CANT_MPX_CONN))
            return
        message = item.answer.whole()
        if message is None or protocol_status != codec.REQUEST_COMPLETE:
            events.append(ProtocolViolation(number, f"ended early, status {protocol_status}", ended=True))
        elif app_status and item.answer.stated is None:
            # Nothing says that the body is all there, and the application says that it has failed.
            events.append(ProtocolViolation(number, f"the application ended with {app_status}", ended=True))
        else:
            events.append(Answered(number, message))
