"""Events: what the caller reports to the balancer.

Times are milliseconds; durations are relative. Servers, requests and timers are identified by integers that the caller
chooses.
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from larkweir_balancing.outcomes import ListKind, Outcome, ServerState
from larkweir_balancing.restored_trust import RestoredTrust
from larkweir_balancing.settings import RequestClass, Settings


@dataclass(slots=True, frozen=True)
class ServerEntry:
    """One server in the list from discovery. A `started_ms` of 0 means long ago."""

    server: int
    state: ServerState = ServerState.READY
    started_ms: float = 0.0
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    restored_trust: RestoredTrust | None = None  # None: the entry comes from discovery


@dataclass(slots=True)
class ListUpdate:
    """The list of servers has arrived, or changes to it."""

    kind: ListKind
    version: int = 0
    entries: Sequence[ServerEntry] = ()


@dataclass(slots=True)
class RequestArrived:
    """A client request has arrived. From here on, it gets exactly one final answer."""

    request: int
    class_index: int
    time_left_ms: float
    tenant: int = 0
    key: int = 0
    expected_ms: float | None = None
    client_retry: bool = False
    write: bool = False
    attempts_left: int | None = None  # how many attempts it may still use, if the tier above limits them
    # The last byte has not arrived, and no server can start before it has. `RequestBodyReceived` reports it, and
    # `time_left_ms` counts from then on.
    body_incomplete: bool = False
    choice: object | None = None  # set by a caller that selects among balancers; not used in this package
    # The request's class as of its arrival, if a `Reconfigured` has changed it since; None: the one in the settings.
    class_at_arrival: RequestClass | None = None

    def class_in(self, settings: Settings) -> RequestClass:
        """The class whose rules apply to the request."""
        return self.class_at_arrival or settings.classes[self.class_index]


@dataclass(slots=True)
class RequestBodyReceived:
    """The last byte of a request has arrived that was reported with `body_incomplete`."""

    request: int


@dataclass(slots=True)
class AnswerStarted:
    """A streamed answer has started: it is passed on to the client, and the deadline no longer applies."""

    request: int
    attempt: int
    server: int
    spent_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """An attempt has ended; exactly one for each `Send`. `is_final`: the request itself is finished."""

    request: int
    attempt: int
    server: int
    outcome: Outcome
    is_final: bool
    spent_ms: float = 0.0
    report: Sequence[float] = ()
    attempts_left: int | None = None  # how many attempts the request may still use, if it has a budget
    # The part of `spent_ms` that was certainly spent at the upstream and on the network; None: it can't be separated
    # from the time that this process added.
    upstream_ms: float | None = None


@dataclass(slots=True)
class ClientGone:
    """The client of a request has disconnected."""

    request: int


@dataclass(slots=True)
class TimerFired:
    """A timer of `SetTimer` is due."""

    cookie: int


@dataclass(slots=True)
class ProbeEnded:
    """A probe of a server has ended."""

    server: int
    outcome: Outcome
    spent_ms: float = 0.0
    report: Sequence[float] = ()


@dataclass(slots=True)
class PeerHealthReport:
    """What another replica has found about a server; it counts only while the server is ejected here."""

    server: int
    is_healthy: bool | None = None  # None: nothing is known yet
    age_ms: float = 0.0  # the least time since it was found
    from_request: bool = False  # found by a real request, which is better evidence than a probe
    is_probe_turn: bool = False  # it is this replica's turn to check the server, for itself and the others


@dataclass(slots=True)
class PeerMessage:
    """A message from another balancer has arrived."""

    sender: int
    payload: bytes = b""


@dataclass(slots=True)
class Reconfigured:
    """New settings apply from here on. Requests that have arrived keep the class that they arrived with.

    A class keeps its index for as long as it exists. A new one is added at the end, or reuses the index of a class that
    was removed long ago.
    """

    settings: Settings


Event = (
    ListUpdate
    | RequestArrived
    | RequestBodyReceived
    | AnswerStarted
    | AttemptEnded
    | ClientGone
    | TimerFired
    | ProbeEnded
    | PeerHealthReport
    | PeerMessage
    | Reconfigured
)
