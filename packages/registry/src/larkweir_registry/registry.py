"""The records of one registry or reader, their stamps, and what another lacks of them."""

from __future__ import annotations

from collections.abc import Iterable

from sortedcontainers import SortedDict

from larkweir_registry.records import Record, Upstream, UpstreamState, VersionVector, join

TOMBSTONE_RETENTION_MS = (
    300_000.0  # after it the record of one that has gone is dropped: nobody speaks of it any more
)


class Registry:
    """All upstreams by id. A reader that notes nothing itself needs no `origin` of its own."""

    def __init__(self, origin: str) -> None:
        """`origin`: a name that no other registry, and no earlier life of this one, has used."""
        self.origin = origin
        self.vector: VersionVector = {}
        self.upstreams: dict[str, Upstream] = {}
        self._versions: dict[str, tuple[str, int]] = {}
        self._ids_by_version: dict[str, SortedDict[int, str]] = {}  # by origin and counter
        self._tombstoned_ms: dict[str, float] = {}
        self._ready_ids: dict[str, list[str]] | None = None  # by service; None: to be found anew

    def update(self, upstream: Upstream, now_ms: float) -> bool:
        """Takes what an upstream, or this registry's judgement, says. Whether that changed what others must know."""
        known = self.upstreams.get(upstream.id)
        joined = upstream if known is None else join(known, upstream)
        if known is not None and not _must_propagate(known, joined):
            self.upstreams[upstream.id] = joined  # its sequence alone; others hear of that by the way
            return False
        self._store_new_version(joined, now_ms)
        return True

    def merge(self, records: Iterable[Record], vector: VersionVector, now_ms: float) -> list[Upstream]:
        """Takes a delta from another registry and its vector; what changed here."""
        changed = []
        for record in records:
            id_ = record.upstream.id
            known = self.upstreams.get(id_)
            joined = record.upstream if known is None else join(known, record.upstream)
            if joined == known:
                continue
            changed.append(joined)
            if joined == record.upstream:
                self._store(joined, record.origin, record.counter, now_ms)
            else:  # neither side had it all: a version of our own tells the others
                self._store_new_version(joined, now_ms)
        for origin, counter in vector.items():
            if counter > self.vector.get(origin, 0):
                self.vector[origin] = counter
        return changed

    def delta(self, vector: VersionVector) -> list[Record]:
        """The records that whoever has seen `vector` lacks."""
        found = []
        for origin, ids in self._ids_by_version.items():
            seen = vector.get(origin, 0)
            for counter in ids.irange(minimum=seen, inclusive=(False, True)):
                id_ = ids[counter]
                found.append(Record(self.upstreams[id_], origin, counter))
        return found

    def ready_ids(self, service: str) -> list[str]:
        """The ids of its upstreams that are ready and heard of; not to be changed."""
        return self.ready_ids_by_service().get(service, [])

    def ready_ids_by_service(self) -> dict[str, list[str]]:
        """The same of all services; not to be changed."""
        if self._ready_ids is None:
            self._ready_ids = {}
            for upstream in self.upstreams.values():
                if upstream.state is UpstreamState.READY and not upstream.has_timed_out:
                    self._ready_ids.setdefault(upstream.service, []).append(upstream.id)
        return self._ready_ids

    def is_covered_by(self, vector: VersionVector) -> bool:
        """Whether a delta for that vector would be empty."""
        return all(
            not ids or ids.peekitem(-1)[0] <= vector.get(origin, 0)
            for origin, ids in self._ids_by_version.items()
        )

    def prune(self, now_ms: float) -> None:
        """Drops what has been gone for long, and the counters of origins that no record names."""
        for id_ in [
            one for one, when_ms in self._tombstoned_ms.items() if now_ms >= when_ms + TOMBSTONE_RETENTION_MS
        ]:
            del self._tombstoned_ms[id_]
            del self.upstreams[id_]
            self._remove_version(id_)

    def _store_new_version(self, upstream: Upstream, now_ms: float) -> None:
        counter = self.vector.get(self.origin, 0) + 1
        self.vector[self.origin] = counter
        self._store(upstream, self.origin, counter, now_ms)

    def _store(self, upstream: Upstream, origin: str, counter: int, now_ms: float) -> None:
        self._remove_version(upstream.id)
        self._ready_ids = None
        self.upstreams[upstream.id] = upstream
        self._versions[upstream.id] = (origin, counter)
        self._ids_by_version.setdefault(origin, SortedDict())[counter] = upstream.id
        if upstream.state is UpstreamState.GONE:
            self._tombstoned_ms.setdefault(upstream.id, now_ms)

    def _remove_version(self, id_: str) -> None:
        stamp = self._versions.pop(id_, None)
        if stamp is not None:
            ids = self._ids_by_version[stamp[0]]
            del ids[stamp[1]]
            if not ids:
                del self._ids_by_version[stamp[0]]


def _must_propagate(known: Upstream, joined: Upstream) -> bool:
    """Whether others must be told: a higher sequence alone is no news unless it ends a silence."""
    return (
        known.state is not joined.state
        or known.has_timed_out is not joined.has_timed_out
        or known.timed_out_sequence != joined.timed_out_sequence
        or known.address != joined.address
        or known.service != joined.service
        or known.zone != joined.zone
        or known.slots != joined.slots
    )
