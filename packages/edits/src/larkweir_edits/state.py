"""One copy's edits and what they come to. Its value is a function of the set of edits that were applied.

Edits are applied in causal order; those whose causes are missing are held. What all copies have applied is put into
the base (`collect`): an edit that is still to come has seen it, since its writer had applied it before.

A writer that was not waited for any longer may still send an edit that had not seen what is in the base. The copy
that finds this strikes the writer: past a number, what it wrote is proposals, at every copy alike (the smallest
number counts).
"""

from __future__ import annotations

from collections.abc import Iterable, Mapping

from larkweir_edits.differences import Change, Now
from larkweir_edits.edit import (
    MAX_CONTEXT_ENTRIES,
    Dot,
    Edit,
    EditError,
    Kind,
    RowKey,
    Sub,
    Vector,
    Wire,
    covers,
    encoded,
    made,
    read,
    shaped,
)
from larkweir_edits.merged_tables import Check, MergedTables, merged
from larkweir_edits.rows import Row, View
from larkweir_edits.schema import Schema, Tables

MAX_EDITS = 10_000  # applied and not yet in every base
MAX_OWN_EDITS = 5_000  # of them, past which none is made here: both sides of a cut may go on until they meet
MAX_BUFFERED_EDITS = 2_000  # whose causes are missing
MAX_ROWS = 4_000  # of all tables, past which none is made here: 2,000 routes and their pools


class State:
    """`base` is what all copies began with; `origin` names it."""

    def __init__(self, schema: Schema, origin: bytes = b"", base: Tables | None = None) -> None:
        self.schema = schema
        self.origin = origin
        self.rows: dict[RowKey, Row] = {}
        self.vector: dict[str, int] = {}  # applied
        self.lasts: dict[str, Vector] = {}  # of each writer, the context of its last edit that is applied
        self.log: dict[str, dict[int, bytes]] = {}  # that others may still lack, by writer and counter
        self.buffered: dict[str, dict[int, Wire]] = {}  # whose causes are missing
        self.raw: dict[Dot, bytes] = {}  # bytes of those
        self.strikes: dict[str, int] = {}
        self.folded: dict[str, int] = {}  # what may be in the base, and in the log no longer
        self.struck: list[tuple[str, int]] = []  # found here, and to be told
        self.refused = 0  # edits that found no room
        self._made: dict[str, tuple[int, Vector]] = {}  # the last edit that was made here, by writer
        self._views: dict[RowKey, View] = {}
        self._merged: MergedTables | None = None
        for table, rows in (base or {}).items():
            for name, fields in rows.items():
                row = self.rows[(table, name)] = Row(table, name, here=True)
                blank = schema.blank(table)
                parts = schema.parts(table, fields)
                row.base = {
                    sub: value for sub, value in parts.items() if sub not in blank or blank[sub] != value
                }

    # ------------------------------------------------ edits come in

    @property
    def size(self) -> int:
        """How many edits other replicas may still lack, or wait for their causes."""
        return sum(map(len, self.log.values())) + len(self.raw)

    def has(self, dot: Dot) -> bool:
        """Whether the edit of that dot is applied, or waits for its causes."""
        return self.vector.get(dot[0], 0) >= dot[1] or dot in self.raw

    def take(self, writer: str, data: bytes) -> list[Edit]:
        """An edit, whoever brought it: those that are applied by it. EditError where it is none."""
        wire = shaped(data)
        if self.has((writer, wire.count)):
            return []
        following = wire.count == self.vector.get(writer, 0) + 1
        if (
            self.size - len(self.raw) >= MAX_EDITS
            or (len(self.raw) >= MAX_BUFFERED_EDITS and not following)
            or (writer not in self.vector and len(self.vector) >= MAX_CONTEXT_ENTRIES)
        ):
            self.refused += 1
            return []
        self.buffered.setdefault(writer, {})[wire.count] = wire
        self.raw[(writer, wire.count)] = data
        return self._go_on()

    def _go_on(self) -> list[Edit]:
        found: list[Edit] = []
        moved = True
        while moved:
            moved = False
            for writer in list(self.buffered):
                waiting = self.buffered[writer]
                while (wire := waiting.get(self.vector.get(writer, 0) + 1)) is not None:
                    edit = read(writer, wire, self.lasts.get(writer, {}))
                    if not covers(self.vector, {w: n for w, n in edit.seen.items() if w != writer}):
                        break
                    del waiting[wire.count]
                    self._apply(edit, self.raw.pop(edit.dot))
                    found.append(edit)
                    moved = True
                if not waiting:
                    del self.buffered[writer]
        return found

    def _apply(self, edit: Edit, data: bytes) -> None:
        writer, count = edit.dot
        self.vector[writer] = count
        self.lasts[writer] = edit.seen
        self.log.setdefault(writer, {})[count] = data
        self._merged = None
        if edit.kind is Kind.STRIKE:
            whom, number = edit.row[1], int(edit.changes[0][1])
            self._strike(whom, number)
            self.struck = [
                item for item in self.struck if item[0] != whom or item[1] < number
            ]  # told already
            return
        if writer not in self.strikes and not edit.saw_all(self.folded):
            self._strike(writer, count - 1)
            self.struck.append((writer, count - 1))
        table, name = edit.row
        if table not in self.schema.rules:
            return  # of a newer version: kept, passed on, and no matter here
        row = self.rows.get(edit.row)
        if row is None:
            row = self.rows[edit.row] = Row(table, name)
        row.add(self.schema, edit, count > self.strikes.get(writer, count))
        self._views.pop(edit.row, None)

    def _strike(self, writer: str, number: int) -> None:
        if number < self.strikes.get(writer, number + 1):
            self.strikes[writer] = number
            for row in self.rows.values():
                row.mark(self.strikes)
            self._views.clear()

    # ------------------------------------------------ what it comes to

    def merged(self, check: Check | None = None) -> MergedTables:
        """The merged tables of all edits that are applied, computed when asked for."""
        if self._merged is None:
            self._merged = merged(self.schema, self.rows, self._views, check)
        return self._merged

    @property
    def computed(self) -> MergedTables | None:
        """The whole, where nothing was applied since it was computed."""
        return self._merged

    def now(self, key: RowKey) -> Now:
        """A row for `differences`."""
        row = self.rows.get(key)
        if row is None:
            return Now(False, self.schema.blank(key[0]))
        view = self._views.get(key) or row.view(self.schema)
        return Now(view.here, view.parts)

    # ------------------------------------------------ edits are made

    def make(self, writer: str, changes: Iterable[Change]) -> list[bytes]:
        """Edits of a writer here, as bytes to be kept and then taken (`take`). One that is too long is made into
        several by its fields. EditError, and none is made, where there is no room, or a field is too long.
        """
        count, before = self._made.get(writer, (0, {}))
        if count <= self.vector.get(writer, 0):
            count, before = self.vector.get(writer, 0), self.lasts.get(writer, {})
        seen: Vector = {who: number for who, number in self.vector.items() if who != writer}
        if covers(before, seen):
            seen = before
        found: list[bytes] = []
        new_rows: set[RowKey] = set()
        todo = list(changes)[::-1]
        while todo:
            change = todo.pop()
            data = _encode_change((writer, count + 1), seen, change, before)
            if data is None:
                todo += reversed(_halves(change))
                continue
            found.append(data)
            count += 1
            before = seen
            if change.row not in self.rows:
                new_rows.add(change.row)
        self._check_space(len(found), len(new_rows))
        if found:
            self._made[writer] = (count, before)
        return found

    def _check_space(self, edit_count: int, row_count: int) -> None:
        """Raises EditError where so many more edits, or rows, have no room."""
        if edit_count and self.size + edit_count > MAX_OWN_EDITS:
            raise EditError(
                f"{self.size} edits wait for copies that have not seen them; {MAX_OWN_EDITS} at the most"
            )
        if row_count and len(self.rows) + row_count > MAX_ROWS:
            raise EditError(f"{len(self.rows) + row_count} routes and pools; {MAX_ROWS} at the most")

    def edits_lacking_in(self, other: State) -> dict[str, list[bytes]]:
        """By writer, the edits that are known here and not there, in the order of their counters."""
        lacking: dict[str, list[bytes]] = {}
        for writer, found in self.log.items():
            edits = [data for count, data in sorted(found.items()) if not other.has((writer, count))]
            lacking.setdefault(writer, []).extend(edits)
        for (writer, count), data in self.raw.items():
            if not other.has((writer, count)):
                lacking.setdefault(writer, []).append(data)
        return lacking

    def floor(self, row: RowKey, sub: Sub) -> tuple[int, int]:
        """The highest (term, number) of an owner's register; what is not above it is late."""
        return self.rows[row].floor(sub) if row in self.rows else (-1, -1)

    # ------------------------------------------------ what all have seen

    def collect(self, stable: Mapping[str, int], check: Check | None = None) -> bool:
        """Put into the base what all copies have applied. Nothing while the check has put something back: what an
        edit was before must be there as long as it may be asked for.
        """
        stable = {
            writer: count for writer, count in stable.items() if count and count <= self.vector.get(writer, 0)
        }
        if covers(self.folded, stable) or self.merged(check).back:
            return False
        stays = self.merged(check).stays
        for key, row in list(self.rows.items()):
            if not row.writes or key in stays:
                continue
            if row.fold(self.schema, stable):
                self._views.pop(key, None)
                if row.gone:
                    del self.rows[key]
        for writer, count in stable.items():
            remaining = {n: data for n, data in self.log.get(writer, {}).items() if n > count}
            if remaining:
                self.log[writer] = remaining
            else:
                self.log.pop(writer, None)
        self.folded = {w: max(stable.get(w, 0), self.folded.get(w, 0)) for w in {**stable, **self.folded}}
        self._merged = None
        return True


def _encode_change(dot: Dot, seen: Vector, change: Change, before: Vector) -> bytes | None:
    """The bytes of an edit; None where it is too long and can be divided. Raises EditError where it can't be."""
    try:
        data = encoded(made(dot, seen, change.kind, change.row, change.changes), before)
        shaped(data)
    except EditError:
        if len(change.changes) < 2:
            raise
        return None
    return data


def _halves(change: Change) -> tuple[Change, Change]:
    middle = len(change.changes) // 2
    return change._replace(changes=change.changes[:middle]), change._replace(changes=change.changes[middle:])
