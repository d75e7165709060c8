"""Actions: what the decisions ask the caller to do, in order. Times are milliseconds."""

from __future__ import annotations

import math
from dataclasses import dataclass, field


@dataclass(slots=True)
class Send:
    """Start an attempt; a request's attempts are numbered 0, 1, 2 in the order of their sends."""

    request: int
    server: int
    timeout_ms: float
    # The latest time, by the clock that `handle` is told of, at which its last byte may be written; past it the attempt
    # ends as MOOT. Servers may have forgotten by then what it repeats.
    write_by_ms: float = math.inf


@dataclass(slots=True)
class Cancel:
    """End an attempt: its answer is no longer wanted."""

    request: int
    attempt: int


@dataclass(slots=True)
class Refuse:
    """Final answer: not served, and trying again does no harm."""

    request: int
    wait_ms: float = 0.0


@dataclass(slots=True)
class Fail:
    """Final answer: not served, and nothing is promised of its effect."""

    request: int


@dataclass(slots=True)
class SetTimer:
    """Report `TimerFired` with this cookie after `delay_ms`."""

    cookie: int
    delay_ms: float


@dataclass(slots=True)
class Probe:
    """Ask a server for its load."""

    server: int


@dataclass(slots=True)
class CloseIdle:
    """Close an idle connection to a server."""

    server: int


@dataclass(slots=True)
class SendToPeer:
    """`peer` of None reaches every peer."""

    peer: int | None
    payload: bytes = b""


@dataclass(slots=True)
class FetchList:
    """Fetch the list of servers once."""

    pass


@dataclass(slots=True)
class WatchList:
    """Watch the list of servers, or stop doing so."""

    active: bool = field(default=True)


@dataclass(slots=True)
class Log:
    """Write a line to the log."""

    text: str


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Probe | CloseIdle | SendToPeer | FetchList | WatchList | Log
)
