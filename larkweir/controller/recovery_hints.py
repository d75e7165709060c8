"""Upstreams and prefix placements on disk, for a faster recovery of a controller. Losing them breaks no guarantee."""

from __future__ import annotations

from larkweir_registry import hint_file
from larkweir_registry.registry import Registry

from larkweir.controller.clock import now_ms
from larkweir.controller.disk_writer import DiskWriter
from larkweir.controller.prefix_placement import PrefixPlacement

UPSTREAMS_FILE = "upstreams.hint"
PLACEMENTS_FILE = "placements.hint"
PLACEMENTS_EVERY_TICKS = 25
PLACEMENTS_PER_TICK = 100  # each write is a complete file, so the period grows with the placements


class RecoveryHints:
    """Restores the hints of an earlier incarnation, and writes them again after changes.

    Attributes:
        has_upstreams: whether the upstreams of an earlier incarnation were restored; if not, the controller requests
            the routers' records.
    """

    def __init__(self, disk: DiskWriter, registry: Registry, placement: PrefixPlacement) -> None:
        """Restores the registry and the placements from disk. Damaged files are ignored."""
        self._disk = disk
        self._registry = registry
        self._placement = placement
        upstreams = disk.read_hint(UPSTREAMS_FILE)
        self.has_upstreams = upstreams is not None and hint_file.restore(registry, upstreams, now_ms())
        placements = disk.read_hint(PLACEMENTS_FILE)
        if placements is not None:
            placement.restore(placements)
        self._written_vector = dict(registry.vector)
        self._written_revision = placement.revision

    def write_upstreams(self) -> None:
        """Queues a write of the upstreams file if any upstream has changed."""
        if self._registry.vector != self._written_vector:
            self._written_vector = dict(self._registry.vector)
            self._disk.write_hint(UPSTREAMS_FILE, hint_file.encode(self._registry))

    def placements_period_ticks(self) -> int:
        """Returns the number of ticks between two calls of `write_placements`."""
        return max(PLACEMENTS_EVERY_TICKS, len(self._placement) // PLACEMENTS_PER_TICK)

    def write_placements(self) -> None:
        """Queues a write of the placements file if any placement has changed."""
        if self._placement.revision != self._written_revision:
            self._written_revision = self._placement.revision
            self._disk.write_hint(PLACEMENTS_FILE, self._placement.encode())
