"""What becomes of an upstream's response: relayed, or discarded because the request may go elsewhere. Pure rules."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus

from larkweir.router.configuration import Route
from larkweir.router.request_metadata import Headers

LOAD_HEADER = b"x-server-load"
LOAD_FIELD_COUNT = 3  # requests running, requests waiting, slots
NOT_EXECUTED_HEADER = b"x-not-executed"
# Statuses that tell a client that the request has not run (with `X-Not-Executed`; 421 by RFC 9110, 15.5.20).
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an upstream's response. Header names are in lower case."""

    status: int
    headers: Headers = ()

    @property
    def load(self) -> bytes:
        """The value of `X-Server-Load` (running, waiting, slots); empty where there is none."""
        return next((value for name, value in self.headers if name == LOAD_HEADER), b"")

    @property
    def is_misdirected(self) -> bool:
        """Whether another process than the addressed instance answered."""
        return self.status == HTTPStatus.MISDIRECTED_REQUEST

    @property
    def proves_not_executed(self) -> bool:
        """Whether the upstream guarantees that it has not run the request."""
        if self.status not in NOT_EXECUTED_STATUSES:
            return False
        return self.is_misdirected or any(name == NOT_EXECUTED_HEADER for name, _ in self.headers)

    @property
    def reports_capacity(self) -> bool:
        """Whether the upstream says that it could run another request; False where it says nothing."""
        fields = self.load.split(b",")
        if len(fields) != LOAD_FIELD_COUNT or not all(field.strip().isdigit() for field in fields):
            return False
        running, waiting, slots = (int(field) for field in fields)
        return running < slots and waiting == 0


class ResponseClass(Enum):
    """What a response means for the request."""

    MISDIRECTED = auto()  # not executed; another instance listens there
    REJECTED = auto()  # not executed; the upstream is at capacity
    RETRYABLE_ERROR = auto()  # may have run, but may run again
    UNUSABLE = auto()  # may have run; relaying it would be a false promise or would corrupt a stream
    RELAYABLE = auto()


def classify_response(head: ResponseHead, route: Route, *, response_started: bool) -> ResponseClass:
    """The class of a response, before the retry budget is asked.

    Args:
        head: of the response.
        route: of the request.
        response_started: the client has received the head of an earlier response to this request.
    """
    if head.proves_not_executed:
        return ResponseClass.MISDIRECTED if head.is_misdirected else ResponseClass.REJECTED
    if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR and route.is_idempotent:
        return ResponseClass.RETRYABLE_ERROR
    return classify_without_retry(head, route, response_started=response_started)


def classify_without_retry(head: ResponseHead, route: Route, *, response_started: bool) -> ResponseClass:
    """The class of a response that may have run, where no retry is left."""
    is_false_guarantee = head.status in NOT_EXECUTED_STATUSES and not route.is_idempotent
    if is_false_guarantee or (response_started and head.status != HTTPStatus.OK):
        return ResponseClass.UNUSABLE
    return ResponseClass.RELAYABLE
