"""From the restored list to discovery's: what of the restored one holds on for a while beside it. Pure logic."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import replace

from larkweir_balancing.interface import ListKind, ServerState

from larkweir.core.ports import Listing
from larkweir.membership.remembered.entries import Change, RestoredEntries, still_drained
from larkweir.membership.remembered.rows import RestoredRows

LIFECYCLES = {ServerState.READY: "active", ServerState.DRAINING: "leaving", ServerState.GONE: "left"}


class ListReconciler:
    """Corrects discovery's lists: upstreams that answer and are missing from its first list stay in use until they are
    dropped, and an older list than the restored one does not end a drain.
    """

    # For so long a discovery whose list is older than the restored one can't end a drain.
    DRAIN_MEMORY_MS = 3_600_000.0

    def __init__(self, rows: RestoredRows, name_of: Callable[[int], str | None]) -> None:
        """`name_of` gives an upstream's instance id by its number, or None."""
        self._rows = rows
        self._name_of = name_of
        self._drained_until_ms = 0.0
        self.unlisted: dict[str, Change] = {}  # missing from discovery's first list, although they answer

    def begin(self, listing: Listing, entries: RestoredEntries, now_ms: float) -> int:
        """Discovery's first list ends the restored one, but for upstreams that discovery may not know of yet
        (`unlisted`). Returns how many upstreams it lists as active.
        """
        lifecycles = self._lifecycles_of(listing)
        missing = entries.missing_from(
            lifecycles, {name for name, lifecycle in lifecycles.items() if lifecycle == "left"}
        )
        self.unlisted = {
            name: Change(name, entry.announced, entry.place)
            for name in missing
            if (entry := entries.entries[name]).announced is not None
        }
        if self._rows.draining:
            self._drained_until_ms = now_ms + self.DRAIN_MEMORY_MS
        return sum(lifecycle == "active" for lifecycle in lifecycles.values())

    def corrected(self, listing: Listing, now_ms: float) -> Listing:
        """The list, with upstreams that are still used although it lacks them, and with drains that only an older list
        would end.
        """
        if not self.unlisted and not self._rows.draining:
            return listing
        lifecycles = self._lifecycles_of(listing)
        drained = self._still_drained(listing, lifecycles, now_ms)
        entries = [
            replace(entry, state=ServerState.DRAINING) if self._name_of(entry.server) in drained else entry
            for entry in listing.entries
        ]
        addresses = list(listing.addresses)
        for name in list(self.unlisted):
            if name in lifecycles:  # discovery knows of it: what it reports counts
                del self.unlisted[name]
        if listing.kind is ListKind.FULL:
            for change in self.unlisted.values():
                found = self._rows.entry(change)
                assert found is not None  # it was announced, so that its row is parsed
                entries.append(found[0])
                addresses.append(found[1])
        return Listing(listing.kind, listing.version, tuple(entries), tuple(addresses))

    def drop_unlisted(self) -> list[Change]:
        """No upstream is used any longer that discovery does not list; returns the changes of those that were."""
        unlisted, self.unlisted = self.unlisted, {}
        return [Change(name, None, change.place) for name, change in unlisted.items()]

    def _still_drained(self, listing: Listing, lifecycles: dict[str, str], now_ms: float) -> set[str]:
        rows = self._rows
        if not rows.draining:
            return set()
        if listing.version >= rows.generation or now_ms >= self._drained_until_ms:
            rows.draining = {}
            return set()
        return still_drained(rows.draining, lifecycles, listing.version, rows.generation)

    def _lifecycles_of(self, listing: Listing) -> dict[str, str]:
        return {
            name: LIFECYCLES[entry.state]
            for entry in listing.entries
            if (name := self._name_of(entry.server)) is not None
        }
