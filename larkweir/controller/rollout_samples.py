"""The routers' reports on the running roll-outs, in one pool of samples for each service."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from larkweir_rollouts.pooling import PooledSamples
from larkweir_rollouts.samples import RolloutReport
from larkweir_rollouts.state import Rollout


class RolloutSamples:
    """Collects the reports of the routers' pulls for `RolloutDriver`. A router is named by its node and incarnation."""

    def __init__(self) -> None:
        """Starts without running roll-outs."""
        self._pools: dict[str, PooledSamples] = {}  # by service
        self._reports: dict[str, dict[str, RolloutReport]] = {}  # the latest, by connected router and service

    def update(self, rollouts: Iterable[Rollout]) -> None:
        """Updates the pools after a commit of a configuration with these roll-outs: each running order has one pool.

        A router may have learned of an order from another controller and reported on it already. Routers don't repeat
        unchanged reports, so the latest report of each router is added to a new pool.
        """
        running = {rollout.service: rollout for rollout in rollouts if rollout.is_running}
        self._pools = {service: pool for service, pool in self._pools.items() if service in running}
        for service, rollout in running.items():
            pool = self._pools.setdefault(service, PooledSamples())
            if pool.order_id == rollout.order_id:
                continue
            pool.begin(rollout.order_id)
            for router, reports in self._reports.items():
                if service in reports:
                    pool.record(router, reports[service])

    def report(self, router: str, reports: Mapping[str, RolloutReport]) -> None:
        """Records the reports in a router's pull, by service. Services without a report are unchanged."""
        if not reports:
            return
        self._reports.setdefault(router, {}).update(reports)
        for service, report in reports.items():
            if service in self._pools:
                self._pools[service].record(router, report)

    def disconnected(self, router: str) -> None:
        """Forgets the in-flight requests of a router whose connection was lost; its finished requests stay counted."""
        self._reports.pop(router, None)
        for pool in self._pools.values():
            pool.disconnected(router)

    def pool(self, service: str) -> PooledSamples | None:
        """Returns the pool of the service's running roll-out; None if none is running."""
        return self._pools.get(service)
