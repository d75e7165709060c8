"""Entry point for complete messages of callers, of any protocol: they are answered or passed to the dispatcher."""

from __future__ import annotations

from collections.abc import Callable
from typing import Protocol

from larkweir_balancing.interface import RequestArrived

from larkweir.core.active_request import Caller
from larkweir.core.dispatcher import Dispatcher
from larkweir.core.message import FramingError, Headers, Message
from larkweir.core.request_parser import METHODS, RequestParser

Check = Callable[[Message], None]


class LoadShedder(Protocol):
    """Load shedding by this process, before a request is parsed."""

    def refusal_for(self, message: Message) -> Headers | None:
        """The headers of the refusal, or None if the message is admitted."""


class Router(Protocol):
    """Selects the pool of upstreams for a request, if there are several pools."""

    def place(self, message: Message) -> tuple[int, Headers] | object:
        """Match the message to a route and replace its target by the one that is sent upstream. Returns an opaque
        value for `choose`, or the status and headers of the answer if no route matches.
        """

    def choose(self, place: object, message: Message, event: RequestArrived, trace: bytes) -> bool:
        """Store the selected pool in `event`. Returns False if no pool is suitable."""


class PeerIds(Protocol):
    """The ids of requests that other processes of this balancer have accepted while this one serves."""

    def __contains__(self, trace: bytes) -> bool:
        """Whether another process has accepted a request with this id."""

    def announce(self, trace: bytes) -> None:
        """This process is about to accept a request with this id. Must be called before the request is sent."""


class RequestHandler:
    """Answers `/ready`, rejects unacceptable requests, and passes all others to the dispatcher."""

    def __init__(self, dispatcher: Dispatcher, parser: RequestParser, ready: Callable[[], bool]) -> None:
        self.dispatcher = dispatcher
        self.parser = parser
        self._ready = ready
        self.load_shedder: LoadShedder | None = None  # None: load shedding is off
        self.streams = True  # whether long bodies are forwarded while they arrive
        self.router: Router | None = None  # None: `/api` is the only path
        self.peer_ids: PeerIds | None = None  # None: no other process of this balancer is serving
        # Each check raises FramingError for a message that the upstreams' protocol can't represent.
        self.checks: list[Check] = []

    def is_known(self, trace: bytes) -> bool:
        """Whether a request with this id is open or ended recently, here or in another process of this balancer."""
        known = self.dispatcher.requests.is_known(trace)
        return known or (self.peer_ids is not None and trace in self.peer_ids)

    def handle(self, caller: Caller, message: Message) -> int | None:
        """Answer the message through `caller` and return None, or pass it to the dispatcher and return the dispatcher's
        number of the request, which may have been answered already. Raises FramingError if the message is not
        acceptable.
        """
        path = message.target.partition(b"?")[0]
        place: object = None
        if path == b"/ready":
            caller.answer(200 if self._ready() else 503, [], b"")
        elif self.router is not None and isinstance(place := self.router.place(message), tuple):
            caller.answer(place[0], place[1], b"")
        elif self.router is None and path != b"/api":
            caller.answer(404, [], b"")
        elif message.method not in METHODS:
            caller.answer(405, [(b"Allow", b", ".join(sorted(METHODS)))], b"")
        elif (
            self.load_shedder is not None and (refusal := self.load_shedder.refusal_for(message)) is not None
        ):
            caller.answer(503, refusal, b"")
        else:
            for check in self.checks:
                check(message)
            event, left, trace = self.parser.parse(message)
            if self.router is not None and not self.router.choose(place, message, event, trace):
                caller.answer(404, [], b"")
                return None
            if self.is_known(trace):
                # A request that returns through the tiers has the same id. Loops are checked first, since the tier that
                # sent it may retry after a refusal (503), but not after a bad request (409).
                budgets = self.dispatcher.extensions.budgets
                refused = budgets and budgets.looped(caller.peer, message)
                if refused:
                    caller.answer(503, [*refused, (b"Retry-After", b"1")], b"")
                    return None
                # Guards the open request: a second request with its id could not be distinguished from a repeat.
                raise FramingError(409, "a request with this id is open, or was until lately")
            if message.queued_since_ms:  # the time in the queue counts against the deadline
                left = max(0.0, left - (self.dispatcher.clock.now_ms() - message.queued_since_ms))
                event.time_left_ms = left
            if self.peer_ids is not None:
                self.peer_ids.announce(trace)
            return self.dispatcher.arrive(caller, message, left, trace, event)
        return None
