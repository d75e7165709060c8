"""What a controller leaves on disk to recover sooner: upstreams and placed prefixes. Losing it breaks no guarantee."""

from __future__ import annotations

from larkweir_registry import hint_file
from larkweir_registry.registry import Registry

from larkweir.controller.clock import now_ms
from larkweir.controller.disk_writer import DiskWriter
from larkweir.controller.prefix_placement import PrefixPlacement

UPSTREAMS_FILE = "upstreams.hint"
PLACEMENTS_FILE = "placements.hint"
PLACEMENTS_EVERY_TICKS = 25
PLACEMENTS_PER_TICK = 100  # the file is written completely: the more placements, the less often


class RecoveryHints:
    """Reads what an earlier incarnation left, and writes what has changed since.

    Attributes:
        has_upstreams: an earlier incarnation left its upstreams; without them routers are asked for theirs.
    """

    def __init__(self, disk: DiskWriter, registry: Registry, placement: PrefixPlacement) -> None:
        """Restores the registry and the placement from disk; damaged files are ignored."""
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
        """Queues the file of upstreams where any has changed."""
        if self._registry.vector != self._written_vector:
            self._written_vector = dict(self._registry.vector)
            self._disk.write_hint(UPSTREAMS_FILE, hint_file.encode(self._registry))

    def placements_period_ticks(self) -> int:
        """Ticks from one call of `write_placements` to the next."""
        return max(PLACEMENTS_EVERY_TICKS, len(self._placement) // PLACEMENTS_PER_TICK)

    def write_placements(self) -> None:
        """Queues the file of placements where any has changed."""
        if self._placement.revision != self._written_revision:
            self._written_revision = self._placement.revision
            self._disk.write_hint(PLACEMENTS_FILE, self._placement.encode())
