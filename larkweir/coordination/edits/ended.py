"""Parts of traffic splits that the fleet has ended, and that no edit records yet.

The owner of the verdicts writes them, under its term; a later owner writes what an earlier one had no time for. What is
late is dropped by every copy alike (`larkweir_edits.merge.termed`).
"""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from typing import NamedTuple, Protocol

from larkweir.coordination.duties.verdicts import decode_state


class OwnedStates(Protocol):
    """The owners' part, as far as this goes."""

    def owned_state(self, name: str) -> tuple[int, int, bytes] | None:
        """Term, number and state of a duty that this process owns."""
        ...


class End(NamedTuple):
    """A part of a split that the fleet has ended: its key, route and pool, and the version of the owner's state."""

    key: str
    route: str
    pool: str
    term: int
    number: int


class Ended:
    """Remembers what was written, as long as the fleet's state names it."""

    def __init__(self) -> None:
        self._written: frozenset[str] = frozenset()

    def due(self, fleet: OwnedStates, parts: Mapping[str, tuple[str, str]]) -> Iterator[End]:
        """`parts`: by key, the routes and pools that are or were on trial here."""
        owned = fleet.owned_state("verdicts")
        if owned is None:
            return
        term, number, state = owned
        keys = {key for key, _ in decode_state(state).ended}
        self._written &= keys
        for key in sorted(keys & parts.keys() - self._written):
            yield End(key, *parts[key], term, number)

    def mark_written(self, end: End) -> None:
        """An edit records this end: it is not due again."""
        self._written |= {end.key}
