"""Every way in which a router itself ends a request, and the answer to each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum


class ErrorKind(Enum):
    """Why the router answers itself. The list is closed; `ANSWERS` has each."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    CLIENT_TOO_SLOW = "client_too_slow"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_UPSTREAM = "no_upstream"  # none is ready, or all were tried; the request has not run
    TURNED_AWAY = "turned_away"  # upstreams refused it unseen; it has not run
    UPSTREAM_FAILED = "upstream_failed"  # it may have run
    TIMED_OUT = "timed_out"  # it may have run
    TIMED_OUT_UNSENT = "timed_out_unsent"  # it has not run


@dataclass(frozen=True, slots=True)
class Answer:
    """A status, and whether it promises that the request has not run and never will."""

    status: int
    retry_after_s: float | None = None
    close: bool = False


STARTING_RETRY_S = 1.0  # a router that has just started knows the fleet in less than that
UPSTREAM_RETRY_S = 0.8  # upstreams make themselves known about once a second
FULL_RETRY_S = 0.3

ANSWERS = {
    ErrorKind.BAD_REQUEST: Answer(400, close=True),
    ErrorKind.HEADERS_TOO_LARGE: Answer(431, close=True),
    ErrorKind.BODY_TOO_LARGE: Answer(413, close=True),
    ErrorKind.CLIENT_TOO_SLOW: Answer(408, close=True),
    ErrorKind.NO_CONFIGURATION: Answer(503, retry_after_s=STARTING_RETRY_S),
    ErrorKind.NO_ROUTE: Answer(404),
    ErrorKind.UNKNOWN_KEY: Answer(401),
    ErrorKind.OVER_QUOTA: Answer(429, retry_after_s=0.5),
    ErrorKind.NO_UPSTREAM: Answer(503, retry_after_s=UPSTREAM_RETRY_S),
    ErrorKind.TURNED_AWAY: Answer(503, retry_after_s=FULL_RETRY_S),
    ErrorKind.UPSTREAM_FAILED: Answer(502),
    ErrorKind.TIMED_OUT: Answer(504),
    ErrorKind.TIMED_OUT_UNSENT: Answer(503, retry_after_s=FULL_RETRY_S),
}
