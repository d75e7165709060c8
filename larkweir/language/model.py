"""Tables to the checked options: the one model that TOML fills as well, so there is one set of defaults.

What a key may hold is read from `larkweir.config.options`: its type, its bounds, its unit. In the language a key is
written without the unit in its name (`accept_ms` is `accept = 550ms`), since the value has one.
"""

from __future__ import annotations

import hashlib
from collections.abc import Sequence
from dataclasses import Field, dataclass, field, fields, replace
from types import NoneType
from typing import Any, Literal, get_args, get_origin, get_type_hints

from larkweir.config.keys import Unit, unit_of
from larkweir.config.options import NAMED, TABLES, Operator, rows
from larkweir.config.platform import Config
from larkweir.config.policies import Objection, objections
from larkweir.config.routing import routing_objections
from larkweir.language import amounts
from larkweir.language.faults import Faults, Place
from larkweir.language.resolve import Resolved, Said, Table, hint
from larkweir.language.tree import Form, Value

YES_NO = {"yes": True, "no": False, "true": True, "false": False}


@dataclass(frozen=True, slots=True)
class Key:
    """One key of a table, as the model has it and as the language writes it."""

    name: str  # in the model
    written: str  # in the language
    kind: Any  # bool, int, float, str, a tuple of str, or a tuple of words
    unit: Unit
    low: float | None
    high: float | None
    default: Any


def _kind(hint_: Any) -> Any:
    """The type without the None that stands for what is not said; the words of a Literal as a tuple."""
    options = [item for item in get_args(hint_) if item is not NoneType]
    if NoneType in get_args(hint_):
        hint_ = options[0]
    if get_origin(hint_) is Literal:
        return tuple(get_args(hint_))
    return hint_


def written_name(name: str, unit: Unit) -> str:
    for item in (Unit.TIME, Unit.RATE):
        if unit is item:
            return name.removesuffix(f"_{item.value}")
    return name


_KEYS: dict[type[Any], dict[str, Key]] = {}


def keys_of(kind: type[Any]) -> dict[str, Key]:
    """A table's keys, by how they are written."""
    if kind not in _KEYS:
        _KEYS[kind] = _keys_of(kind)
    return _KEYS[kind]


def _keys_of(kind: type[Any]) -> dict[str, Key]:
    hints = get_type_hints(kind)
    found: dict[str, Key] = {}
    item: Field[Any]
    for item in fields(kind):
        unit = unit_of(item.name, item.metadata["unit"])
        name = written_name(item.name, unit)
        found[name] = Key(
            item.name,
            name,
            _kind(hints[item.name]),
            unit,
            item.metadata["low"],
            item.metadata["high"],
            item.default,
        )
    return found


def table_type(kind: str) -> type[Any] | None:
    return TABLES.get(kind) or (NAMED[kind][0] if kind in NAMED else None)


@dataclass(slots=True)
class Model:
    """The options, and where each key that was told comes from, by `table.key` of the model."""

    options: Operator
    origins: dict[str, tuple[Place, str]] = field(
        default_factory=dict
    )  # the value's place, and the template's name


class Builder:
    """From resolved tables to the model; every fault of a name or value is told."""

    def __init__(self, faults: Faults) -> None:
        self._faults = faults
        self._origins: dict[str, tuple[Place, str]] = {}

    def build(self, resolved: Resolved) -> Model:
        singles: dict[str, Any] = {}
        named: dict[str, Any] = {held: {} for _, held in NAMED.values()}
        for table in resolved.tables.values():
            kind = table_type(table.kind)
            if kind is None:
                known = [*TABLES, *NAMED]
                self._faults.add(
                    "LW310", table.place, f"there is no block {table.kind}", hint(table.kind, known)
                )
            elif table.kind in NAMED and not table.label:
                mend = f'write {table.kind} "name" {{ ... }}'
                self._faults.add("LW311", table.place, f"a {table.kind} without its name", mend)
            elif table.kind in TABLES and table.label:
                mend = f"write {table.kind} {{ ... }}"
                self._faults.add("LW312", table.place, f"{table.kind} has no name of its own", mend)
            elif table.kind in NAMED:
                named[NAMED[table.kind][1]][table.label] = self._row(table, kind)
            else:
                singles[table.kind] = self._row(table, kind)
        options = Operator(**(singles | named))
        self._shares(options)
        return Model(replace(options, fingerprint=fingerprint(options)), self._origins)

    def _row(self, table: Table, kind: type[Any]) -> Any:
        keys = keys_of(kind)
        good: dict[str, Any] = {}
        path = f"{table.kind}.{table.label}" if table.label else table.kind
        self._origins[path] = (table.place, "")
        for name, said in table.said.items():
            key = keys.get(name)
            if key is None:
                where = f" (used by {path})" if said.template else ""
                self._faults.add(
                    "LW313", said.name.place, f"{table.kind} has no key {name}{where}", hint(name, list(keys))
                )
                continue
            try:
                good[key.name] = self._bounded(key, said, self._read(key, said.value))
            except amounts.AmountError as problem:
                self._faults.add(problem.code, said.value.place, problem.text, problem.mend)
                continue
            self._origins[f"{path}.{key.name}"] = (said.value.place, said.template)
        row = kind(**good)
        if hasattr(kind, "faults"):
            for name, text in row.faults().items():
                place, _ = self._origins.get(f"{path}.{name}", (table.place, ""))
                wrong, _, mend = text.partition("; ")
                written = next(key.written for key in keys.values() if key.name == name)
                self._faults.add("LW504", place, f"{written}: {wrong}", mend or "mend one of the two")
        return row

    def _read(self, key: Key, value: Value) -> Any:
        kind = key.kind
        if kind is bool:
            if value.form is Form.WORD and value.text in YES_NO:
                return YES_NO[value.text]
            raise amounts.AmountError("LW409", f"{_shown(value)} is neither yes nor no", "write yes or no")
        if isinstance(kind, tuple):
            if value.form in (Form.WORD, Form.TEXT) and value.text in kind:
                return value.text
            near = hint(value.text, kind) if value.text else f"there are {', '.join(kind)}"
            raise amounts.AmountError("LW410", f"{_shown(value)} is none of its words", near)
        if kind is str:
            if value.form in (Form.TEXT, Form.WORD):
                return value.text
            raise amounts.AmountError("LW411", f"{_shown(value)} is no text", 'write "..."')
        if kind == tuple[str, ...]:
            items = value.items if value.form is Form.LIST else (value,)
            for item in items:
                if item.form not in (Form.TEXT, Form.WORD):
                    mend = f'write "{item.text}"' if item.text else 'write ["a", "b"]'
                    raise amounts.AmountError("LW411", f"{_shown(item)} is no text", mend)
            return tuple(item.text for item in items)
        if value.form is not Form.AMOUNT:
            raise amounts.AmountError("LW401", f"{_shown(value)} is no amount", f"write {_example(key)}")
        return amounts.count(value.text) if kind is int else amounts.READERS[key.unit](value.text)

    def _bounded(self, key: Key, said: Said, value: Any) -> Any:
        if key.low is not None and key.high is not None and not key.low <= value <= key.high:
            low, high = amounts.written(key.low, key.unit), amounts.written(key.high, key.unit)
            raise amounts.AmountError(
                "LW412", f"{said.value.text} is out of bounds", f"from {low} to {high} is allowed"
            )
        return value

    def _shares(self, options: Operator) -> None:
        """Tenants' shares must not overlap: together they are no more than the whole."""
        whole = 0.0
        for name, policy in options.tenants.items():
            whole += policy.share or 0.0
            if whole > 1.0 + 1e-9:
                place, _ = self._origins[f"tenant.{name}.share"]
                self._faults.add(
                    "LW503",
                    place,
                    f"the shares of all tenants come to {whole:.1%} with this",
                    "let them fit into 100%",
                )
                return


def _shown(value: Value) -> str:
    if value.form is Form.LIST:
        return "a list"
    return f'"{value.text:.60}"' if value.form is Form.TEXT else f"{value.text:.60}"


def _example(key: Key) -> str:
    if isinstance(key.default, int | float) and not isinstance(key.default, bool):
        return amounts.written(key.default, key.unit)
    return {Unit.TIME: "410ms", Unit.RATE: "20/s", Unit.PART: "25%", Unit.TIMES: "4x"}.get(
        key.unit, "a number"
    )


def fingerprint(options: Operator) -> str:
    """Of what is in force, the same however it is spelled."""
    parts = []
    for table, row in sorted(rows(options), key=lambda item: item[0]):
        parts += [f"{table}.{item.name}={getattr(row, item.name)!r}" for item in fields(row)]
    return hashlib.sha256("\n".join(parts).encode()).hexdigest()[:12]


def beside(model: Model, config: Config, faults: Faults, root: str) -> None:
    """What the policies, pools and routes may not say beside a platform file."""
    found = list(objections(config.settings, config.drain_grace_ms, model.options))
    if model.options.routes or model.options.pools:
        known = set(routing_objections(model.options))  # told of already
        found += [item for item in routing_objections(model.options, config) if item not in known]
    _tell(found, model, faults, root)


def _tell(found: Sequence[Objection], model: Model, faults: Faults, root: str) -> None:
    for item in found:
        place, _ = model.origins.get(item.key, (None, ""))
        if place is None:  # a key that is at its default
            place, _ = model.origins.get(item.key.rpartition(".")[0], (Place(root), ""))
        if item.grave:
            faults.add(item.code, place, item.text, item.mend)
        else:
            faults.warn(item.code, place, item.text, item.mend)


def labelled() -> Sequence[str]:
    return list(NAMED)


def alone(model: Model, faults: Faults) -> None:
    """What can't stand together, or is legal and surely wrong, whatever the platform says."""
    if model.options.routes or model.options.pools:
        _tell(list(routing_objections(model.options)), model, faults, "")
    storms, lifecycle = model.options.storms, model.options.lifecycle
    if not storms.on:
        _in_vain(model, faults, "storms", ("connects_per_s", "clients", "whole_seconds", "fields"))
    if model.options.log.format != "json":
        _in_vain(model, faults, "log", ("requests", "requests_per_s"), 'format = "json"')
    if not model.options.door.on:
        _in_vain(model, faults, "door", ("high", "low"))
    if not model.options.budget.on:
        _in_vain(
            model,
            faults,
            "budget",
            tuple(item.name for item in fields(model.options.budget) if item.name != "on"),
        )
    if lifecycle.handover == "off" and "lifecycle.handover_ready_ms" in model.origins:
        place, _ = model.origins["lifecycle.handover_ready_ms"]
        faults.warn(
            "LW707", place, "handover_ready counts for nothing: handover is off", "leave one of them out"
        )


def _in_vain(model: Model, faults: Faults, table: str, names: Sequence[str], wants: str = "on = yes") -> None:
    for key in keys_of(TABLES[table]).values():
        found = model.origins.get(f"{table}.{key.name}")
        if found is not None and key.name in names:
            why = "is not on" if wants == "on = yes" else f"has not {wants}"
            text = f"{table}.{key.written} counts for nothing: {table} {why}"
            faults.warn("LW707", found[0], text, f"write {wants}")
            return
