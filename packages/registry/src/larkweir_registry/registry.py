"""The records of one registry or reader, their stamps, and what another lacks of them."""

from __future__ import annotations

from collections.abc import Iterable

from sortedcontainers import SortedDict

from larkweir_registry.records import Record, State, Upstream, Vector, join

GONE_KEPT_MS = 300_000.0  # after it the record of one that has gone is dropped: nobody speaks of it any more


class Registry:
    """All upstreams by id. A reader that notes nothing itself needs no `origin` of its own."""

    def __init__(self, origin: str) -> None:
        """`origin`: a name that no other registry, and no earlier life of this one, has used."""
        self.origin = origin
        self.vector: Vector = {}
        self.upstreams: dict[str, Upstream] = {}
        self._stamps: dict[str, tuple[str, int]] = {}
        self._ids: dict[str, SortedDict[int, str]] = {}  # by origin and counter
        self._gone_ms: dict[str, float] = {}
        self._ready: dict[str, list[str]] | None = None  # by service; None: to be found anew

    def note(self, upstream: Upstream, now_ms: float) -> bool:
        """Takes what an upstream, or this registry's judgement, says. Whether that changed what others must know."""
        known = self.upstreams.get(upstream.id)
        joined = upstream if known is None else join(known, upstream)
        if known is not None and not _differs(known, joined):
            self.upstreams[upstream.id] = joined  # its sequence alone; others hear of that by the way
            return False
        self._stamp(joined, now_ms)
        return True

    def merge(self, records: Iterable[Record], vector: Vector, now_ms: float) -> list[Upstream]:
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
                self._put(joined, record.origin, record.counter, now_ms)
            else:  # neither side had it all: a version of our own tells the others
                self._stamp(joined, now_ms)
        for origin, counter in vector.items():
            if counter > self.vector.get(origin, 0):
                self.vector[origin] = counter
        return changed

    def delta(self, vector: Vector) -> list[Record]:
        """The records that whoever has seen `vector` lacks."""
        found = []
        for origin, ids in self._ids.items():
            seen = vector.get(origin, 0)
            for counter in ids.irange(minimum=seen, inclusive=(False, True)):
                id_ = ids[counter]
                found.append(Record(self.upstreams[id_], origin, counter))
        return found

    def ready(self, service: str) -> list[str]:
        """The ids of its upstreams that are ready and heard of; not to be changed."""
        return self.ready_by_service().get(service, [])

    def ready_by_service(self) -> dict[str, list[str]]:
        """The same of all services; not to be changed."""
        if self._ready is None:
            self._ready = {}
            for upstream in self.upstreams.values():
                if upstream.state is State.READY and not upstream.silent:
                    self._ready.setdefault(upstream.service, []).append(upstream.id)
        return self._ready

    def covers(self, vector: Vector) -> bool:
        """Whether a delta for that vector would be empty."""
        return all(
            not ids or ids.peekitem(-1)[0] <= vector.get(origin, 0) for origin, ids in self._ids.items()
        )

    def prune(self, now_ms: float) -> None:
        """Drops what has been gone for long, and the counters of origins that no record names."""
        for id_ in [one for one, when_ms in self._gone_ms.items() if now_ms >= when_ms + GONE_KEPT_MS]:
            del self._gone_ms[id_]
            del self.upstreams[id_]
            self._unstamp(id_)

    def _stamp(self, upstream: Upstream, now_ms: float) -> None:
        counter = self.vector.get(self.origin, 0) + 1
        self.vector[self.origin] = counter
        self._put(upstream, self.origin, counter, now_ms)

    def _put(self, upstream: Upstream, origin: str, counter: int, now_ms: float) -> None:
        self._unstamp(upstream.id)
        self._ready = None
        self.upstreams[upstream.id] = upstream
        self._stamps[upstream.id] = (origin, counter)
        self._ids.setdefault(origin, SortedDict())[counter] = upstream.id
        if upstream.state is State.GONE:
            self._gone_ms.setdefault(upstream.id, now_ms)

    def _unstamp(self, id_: str) -> None:
        stamp = self._stamps.pop(id_, None)
        if stamp is not None:
            ids = self._ids[stamp[0]]
            del ids[stamp[1]]
            if not ids:
                del self._ids[stamp[0]]


def _differs(known: Upstream, joined: Upstream) -> bool:
    """Whether others must be told: a higher sequence alone is no news unless it ends a silence."""
    return (
        known.state is not joined.state
        or known.silent is not joined.silent
        or known.lapsed != joined.lapsed
        or known.address != joined.address
        or known.service != joined.service
        or known.zone != joined.zone
        or known.slots != joined.slots
    )
