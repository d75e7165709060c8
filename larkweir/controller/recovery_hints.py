"""What a controller leaves on disk to be back sooner: upstreams and placements. Losing it loses no promise."""

from __future__ import annotations

from larkweir_registry import memory as registry_memory
from larkweir_registry.registry import Registry

from larkweir.controller.prefix_placement import PromptPlacement
from larkweir.controller.replica_driver import ReplicaDriver

UPSTREAMS = "upstreams.hint"
PLACEMENTS = "placements.hint"


class Hints:
    """Reads what an earlier life left, and writes what has changed since."""

    def __init__(
        self, driver: ReplicaDriver, registry: Registry, placement: PromptPlacement, now_ms: float
    ) -> None:
        """Takes what is on disk into the registry and the placement."""
        self._driver = driver
        self._registry = registry
        self._placement = placement
        upstreams = driver.read_hint(UPSTREAMS)
        if upstreams is not None:
            registry_memory.restore(registry, upstreams, now_ms)
        placements = driver.read_hint(PLACEMENTS)
        if placements is not None:
            placement.restore(placements)
        self._vector = dict(registry.vector)
        self._changes = placement.changes

    def write_upstreams(self) -> None:
        """Where any has changed."""
        if self._registry.vector != self._vector:
            self._vector = dict(self._registry.vector)
            self._driver.write_hint(UPSTREAMS, registry_memory.encode(self._registry))

    def write_placements(self) -> None:
        """Where any has changed."""
        if self._placement.changes != self._changes:
            self._changes = self._placement.changes
            self._driver.write_hint(PLACEMENTS, self._placement.encode())
