"""Routes and pools of an operator file as the tables that edits change, and back; the check of merged tables."""

from __future__ import annotations

from collections.abc import Iterable, Mapping, Sequence
from dataclasses import fields, replace
from functools import lru_cache
from typing import Any, get_type_hints

import msgspec
from larkweir_edits.merged_tables import Fault
from larkweir_edits.schema import Fields, Schema, Tables

from larkweir.config.operator import said_type, value_fault
from larkweir.config.options import NAMED, Operator, Route
from larkweir.config.platform import Config
from larkweir.config.routing import rests_of, routing_objections

OPTION_FIELDS = {table: NAMED[table][1] for table in ("pool", "route")}  # by table, the field of `Operator`
ALL = "all"  # the route that stands in where there is none: all that comes goes to the default pool
_KINDS: dict[str, type[Any]] = {table: NAMED[table][0] for table in OPTION_FIELDS}
_ITEMS = {table: {item.name: item for item in fields(kind)} for table, kind in _KINDS.items()}
_TYPES = {
    table: {name: said_type(hint) for name, hint in get_type_hints(kind).items() if name in _ITEMS[table]}
    for table, kind in _KINDS.items()
}


def _named(table: str, row: Fields) -> Iterable[str]:
    """The pools that a row names, so that they stay while it does."""
    if table == "pool":
        return (row["parent"],) if row.get("parent") else ()
    split = (str(text).strip().rpartition(" ")[0].strip() for text in row.get("split", ()))
    mirror = (row["mirror"],) if row.get("mirror") else ()
    return (row.get("pool", "default"), *split, *row.get("fallback", ()), *mirror)


@lru_cache(1)
def schema() -> Schema:
    """Of the rules that stand beside the options themselves."""
    return Schema(
        {
            table: {name: item.metadata["merge"].value for name, item in _ITEMS[table].items()}
            for table in OPTION_FIELDS
        },
        {table: {name: item.default for name, item in _ITEMS[table].items()} for table in OPTION_FIELDS},
        "pool",
        _named,
    )


def tables_of(options: Operator) -> dict[str, dict[str, dict[str, Any]]]:
    """What a file says of routes and pools: by table and row, the keys that have not their default."""
    return {
        table: {
            name: {
                key: getattr(row, key)
                for key, item in _ITEMS[table].items()
                if getattr(row, key) != item.default
            }
            for name, row in getattr(options, option_field).items()
        }
        for table, option_field in OPTION_FIELDS.items()
    }


class TableCheck:
    """The check of a whole, as a file's: the same at every copy, since it goes by routes and pools alone. What of a
    whole does not fit this process's platform file fits no request here, and is told beside (`foreign`).

    Rows that are as they were are not looked at again.
    """

    def __init__(self, config: Config | None = None) -> None:
        self.config = config
        self.foreign: tuple[str, ...] = ()  # of the whole that was looked at last
        self._rows: dict[tuple[str, str], tuple[Fields, Any, tuple[Fault, ...]]] = {}

    def __call__(self, tables: Tables) -> Sequence[Fault]:
        found: list[Fault] = []
        options = Operator(pools=self.rows("pool", tables, found), routes=self.rows("route", tables, found))
        stated = [item for item in routing_objections(options, self.config) if item.grave]
        found += [Fault(f"{item.key}: {item.text}", item.rests) for item in stated if not item.platform]
        self.foreign = tuple(f"{item.key}: {item.text}" for item in stated if item.platform)
        return found

    def rows(self, table: str, tables: Tables, faults: list[Fault] | None = None) -> dict[str, Any]:
        """A table's rows as options; one that can't be is as if it said nothing, and its faults are added."""
        rows = {}
        for name, stated in tables.get(table, {}).items():
            cached = self._rows.get((table, name))
            if cached is None or cached[0] is not stated:
                cached = self._rows[(table, name)] = (stated, *_row(table, name, stated))
            rows[name] = cached[1]
            if faults is not None:
                faults += cached[2]
        if len(self._rows) > 2 * sum(len(found) for found in tables.values()) + 64:  # rows that are gone
            self._rows = {key: row for key, row in self._rows.items() if key[1] in tables.get(key[0], {})}
        return rows

    def over(self, options: Operator, tables: Tables) -> Operator:
        """The operator file with the merged routes and pools in place of its own."""
        routes = self.rows("route", tables) or {ALL: Route()}
        return replace(options, pools=self.rows("pool", tables), routes=routes)


def _row(table: str, name: str, stated: Fields) -> tuple[Any, tuple[Fault, ...]]:
    """As the operator file's own reader has it."""
    good: dict[str, Any] = {}
    found: list[Fault] = []
    for key, value in stated.items():
        item = _ITEMS[table][key]
        kind = _TYPES[table][key]
        fault = value_fault(kind, value, item.metadata["low"], item.metadata["high"])
        if fault:
            found.append(Fault(f"{table}.{name}.{key}: {fault}", ((table, name, ""), (table, name, key))))
        else:
            good[key] = msgspec.convert(value, kind)
    row = _KINDS[table](**good)
    if isinstance(row, Route):
        found += [
            Fault(f"route.{name}.{key}: {fault}", rests_of(name, key)) for key, fault in row.faults().items()
        ]
    return row, tuple(found)


def differs(one: Tables, other: Tables) -> int:
    """Fields that two do not say alike; a row that one lacks counts as one."""
    count = 0
    for table in OPTION_FIELDS:
        mine, theirs = one.get(table, {}), other.get(table, {})
        for name in {*mine, *theirs}:
            if name not in mine or name not in theirs:
                count += 1
            elif mine[name] is not theirs[name]:
                left, right = schema().parts(table, mine[name]), schema().parts(table, theirs[name])
                units = {sub[0] for sub in {*left, *right} if left.get(sub, False) != right.get(sub, False)}
                count += len(units)
    return count


class ResolutionTarget:
    """What `settle` names: a row (`route.orders`), or a field of one (`route.orders.path`)."""

    def __init__(self, text: str) -> None:
        """ValueError where it names neither."""
        self.table, _, rest = text.partition(".")
        if self.table not in OPTION_FIELDS or not rest:
            raise ValueError(text)
        name, _, key = rest.rpartition(".")
        known = bool(name) and key in _ITEMS[self.table]
        self.name, self.key = (name, key) if known else (rest, "")

    def stated_fields(self, tables: Tables) -> Mapping[str, Any] | None:
        """What the file says of it, defaults too; None where it has no such row."""
        row = tables.get(self.table, {}).get(self.name)
        if row is None:
            return None
        items = _ITEMS[self.table]
        unit = schema().unit(self.table, self.key) if self.key else ""
        keys = [key for key in items if not unit or schema().unit(self.table, key) == unit]
        return {key: row.get(key, items[key].default) for key in keys}


__all__ = ["ALL", "ResolutionTarget", "TableCheck", "differs", "schema", "tables_of"]
