"""Entry point of complete messages from callers, of any protocol: answered at once, or passed to the dispatcher."""

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
        """The headers of the refusal, or None where the message is admitted."""


class Router(Protocol):
    """Selects the pool of upstreams for a request, where there are several."""

    def place(self, message: Message) -> tuple[int, Headers] | object:
        """Match the message to a route and rewrite its target to the one that is sent upstream. Returns an opaque
        value for `choose`, or the status and headers of the answer where no route matches.
        """

    def choose(self, place: object, message: Message, event: RequestArrived, trace: bytes) -> bool:
        """Store the selected pool in `event`; False where no pool is suitable."""


class PeerIds(Protocol):
    """Other processes of this balancer that serve beside this one, by the ids of the requests that each takes."""

    def __contains__(self, trace: bytes) -> bool:
        """Whether another has taken a request with this id."""

    def announce(self, trace: bytes) -> None:
        """This process is about to accept one. To be called before any of it is sent."""


class RequestHandler:
    """Answers `/ready`, refuses what is no acceptable request, and passes the rest to the dispatcher."""

    def __init__(self, dispatcher: Dispatcher, parser: RequestParser, ready: Callable[[], bool]) -> None:
        self.dispatcher = dispatcher
        self.parser = parser
        self._ready = ready
        self.load_shedder: LoadShedder | None = None  # load shedding, where it is on
        self.streams = True  # whether long bodies are forwarded while they arrive
        self.router: Router | None = None  # None: `/api` is the only path
        self.peer_ids: PeerIds | None = None  # None: no other process serves beside this one
        self.checks: list[Check] = []  # raise FramingError for what the tier's protocol could not carry

    def is_known(self, trace: bytes) -> bool:
        """Whether a request with this id is open, or was until lately, here or at another process of this balancer."""
        known = self.dispatcher.requests.is_known(trace)
        return known or (self.peer_ids is not None and trace in self.peer_ids)

    def handle(self, caller: Caller, message: Message) -> int | None:
        """Answer the message through `caller` and return None, or pass it to the dispatcher and return the dispatcher's
        number of the request, which may have been answered already. FramingError if the message is not acceptable.
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
                # A request that comes back through the tiers has the same id: loops are checked first, since the tier
                # below may try again after a refusal, and not after a bad request.
                budgets = self.dispatcher.extensions.budgets
                refused = budgets and budgets.looped(caller.peer, message)
                if refused:
                    caller.answer(503, [*refused, (b"Retry-After", b"1")], b"")
                    return None
                # Guards the open request: another one under its id could not be told from a repeat of it.
                raise FramingError(409, "a request with this id is open, or was until lately")
            if message.queued_since_ms:  # it was queued since then
                left = max(0.0, left - (self.dispatcher.clock.now_ms() - message.queued_since_ms))
                event.time_left_ms = left
            if self.peer_ids is not None:
                self.peer_ids.announce(trace)
            return self.dispatcher.arrive(caller, message, left, trace, event)
        return None
