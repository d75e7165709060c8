"""What the routers have seen of the running roll-outs: one pool of samples for each service."""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from larkweir_rollouts.pooling import PooledSamples
from larkweir_rollouts.samples import RolloutReport
from larkweir_rollouts.state import Rollout


class RolloutSamples:
    """Fed by the routers' pulls, read by `RolloutDriver`. A router is named by its node and incarnation."""

    def __init__(self) -> None:
        """No roll-out is running."""
        self._pools: dict[str, PooledSamples] = {}  # by service
        self._reports: dict[str, dict[str, RolloutReport]] = {}  # by connected router and service: the latest

    def update(self, rollouts: Iterable[Rollout]) -> None:
        """A configuration with these roll-outs was committed: pools begin with an order and end with it.

        A router may have learned of an order from another controller and reported on it already. It does not repeat
        what has not changed, so that its latest report is counted now.
        """
        running = {one.service: one for one in rollouts if one.is_running}
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
        """What a router's pull says, by service; a service that is left out is as in the pull before."""
        if not reports:
            return
        self._reports.setdefault(router, {}).update(reports)
        for service, report in reports.items():
            if service in self._pools:
                self._pools[service].record(router, report)

    def disconnected(self, router: str) -> None:
        """Its connection was lost: what it has seen stays, what is under way there is not known."""
        self._reports.pop(router, None)
        for pool in self._pools.values():
            pool.disconnected(router)

    def pool(self, service: str) -> PooledSamples | None:
        """Of the running roll-out of the service; None where none is running."""
        return self._pools.get(service)
