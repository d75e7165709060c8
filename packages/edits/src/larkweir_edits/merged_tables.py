"""All rows together: pools that stay because they are named, and the check of the whole, which puts back what
can't stand.

What is put back is a function of the writes alone, so it is the same at every copy: of the fields that a fault names,
the newest write (by `Edit.order`) goes, all faults at a time, until there is none.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping, Sequence
from dataclasses import dataclass
from typing import Any

from larkweir_edits import merge
from larkweir_edits.edit import HERE, Dot, RowKey
from larkweir_edits.merge import Write
from larkweir_edits.rows import Notice, Row, View
from larkweir_edits.schema import Schema, Tables

BACK = "put back: with it the whole does not pass"
NAMED = "deleted, and still named: it stays"
FAULT = "the whole does not pass, and nothing is left to put back"


@dataclass(frozen=True, slots=True)
class Fault:
    """What a whole may not say. `fields` are all that it rests on, as (table, row, field), field "" for whether the
    row is there: the same values of these fields give the same fault, whatever the others say.
    """

    text: str
    fields: tuple[tuple[str, str, str], ...]


Check = Callable[[Tables], Sequence[Fault]]


@dataclass(frozen=True, slots=True)
class MergedTables:
    """What counts. `back` is what was put back, as (row, unit, dot); `stays` are deleted rows that are named."""

    tables: Mapping[str, Mapping[str, Mapping[str, Any]]]
    notices: tuple[Notice, ...]
    back: frozenset[tuple[RowKey, str, Dot]] = frozenset()
    stays: frozenset[RowKey] = frozenset()
    steps: Mapping[RowKey, Mapping[str, Any]] | None = None


def merged(
    schema: Schema, rows: Mapping[RowKey, Row], views: dict[RowKey, View], check: Check | None
) -> MergedTables:
    """`views` are the rows' own, kept between calls by who calls; it is filled in where one is missing."""
    for key, row in rows.items():
        if key not in views:
            views[key] = row.view(schema)
    now = dict(views)
    back: set[tuple[RowKey, str, Dot]] = set()
    wrong = ""
    while True:
        tables, stays = _tables(schema, now)
        faults = check(tables) if check is not None else ()
        if not faults:
            break
        more = set(_newest(schema, rows, faults, back)) or set(_newest_of_all(rows, back))
        if not more:
            wrong = faults[0].text
            break
        back |= more
        for key in {item[0] for item in more}:
            now[key] = rows[key].view(schema, {item[1:] for item in back if item[0] == key})
    notices = [item for view in now.values() for item in view.notices]
    notices += [Notice(*key, unit, BACK, ((dot[0], dot[1]),)) for key, unit, dot in back]
    notices += [Notice(*key, "", NAMED) for key in stays]
    if wrong:
        notices.append(Notice("", "", "", f"{FAULT}: {wrong}"))
    notices.sort(key=lambda item: (item.table, item.row, item.unit, item.why))
    steps = {key: view.steps for key, view in now.items() if view.steps}
    return MergedTables(tables, tuple(notices), frozenset(back), frozenset(stays), steps)


def _tables(
    schema: Schema, views: Mapping[RowKey, View]
) -> tuple[dict[str, dict[str, Mapping[str, Any]]], set[RowKey]]:
    tables: dict[str, dict[str, Mapping[str, Any]]] = {table: {} for table in schema.rules}
    away: set[RowKey] = set()
    for key in sorted(views):
        if views[key].here:
            tables[key[0]][key[1]] = views[key].fields
        elif key[0] == schema.retained_table:
            away.add(key)
    stays: set[RowKey] = set()
    if not away:
        return tables, stays
    pending = [(table, name) for table, found in tables.items() for name in found]
    while pending and len(stays) < len(away):
        key = pending.pop()
        for name in schema.names(key[0], views[key].fields):
            retained = (schema.retained_table, name)
            if retained in away and retained not in stays:
                stays.add(retained)
                pending.append(retained)
                tables[schema.retained_table][name] = views[retained].fields
    if stays:
        tables[schema.retained_table] = dict(sorted(tables[schema.retained_table].items()))
    return tables, stays


def _left(row: Row, unit: str, back: set[tuple[RowKey, str, Dot]]) -> Iterator[Write]:
    key = (row.table, row.name)
    grave = row.grave()
    for sub, writes in (row if grave is None else row.without(grave)).writes.items():
        if sub[0] == unit:
            yield from (item for item in merge.valid(writes) if (key, unit, item.edit.dot) not in back)


def _newest(
    schema: Schema, rows: Mapping[RowKey, Row], faults: Sequence[Fault], back: set[tuple[RowKey, str, Dot]]
) -> Iterator[tuple[RowKey, str, Dot]]:
    """Of the fields that each fault names."""
    for fault in faults:
        best: tuple[tuple[int, str, int], RowKey, str, Dot] | None = None
        for table, name, field in fault.fields:
            row = rows.get((table, name))
            if row is None or table not in schema.rules:
                continue
            unit = schema.unit(table, field) if field in schema.rules[table] else HERE[0]
            for item in _left(row, unit, back):
                found = (item.edit.order, (table, name), unit, item.edit.dot)
                best = found if best is None or found > best else best
        if best is not None:
            yield best[1:]


def _newest_of_all(
    rows: Mapping[RowKey, Row], back: set[tuple[RowKey, str, Dot]]
) -> Iterator[tuple[RowKey, str, Dot]]:
    """Where a fault names nothing that was written."""
    best: tuple[tuple[int, str, int], RowKey, str, Dot] | None = None
    for key, row in rows.items():
        for unit in {sub[0] for sub in row.writes}:
            for item in _left(row, unit, back):
                found = (item.edit.order, key, unit, item.edit.dot)
                best = found if best is None or found > best else best
    if best is not None:
        yield best[1:]
