"""The registry's upstreams on disk, so that a departure that was acknowledged outlasts a kill of all processes."""

from __future__ import annotations

from collections.abc import Callable
from functools import partial

from larkweir_registry import hint_file
from larkweir_registry.records import Version, VersionVector
from larkweir_registry.registry import Registry

from larkweir.cluster import log
from larkweir.controller.clock import now_ms
from larkweir.controller.disk_writer import DiskWriter

UPSTREAMS_FILE = "upstreams.hint"
RETRY_DELAY_MS = 500.0  # after the disk has refused a write


class UpstreamStore:
    """Restores the upstreams of an earlier incarnation, and writes all of them again after changes.

    Attributes:
        has_upstreams: whether the upstreams of an earlier incarnation were restored; if not, the controller requests
            the routers' records.
        durable_vector: the version vector of the records on disk.
    """

    def __init__(self, disk: DiskWriter, registry: Registry, on_durable: Callable[[], None]) -> None:
        """Restores the registry from disk. A damaged file is ignored.

        Args:
            disk: the disk of the controller.
            registry: the registry of the same controller.
            on_durable: called when `durable_vector` has changed.
        """
        self._disk = disk
        self._registry = registry
        self._on_durable = on_durable
        upstreams = disk.read_file(UPSTREAMS_FILE)
        self.has_upstreams = upstreams is not None and hint_file.restore(registry, upstreams, now_ms())
        self.durable_vector: VersionVector = dict(registry.vector)
        self._is_writing = False
        self._has_failed = False  # the last write that ended has failed
        self._retry_ms = 0.0

    def write(self) -> None:
        """Begins a write of all upstreams if any has changed. Must be called several times a second.

        While a write is in progress, later changes wait for its end, so that they are written together.
        """
        is_retry_early = self._has_failed and now_ms() < self._retry_ms
        if self._is_writing or is_retry_early or self._registry.vector == self.durable_vector:
            return
        self._is_writing = True
        vector = dict(self._registry.vector)
        self._disk.replace_file(
            UPSTREAMS_FILE, hint_file.encode(self._registry), partial(self._written, vector)
        )

    def _written(self, vector: VersionVector, is_durable: bool) -> None:
        self._is_writing = False
        if is_durable:
            self.durable_vector = vector
            self._has_failed = False
            self._on_durable()
            self.write()
            return
        if not self._has_failed:
            log.event("upstreams_write_failed")
        self._has_failed = True
        self._retry_ms = now_ms() + RETRY_DELAY_MS

    def has(self, version: Version) -> bool:
        """Returns whether a version of an upstream's record, or a later one of the same record, is on disk."""
        return version.is_seen_by(self.durable_vector)
