"""Detection of upstreams whose heartbeats have stopped, from the heartbeats that all controllers receive."""

from __future__ import annotations

from collections.abc import Callable

import msgspec
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams

from larkweir.cluster import log
from larkweir.cluster.messages import HeartbeatReport
from larkweir.controller.clock import now_ms
from larkweir.controller.controller_links import ControllerLinks
from larkweir.controller.quorum_contact import QuorumContact


class HeartbeatMonitor:
    """Shares received heartbeats with the other controllers and marks upstreams from which no controller gets any."""

    def __init__(
        self,
        registry: Registry,
        failure_detector: FailureDetector,
        unconfirmed: UnconfirmedUpstreams,
        links: ControllerLinks,
        contact: QuorumContact,
        on_update: Callable[[], None],
    ) -> None:
        """`on_update` is called after an upstream has timed out, so that routers are informed."""
        self._registry = registry
        self._failure_detector = failure_detector
        self._unconfirmed = unconfirmed
        self._links = links
        self._contact = contact
        self._on_update = on_update

    def share(self) -> None:
        """Sends the other controllers the heartbeats that this controller received since the last call."""
        sequences = self._failure_detector.take_report()
        if sequences:
            self._links.broadcast(HeartbeatReport(sequences))

    def evaluate(self) -> None:
        """Marks upstreams that have timed out.

        Without contact with a majority of the controllers, missing heartbeats prove nothing and observation restarts.
        """
        present_ms = now_ms()
        if not self._contact.was_connected:
            self._failure_detector.reset_observation(present_ms)
            return
        watched = [
            upstream.id
            for upstream in self._registry.upstreams.values()
            if upstream.state is not UpstreamState.GONE and not upstream.has_timed_out
        ]
        for id_ in self._failure_detector.timed_out(watched, present_ms):
            self._mark_timed_out(self._registry.upstreams[id_], present_ms)
        for upstream in self._unconfirmed.take_timed_out(present_ms):
            self._mark_timed_out(upstream, present_ms)

    def _mark_timed_out(self, upstream: Upstream, present_ms: float) -> None:
        sequence = max(upstream.sequence, self._failure_detector.last_sequence(upstream.id))
        log.event("upstream_timed_out", id=upstream.id, sequence=sequence)
        timed_out = msgspec.structs.replace(upstream, sequence=sequence, timed_out_sequence=sequence)
        if self._registry.update(timed_out, present_ms):
            self._on_update()
