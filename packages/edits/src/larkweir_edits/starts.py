"""What a file says otherwise at a start, which may be what it said before that a log of yesterday has not."""

from __future__ import annotations

from collections.abc import Iterator
from typing import Any, NamedTuple

from larkweir_edits.records import StatedRow
from larkweir_edits.schema import Schema, Tables


class Began(NamedTuple):
    """What came of a start's file: edits made; or `old`, none, since the log was older than what the others have; or
    the problem why there was no room for them.
    """

    made: int
    old: bool = False
    problem: str = ""


class Start:
    """A start's file. What it says otherwise is an edit only where the log is not of yesterday: else staff said it
    before, and others may have gone on from there. So it waits: until more than half of all copies had the same as this
    one (whatever went into a base, one of them has), or until one has an edit of a former life that the log has not.
    """

    def __init__(self, schema: Schema) -> None:
        self._names = tuple(schema.rules)
        self.file: Tables | None = None  # that waits

    def known(self, agreed: int, peers: int) -> Tables | None:
        """The file that waits no longer, where so many of these peers had the same."""
        if 2 * (agreed + 1) <= peers + 1:
            return None
        file, self.file = self.file, None
        return file

    def give_up(self, stated: Tables) -> list[StatedRow]:
        """It said so before: what the log is lacking of it."""
        file, self.file = self.file, None
        return [] if file is None else [*self.anew(stated, file)]

    def touched(self, stated: Tables, after: Tables) -> Tables:
        """What counts of a reload while the start's file waits: the rows that staff changed since, and `stated`."""
        if self.file is None:
            return after
        found: dict[str, dict[str, Any]] = {table: dict(stated.get(table, {})) for table in self._names}
        for table, name, fields in self.anew(self.file, after):
            if fields is None:
                found[table].pop(name, None)
            else:
                found[table][name] = after[table][name]
        return found

    def reloaded(self, file: Tables) -> None:
        """A reload has taken up this file."""
        if self.file is not None:
            self.file = file

    def anew(self, before: Tables, after: Tables) -> Iterator[StatedRow]:
        """The rows that a file says otherwise than the file before it."""
        for table in self._names:
            old, new = before.get(table, {}), after.get(table, {})
            yield from (
                (table, name, dict(new[name])) for name in new if name not in old or old[name] != new[name]
            )
            yield from ((table, name, None) for name in old if name not in new)
