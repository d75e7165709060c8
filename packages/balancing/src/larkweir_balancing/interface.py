"""The interface of the decision module: settings, events and actions.

Times are milliseconds; durations are relative, `now_ms` is handed to `Balancer.handle` and only moves
forward. Servers, requests and timers are named by integers the caller chooses; the module never reads meaning
into them.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from enum import Enum, IntEnum
from typing import TYPE_CHECKING

if TYPE_CHECKING:
    from larkweir_balancing.restored_trust import RestoredTrust


class SettingsError(ValueError):
    """A setting is missing or makes no sense; the message names the key and the value."""


class ContractError(RuntimeError):
    """The caller broke the event contract: an id used twice, time going backwards, an unknown event."""


class Effect(Enum):
    """What running a request twice would do."""

    SAFE = "safe"  # may be repeated freely
    KEYED = "keyed"  # repeats are dropped inside a group of servers for a while
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """Which servers drop a keyed request's repeats."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ServerState(IntEnum):
    """What discovery says of a server."""

    GONE = 0
    READY = 1
    DRAINING = 2


class Outcome(IntEnum):
    """How one attempt or probe ended."""

    OK = 0
    ERROR = 1  # the server answered with an error; it may have run
    FULL = 2  # turned away unseen: proves that it never ran
    TIMEOUT = 3  # no answer in time; may have run, or still be running
    CONNECT_FAILED = 4  # no connection: proves that it never ran
    RESET = 5  # connection lost; may have run
    CANCELLED = 6  # called off by us; may have run
    MOOT = 7  # never sent: proves that it never ran
    REJECTED = 8  # the server says that the request itself is no good; tells nothing of the server's state


NEVER_RAN = frozenset((Outcome.FULL, Outcome.CONNECT_FAILED, Outcome.MOOT))


class ListKind(Enum):
    """What a list event carries."""

    FULL = "full"  # the whole list: a server that it lacks is gone
    DELTA = "delta"  # changed entries only
    CACHED = "cached"  # the whole list as last held; may be old
    # entries of servers that are only remembered, changed by what was seen of them; not discovery's word
    PROOF = "proof"
    FAILED = "failed"  # a call to discovery failed or the subscription broke; no entries


class ReportMode(Enum):
    """When servers tell their load."""

    INLINE = "inline"
    ON_PROBE = "on_probe"
    OFF = "off"


def _require_number(owner: str, name: str, value: float, low: float, high: float = math.inf) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        bound = f"at least {low:g}" if high == math.inf else f"between {low:g} and {high:g}"
        raise SettingsError(f"{owner}{name}: {value!r} is not a number {bound}")
    if value == math.inf:
        raise SettingsError(f"{owner}{name}: {value!r} is not finite")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests and what may be done with it."""

    aim_ms: float
    deadline_ms: float
    effect: Effect
    worth: float = 1.0
    late_worth: float = 0.0
    group: Group = Group.ALL
    memory_ms: float = 0.0
    streaming: bool = False
    aim_stretch: float = 0.0
    name: str = ""
    attempts: int = 0  # at the most, where the class has a bound of its own; 0: as the settings say

    def __post_init__(self) -> None:
        _require_number("class.", "aim_ms", self.aim_ms, 0.001)
        _require_number("class.", "deadline_ms", self.deadline_ms, 0.001)
        for name in ("worth", "late_worth", "memory_ms", "aim_stretch"):
            _require_number("class.", name, getattr(self, name), 0.0)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and the rate, over all copies together, that counts as within its share."""

    quota_per_s: float
    fraction: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _require_number("tenant.", "quota_per_s", self.quota_per_s, 0.0)
        _require_number("tenant.", "fraction", self.fraction, 0.0)


@dataclass(slots=True, frozen=True)
class Tuning:
    """What staff may set of how the decisions weigh; the defaults are those that were measured."""

    retry_ratio: float = 0.25  # further attempts earned by each request
    retry_cap: float = 8.0  # as many as may be saved up
    eject_odds: float = 0.05  # under which a run of failures is put down to the server
    eject_most: float = 0.5  # of the ready servers, that may be ejected at once
    # Times the usual latency of its class and size, from which an answer counts against its server.
    slow: float = 4.0
    queue_patience: float = 0.25  # of the aim, that a request may wait for a place
    queue_standing: float = 0.1  # the same, where requests have been waiting without a break
    # Of the multiple that topples a cold server, what is planned for; the rest is left to chance, heavy requests,
    # retries and copies with another view.
    cold_pace: float = 0.25


@dataclass(slots=True, frozen=True)
class Settings:
    """All that a copy is told at start. Every default is the cautious one."""

    classes: Sequence[RequestClass]
    tenants: Sequence[Tenant] = ()
    zones: int = 1
    my_zone: int = 0
    me: int = 0
    copies: int = 1
    tier: int = 0
    tiers: int = 1
    tick_ms: float = 1.0
    on_request_discovery: bool = False
    ask_within_ms: float = 10_000.0
    answer_slack_ms: float = 5.0
    cold_share: float = 0.1
    cold_ms: float = 30_000.0
    fall_multiple: float = 2.0
    fall_ms: float = 2_000.0
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    second_copies: bool = False
    conn_idle_ms: float = 60_000.0
    connect_timeout_ms: float = 250.0
    retry_advice: bool = False
    max_retry_after_ms: float = 0.0
    marks_retry: bool = False
    passes_deadline: bool = False
    report_mode: ReportMode = ReportMode.OFF
    # A load report's values in order: calls "running_and_waiting", those "waiting"; "" is not used.
    report_fields: Sequence[str] = ()
    over_share_worth: float = 1.0
    price_cross_zone: float = 0.0
    price_probe: float = 0.0
    price_waste: float = 0.0
    price_late_fail: float = 0.0
    tuning: Tuning = field(default_factory=Tuning)
    # A server is kept from calls for so long at the most: as long as a start takes, or as a request may. Derived.
    longest_ms: float = field(init=False, default=0.0)

    def __post_init__(self) -> None:
        if not self.classes:
            raise SettingsError("classes: the list is empty")
        low = {
            "copies": 1,
            "zones": 1,
            "tiers": 1,
            "max_attempts": 1,
            "fall_multiple": 0.001,
            "fall_ms": 0.001,
            "tick_ms": 0.001,
        }
        for item in fields(self):
            value = getattr(self, item.name)
            if (isinstance(value, int | float) and not isinstance(value, bool)) or item.type in (
                "int",
                "float",
            ):
                _require_number("", item.name, value, low.get(item.name, 0.0))
        _require_number("", "cold_share", self.cold_share, 0.0, 1.0)
        if self.my_zone >= self.zones:
            raise SettingsError(f"my_zone: {self.my_zone!r} is not below the number of zones, {self.zones}")
        longest = max(self.cold_ms, *(cls.deadline_ms for cls in self.classes))
        object.__setattr__(self, "longest_ms", longest)


# Numbers of zones and report values are places in these; the rest says who this copy is. Classes keep their places, to
# which more may be added.
FIXED_SETTINGS = (
    "zones my_zone me tier tiers tick_ms on_request_discovery may_probe report_mode report_fields".split()
)


def fixed_difference(old: Settings, new: Settings) -> str:
    """What two settings differ in that no balancer can change while it runs; empty if nothing."""
    fewer = "fewer classes" if len(new.classes) < len(old.classes) else ""
    return next((name for name in FIXED_SETTINGS if getattr(old, name) != getattr(new, name)), fewer)


# Events: what the caller tells the module.


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
    request: int


@dataclass(slots=True)
class TimerFired:
    cookie: int


@dataclass(slots=True)
class ProbeEnded:
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


# Actions: what the module asks the caller to do, in order.


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
    cookie: int
    delay_ms: float


@dataclass(slots=True)
class Probe:
    server: int


@dataclass(slots=True)
class CloseIdle:
    server: int


@dataclass(slots=True)
class SendToPeer:
    """`peer` of None reaches every peer."""

    peer: int | None
    payload: bytes = b""


@dataclass(slots=True)
class FetchList:
    pass


@dataclass(slots=True)
class WatchList:
    active: bool = field(default=True)


@dataclass(slots=True)
class Log:
    text: str


Action = (
    Send | Cancel | Refuse | Fail | SetTimer | Probe | CloseIdle | SendToPeer | FetchList | WatchList | Log
)
