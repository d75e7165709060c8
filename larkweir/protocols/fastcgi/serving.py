"""The callers' side of FastCGI as a state machine: records in, complete requests out, answers to records. Pure logic.

One connection carries many requests, each with its id (section 3.3): begun, its params, its stdin, then the answer.
What a caller does wrong with one request ends that request, with an answer that says why; what makes the records
themselves untrustworthy is a fault of the connection.
"""

from __future__ import annotations

from typing import NamedTuple

from larkweir.core.message import Fault, FramingError, Headers, Message
from larkweir.protocols.fastcgi import codec
from larkweir.protocols.fastcgi.cgi import MAX_HEAD, MAX_VARIABLES, head, request

MAX_BODY = 64 * 1024
MAX_VALUES = 64  # names in a GET_VALUES record


class Whole(NamedTuple):
    """A request has come whole."""

    id: int
    message: Message


class Bad(NamedTuple):
    """A request can't be taken; it is to be answered with this status. What follows of it is dropped."""

    id: int
    fault: Fault


class Gone(NamedTuple):
    """The caller has aborted a request that came whole in an earlier read. It is to be ended, with no answer."""

    id: int


Event = Whole | Bad | Gone


class _Request:
    __slots__ = ("body", "keep", "length", "message", "params", "size", "state")

    def __init__(self, keep: bool) -> None:
        self.state = "params"  # then stdin, then waiting for its answer; or refused, or aborted
        self.keep = keep  # the connection stays open after the answer
        self.params: list[bytes] = []
        self.size = 0  # of what has come and is held
        self.message: Message | None = None
        self.length: int | None = None
        self.body: list[bytes] = []


class Serving:
    """One connection from a caller. `out` collects what is to be written back at once."""

    def __init__(self, most: int) -> None:
        """`most` requests may be open at a time; more are turned away unseen."""
        self._records = codec.Records()
        self._most = most
        self._open: dict[int, _Request] = {}
        self.out: list[bytes] = []
        self.fault: Fault | None = None
        self.last = False  # a request asked for the connection to be closed after its answer
        self.closing = False  # no new request is taken

    @property
    def open(self) -> int:
        """Requests that are not answered yet, complete or not."""
        return len(self._open)

    @property
    def waiting(self) -> int:
        """Requests that came whole and wait for their answer."""
        return sum(item.state == "waiting" for item in self._open.values())

    @property
    def begun(self) -> bool:
        """Whether a request, or a record, has come in part."""
        return self._records.held > 0 or any(
            item.state in ("params", "stdin") for item in self._open.values()
        )

    @property
    def held(self) -> int:
        """Bytes held of requests that have not come whole."""
        return self._records.held + sum(
            item.size for item in self._open.values() if item.state in ("params", "stdin")
        )

    @property
    def unfinished(self) -> bytes:
        """What has come of a record that is not complete."""
        return self._records.unfinished

    def partial(self) -> list[int]:
        """The ids of requests that have not come whole."""
        return [number for number, item in self._open.items() if item.state in ("params", "stdin")]

    def feed(self, data: bytes) -> list[Event]:
        """Parse `data`; returns what has become of requests. A fault of the connection is left in `fault`, for good.
        Aborts come first, whatever stood before them: nothing else that was read with one may begin an attempt of its
        request.
        """
        events: list[Event] = []
        if self.fault is not None:
            return events
        for kind, number, content in self._records.feed(data):
            if self.fault is not None:
                break
            if number == codec.MANAGEMENT:
                self._manage(kind, content)
            elif kind == codec.BEGIN_REQUEST:
                self._begin(number, content)
            elif kind in (codec.PARAMS, codec.STDIN, codec.ABORT_REQUEST):
                self._of_request(kind, number, content, events)
            elif kind != codec.DATA:  # a Filter's, which no Responder is sent: dropped
                self.fault = Fault(400, f"a record of type {kind} from a caller")
        if self.fault is None:
            self.fault = self._records.fault
        return events

    # ------------------------------------------------ records

    def _manage(self, kind: int, content: bytes) -> None:
        if kind != codec.GET_VALUES:
            self.out.append(codec.record(codec.UNKNOWN_TYPE, 0, codec.TYPE_BODY.pack(kind)))
            return
        try:
            names = codec.read_pairs(content, MAX_VALUES)
        except FramingError as problem:
            self.fault = Fault(problem.status, str(problem))
            return
        known = {codec.MAX_REQS: b"%d" % self._most, codec.MPXS_CONNS: b"1"}
        asked = dict.fromkeys(name for name, _ in names if name in known)
        body = codec.pairs((name, known[name]) for name in asked)
        self.out.append(codec.record(codec.GET_VALUES_RESULT, 0, body))

    def _begin(self, number: int, content: bytes) -> None:
        if len(content) != codec.BEGIN_BODY.size:
            self.fault = Fault(400, "a BEGIN_REQUEST of the wrong size")
            return
        if number in self._open:
            # Guards its owner: nobody could tell which of the two a record is for.
            self.fault = Fault(400, f"request id {number} is open already")
            return
        role, flags = codec.BEGIN_BODY.unpack(content)
        keep = bool(flags & codec.KEEP_CONN)
        if self.closing or len(self._open) >= self._most:
            self.out.append(codec.end(number, codec.OVERLOADED))
        elif role != codec.RESPONDER:
            self.out.append(codec.end(number, codec.UNKNOWN_ROLE))
        else:
            self._open[number] = _Request(keep)

    def _of_request(self, kind: int, number: int, content: bytes, events: list[Event]) -> None:
        item = self._open.get(number)
        if item is None:
            return  # one that is over, or was turned away: what still comes of it is dropped
        if item.state in ("refused", "aborted"):
            return  # its answer, or its end, is about to be written
        if kind == codec.ABORT_REQUEST:
            self._abort(number, item, events)
        elif item.state == "waiting":
            # Behind the end of its stdin nothing may come: whether this was all is no longer sure, but it
            # has been passed on as it stood.
            self.fault = Fault(400, "a record behind the end of its stream")
        elif kind == codec.PARAMS:
            self._params(number, item, content, events)
        else:
            self._stdin(number, item, content, events)

    def _abort(self, number: int, item: _Request, events: list[Event]) -> None:
        came_in_this_read = any(event.id == number for event in events)
        if item.state != "waiting" or came_in_this_read:
            events[:] = [event for event in events if event.id != number]
            self.out += self.ended(number)
        else:
            item.state = "aborted"
            events.insert(0, Gone(number))

    def _bad(self, number: int, item: _Request, status: int, text: str, events: list[Event]) -> None:
        item.state = "refused"
        item.params, item.body, item.size = [], [], 0
        events.append(Bad(number, Fault(status, text)))

    def _params(self, number: int, item: _Request, content: bytes, events: list[Event]) -> None:
        if item.state != "params":
            self._bad(number, item, 400, "params behind the end of the params", events)
            return
        if content:
            item.size += len(content)
            if item.size > MAX_HEAD:
                self._bad(number, item, 431, "the params are too long", events)
            else:
                item.params.append(content)
            return
        try:
            item.message, item.length = request(codec.read_pairs(b"".join(item.params), MAX_VARIABLES))
        except FramingError as problem:
            self._bad(number, item, problem.status, str(problem), events)
            return
        if item.length is not None and item.length > MAX_BODY:
            self._bad(number, item, 413, "the body is too long", events)
            return
        item.state = "stdin"
        item.params, item.size = [], 0

    def _stdin(self, number: int, item: _Request, content: bytes, events: list[Event]) -> None:
        if item.state == "params":
            self._bad(number, item, 400, "stdin before the end of the params", events)
            return
        if content:
            item.size += len(content)
            if item.size > (MAX_BODY if item.length is None else item.length):
                self._bad(
                    number, item, 400 if item.length is not None else 413, "more stdin than stated", events
                )
            else:
                item.body.append(content)
            return
        if item.length is not None and item.size != item.length:
            self._bad(number, item, 400, "stdin ends before CONTENT_LENGTH", events)
            return
        assert item.message is not None
        item.message.body = b"".join(item.body)
        item.body, item.size = [], 0
        item.state = "waiting"
        events.append(Whole(number, item.message))

    # ------------------------------------------------ answers

    def answer(self, number: int, status: int, reason: bytes, headers: Headers, body: bytes) -> list[bytes]:
        """The records of one answer, the end of its request among them."""
        headers = [*headers, (b"Content-Length", b"%d" % len(body))]
        parts = codec.stream(codec.STDOUT, number, head(status, reason, headers) + body)
        return [*parts, codec.record(codec.STDOUT, number), *self.ended(number)]

    def ended(self, number: int) -> list[bytes]:
        """The end of a request with no answer, or behind one. Its id may be used again from here on."""
        item = self._open.pop(number)
        self.last = self.last or not item.keep
        return [codec.end(number)]
