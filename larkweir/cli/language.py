"""The commands of the configuration language: check, format, diff, explain, convert, schema."""

from __future__ import annotations

import difflib
import json
import os
import sys
from collections.abc import Sequence
from typing import Any

from larkweir.config.options import NAMED, TABLES, Operator, rows
from larkweir.config.platform import Config, ConfigError, decode
from larkweir.language.behaviour import WHEN, as_language, sentences, shown
from larkweir.language.faults import Faults
from larkweir.language.faults import shown as shown_fault
from larkweir.language.files import Disk
from larkweir.language.format import formatted
from larkweir.language.model import Model, keys_of
from larkweir.language.reading import read

WELL, DIFFERS, BAD = 0, 1, 2


def _config(path: str | None) -> Config | None:
    """The platform file that policies are checked beside; ConfigError where it has faults of its own."""
    if path is None:
        return None
    try:
        with open(path, encoding="utf-8") as file:
            return decode(file.read(), {})
    except (OSError, UnicodeDecodeError) as problem:
        raise ConfigError(f"{path}: can't be read: {problem}") from None


def _read(path: str, config: Config | None) -> tuple[Model, Faults, Disk]:
    disk, faults = Disk(path), Faults()
    return read(disk.root, disk, faults, config), faults, disk


def _print(faults: Faults, disk: Disk, how: str) -> None:
    for fault in faults.sorted():
        print(json.dumps(fault.as_data()) if how == "json" else shown_fault(fault, disk.texts))


def check(paths: Sequence[str], platform: str | None, how: str) -> int:
    """Print every fault; 0 if there is none, 1 if there are warnings alone, 2 if files can't be used."""
    try:
        config = _config(platform)
    except ConfigError as problem:
        print(problem, file=sys.stderr)
        return BAD
    worst = WELL
    for path in paths:
        _, faults, disk = _read(path, config)
        _print(faults, disk, how)
        found = faults.sorted()
        if faults.fatal:
            worst = BAD
        elif found:
            worst = max(worst, DIFFERS)
    return worst


def format_files(paths: Sequence[str], write: bool) -> int:
    """Print what would change, or write it; 0 if nothing would, 1 if something would, 2 where files have faults."""
    worst = WELL
    for path in paths:
        disk, faults = Disk(path), Faults()
        text = disk.text(disk.root, faults, None)
        after = formatted(text, path) if text is not None else None
        if text is None or after is None:
            _, faults, disk = _read(path, None)
            _print(faults, disk, "text")
            worst = BAD
        elif after != text:
            worst = max(worst, DIFFERS)
            if write:
                _replace(path, after)
            else:
                rows_ = difflib.unified_diff(
                    text.splitlines(keepends=True), after.splitlines(keepends=True), path, f"{path}, laid out"
                )
                sys.stdout.writelines(rows_)
    return WELL if write and worst is DIFFERS else worst


def _replace(path: str, text: str) -> None:
    """Whole or not at all: whoever reads the file meanwhile has the old one or the new one."""
    target = os.path.realpath(path)
    beside = f"{target}.{os.getpid()}.new"
    try:
        with open(beside, "w", encoding="utf-8", newline="") as file:
            file.write(text)
            file.flush()
            os.fsync(file.fileno())
        os.chmod(beside, os.stat(target).st_mode & 0o7777)
        os.replace(beside, target)
    except OSError:
        if os.path.exists(beside):
            os.unlink(beside)
        raise


def _options(path: str, config: Config | None, how: str) -> Operator | None:
    if path.endswith(".toml"):
        from larkweir.config.operator import load

        return load(path)
    model, faults, disk = _read(path, config)
    if faults.fatal:
        _print(faults, disk, how)
        return None
    return model.options


def diff(old: str, new: str, platform: str | None, how: str) -> int:
    """Print what changes in behaviour, in sentences; 0 if nothing does, 1 if something does, 2 at a fault."""
    try:
        config = _config(platform)
        before, after = _options(old, config, how), _options(new, config, how)
    except ConfigError as problem:
        print(problem, file=sys.stderr)
        return BAD
    if before is None or after is None:
        return BAD
    found = sentences(before, after)
    if how == "json":
        print(json.dumps([item.as_data() for item in found], indent=2))
    elif not found:
        print("nothing changes in behaviour: only the spelling differs, if anything")
    else:
        for item in found:
            print(f"{item.text}\n    {item.key}: {item.old} -> {item.new}; {WHEN[item.change]}")
        if before.routes or after.routes:
            from larkweir.cli.routes import print_moved  # not imported where there is no route

            print_moved(before, after)
    return DIFFERS if found else WELL


def explain(what: str, path: str | None) -> int:
    """Print the effective value of a key, or of all keys of a file, and the line that each comes from."""
    if path is None and os.path.exists(what):
        what, path = "", what
    if path is None:
        return _describe(what)
    try:
        if path.endswith(".toml"):
            print(f"{path}: explain reads files of the language; see `convert`", file=sys.stderr)
            return BAD
        model, faults, disk = _read(path, None)
    except ConfigError as problem:
        print(problem, file=sys.stderr)
        return BAD
    if faults.fatal:
        _print(faults, disk, "text")
        return BAD
    found = [row for row in _effective(model) if not what or row[0] == what or row[0].startswith(f"{what}.")]
    if not found:
        near = difflib.get_close_matches(what, [row[0] for row in _effective(model)], 1)
        print(f"{what}: is no key{f'; did you mean {near[0]}?' if near else ''}", file=sys.stderr)
        return BAD
    for key, value, origin in found:
        print(f"{key} = {value}    {origin}")
    if not what:
        print(f"fingerprint {model.options.fingerprint}")
    return WELL


def _effective(model: Model) -> list[tuple[str, str, str]]:
    found = []
    for path, row in rows(model.options):
        for key in keys_of(type(row)).values():
            place, template = model.origins.get(f"{path}.{key.name}", (None, ""))
            by = f", by template {template}" if template else ""
            found.append(
                (
                    f"{path}.{key.written}",
                    shown(key, getattr(row, key.name)),
                    f"{place}{by}" if place else "the default",
                )
            )
    return found


def _describe(what: str) -> int:
    """What a key may hold, without a file."""
    for table, kind in {**TABLES, **{name: pair[0] for name, pair in NAMED.items()}}.items():
        for key in keys_of(kind).values():
            if what in (f"{table}.{key.written}", table):
                bounds = ""
                if key.low is not None and key.high is not None:
                    low, high = (shown(key, value) for value in (key.low, key.high))
                    bounds = f", from {low} to {high}"
                words = f", one of {', '.join(key.kind)}" if isinstance(key.kind, tuple) else ""
                default = shown(key, key.default)
                print(f"{table}.{key.written}: {default} unless told otherwise{words}{bounds}")
                if what != table:
                    return WELL
        if what == table:
            return WELL
    print(f"{what}: is no key and no file", file=sys.stderr)
    return BAD


def convert(path: str) -> int:
    """Print a TOML operator file as one of the language."""
    from larkweir.config.operator import load

    try:
        options = load(path)
    except ConfigError as problem:
        print(problem, file=sys.stderr)
        return BAD
    print(f"# From {os.path.basename(path)}.\n" + as_language(options), end="")
    return WELL


def schema() -> int:
    """Print a JSON schema of the model, for editors and for whoever writes files by program."""
    tables: dict[str, Any] = {}
    for table, kind in {**TABLES, **{name: pair[0] for name, pair in NAMED.items()}}.items():
        properties = {}
        for key in keys_of(kind).values():
            row: dict[str, Any] = {"x-unit": key.unit.value} if key.unit.value else {}
            if isinstance(key.kind, tuple):
                row["enum"] = list(key.kind)
            elif key.kind == tuple[str, ...]:
                row |= {"type": "array", "items": {"type": "string"}}
            else:
                names = {bool: "boolean", int: "integer", float: "number", str: "string"}
                row["type"] = names[key.kind]
                if key.low is not None:
                    row |= {"minimum": key.low, "maximum": key.high}
            if key.default is not None:
                row["default"] = list(key.default) if isinstance(key.default, tuple) else key.default
            properties[key.name] = row
        body = {"type": "object", "properties": properties, "additionalProperties": False}
        named = table in NAMED
        tables[table] = {"type": "object", "additionalProperties": body} if named else body
    whole = {
        "$schema": "https://json-schema.org/draft/2020-12/schema",
        "title": "larkweir's operator file, as TOML or JSON",
        "type": "object",
        "properties": tables,
        "additionalProperties": False,
    }
    print(json.dumps(whole, indent=2))
    return WELL
