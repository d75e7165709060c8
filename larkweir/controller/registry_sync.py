"""Pulls upstream records from all other controllers, and this controller's quota share from the primary."""

from __future__ import annotations

from collections.abc import Callable

from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import UpstreamState
from larkweir_registry.registry import Registry

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import Delta, Pull
from larkweir.controller.clock import now_ms
from larkweir.controller.quota_shares import QuotaShares


class RegistrySync:
    """The client side of the pulls between controllers; `PullService` is the server side."""

    def __init__(
        self,
        registry: Registry,
        failure_detector: FailureDetector,
        quota_shares: QuotaShares,
        on_update: Callable[[], None],
        on_departure: Callable[[], None],
    ) -> None:
        """Creates the client of one controller.

        Args:
            registry: the registry of this controller.
            failure_detector: the failure detector of this controller.
            quota_shares: the quota share of this controller.
            on_update: called when records were received, to inform the routers.
            on_departure: called when one of them says that an upstream is leaving or has left.
        """
        self._registry = registry
        self._quota_shares = quota_shares
        self._claimed_ms: dict[str, float] = {}  # by controller, when the last pull was sent
        self._failure_detector = failure_detector
        self._on_update = on_update
        self._on_departure = on_departure

    def begin(self, connection: Connection) -> None:
        """Sends the first pull on a connection that this controller has opened."""
        self._pull(connection, has_new_vector=True)

    def received(self, connection: Connection, delta: Delta) -> None:
        """Merges a delta into the registry, accepts an offered quota share, and sends the next pull."""
        present_ms = now_ms()
        changed = self._registry.merge(delta.records, delta.vector, present_ms)
        for upstream in changed:
            self._failure_detector.record_peer_heartbeats({upstream.id: upstream.sequence}, present_ms)
        if any(upstream.state is not UpstreamState.READY for upstream in changed):
            self._on_departure()
        if delta.records:
            self._on_update()
        if delta.quota_offer is not None and connection.node in self._claimed_ms:
            claimed_ms = self._claimed_ms[connection.node]
            self._quota_shares.accept(delta.quota_offer, claimed_ms, present_ms)
        self._pull(connection, has_new_vector=bool(delta.vector))

    def _pull(self, connection: Connection, *, has_new_vector: bool) -> None:
        present_ms = self._claimed_ms[connection.node] = now_ms()
        vector = dict(self._registry.vector) if has_new_vector else None
        connection.send(Pull(vector=vector, quota_claim=self._quota_shares.claim(present_ms)))
