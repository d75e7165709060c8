"""The settings of a balancer: request classes, tenants, tuning and the platform's settings.

Times are milliseconds. Settings are validated on construction: `SettingsError` names the key and the value.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from enum import Enum

from larkweir_balancing.errors import SettingsError


class Effect(Enum):
    """Whether a request may run twice."""

    SAFE = "safe"  # may be retried freely
    KEYED = "keyed"  # has an idempotency key: a group of servers drops duplicates for a limited time
    UNSAFE = "unsafe"  # must never run twice


class Group(Enum):
    """The servers among which duplicates of a keyed request are dropped."""

    ALL = "all"
    ZONE = "zone"
    CELL = "cell"


class ReportMode(Enum):
    """When servers report their load."""

    INLINE = "inline"  # with each answer
    ON_PROBE = "on_probe"  # in answer to a probe
    OFF = "off"


def _require_number(owner: str, name: str, value: float, low: float, high: float = math.inf) -> None:
    if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value <= high:
        bound = f"at least {low:g}" if high == math.inf else f"between {low:g} and {high:g}"
        raise SettingsError(f"{owner}{name}: {value!r} is not a number {bound}")
    if value == math.inf:
        raise SettingsError(f"{owner}{name}: {value!r} is not finite")


@dataclass(slots=True, frozen=True)
class RequestClass:
    """One class of requests: its latency target and deadline, its importance, and whether it may be retried.

    `aim_ms` is the latency target. `worth` is the value of an answer within it, relative to other classes; `late_worth`
    is that of a later answer, up to `deadline_ms`. `group` and `memory_ms` say which servers drop duplicates of a keyed
    request, and for how long.
    """

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
    attempts: int = 0  # the maximum for this class; 0: `Settings.max_attempts`

    def __post_init__(self) -> None:
        _require_number("class.", "aim_ms", self.aim_ms, 0.001)
        _require_number("class.", "deadline_ms", self.deadline_ms, 0.001)
        for name in ("worth", "late_worth", "memory_ms", "aim_stretch"):
            _require_number("class.", name, getattr(self, name), 0.0)


@dataclass(slots=True, frozen=True)
class Tenant:
    """A tenant and its share: requests per second over all replicas together; traffic beyond it is over its share."""

    quota_per_s: float
    fraction: float = 0.0
    name: str = ""

    def __post_init__(self) -> None:
        _require_number("tenant.", "quota_per_s", self.quota_per_s, 0.0)
        _require_number("tenant.", "fraction", self.fraction, 0.0)


@dataclass(slots=True, frozen=True)
class Tuning:
    """Parameters of the decisions that operators may set."""

    retry_ratio: float = 0.25  # retries that each request adds to the retry budget
    retry_cap: float = 8.0  # the most retries that the budget can save up
    eject_odds: float = 0.05  # a run of failures less probable than this is attributed to the server
    eject_most: float = 0.5  # the fraction of the ready servers that may be ejected at once
    # An answer that took longer than this multiple of the usual latency of its class and size counts as a failure.
    slow: float = 4.0
    # The fraction of the time in which its answer is still useful that a request may wait for a slot.
    queue_patience: float = 0.25
    queue_standing: float = 0.1  # the same while the queue has not been empty for some time
    # The planned load of a server in slow start, as a fraction of the load multiple that overloads it
    # (`fall_multiple`). The rest is a margin for chance, heavy requests, retries and replicas with a different view.
    cold_pace: float = 0.25


@dataclass(slots=True, frozen=True)
class Settings:
    """All settings of one replica. Every default is the cautious choice."""

    classes: Sequence[RequestClass]
    tenants: Sequence[Tenant] = ()
    zones: int = 1
    my_zone: int = 0
    me: int = 0
    balancer_count: int = 1
    tier: int = 0
    tiers: int = 1
    tick_ms: float = 1.0
    on_request_discovery: bool = False
    list_request_interval_ms: float = 10_000.0
    answer_slack_ms: float = 5.0
    cold_share: float = 0.1
    cold_ms: float = 30_000.0
    fall_multiple: float = 2.0
    fall_ms: float = 2_000.0
    max_attempts: int = 1
    may_cancel: bool = False
    may_probe: bool = False
    allows_hedging: bool = False
    conn_idle_ms: float = 60_000.0
    connect_timeout_ms: float = 250.0
    retry_advice: bool = False
    max_retry_after_ms: float = 0.0
    marks_retry: bool = False
    passes_deadline: bool = False
    report_mode: ReportMode = ReportMode.OFF
    # The meaning of a load report's values, in order: "running_and_waiting" or "waiting" calls; "" is ignored.
    report_fields: Sequence[str] = ()
    over_share_worth: float = 1.0
    price_cross_zone: float = 0.0
    price_probe: float = 0.0
    price_waste: float = 0.0
    price_late_fail: float = 0.0
    tuning: Tuning = field(default_factory=Tuning)
    # The longest time that a server gets no calls: `cold_ms` or the longest deadline. Derived.
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


# Settings that can't change while a balancer runs. Some of them define the indexes of zones and report values; the
# others identify this replica. Classes are not among them: they keep their index, and more may be added.
FIXED_SETTINGS = (
    "zones my_zone me tier tiers tick_ms on_request_discovery may_probe report_mode report_fields".split()
)


def fixed_difference(old: Settings, new: Settings) -> str:
    """The first difference that a running balancer can't apply; empty if there is none."""
    fewer = "fewer classes" if len(new.classes) < len(old.classes) else ""
    return next((name for name in FIXED_SETTINGS if getattr(old, name) != getattr(new, name)), fewer)
