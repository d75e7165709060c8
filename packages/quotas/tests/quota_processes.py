"""Parts of a simulated fleet: its configuration and the state of each router and controller."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from larkweir_quotas.limits import RateLimit, Tolerance
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.quota_requester import QuotaRequester
from larkweir_quotas.share_leases import LeaseTable, ShareHolder

TENANT = "t"
LIMIT = RateLimit(200_000.0, 720_000.0)  # tokens; the limit in force when the fault was seen
TICK_MS = 40.0
LEADER_LEASE_MS = 320.0
LEADER_LEASE_MARGIN_MS = 40.0
ELECTION_MS = (100.0, 800.0)
MAX_LIMITS_MS = 300.0  # until a started controller has the configuration
MAX_RECONNECT_MS = 600.0  # until a router connects to a started controller
SILENCE_TIMEOUT_MS = 1_000.0  # after which either end closes the connection
QUERY_TIMEOUT_MS = 120.0
SHARE_WAIT_MS = 300.0
MAX_LATENCY_MS = 3.0
LATE_FRACTION = 0.003  # of answers that arrive after the timeout of their query
MIN_REPORTING_MS = 2_000.0
ROUTER_COUNT_RETENTION_MS = 10_000.0  # for which a router keeps the highest router count reported to it
DISCONNECTED_MS = 600_000.0  # for which a disconnected router counts as isolated


@dataclass(frozen=True)
class FleetConfig:
    """The size of a fleet, its message timing, and the limit of its tenants."""

    routers: int = 195
    controllers: int = 5
    limit: RateLimit = LIMIT
    report_ms: float = 390.0
    min_tokens: float = 1_500.0
    max_tokens: float = 17_000.0
    window_ms: float = 8_000.0
    over: float = 0.1
    slack: float = 190_000.0
    tenants: int = 1  # each of them has the limit `limit`

    @property
    def tolerance(self) -> Tolerance:
        return Tolerance(self.window_ms / 1_000.0, self.over, self.slack)

    @property
    def allowed(self) -> float:
        """Return the number of tokens that may be admitted within any window."""
        used = self.limit.rate_per_s * self.window_ms / 1_000.0 + self.limit.burst
        return used * (1.0 + self.over) + self.slack


@dataclass(frozen=True)
class Request:
    """A client's request."""

    tenant: str
    tokens: float
    is_retry: bool


@dataclass
class Router:
    """A router process."""

    requester: QuotaRequester
    started_ms: float
    pending: dict[int, Request] = field(default_factory=dict)
    max_count: int = 1
    max_count_ms: float = 0.0
    first_count_ms: float | None = None
    is_frozen: bool = False
    unread: list[Callable[[], None]] = field(
        default_factory=list
    )  # messages that arrive while the router is frozen

    def learn_count(self, routers: int, now_ms: float, *, may_lower: bool) -> None:
        """Use the highest recent count, as real routers do, once all controllers had time to report theirs."""
        if self.first_count_ms is None:
            self.first_count_ms = now_ms
        is_outdated = may_lower and now_ms >= self.max_count_ms + ROUTER_COUNT_RETENTION_MS
        if routers >= self.max_count or is_outdated:
            self.max_count, self.max_count_ms = max(1, routers), now_ms
        if now_ms >= self.first_count_ms + MIN_REPORTING_MS:
            self.requester.process_count = self.max_count

    @property
    def is_reliable(self) -> bool:
        return self.requester.process_count > 0


@dataclass
class Controller:
    """A controller process."""

    started_ms: float
    allocator: QuotaAllocator
    holder: ShareHolder = field(default_factory=ShareHolder)
    lease_table: LeaseTable | None = None
    has_limits: bool = False
    is_frozen: bool = False
    is_behind: bool = False  # it has an older configuration
    majority_ms: float = float("-inf")  # when a majority last renewed its lease as primary
    expected_routers: int = 0
    connected: dict[int, float] = field(
        default_factory=dict
    )  # by router: when the router last received from the controller
    lost_ms: dict[int, float] = field(default_factory=dict)  # by router: when its connection was lost
