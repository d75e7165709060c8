"""Upstreams that readers know and a registry without history does not.

A registry that lost its records learns of every living upstream by its next heartbeat. An upstream that died meanwhile
sends none, and readers would keep it for ever: they offer their records, and the registry watches those that it does
not know. A reader's record vouches for an upstream for one time-out of the failure detector, and only with that reader:
the registry never passes it on as ready, as the upstream may have left while the reader was away. What is final, that
an upstream drains, has gone or has timed out, is taken over at once.
"""

from __future__ import annotations

from collections.abc import Iterable

from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState, join
from larkweir_registry.registry import Registry


class UnconfirmedUpstreams:
    """What readers offered, until a heartbeat confirms it or the time-out is over."""

    def __init__(self, registry: Registry, failure_detector: FailureDetector) -> None:
        """Both are changed by what is offered."""
        self._registry = registry
        self._failure_detector = failure_detector
        self._upstreams: dict[str, Upstream] = {}

    def add(self, offered: Iterable[Upstream], now_ms: float) -> bool:
        """Take in the records of one reader.

        Returns:
            Whether the registry has changed, so that other readers are to be informed.
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
        """Return, once, those of which no heartbeat arrived since they were offered; drop those that are known now."""
        for id_ in [id_ for id_ in self._upstreams if id_ in self._registry.upstreams]:
            del self._upstreams[id_]
        silent = self._failure_detector.timed_out(list(self._upstreams), now_ms)
        return [self._upstreams.pop(id_) for id_ in silent]
