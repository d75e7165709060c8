"""Keeps the registry of upstreams in step with those of the other controllers: each pulls from every other one."""

from __future__ import annotations

from collections.abc import Callable

from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.registry import Registry

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import Delta, Pull
from larkweir.controller.clock import now_ms


class RegistrySync:
    """The pulling side; `PullService` is the other one."""

    def __init__(
        self, registry: Registry, failure_detector: FailureDetector, on_update: Callable[[], None]
    ) -> None:
        """`on_update` is called when records were received, so that routers are informed."""
        self._registry = registry
        self._failure_detector = failure_detector
        self._on_update = on_update

    def begin(self, connection: Connection) -> None:
        """Sends the first pull of a connection that this controller has dialled."""
        connection.send(Pull(vector=dict(self._registry.vector)))

    def received(self, connection: Connection, delta: Delta) -> None:
        """Merges what this registry lacked, and pulls again."""
        present_ms = now_ms()
        for upstream in self._registry.merge(delta.records, delta.vector, present_ms):
            self._failure_detector.record_peer_heartbeats({upstream.id: upstream.sequence}, present_ms)
        if delta.records:
            self._on_update()
        connection.send(Pull(vector=dict(self._registry.vector) if delta.vector else None))
