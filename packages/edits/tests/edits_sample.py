"""A schema as routes and pools have it, a check of the whole, and copies that hand edits to one another."""

from __future__ import annotations

from collections.abc import Iterable
from typing import Any

from larkweir_edits.differences import Change, differences
from larkweir_edits.edit import Kind, RowKey, Sub
from larkweir_edits.merged_tables import Fault, MergedTables
from larkweir_edits.schema import Schema
from larkweir_edits.state import State

RULES = {
    "pool": {
        "parent": "one",
        "zones": "set",
        "evacuated": "lifted",
        "subset": "larger_or_all",
        "attempts": "smaller",
        "protocol": "one",
    },
    "route": {
        "pool": "one",
        "host": "match",
        "path": "match",
        "split": "split",
        "alarm": "stricter",
        "ramp_ms": "longer",
        "mirror": "off",
        "mirror_part": "smaller",
    },
}
DEFAULTS: dict[str, dict[str, Any]] = {
    "pool": dict.fromkeys(RULES["pool"]) | {"parent": ""},
    "route": {
        "pool": "default",
        "host": "",
        "path": "",
        "split": (),
        "alarm": 0.01,
        "ramp_ms": 0.0,
        "mirror": "",
        "mirror_part": 1.0,
    },
}


def names(table: str, fields: Any) -> Iterable[str]:
    if table == "pool":
        return [fields["parent"]] if fields.get("parent") else []
    split = [text.rpartition(" ")[0] for text in fields.get("split", ())]
    return [fields.get("pool", "default"), *split, *([fields["mirror"]] if fields.get("mirror") else [])]


SCHEMA = Schema(RULES, DEFAULTS, "pool", names)


def check(tables: Any) -> list[Fault]:
    """Pools that are named are there; the parts of a split are no more than all; no two routes have one path."""
    found = []
    places: dict[tuple[str, str], str] = {}
    for name, fields in tables["route"].items():
        for pool in names("route", fields):
            if pool != "default" and pool not in tables["pool"]:
                rests = (
                    ("route", name, "pool"),
                    ("route", name, "split"),
                    ("route", name, "mirror"),
                    ("pool", pool, ""),
                )
                found.append(Fault(f"route.{name}: there is no pool {pool}", (("route", name, ""), *rests)))
        if sum(float(text.split()[-1].rstrip("%")) for text in fields.get("split", ())) > 100:
            found.append(Fault(f"route.{name}: parts", (("route", name, "split"),)))
        place = (fields.get("host", ""), fields.get("path", ""))
        if place in places:
            both = tuple(("route", one, key) for one in (places[place], name) for key in ("host", ""))
            found.append(Fault(f"route.{name}: the same place", both))
        places.setdefault(place, name)
    return found


BASE: dict[str, Any] = {
    "pool": {
        "next": {},
        "other": {},
        "spare": {},
        "west": {"zones": ("a", "b"), "attempts": 3, "subset": 40},
    },
    "route": {
        "r": {"path": "/r", "pool": "west", "split": ("next 10%",), "alarm": 0.02},
        "s": {"path": "/s"},
        "m": {"path": "/m", "mirror": "other"},
    },
}


class Replica:
    """One edge: its file, its state, and every edit that it has as bytes."""

    def __init__(self, name: str, base: Any = BASE, checks: bool = True) -> None:
        self.name = name
        self.file: Any = {
            table: {row: dict(fields) for row, fields in rows.items()} for table, rows in base.items()
        }
        self.state = State(SCHEMA, b"origin", base)
        self.check = check if checks else None
        self.all: dict[tuple[str, int], bytes] = {}

    def put(self, changes: Iterable[Change]) -> None:
        for data in self.state.make(self.name, changes):
            count = self.state.vector.get(self.name, 0) + 1
            self.all[(self.name, count)] = data
            self.state.take(self.name, data)

    def say(self, table: str, row: str, **fields: Any) -> None:
        """The file says so from now on, and is loaded again."""
        old = self.file
        self.file = {kind: {name: dict(item) for name, item in rows.items()} for kind, rows in old.items()}
        self.file[table].setdefault(row, {}).update(fields)
        self.put(differences(SCHEMA, old, self.file, self.state.now))

    def drop(self, table: str, row: str) -> None:
        old = self.file
        self.file = {
            kind: {name: item for name, item in rows.items() if (kind, name) != (table, row)}
            for kind, rows in old.items()
        }
        self.put(differences(SCHEMA, old, self.file, self.state.now))

    def own(self, row: RowKey, sub: Sub, term: int, number: int, what: Any) -> None:
        self.put([Change(Kind.OWNER, row, ((sub, [term, number, what]),))])

    def give(self, *others: Replica) -> None:
        for other in others:
            for dot, data in list(self.all.items()):
                other.all[dot] = data
                other.state.take(dot[0], data)

    def merged(self) -> MergedTables:
        return self.state.merged(self.check)

    def get(self, table: str, row: str, field: str) -> Any:
        rows = self.merged().tables[table]
        return rows[row].get(field, DEFAULTS[table][field]) if row in rows else "gone"

    def why(self) -> set[str]:
        return {item.why for item in self.merged().notices}


def meet(*copies: Replica) -> None:
    for one in copies:
        one.give(*(other for other in copies if other is not one))
    for one in copies:
        one.give(*(other for other in copies if other is not one))
