"""`check`: every fault of configuration files, and what a change between two of them comes to."""

from __future__ import annotations

import json
import sys
from collections.abc import Mapping, Sequence
from typing import Any

from larkweir.config import changes
from larkweir.config.keys import Change
from larkweir.config.operator import decode as decode_operator
from larkweir.config.options import changed
from larkweir.config.platform import ConfigError, read_object
from larkweir.config.platform import decode as decode_platform
from larkweir.config.platform import faults as platform_faults

NOBODY: Mapping[str, str] = {}  # a file is checked by itself, whatever the environment tells

MEANING = {
    Change.LIVE: "live: counts with the next reload",
    Change.HANDOVER: "handover: counts in a successor (SIGUSR2), else from the next start",
    Change.START: "start: counts from the next start",
}


def _read(path: str) -> tuple[str, list[str]]:
    try:
        with open(path, encoding="utf-8") as file:
            return file.read(), []
    except (OSError, UnicodeDecodeError) as problem:
        return "", [f"file: can't be read: {problem}"]


def _faults(path: str) -> list[str]:
    text, found = _read(path)
    if found:
        return found
    return decode_operator(text)[1] if path.endswith(".toml") else platform_faults(text, NOBODY)


def _beside(paths: Sequence[str]) -> list[str]:
    """What one file says that can't stand beside another that is named with it: peers and captures, where they are
    forbidden, and owners or edits without peers."""
    found = []
    for path in (path for path in paths if path.endswith(".toml")):
        options = decode_operator(_read(path)[0])[0]
        if not any(part.on for part in (options.peers, options.owners, options.edits, options.captures)):
            continue
        # not imported where they are off
        from larkweir.config.peering import capturing, keeping, merging, peering

        for other in (other for other in paths if not other.endswith(".toml")):
            try:
                config = decode_platform(_read(other)[0], NOBODY)
                if options.owners.on:
                    keeping(options, config)
                if options.edits.on:
                    merging(options, config)
                if options.peers.on:
                    peering(options.peers, config)
                if options.captures.on:
                    capturing(options, config)
            except ConfigError as problem:
                found.append(f"{path}: {problem} (beside {other})")
    return found


def check(paths: Sequence[str]) -> int:
    """Print every fault of the files; 0 if there is none, else 2."""
    if not paths:
        print("check: name a file, or use --diff OLD NEW", file=sys.stderr)
        return 2
    found = [f"{path}: {fault}" for path in paths for fault in _faults(path)]
    found = found or _beside(paths)
    for line in found:
        print(line)
    return 2 if found else 0


def _short(value: Any) -> str:
    text = "(absent)" if value is None else json.dumps(value, default=str)
    return text if len(text) <= 60 else text[:57] + "..."


def diff(old: str, new: str) -> int:
    """Print each key that differs and how it comes to count; 0 if none does, 1 if some do, 2 at a fault."""
    if old.endswith(".toml") is not new.endswith(".toml"):
        print(f"{new}: file: is not of the same kind as {old}; compare two .toml or two .json files")
        return 2
    if check((old, new)):
        return 2
    before, after = _read(old)[0], _read(new)[0]
    if old.endswith(".toml"):
        first, second = decode_operator(before)[0], decode_operator(after)[0]
        found = changed(first, second)
        if first.routes or second.routes:
            from larkweir.cli.routes import print_moved  # not imported where there is no route

            print_moved(first, second)
        rows = [(key, one, other, change, "") for key, (one, other, change) in found.items()]
    else:
        rows = [
            (item.key, item.old, item.new, item.change, item.why)
            for item in changes.differences(read_object(before), read_object(after))
        ]
    for key, one, other, change, why in rows:
        print(f"{key}: {_short(one)} -> {_short(other)}")
        print(f"    {MEANING[change]}{f' ({why})' if why else ''}")
    return 1 if rows else 0
