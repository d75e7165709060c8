"""What all requests of a router share: the configuration, the upstreams and their selectors, limits, connections."""

from __future__ import annotations

from collections.abc import Callable
from random import Random
from typing import Protocol

from larkweir_balancing.fleet_outlier_detection import OutcomeWindow
from larkweir_balancing.token_list import UpstreamStatus
from larkweir_balancing.upstream_selection import UpstreamSelector
from larkweir_quotas.quota_limiter import QuotaLimiter
from larkweir_quotas.retry_budget import RetryBudget
from larkweir_registry.records import Upstream, UpstreamState

from larkweir.cluster.settings import Bounds
from larkweir.router.answers import ErrorKind
from larkweir.router.configuration import ConfigurationStore
from larkweir.router.prefix_affinity import PrefixAffinity
from larkweir.router.upstream_pool import UpstreamPool


class OpenConnection(Protocol):
    """A client's connection, as the router's shutdown sees it."""

    def close_if_idle(self) -> None:
        """Close it unless a request is under way."""

    def abort(self) -> None:
        """Close it whatever is under way."""


class DataPlane:
    """The state that exchanges use; changed only between their steps, by the one event loop."""

    def __init__(self, bounds: Bounds, rng: Random, link_mbps: float = 1_000.0) -> None:
        """Knows nothing yet. `link_mbps`: of this router's link."""
        self._bounds = bounds
        self.rng = rng
        self.configuration = ConfigurationStore()
        self.quotas = QuotaLimiter()
        self.pool = UpstreamPool()
        self.prefix_affinity = PrefixAffinity(link_mbps)
        self.outcomes = OutcomeWindow()
        self.connections: set[OpenConnection] = set()
        self.announce_waiting: Callable[[], None] = lambda: None  # tells controllers of a long prompt at once
        self.stopping = False
        self.error_counts: dict[ErrorKind, int] = dict.fromkeys(ErrorKind, 0)
        self._router_count = 1
        self._selectors: dict[str, UpstreamSelector] = {}
        self._retries: dict[str, RetryBudget] = {}
        self._upstreams: dict[str, Upstream] = {}
        self._ejected: set[str] = set()

    def count_error(self, kind: ErrorKind) -> None:
        """An answer of the router's own."""
        self.error_counts[kind] += 1

    def is_engine(self, service: str) -> bool:
        """Whether its upstreams are model engines."""
        table = self.configuration.table
        known = table.services.get(service) if table is not None else None
        return known is not None and known.engine is not None

    def selector(self, service: str) -> UpstreamSelector:
        """Of that service."""
        selector = self._selectors.get(service)
        if selector is None:
            selector = self._selectors[service] = UpstreamSelector(
                self.rng, is_engine=self.is_engine(service), has_idle_connection=self._has_idle_connection
            )
            self._list(service, 0.0)
            selector.set_ejected(self._ejected)
        return selector

    def retry_budget(self, service: str) -> RetryBudget:
        """Of that service."""
        budget = self._retries.get(service)
        if budget is None:
            bounds = self._bounds
            budget = RetryBudget(bounds.retry_budget_ratio, bounds.retry_budget_slack, bounds.budget_window_s)
            budget.process_count = self._router_count
            self._retries[service] = budget
        return budget

    def set_router_count(self, routers: int) -> None:
        """How many routers there are, this one included."""
        self._router_count = self.quotas.process_count = routers
        for budget in self._retries.values():
            budget.process_count = routers

    def address(self, instance: str) -> str:
        """Where that upstream listens."""
        return self._upstreams[instance].address

    @property
    def has_upstreams(self) -> bool:
        """Whether any is ready."""
        return any(upstream.state is UpstreamState.READY for upstream in self._upstreams.values())

    def _has_idle_connection(self, instance: str) -> bool:
        upstream = self._upstreams.get(instance)
        return upstream is not None and self.pool.has_idle(upstream.address)

    def waiting(self) -> dict[str, int]:
        """By engine, the prompt tokens of calls that wait there for their first event."""
        found: dict[str, int] = {}
        for selector in self._selectors.values():
            found.update(selector.own_prefill_backlog())
        return found

    def peers_waiting(self, tokens: dict[str, float]) -> None:
        """The same of all other routers together, as last told."""
        for selector in self._selectors.values():
            selector.set_peer_prefill_backlog(tokens)

    def eject(self, upstreams: set[str]) -> None:
        """These are left out from now on, as far as others are left."""
        self._ejected = upstreams
        for selector in self._selectors.values():
            selector.set_ejected(upstreams)

    def update_upstreams(self, changed: list[Upstream], now_ms: float) -> None:
        """What the registry says of these is new."""
        services = set()
        for upstream in changed:
            before = self._upstreams.get(upstream.id)
            services.add(upstream.service or (before.service if before else ""))
            if upstream.state is UpstreamState.GONE:
                self._upstreams.pop(upstream.id, None)
                if before is not None:
                    self.pool.drop(before.address)
            else:
                self._upstreams[upstream.id] = upstream
        for service in services:
            if service in self._selectors:
                self._list(service, now_ms)

    def _list(self, service: str, now_ms: float) -> None:
        listed = {
            upstream.id: UpstreamStatus(upstream.state is UpstreamState.READY, upstream.has_timed_out)
            for upstream in self._upstreams.values()
            if upstream.service == service
        }
        self._selectors[service].update(listed, now_ms)
