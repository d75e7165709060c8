"""The rows of a restored list, and messages to the decisions made from them. Pure logic."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any, NamedTuple

from larkweir_balancing.interface import ListKind, ServerEntry, ServerState

from larkweir.core.ports import Address, Listing
from larkweir.membership.listing import DiscoveryError, parse_listing
from larkweir.membership.names import Names
from larkweir.membership.remembered.entries import Change, Place
from larkweir.membership.remembered.evidence import Churn, Evidence, Source


class RestoredState(NamedTuple):
    """What an earlier process of this balancer has left of its list. Times are the clock's milliseconds."""

    listing: dict[str, Any]  # a complete list in discovery's form, not checked yet
    evidence: dict[str, Evidence]  # by instance id
    churn: Churn
    is_uncertain: bool  # how the clocks of the two processes relate
    drains: dict[str, float]  # since when each that drains has drained
    source: Source = Source.STORED


class RestoredRows:
    """The rows by instance id, in discovery's form. A row is parsed when it is first needed."""

    def __init__(self, names: Names, log: Callable[[str], None]) -> None:
        """`log` gets a line for each row that can't be parsed."""
        self._names = names
        self._log = log
        self._rows: dict[str, dict[str, Any]] = {}
        self._parsed: dict[str, tuple[ServerEntry, Address]] = {}  # of those in use
        self.draining: dict[str, str] = {}  # lifecycles of those that drain
        self.generation = 0  # of the restored list

    def load(
        self, restored: RestoredState, own_address: str
    ) -> tuple[dict[str, tuple[Place, Evidence]], int]:
        """Keep the rows that can be used; returns place and evidence of each by name, and how many rows have this
        balancer's own address.
        """
        evidence: dict[str, tuple[Place, Evidence]] = {}
        own_rows = 0
        for row in restored.listing["instances"]:
            name = row.get("instanceId") if isinstance(row, dict) else None
            if not isinstance(name, str):
                continue
            lifecycle = str(row.get("lifecycle"))
            if lifecycle == "leaving":
                self.draining[name] = lifecycle
            elif row.get("hostPort") == own_address:
                own_rows += 1  # what is sent there would come back
            elif lifecycle == "active":
                self._rows[name] = row
                place = Place(row.get("zone", ""), row.get("cell", 0))
                evidence[name] = (place, restored.evidence.get(name, Evidence()))
        generation = restored.listing.get("generation")
        self.generation = generation if isinstance(generation, int) else 0
        return evidence, own_rows

    def parse(self, name: str) -> tuple[ServerEntry, Address] | None:
        """An upstream's entry and address; None if it has no row, or one that can't be parsed, which is dropped."""
        found = self._parsed.get(name)
        if found is None and name in self._rows:
            try:
                listing, _ = parse_listing(
                    {"generation": 0, "reset": True, "instances": [self._rows[name]]}, self._names
                )
            except DiscoveryError as problem:
                self._log(f"remembered: {name:.100}: {problem}")
                del self._rows[name]
                return None
            found = self._parsed[name] = (listing.entries[0], listing.addresses[0])
        return found

    def entry(self, change: Change) -> tuple[ServerEntry, Address] | None:
        """An upstream's entry with a change applied, and its address; None as for `parse`."""
        found = self.parse(change.name)
        if found is None:
            return None
        entry, address = found
        changed = ServerEntry(
            entry.server,
            ServerState.GONE if change.trust is None else ServerState.READY,
            entry.started_ms,
            entry.weight,
            self._names.zone(change.place.zone),
            change.place.cell,
            entry.kind,
            change.trust,
        )
        return changed, address

    def listing(self, changes: list[Change], kind: ListKind) -> Listing | None:
        """The message with these changes; None if there is nothing to report."""
        found = [item for change in changes if (item := self.entry(change)) is not None]
        if not found:
            return None
        entries, addresses = zip(*found, strict=True)
        return Listing(kind, self.generation, tuple(entries), tuple(addresses))

    def forget_unparsed(self) -> None:
        """Forget the rows that are not in use."""
        self._rows = {}

    def forget_parsed(self) -> None:
        """Forget the rows that were in use."""
        self._parsed = {}
