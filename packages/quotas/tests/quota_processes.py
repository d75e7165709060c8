"""A simulated fleet's parts: its config, and what each router and controller keeps."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, field

from larkweir_quotas.limits import RateLimit, Tolerance
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.quota_requester import QuotaRequester
from larkweir_quotas.share_leases import LeaseTable, ShareHolder

TENANT = "t"
LIMIT = RateLimit(200_000.0, 720_000.0)  # tokens, as on the day on which the fault was seen
TICK_MS = 40.0
LEADER_LEASE_MS = 320.0
LEADER_LEASE_MARGIN_MS = 40.0
ELECTION_MS = (100.0, 800.0)
MAX_LIMITS_MS = 300.0  # after a controller's return, until it knows the configuration
MAX_RECONNECT_MS = 600.0  # after a controller's return, until a router reaches it
SILENCE_MS = 1_000.0  # after which either end gives up a connection
QUERY_TIMEOUT_MS = 120.0
SHARE_WAIT_MS = 300.0
MAX_LATENCY_MS = 3.0
LATE_FRACTION = 0.003  # of answers that come after their request has given up waiting
MIN_REPORTING_MS = 2_000.0
ROUTER_COUNT_RETENTION_MS = 10_000.0  # as routers believe in the highest count that they were told
DISCONNECTED_MS = 600_000.0  # for so long a router that was lost counts as isolated


@dataclass(frozen=True)
class FleetConfig:
    """A fleet and the limit of its tenants."""

    routers: int = 195
    controllers: int = 5
    limit: RateLimit = LIMIT
    report_ms: float = 390.0
    min_tokens: float = 1_500.0
    max_tokens: float = 17_000.0
    window_ms: float = 8_000.0
    over: float = 0.1
    slack: float = 190_000.0
    tenants: int = 1  # each with that limit

    @property
    def tolerance(self) -> Tolerance:
        return Tolerance(self.window_ms / 1_000.0, self.over, self.slack)

    @property
    def allowed(self) -> float:
        """The most that may be admitted within any window."""
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
    unread: list[Callable[[], None]] = field(default_factory=list)  # what reaches it while it is frozen

    def learn_count(self, routers: int, now_ms: float, *, may_lower: bool) -> None:
        """Believe the highest count of late, once it has settled, as the fleet's routers do."""
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
    is_behind: bool = False  # with an older configuration
    majority_ms: float = float("-inf")  # when a majority renewed its lease as the primary
    expected_routers: int = 0
    connected: dict[int, float] = field(default_factory=dict)  # by router: when it was last received from
    lost_ms: dict[int, float] = field(default_factory=dict)  # by router
