"""Prefix placements on disk, for a faster recovery of a controller. Losing them breaks no guarantee."""

from __future__ import annotations

from larkweir.controller.disk_writer import DiskWriter
from larkweir.controller.prefix_placement import PrefixPlacement

PLACEMENTS_FILE = "placements.hint"
PLACEMENTS_EVERY_TICKS = 25
PLACEMENTS_PER_TICK = 100  # each write is a complete file, so the period grows with the placements


class RecoveryHints:
    """Restores the placements of an earlier incarnation, and writes them again after changes."""

    def __init__(self, disk: DiskWriter, placement: PrefixPlacement) -> None:
        """Restores the placements from disk. A damaged file is ignored."""
        self._disk = disk
        self._placement = placement
        placements = disk.read_file(PLACEMENTS_FILE)
        if placements is not None:
            placement.restore(placements)
        self._written_revision = placement.revision

    def placements_period_ticks(self) -> int:
        """Returns the number of ticks between two calls of `write_placements`."""
        return max(PLACEMENTS_EVERY_TICKS, len(self._placement) // PLACEMENTS_PER_TICK)

    def write_placements(self) -> None:
        """Queues a write of the placements file if any placement has changed."""
        if self._placement.revision != self._written_revision:
            self._written_revision = self._placement.revision
            self._disk.replace_file(PLACEMENTS_FILE, self._placement.encode())
