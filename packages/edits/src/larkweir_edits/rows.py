"""One row: its base, which all have seen, the writes above it, and what both come to."""

from __future__ import annotations

from collections.abc import Collection, Iterator, Mapping
from dataclasses import dataclass, field
from typing import Any

from larkweir_edits import merge
from larkweir_edits.edit import ENDED, HERE, LIST_PRESENT, STEP, Dot, Edit, Kind, Sub, Vector
from larkweir_edits.merge import LISTS, UNITS, Found, Write
from larkweir_edits.schema import Schema, fits


@dataclass(frozen=True, slots=True)
class Notice:
    """Something that staff should look at. `proposals` are (writer, value), the newest first."""

    table: str
    row: str
    unit: str
    why: str
    proposals: tuple[tuple[str, Any], ...] = ()


@dataclass(frozen=True, slots=True)
class View:
    """What a row comes to; `fields` are its parts as a file says them."""

    here: bool
    parts: Mapping[Sub, Any]
    fields: Mapping[str, Any]
    notices: tuple[Notice, ...]
    steps: Mapping[str, Any]  # an owner's writes, by name: [term, number, value]


CONFLICT = "conflict"  # the last value that both had is in force
LATE = "proposal"  # of one who was away for too long; not in force
STAYS = "deleted at one, edited at another: it stays"
EMPTY = "two took out what together was all: the list before is in force"
ENDS = "ended by a verdict"


@dataclass(slots=True, eq=False)
class Row:
    """`base` holds only what differs from a blank row."""

    table: str
    name: str
    here: bool = False
    base: dict[Sub, Any] = field(default_factory=dict)
    writes: dict[Sub, list[Write]] = field(default_factory=dict)

    def add(self, schema: Schema, edit: Edit, void: bool) -> None:
        """Add an edit's writes. `void`: its writer was struck, so that they are proposals."""
        for sub, value in edit.writes():
            rule = schema.rule(self.table, sub[0])
            if sub == HERE or sub[0] in (ENDED, STEP) or fits(rule, value):
                self.writes.setdefault(sub, []).append(Write(edit, value, void))

    def mark(self, void: Mapping[str, int]) -> None:
        """Make proposals of all that a writer wrote past its number."""
        for sub, group in self.writes.items():
            self.writes[sub] = [
                Write(item.edit, item.value, item.edit.dot[1] > void.get(item.edit.dot[0], item.edit.dot[1]))
                for item in group
            ]

    # A row that is new is there once all that it is has a value: of two who each made one of its name, and differ,
    # neither counts, as before.

    def units(self) -> dict[str, dict[Sub, list[Write]]]:
        """The writes by unit, then by part."""
        found: dict[str, dict[Sub, list[Write]]] = {}
        for sub, group in self.writes.items():
            found.setdefault(sub[0], {})[sub] = group
        return found

    def _base(self, schema: Schema, sub: Sub) -> Any:
        if sub == HERE:
            return self.here
        return self.base[sub] if sub in self.base else schema.blank(self.table).get(sub)

    def view(self, schema: Schema, back: Collection[tuple[str, Dot]] = ()) -> View:
        """What the row comes to without the writes in `back` (unit and dot), which the check of the whole put back."""
        if not back and self.grave() is None:
            return self._view(schema)
        here = [item for item in self.writes.get(HERE, ()) if (HERE[0], item.edit.dot) not in back]
        grave = Row(self.table, self.name, self.here, {}, {HERE: here}).grave()
        row = self if grave is None else self.without(grave)
        left = {  # a part of which all is put back stays in it: so a new row without it is not there
            sub: [item for item in writes if (sub[0], item.edit.dot) not in back]
            for sub, writes in row.writes.items()
        }
        return Row(self.table, self.name, row.here, row.base, left)._view(schema)

    def _view(self, schema: Schema) -> View:
        parts = {**schema.blank(self.table), **self.base}
        steps = {sub[1]: value for sub, value in self.base.items() if sub[0] == STEP}
        units = self.units()
        here, nowhere = self.here, False
        notices: list[Notice] = []
        for unit, group in units.items():
            rule = schema.rule(self.table, unit)
            if unit == STEP:
                steps |= {
                    sub[1]: merge.termed(writes, self.base.get(sub))[0] for sub, writes in group.items()
                }
            elif unit == HERE[0]:
                found = merge.field("here", group[HERE], self.here)
                here = found.value
                notices += self._notices_of(unit, found, STAYS)
            elif rule in LISTS:
                notices += self._list(schema, rule, unit, group, parts)
            elif rule:
                sub = (unit, "")
                found = merge.field(rule, group.get(sub, ()), self._base(schema, sub))
                parts[sub] = found.value
                nowhere = nowhere or (rule in UNITS and found.base and not self.here)
                notices += self._notices_of(unit, found, CONFLICT)
        self._end(schema, units, parts, notices)
        parts = {sub: value for sub, value in parts.items() if sub[0] not in (STEP, ENDED)}
        return View(here and not nowhere, parts, schema.fields(self.table, parts), tuple(notices), steps)

    def grave(self) -> Edit | None:
        """The newest deletion that all who wrote to the row had seen, or that had seen them. What was before it does
        not come back with a row of the same name.
        """
        every = [item.edit for item in merge.valid(self.writes.get(HERE, ()))]
        for edit in sorted(every, key=lambda item: item.order, reverse=True):
            if edit.kind is Kind.DELETE and all(
                item is edit or edit.saw(item.dot) or item.saw(edit.dot) for item in every
            ):
                return edit
        return None

    def without(self, grave: Edit) -> Row:
        """What was written since a deletion, and beside it."""
        left = {
            sub: [item for item in writes if item.edit is not grave and not grave.saw(item.edit.dot)]
            for sub, writes in self.writes.items()
        }
        return Row(self.table, self.name, False, {}, {sub: writes for sub, writes in left.items() if writes})

    def _notices_of(self, unit: str, found: Found, why: str) -> Iterator[Notice]:
        if found.proposals:
            late = all(item.void for item in found.proposals)
            reported = tuple((item.edit.dot[0], item.value) for item in found.proposals)
            yield Notice(self.table, self.name, unit, LATE if late else why, reported)

    def _list(
        self, schema: Schema, rule: str, unit: str, group: Mapping[Sub, list[Write]], parts: dict[Sub, Any]
    ) -> list[Notice]:
        base = {sub: value for sub, value in parts.items() if sub[0] == unit}
        found, is_present, empty = merge.listed(rule, group, base)
        for sub in base:
            del parts[sub]
        parts.update({(unit, element): value for element, value in found.items()})
        if rule != "split":
            parts[(unit, LIST_PRESENT)] = is_present
        late = sorted(
            (item for writes in group.values() for item in merge.proposals(writes)),
            key=lambda item: item.edit.order,
            reverse=True,
        )[: merge.MAX_PROPOSALS]
        names = {id(item): sub[1] for sub, writes in group.items() for item in writes}
        notices = [Notice(self.table, self.name, unit, EMPTY)] if empty else []
        if late:
            reported = tuple((item.edit.dot[0], [names[id(item)], item.value]) for item in late)
            notices.append(Notice(self.table, self.name, unit, LATE, reported))
        return notices

    def _end(
        self,
        schema: Schema,
        units: Mapping[str, Mapping[Sub, list[Write]]],
        parts: dict[Sub, Any],
        notices: list[Notice],
    ) -> None:
        """Parts of a split that a verdict ended get nothing."""
        verdicts = {sub[1] for sub in (*self.base, *units.get(ENDED, ())) if sub[0] == ENDED}
        if not verdicts:
            return
        for unit, rule in schema.rules[self.table].items():
            for pool in verdicts if rule == "split" else ():
                if not parts.get((unit, pool)):
                    continue
                done, _ = merge.ended(
                    units.get(unit, {}).get((unit, pool), ()),
                    units.get(ENDED, {}).get((ENDED, pool), ()),
                    self.base.get((ENDED, pool)),
                )
                if done:
                    parts[(unit, pool)] = "0%"
                    notices.append(Notice(self.table, self.name, unit, f"{pool}: {ENDS}"))

    def floor(self, sub: Sub) -> tuple[int, int]:
        """The highest (term, number) of an owner's register."""
        value, _ = merge.termed(self.writes.get(sub, ()), self.base.get(sub))
        return (value[0], value[1]) if value else (-1, -1)

    # ------------------------------------------------ what all have seen

    def fold(self, schema: Schema, stable: Vector) -> bool:
        """Put into the base what every write above it, and every one that is still to come, has seen: `stable` is what
        all copies have applied. Whether anything was. What the row comes to is the same before and after.
        """
        grave = self.grave()
        if grave is not None and stable.get(grave.dot[0], 0) >= grave.dot[1]:
            left = self.without(grave)
            self.here, self.base, self.writes = left.here, left.base, left.writes
            self.fold(schema, stable)
            return True
        units = self.units()
        moved = HERE[0] in units and self._fold(schema, "here", units.pop(HERE[0]), stable)
        if not self.here:
            return moved  # its parts are kept as long as it is not there for all
        for unit, group in units.items():
            rule = schema.rule(self.table, unit)
            if unit in (STEP, ENDED):
                moved = self._fold_registers(schema, group, stable) or moved
            elif rule == "split":
                for sub, writes in group.items():
                    moved = self._fold(schema, rule, {sub: writes}, stable) or moved
            else:
                moved = self._fold(schema, rule, group, stable) or moved
        return moved

    def _fold(self, schema: Schema, rule: str, group: Mapping[Sub, list[Write]], stable: Vector) -> bool:
        every = {item.edit.dot: item.edit for writes in group.values() for item in merge.valid(writes)}
        top = next(
            (
                edit
                for edit in sorted(every.values(), key=lambda item: item.order, reverse=True)
                if stable.get(edit.dot[0], 0) >= edit.dot[1]
                and all(edit is item or edit.saw(item.dot) or item.saw(edit.dot) for item in every.values())
            ),
            None,
        )
        if top is None:
            return False
        below = {dot for dot, item in every.items() if item is top or top.saw(dot)}
        if rule == "set" and self._emptied(schema, group, below):
            return False  # until it is settled
        if rule == "here" and not self.here and top.kind is Kind.WRITE and self._nowhere(schema, below):
            return False
        for sub, writes in group.items():
            remaining = [item for item in writes if item.edit.dot not in below and not top.saw(item.edit.dot)]
            old = [item for item in writes if item.edit.dot in below and not item.void]
            if old:
                self._set_base(schema, sub, merge.field(rule, old, self._base(schema, sub)).value)
                if rule == "split":
                    self._lift(sub, top)
            if remaining:
                self.writes[sub] = remaining
            else:
                del self.writes[sub]
        return True

    def _nowhere(self, schema: Schema, below: Collection[Dot]) -> bool:
        return any(
            merge.field(rule, [item for item in writes if item.edit.dot in below], None).base
            for sub, writes in self.writes.items()
            if (rule := schema.rule(self.table, sub[0])) in UNITS
        )

    def _emptied(self, schema: Schema, group: Mapping[Sub, list[Write]], below: Collection[Dot]) -> bool:
        unit = next(iter(group))[0]
        base = {sub: value for sub, value in schema.blank(self.table).items() if sub[0] == unit}
        base |= {sub: value for sub, value in self.base.items() if sub[0] == unit}
        old = {sub: [item for item in writes if item.edit.dot in below] for sub, writes in group.items()}
        return merge.listed("set", old, base)[2]

    def _set_base(self, schema: Schema, sub: Sub, value: Any) -> None:
        if sub == HERE:
            self.here = bool(value)
        elif value == schema.blank(self.table).get(sub) or (
            not value and sub not in schema.blank(self.table)
        ):
            self.base.pop(sub, None)
        else:
            self.base[sub] = value

    def _lift(self, sub: Sub, top: Edit) -> None:
        """A part goes into the base that was changed by one who had seen its verdict."""
        mark = (ENDED, sub[1])
        value, write = merge.termed(self.writes.get(mark, ()), self.base.get(mark))
        if value is not None and (write is None or top.saw(write.edit.dot)):
            self.base[mark] = [value[0], value[1], False]

    def _fold_registers(self, schema: Schema, group: Mapping[Sub, list[Write]], stable: Vector) -> bool:
        moved = False
        for sub, writes in group.items():
            value, best = merge.termed(writes, self.base.get(sub))
            if best is not None and stable.get(best.edit.dot[0], 0) < best.edit.dot[1]:
                continue
            if sub[0] == ENDED and best is not None:
                above = [
                    item
                    for part, items in self.writes.items()
                    if part[1] == sub[1] and schema.rule(self.table, part[0]) == "split"
                    for item in merge.valid(items)
                ]
                if any(not item.edit.saw(best.edit.dot) for item in above):
                    continue
            self.base[sub] = value
            remaining = [item for item in writes if stable.get(item.edit.dot[0], 0) < item.edit.dot[1]]
            moved = moved or len(remaining) < len(writes)
            if remaining:
                self.writes[sub] = remaining
            else:
                del self.writes[sub]
        return moved

    @property
    def gone(self) -> bool:
        """Whether nothing is left to keep: deleted, and all have seen it."""
        return not self.here and not self.writes
