"""The state that all requests of a router share. Each part of it has exactly one owner."""

from __future__ import annotations

from collections.abc import Callable, Mapping
from random import Random
from typing import Protocol

from larkweir_balancing.fleet_outlier_detection import OutcomeWindow
from larkweir_quotas.limits import Tolerance
from larkweir_rollouts.state import Rollout

from larkweir.cluster.settings import Bounds
from larkweir.router.answers import ErrorKind
from larkweir.router.configuration import ConfigurationStore
from larkweir.router.prefix_affinity import PrefixAffinity
from larkweir.router.quota_admission import QuotaAdmission
from larkweir.router.retry_budgets import RetryBudgets
from larkweir.router.rollout_samples import RolloutSamples
from larkweir.router.upstream_directory import UpstreamDirectory
from larkweir.router.upstream_pool import UpstreamPool


class OpenConnection(Protocol):
    """The methods of a client's connection that the shutdown of the router uses."""

    def close_if_idle(self) -> None:
        """Close the connection unless a request is in progress."""

    def abort(self) -> None:
        """Close the connection, even if a request is in progress."""


class DataPlane:
    """The state that exchanges use. All exchanges run in one event loop: it changes only between their steps."""

    def __init__(self, bounds: Bounds, rng: Random, link_mbps: float = 1_000.0) -> None:
        """Create the state, without a configuration or upstreams.

        Args:
            bounds: the deployment's bounds.
            rng: the generator for all random draws of the request path.
            link_mbps: the bandwidth of this router's network link, in megabits per second.
        """
        self.rng = rng
        self.configuration = ConfigurationStore()
        tolerance = Tolerance(bounds.quota_window_s, bounds.quota_over, bounds.quota_slack)
        self.quotas = QuotaAdmission(tolerance, rng, link_mbps)
        self.retry_budgets = RetryBudgets(bounds)
        self.pool = UpstreamPool()
        self.upstreams = UpstreamDirectory(
            rng,
            self.is_engine,
            lambda address: self.pool.has_idle(address),
            lambda address: self.pool.drop(address),
        )
        self.prefix_affinity = PrefixAffinity(link_mbps)
        self.outcomes = OutcomeWindow()
        self.rollout_samples = RolloutSamples()
        self._had_configuration = False  # whether the last call of `apply_rollouts` found a configuration
        self.connections: set[OpenConnection] = set()
        self.stopping = False
        self.error_counts: dict[ErrorKind, int] = dict.fromkeys(ErrorKind, 0)
        # Notifies the controllers of a long prompt at once. `FleetSync` sets it.
        self.announce_backlog: Callable[[], None] = lambda: None

    def is_engine(self, service: str) -> bool:
        """Whether the upstreams of `service` are model engines."""
        table = self.configuration.table
        known = table.services.get(service) if table is not None else None
        return known is not None and known.engine is not None

    def apply_rollouts(self, now_ms: float) -> list[Rollout]:
        """Apply the roll-outs of the current configuration; returns those that are new or have changed their state."""
        table = self.configuration.table
        rollouts = table.rollouts if table is not None else {}
        had_configuration, self._had_configuration = self._had_configuration, table is not None
        before = self.upstreams.rollouts
        if rollouts == before:
            return []
        self.upstreams.set_rollouts(rollouts, now_ms, had_configuration=had_configuration)
        self.rollout_samples.set_rollouts(rollouts)
        return [rollout for rollout in rollouts.values() if _has_new_state(rollout, before)]

    def count_error(self, kind: ErrorKind) -> None:
        """Count an error response of the router's own."""
        self.error_counts[kind] += 1

    def set_router_count(self, routers: int, *, is_reliable: bool) -> None:
        """Set how many routers, including this one, share quotas and retry budgets.

        `is_reliable`: whether the number may be relied on.
        """
        self.quotas.set_process_count(routers, is_reliable=is_reliable)
        self.retry_budgets.set_router_count(routers)


def _has_new_state(rollout: Rollout, before: Mapping[str, Rollout]) -> bool:
    known = before.get(rollout.service)
    return known is None or (known.order_id, known.state) != (rollout.order_id, rollout.state)
