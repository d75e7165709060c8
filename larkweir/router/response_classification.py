"""Decides whether an upstream's response is relayed, or discarded and the request retried. Pure functions."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum, auto
from http import HTTPStatus

from larkweir.router.configuration import Route
from larkweir.router.request_metadata import Headers

LOAD_HEADER = b"x-server-load"
LOAD_FIELD_COUNT = 3  # requests running, requests waiting, slots
NOT_EXECUTED_HEADER = b"x-not-executed"
# Statuses by which clients may assume that the request has not run. An upstream has to confirm it with the header
# `X-Not-Executed`, except for 421 (RFC 9110, 15.5.20).
NOT_EXECUTED_STATUSES = frozenset((408, 421, 429, 503))


@dataclass(frozen=True, slots=True)
class ResponseHead:
    """The head of an upstream's response. Header names are in lower case."""

    status: int
    headers: Headers = ()

    @property
    def load(self) -> bytes:
        """The value of `X-Server-Load` (running, waiting, slots); empty if the header is missing."""
        return next((value for name, value in self.headers if name == LOAD_HEADER), b"")

    @property
    def is_misdirected(self) -> bool:
        """Whether a process other than the addressed instance responded."""
        return self.status == HTTPStatus.MISDIRECTED_REQUEST

    @property
    def proves_not_executed(self) -> bool:
        """Whether the upstream guarantees that it has not run the request."""
        if self.status not in NOT_EXECUTED_STATUSES:
            return False
        return self.is_misdirected or any(name == NOT_EXECUTED_HEADER for name, _ in self.headers)

    @property
    def reports_capacity(self) -> bool:
        """Whether the upstream reports that it could run another request; False if it reports no valid load."""
        fields = self.load.split(b",")
        if len(fields) != LOAD_FIELD_COUNT or not all(field.strip().isdigit() for field in fields):
            return False
        running, waiting, slots = (int(field) for field in fields)
        return running < slots and waiting == 0


class ResponseClass(Enum):
    """The classes of responses, by what they mean for the request."""

    MISDIRECTED = auto()  # not executed: another instance listens at the address
    REJECTED = auto()  # not executed: the upstream is at capacity
    RETRYABLE_ERROR = auto()  # may have been executed, but the request is idempotent
    # May have been executed. Relaying the response would wrongly claim that it was not, or would corrupt a stream.
    UNUSABLE = auto()
    RELAYABLE = auto()


def classify_response(head: ResponseHead, route: Route, *, response_started: bool) -> ResponseClass:
    """Classify a response, without regard to the retry budget.

    Args:
        head: the head of the response.
        route: the route of the request.
        response_started: whether the client has received the head of an earlier response to this request.
    """
    if head.proves_not_executed:
        return ResponseClass.MISDIRECTED if head.is_misdirected else ResponseClass.REJECTED
    if head.status >= HTTPStatus.INTERNAL_SERVER_ERROR and route.is_idempotent:
        return ResponseClass.RETRYABLE_ERROR
    return classify_without_retry(head, route, response_started=response_started)


def classify_without_retry(head: ResponseHead, route: Route, *, response_started: bool) -> ResponseClass:
    """Classify a response to a request that may have been executed and can't be retried any more."""
    is_false_guarantee = head.status in NOT_EXECUTED_STATUSES and not route.is_idempotent
    if is_false_guarantee or (response_started and head.status != HTTPStatus.OK):
        return ResponseClass.UNUSABLE
    return ResponseClass.RELAYABLE
