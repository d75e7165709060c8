"""Rules: the upstreams' side of FastCGI as a state machine: calls to records, records to answers.

**The dividing line.** An application may begin a request once its params have ended (section 6.2: a Responder reads
the variables, then its stdin as it likes). So the line of a request lies at the first byte of the empty PARAMS record,
ahead of all of its stdin. Once a byte from there on may have left, the attempt may have run.

Ids are given in turn and used again only after all others were, and never while the upstream has not ended them: a
stray record of an old request can't be taken for one of a new one.
"""

from __future__ import annotations

from collections.abc import Iterable
from typing import NamedTuple

from larkweir.core.message import Fault, FramingError, Headers, Message
from larkweir.protocols.fastcgi import codec
from larkweir.protocols.fastcgi.cgi import Answer, fixed, variables

MAX_ANSWER = 1024 * 1024
MAX_VALUES = 64
MOST_IDS = 65_535
ERRORS_KEPT = 200  # bytes of stderr, for one line in the log


class Answered(NamedTuple):
    """A request has ended with a whole answer."""

    id: int
    message: Message


class TurnedAway(NamedTuple):
    """The application has ended a request that it never began: overloaded, or no multiplexing here."""

    id: int
    multiplexing: bool  # it refuses to multiplex


class Spoilt(NamedTuple):
    """A request can't be answered any more; `ended` says whether the application is done with its id."""

    id: int
    why: str
    ended: bool


Event = Answered | TurnedAway | Spoilt


class _Out:
    """A request that the application has not ended."""

    __slots__ = ("answer", "closed", "dead", "touched")

    def __init__(self) -> None:
        self.answer = Answer(MAX_ANSWER)
        self.touched = False  # something has come back for it
        self.closed = False  # its stdout has ended
        self.dead = False  # aborted, or spoilt: what still comes is dropped


class Asking:
    """One connection to an upstream."""

    def __init__(self, port: int, keep: bool = True) -> None:
        self._records = codec.Records()
        self._fixed = codec.pairs(fixed(port))
        self._keep = keep
        self._out: dict[int, _Out] = {}
        self._last = 0  # the id given last
        self.fault: Fault | None = None  # of the connection: no record can be trusted
        self.strays = 0  # records of requests that are not out: nothing new is to be asked here
        self.errors = b""  # the first bytes of stderr
        self.error_bytes = 0

    @property
    def out(self) -> int:
        """Requests that the application has not ended, the given up ones among them."""
        return len(self._out)

    @property
    def live(self) -> int:
        """Requests whose answer is still waited for."""
        return sum(not item.dead for item in self._out.values())

    @property
    def held(self) -> int:
        return self._records.held + sum(item.answer.held for item in self._out.values())

    def is_out(self, number: int) -> bool:
        """Whether the application has not ended it."""
        return number in self._out

    def largest(self, among: Iterable[int]) -> int:
        """The request whose answer holds most so far."""
        return max(among, key=lambda number: self._out[number].answer.held)

    # ------------------------------------------------ out

    def begin(self, message: Message, headers: Headers, extra: Headers) -> tuple[int, bytes, int]:
        """A request's id, its bytes, and how many of them lie before the dividing line.

        FramingError if it can't be put in variables.
        """
        params = self._fixed + codec.pairs(variables(message, headers, extra))
        number = self._last
        for _ in range(MOST_IDS):
            number = number % MOST_IDS + 1
            if number not in self._out:
                break
        self._last = number
        self._out[number] = _Out()
        before = [codec.begin(number, flags=codec.KEEP_CONN if self._keep else 0)]
        before += codec.stream(codec.PARAMS, number, params)
        line = sum(map(len, before))
        after = [codec.record(codec.PARAMS, number)]
        after += codec.stream(codec.STDIN, number, message.body)
        after.append(codec.record(codec.STDIN, number))
        return number, b"".join([*before, *after]), line

    def abort(self, number: int) -> bytes:
        """Give a request up. Its id stays taken until the application has ended it."""
        item = self._out[number]
        item.dead = True
        item.answer = Answer(0)
        return codec.record(codec.ABORT_REQUEST, number)

    # ------------------------------------------------ in

    def feed(self, data: bytes) -> list[Event]:
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
                self.error_bytes += len(content)
                if len(self.errors) < ERRORS_KEPT:
                    self.errors += content[: ERRORS_KEPT - len(self.errors)]
                if number not in self._out:
                    self.strays += 1
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
        item = self._out.get(number)
        if item is None:
            self.strays += 1
            return
        if content:  # an empty one says that nothing comes, which proves no work
            item.touched = True
        if item.dead:
            return
        if item.closed:
            self.strays += 1  # behind the end of its stdout: the answer stands as it was
            return
        if not content:
            item.closed = True
            return
        item.answer.feed(content)
        if item.answer.fault:
            why = item.answer.fault
            item.dead = True
            item.answer = Answer(0)
            events.append(Spoilt(number, why, ended=False))

    def _end(self, number: int, content: bytes, events: list[Event]) -> None:
        item = self._out.pop(number, None)
        if item is None:
            self.strays += 1
            return
        if len(content) != codec.END_BODY.size:
            self.fault = Fault(502, "an END_REQUEST of the wrong size")
            self._out[number] = item
            return
        if item.dead:
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
            events.append(Spoilt(number, f"ended early, status {protocol_status}", ended=True))
        elif app_status and item.answer.stated is None:
            # Nothing says that the body is all there, and the application says that it has failed.
            events.append(Spoilt(number, f"the application ended with {app_status}", ended=True))
        else:
            events.append(Answered(number, message))


# ---------------------------------------------------------------- what an application says of itself


class Ability(NamedTuple):
    """What an upstream says that it can do, or operators say of it."""

    connections: int  # at a time, at most
    requests: int  # at a time, over all connections, at most
    multiplexes: bool


UNKNOWN = Ability(MOST_IDS, MOST_IDS, False)  # silence, or nonsense


def question() -> bytes:
    """The GET_VALUES record."""
    names = (codec.MAX_CONNS, codec.MAX_REQS, codec.MPXS_CONNS)
    return codec.record(codec.GET_VALUES, 0, codec.pairs((name, b"") for name in names))


def ability(data: bytes) -> Ability | None:
    """What all bytes that came back say; none while they say nothing yet. UNKNOWN if they make no sense."""
    records = codec.Records()
    for kind, number, content in records.feed(data):
        if kind != codec.GET_VALUES_RESULT or number != codec.MANAGEMENT:
            return UNKNOWN
        try:
            values = dict(codec.read_pairs(content, MAX_VALUES))
        except FramingError:
            return UNKNOWN

        def count(name: bytes, values: dict[bytes, bytes] = values) -> int:
            text = values.get(name, b"")
            return int(text) if text.isdigit() and len(text) < 10 and int(text) else MOST_IDS

        return Ability(count(codec.MAX_CONNS), count(codec.MAX_REQS), values.get(codec.MPXS_CONNS) == b"1")
    return UNKNOWN if records.fault is not None else None
