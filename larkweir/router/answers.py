"""The errors that a router itself responds with, and the HTTP response for each."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from larkweir.router.request_metadata import Headers


class ErrorKind(Enum):
    """The reason for an error response of the router's own. `ERROR_RESPONSES` has the response for each."""

    BAD_REQUEST = "bad_request"
    HEADERS_TOO_LARGE = "headers_too_large"
    BODY_TOO_LARGE = "body_too_large"
    CLIENT_TOO_SLOW = "client_too_slow"
    NO_CONFIGURATION = "no_configuration"
    NO_ROUTE = "no_route"
    UNKNOWN_KEY = "unknown_key"
    OVER_QUOTA = "over_quota"
    NO_UPSTREAM = "no_upstream"  # no upstream is ready, or all were tried; the request has not run
    REJECTED = "turned_away"  # upstreams rejected the request without running it
    UPSTREAM_FAILED = "upstream_failed"  # the request may have run
    TIMED_OUT = "timed_out"  # the request may have run
    TIMED_OUT_UNSENT = "timed_out_unsent"  # the request has not run
    INTERNAL = "internal"  # an unexpected exception in the router; the request may have run


@dataclass(frozen=True, slots=True)
class ErrorResponse:
    """An error response, which has no body."""

    status: int
    retry_after_s: float | None = None  # None: no `Retry-After` header
    close: bool = False  # whether the connection is closed afterwards, as it can't be reused

    def headers(self, retry_after_s: float | None = None) -> Headers:
        """The headers of the response; the argument `retry_after_s`, if not None, replaces the default value."""
        headers = [(b"content-length", b"0")]
        wait_s = self.retry_after_s if retry_after_s is None else retry_after_s
        if wait_s is not None:
            headers.append((b"retry-after", b"%.3f" % wait_s))
        if self.close:
            headers.append((b"connection", b"close"))
        return headers


STARTING_RETRY_S = 1.0  # a router that has just started synchronises with the controllers within this time
UPSTREAM_RETRY_S = 0.8  # upstreams send a heartbeat about once a second
AT_CAPACITY_RETRY_S = 0.3

ERROR_RESPONSES = {
    ErrorKind.BAD_REQUEST: ErrorResponse(400, close=True),
    ErrorKind.HEADERS_TOO_LARGE: ErrorResponse(431, close=True),
    ErrorKind.BODY_TOO_LARGE: ErrorResponse(413, close=True),
    ErrorKind.CLIENT_TOO_SLOW: ErrorResponse(408, close=True),
    ErrorKind.NO_CONFIGURATION: ErrorResponse(503, retry_after_s=STARTING_RETRY_S),
    ErrorKind.NO_ROUTE: ErrorResponse(404),
    ErrorKind.UNKNOWN_KEY: ErrorResponse(401),
    ErrorKind.OVER_QUOTA: ErrorResponse(429, retry_after_s=0.5),
    ErrorKind.NO_UPSTREAM: ErrorResponse(503, retry_after_s=UPSTREAM_RETRY_S),
    ErrorKind.REJECTED: ErrorResponse(503, retry_after_s=AT_CAPACITY_RETRY_S),
    ErrorKind.UPSTREAM_FAILED: ErrorResponse(502),
    ErrorKind.TIMED_OUT: ErrorResponse(504),
    ErrorKind.TIMED_OUT_UNSENT: ErrorResponse(503, retry_after_s=AT_CAPACITY_RETRY_S),
    ErrorKind.INTERNAL: ErrorResponse(500, close=True),
}
