"""What a balancer is configured with: classes of requests, tenants, tuning and the platform's settings.

Times are milliseconds. Settings are checked when they are made: `SettingsError` names the key and the value.
"""

from __future__ import annotations

import math
from collections.abc import Sequence
from dataclasses import dataclass, field, fields
from enum import Enum

from larkweir_balancing.errors import SettingsError


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
