"""What a controller leaves on disk to be back sooner: upstreams and placements. Losing it loses no promise."""

from __future__ import annotations

from larkweir_registry import memory as registry_memory
from larkweir_registry.registry import Registry

from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.replica_driver import ReplicaDriver

UPSTREAMS_FILE = "upstreams.hint"
PLACEMENTS_FILE = "placements.hint"


class RecoveryHints:
    """Reads what an earlier life left, and writes what has changed since."""

    def __init__(
        self, driver: ReplicaDriver, registry: Registry, placement: PrefixPlacement, now_ms: float
    ) -> None:
        """Takes what is on disk into the registry and the placement."""
        self._driver = driver
        self._registry = registry
        self._placement = placement
        upstreams = driver.read_hint(UPSTREAMS_FILE)
        if upstreams is not None:
            registry_memory.restore(registry, upstreams, now_ms)
        placements = driver.read_hint(PLACEMENTS_FILE)
        if placements is not None:
            placement.restore(placements)
        self._written_vector = dict(registry.vector)
        self._written_revision = placement.revision

    def write_upstreams(self) -> None:
        """Where any has changed."""
        if self._registry.vector != self._written_vector:
            self._written_vector = dict(self._registry.vector)
            self._driver.write_hint(UPSTREAMS_FILE, registry_memory.encode(self._registry))

    def write_placements(self) -> None:
        """Where any has changed."""
        if self._placement.revision != self._written_revision:
            self._written_revision = self._placement.revision
            self._driver.write_hint(PLACEMENTS_FILE, self._placement.encode())
