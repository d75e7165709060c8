"""The operator file, TOML to checked options. Imported only where there is such a file."""

from __future__ import annotations

import tomllib
from dataclasses import fields
from difflib import get_close_matches
from types import NoneType
from typing import Any, get_args, get_type_hints

import msgspec

from larkweir.config.options import NAMED, TABLES, Operator
from larkweir.config.platform import ConfigError

WORDS = {
    bool: "true or false",
    float: "a number",
    int: "a whole number",
    str: 'a text, "..."',
    tuple[str, ...]: 'a list of texts, ["...", ...]',
}


def value_fault(kind: Any, value: Any, low: float | None, high: float | None) -> str:
    """Why a value does not do, and what would; empty if it does."""
    wants = WORDS.get(kind) or "one of " + ", ".join(f'"{word}"' for word in get_args(kind))
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError:
        return f"{value!r:.100} does not do; write {wants}"
    if low is not None and high is not None and not low <= value <= high:
        return f"{value!r:.100} is out of bounds; write {wants} from {low:g} to {high:g}"
    return ""


def _unknown(name: str, known: list[str], what: str) -> str:
    near = get_close_matches(name, known, 1)
    hint = f"did you mean {near[0]!r}?" if near else f"known here: {', '.join(known)}"
    return f"{name}: is no {what}; {hint}"


def decode(text: str) -> tuple[Operator, list[str]]:
    """The options, and every fault as `key: what is wrong and what would do`; the options count only if there
    is none.
    """
    try:
        data = tomllib.loads(text)
    except (tomllib.TOMLDecodeError, RecursionError) as problem:
        return Operator(), [f"TOML: {problem}; nothing of the file is read"]
    faults: list[str] = []
    tables: dict[str, Any] = {}
    for table, rows in data.items():
        if not isinstance(rows, dict) and (table in TABLES or table in NAMED):
            faults.append(f"{table}: {rows!r:.100} is no table; write [{table}] and its keys below")
        elif table in TABLES:
            tables[table] = _row(table, TABLES[table], rows, faults)
        elif table in NAMED:
            kind, held = NAMED[table]
            tables[held] = {}
            for name, row in rows.items():
                if isinstance(row, dict):
                    tables[held][name] = _row(f"{table}.{name}", kind, row, faults)
                else:
                    faults.append(f"{table}.{name}: {row!r:.100} is no table; write [{table}.{name}]")
        else:
            faults.append(_unknown(table, [*TABLES, *NAMED], "table"))
    options = Operator(**tables)
    if (options.routes or options.pools) and not faults:
        from larkweir.config.routing import routing_objections  # not imported where there is no route

        faults += [
            f"{item.key}: {item.text}; {item.mend}" for item in routing_objections(options) if item.grave
        ]
    return options, faults


def _row(table: str, kind: type[Any], rows: dict[str, Any], faults: list[str]) -> Any:
    """One table's keys; what is wrong with any is added to the faults."""
    known = {item.name: item.metadata for item in fields(kind)}
    hints = get_type_hints(kind)
    good: dict[str, Any] = {}
    for key, value in rows.items():
        if key not in known:
            faults.append(f"{table}.{_unknown(key, list(known), 'key')}")
            continue
        fault = value_fault(said_type(hints[key]), value, known[key]["low"], known[key]["high"])
        if fault:
            faults.append(f"{table}.{key}: {fault}")
        else:
            good[key] = msgspec.convert(value, hints[key])
    row = kind(**good)
    if hasattr(kind, "faults"):
        faults += [f"{table}.{key}: {fault}" for key, fault in row.faults().items()]
    return row


def said_type(kind: Any) -> Any:
    """The type of what is said, without the None that stands for nothing said."""
    options = [item for item in get_args(kind) if item is not NoneType]
    return options[0] if NoneType in get_args(kind) and len(options) == 1 else kind


def load(path: str) -> Operator:
    """The options of a file; ConfigError, one line with the first fault, if it can't be used."""
    try:
        with open(path, encoding="utf-8") as file:
            text = file.read()
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError(f"operator file: {path!r} can't be read: {problem}") from None
    options, faults = decode(text)
    if faults:
        more = f" (and {len(faults) - 1} more: see `check`)" if len(faults) > 1 else ""
        raise ConfigError(f"{path}: {faults[0]}{more}")
    return options
