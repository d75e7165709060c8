"""The upstreams that one process knows, their versions, and the deltas for processes that lack some of them."""

from __future__ import annotations

from collections.abc import Iterable

from sortedcontainers import SortedDict

from larkweir_registry.records import Record, Upstream, UpstreamState, Version, VersionVector, join

TOMBSTONE_RETENTION_MS = 300_000.0  # how long GONE records are kept; no message arrives later than that


class Registry:
    """A replica of the set of upstreams. Replicas converge by exchanging deltas, in any order.

    Attributes:
        origin: the name of this replica in version vectors.
        vector: the versions that this replica has seen.
        upstreams: all known upstreams by id; those that have gone are kept for `TOMBSTONE_RETENTION_MS`.
    """

    def __init__(self, origin: str) -> None:
        """Create an empty replica.

        Args:
            origin: a name that no other registry and no earlier incarnation of this one has used. A reader only merges
                deltas and may use the empty name.
        """
        self.origin = origin
        self.vector: VersionVector = {}
        self.upstreams: dict[str, Upstream] = {}
        self._versions: dict[str, Version] = {}  # by upstream, its latest version
        self._ids_by_version: dict[str, SortedDict[int, str]] = {}  # by origin and counter
        self._tombstoned_ms: dict[str, float] = {}
        self._ready_ids: dict[str, list[str]] | None = None  # by service; None until it is computed

    def update(self, upstream: Upstream, now_ms: float) -> bool:
        """Join a report on one upstream, from a heartbeat, a departure message or the failure detector.

        Returns:
            Whether the join created a new version, which the other replicas lack.
        """
        known = self.upstreams.get(upstream.id)
        joined = upstream if known is None else join(known, upstream)
        if known is not None and not _must_propagate(known, joined):
            # Only the sequence is new; the failure detector propagates it.
            self.upstreams[upstream.id] = joined
            return False
        self._store_new_version(joined, now_ms)
        return True

    def merge(self, records: Iterable[Record], vector: VersionVector, now_ms: float) -> list[Upstream]:
        """Join a delta from another replica.

        Args:
            records: the records that `delta` of the other replica returned for the vector of this one.
            vector: the vector of the other replica at that time.
            now_ms: the current time.

        Returns:
            The upstreams that changed here.
        """
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
            else:  # neither version includes the other, so their join is a new version
                self._store_new_version(joined, now_ms)
        for origin, counter in vector.items():
            if counter > self.vector.get(origin, 0):
                self.vector[origin] = counter
        return changed

    def delta(self, vector: VersionVector) -> list[Record]:
        """Return the records that a replica with the vector `vector` lacks."""
        records = []
        for origin, ids in self._ids_by_version.items():
            seen = vector.get(origin, 0)
            for counter in ids.irange(minimum=seen, inclusive=(False, True)):
                id_ = ids[counter]
                records.append(Record(self.upstreams[id_], origin, counter))
        return records

    def version(self, id_: str) -> Version | None:
        """Return the latest version of an upstream's record; None if the upstream is unknown."""
        return self._versions.get(id_)

    def ready_ids(self, service: str) -> list[str]:
        """Return the ids of a service's upstreams that are ready and have not timed out; do not modify the list."""
        return self.ready_ids_by_service().get(service, [])

    def ready_ids_by_service(self) -> dict[str, list[str]]:
        """Return `ready_ids` of every service that has any; do not modify the result."""
        if self._ready_ids is None:
            self._ready_ids = {}
            for upstream in self.upstreams.values():
                if upstream.state is UpstreamState.READY and not upstream.has_timed_out:
                    self._ready_ids.setdefault(upstream.service, []).append(upstream.id)
        return self._ready_ids

    def is_covered_by(self, vector: VersionVector) -> bool:
        """Return whether `delta(vector)` would be empty, without computing it."""
        return all(
            not ids or ids.peekitem(-1)[0] <= vector.get(origin, 0)
            for origin, ids in self._ids_by_version.items()
        )

    def prune(self, now_ms: float) -> None:
        """Drop the records of upstreams that have been gone for `TOMBSTONE_RETENTION_MS`."""
        expired = [
            id_ for id_, at_ms in self._tombstoned_ms.items() if now_ms >= at_ms + TOMBSTONE_RETENTION_MS
        ]
        for id_ in expired:
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
        self._versions[upstream.id] = Version(origin, counter)
        self._ids_by_version.setdefault(origin, SortedDict())[counter] = upstream.id
        if upstream.state is UpstreamState.GONE:
            self._tombstoned_ms.setdefault(upstream.id, now_ms)

    def _remove_version(self, id_: str) -> None:
        version = self._versions.pop(id_, None)
        if version is None:
            return
        origin, counter = version
        ids = self._ids_by_version[origin]
        del ids[counter]
        if not ids:
            del self._ids_by_version[origin]


def _must_propagate(known: Upstream, joined: Upstream) -> bool:
    """Whether the other replicas need the new version.

    A higher sequence alone is propagated only if it ends a time-out.
    """
    return (
        known.state is not joined.state
        or known.has_timed_out is not joined.has_timed_out
        or known.timed_out_sequence != joined.timed_out_sequence
        or known.address != joined.address
        or known.service != joined.service
        or known.zone != joined.zone
        or known.slots != joined.slots
        or known.version != joined.version
    )
