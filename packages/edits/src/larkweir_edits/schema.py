"""What tables and fields there are, the rule of each, and a row's fields as parts, each written by itself."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass, field
from math import isfinite
from typing import Any

from larkweir_edits.edit import ENDED, HERE, LIST_PRESENT, STEP, Sub
from larkweir_edits.merge import ANY, LISTS, RULES

Fields = Mapping[str, Any]  # of one row; one that is not said is left out, and has its default
Tables = Mapping[str, Mapping[str, Fields]]  # by table and row
MATCH = "match"  # the unit of all fields with this rule
NUMBERS = ("smaller", "longer", "stricter", "larger_or_all")


def _no_names(table: str, fields: Fields) -> Iterable[str]:
    return ()


@dataclass(frozen=True, slots=True)
class Schema:
    """The merge rule and the default of each field, by table and field.

    `names` gives the rows of `retained_table` that a row refers to: they are retained as long as it is there.

    Raises:
        ValueError: a field has no known rule, or no default.
    """

    rules: Mapping[str, Mapping[str, str]]
    defaults: Mapping[str, Fields]
    retained_table: str = ""
    names: Callable[[str, Fields], Iterable[str]] = _no_names
    _blank: dict[str, dict[Sub, Any]] = field(init=False, default_factory=dict)

    def __post_init__(self) -> None:
        for table, fields in self.rules.items():
            for name, rule in fields.items():
                if rule not in RULES:
                    raise ValueError(f"{table}.{name}: no rule says how it merges ({rule!r})")
                if name not in self.defaults.get(table, {}):
                    raise ValueError(f"{table}.{name}: has no default")
                if name in ("", MATCH, ENDED, STEP):
                    raise ValueError(f"{table}.{name}: the name is taken")
            self._blank[table] = self.parts(table, {})

    def rule(self, table: str, unit: str) -> str:
        """Of a unit; "" for one that is not known here."""
        if unit == HERE[0]:
            return "here"
        fields = self.rules.get(table, {})
        return MATCH if unit == MATCH and MATCH in fields.values() else fields.get(unit, "")

    def blank(self, table: str) -> Mapping[Sub, Any]:
        """The parts of a row that says nothing."""
        return self._blank[table]

    def unit(self, table: str, name: str) -> str:
        """The unit that a field belongs to."""
        return MATCH if self.rules[table].get(name) == MATCH else name

    def parts(self, table: str, fields: Fields) -> dict[Sub, Any]:
        """A row as parts; an element that is not there is left out."""
        found: dict[Sub, Any] = {}
        together: dict[str, Any] = {}
        for name, rule in self.rules[table].items():
            value = fields.get(name, self.defaults[table][name])
            if isinstance(value, tuple | list) and rule not in LISTS:
                value = list(value)
            if rule == MATCH:
                if value != _listed(self.defaults[table][name]):
                    together[name] = value
            elif rule == "split":
                for text in value or ():
                    pool, _, part = str(text).strip().rpartition(" ")
                    found[(name, pool.strip() or part)] = part if pool else "100%"
            elif rule in LISTS:
                found[(name, LIST_PRESENT)] = False if value is None else bool(value) or ANY
                found.update({(name, str(element)): True for element in value or () if element})
            else:
                found[(name, "")] = value
        if MATCH in self.rules[table].values():
            found[(MATCH, "")] = together
        return found

    def fields(self, table: str, parts: Mapping[Sub, Any]) -> dict[str, Any]:
        """The other way; only what is not its default."""
        found: dict[str, Any] = {}
        lists: dict[str, list[str]] = {}
        for (unit, element), value in parts.items():
            rule = self.rule(table, unit)
            if rule == MATCH:
                found.update({name: _tupled(item) for name, item in (value or {}).items()})
            elif rule == "split":
                lists.setdefault(unit, [])
                if value:
                    lists[unit].append(f"{element} {value}")
            elif rule in LISTS:
                if value:
                    lists.setdefault(unit, [])
                    if element != LIST_PRESENT:
                        lists[unit].append(element)
            elif rule:
                found[unit] = _tupled(value)
        found.update({unit: tuple(sorted(items)) for unit, items in lists.items()})
        defaults = self.defaults[table]
        return {
            name: value
            for name, value in found.items()
            if name in defaults and value != _tupled(defaults[name])
        }


def fits(rule: str, value: Any) -> bool:
    """Whether a value from outside is of a kind that its rule can weigh; one that is not is left out by all alike."""
    if rule in NUMBERS:
        return value is None or (type(value) in (int, float) and isfinite(value))
    if rule == "split":
        return not value or isinstance(value, str)
    if rule in LISTS:
        return value is True or value is False or value == ANY
    if rule == MATCH:
        return isinstance(value, dict)
    return isinstance(value, str) if rule == "off" else bool(rule)


def _listed(value: Any) -> Any:
    return list(value) if isinstance(value, tuple) else value


def _tupled(value: Any) -> Any:
    return tuple(value) if isinstance(value, list) else value
