"""Outlier ejection: excludes upstreams at which the calls of many routers fail."""

from __future__ import annotations

from collections.abc import Sequence

from larkweir_balancing.fleet_outlier_detection import FleetOutlierDetector, sum_outcomes
from larkweir_registry.registry import Registry

from larkweir.cluster import log
from larkweir.controller.subscriptions import Subscriptions


class UpstreamEjection:
    """Ejects upstreams based on the outcome counts that all connected routers have reported."""

    def __init__(self, registry: Registry, subscriptions: Subscriptions) -> None:
        """Both arguments belong to this controller."""
        self._registry = registry
        self._subscriptions = subscriptions
        self._ejections = FleetOutlierDetector()

    @property
    def ejected(self) -> frozenset[str]:
        """The ejected upstreams. Routers exclude them while other upstreams are left."""
        return self._ejections.ejected

    def evaluate(self, now_ms: float) -> bool:
        """Ejects and reinstates upstreams; returns whether any has changed. Must be called several times a second."""
        outcome_counts = sum_outcomes(
            subscriber.outcome_counts for subscriber in self._subscriptions if subscriber.outcome_counts
        )
        services = self._registry.ready_ids_by_service().values()
        has_changed = self._ejections.evaluate(services, outcome_counts, now_ms)
        if has_changed:
            log.event("ejected", upstreams=sorted(self.ejected))
        return has_changed

    def without_ejected(self, upstreams: Sequence[str]) -> Sequence[str]:
        """Returns the upstreams that are not ejected, or all of them if all are ejected."""
        if not self.ejected:
            return upstreams
        return [id_ for id_ in upstreams if id_ not in self.ejected] or upstreams
