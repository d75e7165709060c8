"""Whose heartbeats have stopped: judged by a controller that would know of others who hear them."""

from __future__ import annotations

from collections.abc import Iterable

import msgspec
from larkweir_registry.liveness import Liveness
from larkweir_registry.records import State, Upstream
from larkweir_registry.registry import Registry

from larkweir.cluster import log
from larkweir.cluster.links import Link
from larkweir.cluster.messages import Heard
from larkweir.controller.pull_service import PullService


class HeartbeatMonitor:
    """Tells the other controllers what is heard here, and marks upstreams that nobody hears."""

    def __init__(self, registry: Registry, liveness: Liveness, pulls: PullService) -> None:
        """All three are the controller's own."""
        self._registry = registry
        self._liveness = liveness
        self._pulls = pulls

    def share(self, links: Iterable[Link]) -> None:
        """Tells what was heard since the last call."""
        report = self._liveness.take_report()
        if report:
            for link in links:
                link.send(Heard(report))

    def evaluate(self, now_ms: float, *, connected: bool) -> None:
        """`connected`: a majority of controllers can be heard; without it silence proves nothing."""
        if not connected:
            self._liveness.blinded(now_ms)
            return
        watched = [
            upstream.id
            for upstream in self._registry.upstreams.values()
            if upstream.state is not State.GONE and not upstream.silent
        ]
        for id_ in self._liveness.silent(watched, now_ms):
            self._mark_silent(self._registry.upstreams[id_], now_ms)

    def _mark_silent(self, upstream: Upstream, now_ms: float) -> None:
        sequence = max(upstream.sequence, self._liveness.sequence(upstream.id))
        log.event("upstream_silent", id=upstream.id, sequence=sequence)
        silent = msgspec.structs.replace(upstream, sequence=sequence, lapsed=sequence)
        if self._registry.note(silent, now_ms):
            self._pulls.wake()
