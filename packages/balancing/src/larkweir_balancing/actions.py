"""Actions: what the balancer asks the caller to do, in order. Times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 in the order in which they are sent."""

    request: int
    server: int
    timeout_ms: float
    # The latest time at which its last byte may be written, on the clock of `Balancer.handle`; later, the attempt ends
    # as MOOT. Servers may have forgotten the idempotency key of the request by then.
    write_by_ms: float = math.inf


@dataclass(slots=True)
class Cancel:
    """End an attempt: its answer is no longer wanted."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: the request was not served, and a retry does no harm."""

    request: int
    wait_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: the request was not served, but it may have had an effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Report `TimerFired` with this cookie after `delay_ms`."""

    cookie: int
    delay_ms: float


@dataclass(slots=True)
class Probe:
    """Ask a server for its load report."""

    server: int


@dataclass(slots=True)
class CloseIdle:
    """Close an idle connection to a server."""

    server: int


@dataclass(slots=True)
class SendToPeer:
    """Send a message to another balancer; a `peer` of None means all of them."""

    peer: int | None
    payload: bytes = b""


@dataclass(slots=True)
class FetchList:
    """Fetch the list of servers once."""

    pass


@dataclass(slots=True)
class WatchList:
    """Start or stop watching the list of servers."""

    active: bool = field(default=True)


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Probe | CloseIdle | SendToPeer | FetchList | WatchList | Log
)
