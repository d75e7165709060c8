"""What of a balancer's state has changed since it was last written, as records. Pure logic."""

from __future__ import annotations

from typing import Any, Protocol

from larkweir.membership.listing import InstanceRow
from larkweir.membership.remembered.evidence import Evidence
from larkweir.store.records import Record, RecordKind
from larkweir.store.state import StoredState


class StateSources(Protocol):
    """Where the state that is stored is read. Times are Unix milliseconds."""

    def is_complete(self) -> bool:
        """Whether discovery has answered, so that its list is the one to store."""

    def changed_ids(self) -> set[str]:
        """Instance ids whose rows may have changed; the caller takes out those that it has read."""

    def row(self, name: str) -> InstanceRow | None:
        """An upstream's row in discovery's form; None if it is not listed."""

    def generation(self) -> int:
        """The version of the list."""

    def answered_ms(self) -> float:
        """When discovery last answered."""

    def evidence(self, max_count: int) -> dict[str, Evidence]:
        """At most `max_count` upstreams that have served since the last call."""

    def drains(self) -> dict[str, float]:
        """Since when each upstream that drains has drained, by instance id."""

    def learned(self) -> dict[str, Any]:
        """What the decisions have learned, without giving their credit away."""

    def source(self) -> str:
        """Discovery's address."""


class ChangeTracker:
    """Compares the sources with what the log holds. Begins with the state that was recovered."""

    MAX_ROWS_PER_CHECK = 200  # rows written a check, so that a long list does not block the event loop

    def __init__(self, state: StoredState) -> None:
        self._listed = set(state.listed)  # instance ids that the log holds as listed
        self._churn = state.churn
        self._churn_ms = 0.0  # when the churn was last updated; 0: not yet
        self._drains = dict(state.drains)
        self._source = (state.source, state.generation)

    def changes(self, sources: StateSources, now_ms: float) -> list[Record]:
        """Records of the list and of drains; of a long list only a part, while `changed_ids` has more."""
        found = self._list_changes(sources, now_ms) if sources.is_complete() else []
        drains = sources.drains()
        found += [
            Record(RecordKind.DRAIN, [name, since_ms])
            for name, since_ms in drains.items()
            if self._drains.get(name) != since_ms
        ]
        self._drains = drains
        return found

    def _list_changes(self, sources: StateSources, now_ms: float) -> list[Record]:
        found: list[Record] = []
        changed = sources.changed_ids()
        source = (sources.source(), sources.generation())
        count, delisted = len(self._listed), 0
        for _ in range(min(len(changed), self.MAX_ROWS_PER_CHECK)):
            name = changed.pop()
            row = sources.row(name)
            if row is not None:
                found.append(Record(RecordKind.LISTED, row))
                self._listed.add(name)
            elif name in self._listed:
                found.append(Record(RecordKind.DELISTED, name))
                self._listed.discard(name)
                delisted += 1
        # The version is written once the whole list is: before that, the log holds a part of an older one.
        if (found or source != self._source) and not changed:
            self._update_churn(delisted, count, now_ms)
            found.append(self._source_record(sources, source))
        elif delisted:
            self._update_churn(delisted, count, now_ms)
        return found

    def evidence(self, sources: StateSources, now_ms: float) -> tuple[list[Record], bool]:
        """Records of upstreams that have served, and of when discovery last answered; and whether there are more."""
        found = sources.evidence(self.MAX_ROWS_PER_CHECK)
        records = [
            Record(RecordKind.SERVED, [name, evidence.served_ms, int(evidence.kind)])
            for name, evidence in found.items()
            if name in self._listed
        ]
        if len(found) == self.MAX_ROWS_PER_CHECK:
            return records, True
        if sources.is_complete() and not sources.changed_ids():
            self._update_churn(0, len(self._listed), now_ms)
            records.append(self._source_record(sources, (sources.source(), sources.generation())))
        return records, False

    def _update_churn(self, delisted: int, count: int, now_ms: float) -> None:
        """`delisted` of `count` upstreams have left the list since the last update."""
        span = now_ms - self._churn_ms if self._churn_ms else 0.0
        self._churn_ms = now_ms
        self._churn = self._churn.after(delisted, count, span)

    def _source_record(self, sources: StateSources, source: tuple[str, int]) -> Record:
        self._source = source
        return Record(RecordKind.SOURCE, [*source, sources.answered_ms(), *self._churn])
