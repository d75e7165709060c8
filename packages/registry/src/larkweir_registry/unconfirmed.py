"""Upstreams that are known to readers but not to a registry that lost its records.

Such a registry learns of each live upstream from its next heartbeat. An upstream that died in the meantime sends no
heartbeat, so readers would keep it forever. Readers therefore offer their records to the registry, which watches the
upstreams that it does not know. The reader may keep using an offered upstream for one time-out of the failure detector;
if no heartbeat arrives by then, the upstream has timed out. The registry never passes an offered upstream on to other
readers as ready, because it may have left while the reader that offered it was cut off. Final states (draining, gone,
timed out) are merged at once.
"""

from __future__ import annotations

from collections.abc import Iterable

from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState, join
from larkweir_registry.registry import Registry


class UnconfirmedUpstreams:
    """The upstreams that readers offered and that neither a heartbeat has confirmed nor a time-out has removed."""

    def __init__(self, registry: Registry, failure_detector: FailureDetector) -> None:
        """Create an empty set; `add` updates `registry` and `failure_detector`."""
        self._registry = registry
        self._failure_detector = failure_detector
        self._upstreams: dict[str, Upstream] = {}

    def add(self, offered: Iterable[Upstream], now_ms: float) -> bool:
        """Add the records that one reader offers.

        Returns:
            Whether the registry changed, so that the other readers must be informed.
        """
        has_changed = False
        for upstream in offered:
            if upstream.state is not UpstreamState.READY or upstream.has_timed_out:
                has_changed |= self._registry.update(upstream, now_ms)
            elif upstream.id not in self._registry.upstreams:
                known = self._upstreams.get(upstream.id)
                self._upstreams[upstream.id] = upstream if known is None else join(known, upstream)
                self._failure_detector.record_peer_heartbeats({upstream.id: upstream.sequence}, now_ms)
        return has_changed

    def take_timed_out(self, now_ms: float) -> list[Upstream]:
        """Return and drop the upstreams that have timed out since they were offered.

        Upstreams that the registry knows by now are dropped without being returned.
        """
        for id_ in [id_ for id_ in self._upstreams if id_ in self._registry.upstreams]:
            del self._upstreams[id_]
        silent = self._failure_detector.timed_out(list(self._upstreams), now_ms)
        return [self._upstreams.pop(id_) for id_ in silent]
