"""Events: what the caller reports to the decisions.

Times are milliseconds; durations are relative. Servers, requests and timers are named by integers that the caller
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
    """One line of discovery's list. `started_ms` of 0 means long ago."""

    server: int
    state: ServerState = ServerState.READY
    started_ms: float = 0.0
    weight: float = 1.0
    zone: int = 0
    cell: int = 0
    kind: int = 0
    restored_trust: RestoredTrust | None = None  # None: discovery vouches for it


@dataclass(slots=True)
class ListUpdate:
    """The list of servers, or changes of it, has arrived."""

    kind: ListKind
    version: int = 0
    entries: Sequence[ServerEntry] = ()


@dataclass(slots=True)
class RequestArrived:
    """A client request; exactly one final answer is owed from here on."""

    request: int
    class_index: int
    time_left_ms: float
    tenant: int = 0
    key: int = 0
    expected_ms: float | None = None
    client_retry: bool = False
    write: bool = False
    attempts_left: int | None = None  # that it may still cost, where the tier above says so
    # Its last byte is still to come, and no server can begin it before: `BodyCame` tells of that. `time_left_ms` counts
    # from then on.
    body_incomplete: bool = False
    choice: object | None = None  # of whoever chose these decisions among several; never looked at here
    # Its class as it stood when the request was received, where a `Reconfigured` has changed it since; None: as the
    # settings have it.
    class_at_arrival: RequestClass | None = None

    def class_in(self, settings: Settings) -> RequestClass:
        """The class that the request is held to."""
        return self.class_at_arrival or settings.classes[self.class_index]


@dataclass(slots=True)
class RequestBodyReceived:
    """The last byte of a request that was told of while it came."""

    request: int


@dataclass(slots=True)
class AnswerStarted:
    """A streamed answer has begun: the attempt now belongs to the client and no deadline runs."""

    request: int
    attempt: int
    server: int
    spent_ms: float = 0.0


@dataclass(slots=True)
class AttemptEnded:
    """Exactly one for each `Send`. `final` says the request itself is over."""

    request: int
    attempt: int
    server: int
    outcome: Outcome
    is_final: bool
    spent_ms: float = 0.0
    report: Sequence[float] = ()
    attempts_left: int | None = None  # attempts that the request may still cost, where it has a budget
    # Of `spent_ms`, what was surely spent at the upstream and on the way; None: it can't be told apart from what
    # this process added.
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
    """What another copy has found of a server: hearsay, which counts only for a server that is left out here."""

    server: int
    is_healthy: bool | None = None  # None: nothing is known of it yet
    age_ms: float = 0.0  # since it was found, at the least
    from_request: bool = False  # by a real call, which tells more than a probe
    is_probe_turn: bool = False  # this copy is to look, for itself and the others


@dataclass(slots=True)
class PeerMessage:
    """A message of another balancer has arrived."""

    sender: int
    payload: bytes = b""


@dataclass(slots=True)
class Reconfigured:
    """New figures from here on. Requests that are known keep the class that they came with.

    A class keeps its place in the settings as long as it is there. A new one is added at the end, or takes the place
    of one that has long been gone.
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
