"""An edit is what differs between what a file said last and what it says now, never what it says."""

from __future__ import annotations

from collections.abc import Callable, Iterator, Mapping
from typing import Any, NamedTuple

from larkweir_edits.edit import Kind, RowKey, Sub
from larkweir_edits.merge import UNITS
from larkweir_edits.schema import Schema, Tables


class Change(NamedTuple):
    """Of one row, to be an edit."""

    kind: Kind
    row: RowKey
    changes: tuple[tuple[Sub, Any], ...] = ()


class Now(NamedTuple):
    """A row as its copy has it: whether it is there, and its parts, which outlive it for a while."""

    here: bool
    parts: Mapping[Sub, Any]


def _between(old: Mapping[Sub, Any], new: Mapping[Sub, Any]) -> tuple[tuple[Sub, Any], ...]:
    every = [*new, *(sub for sub in old if sub not in new)]
    return tuple((sub, new.get(sub, False)) for sub in every if old.get(sub, False) != new.get(sub, False))


def differences(schema: Schema, old: Tables, new: Tables, now: Callable[[RowKey], Now]) -> Iterator[Change]:
    """What staff changed. A row that the file has newly, or changes though somebody deleted it, is written whole: its
    units all, and of the rest what differs.
    """
    for table in schema.rules:
        before, after = old.get(table, {}), new.get(table, {})
        for name, fields in after.items():
            if name in before and (before[name] is fields or before[name] == fields):
                continue
            row = (table, name)
            parts = schema.parts(table, fields)
            if name in before:
                changes = _between(schema.parts(table, before[name]), parts)
                if not changes:
                    continue
                if now(row).here:
                    yield Change(Kind.WRITE, row, changes)
                    continue
            replaced = {sub: parts[sub] for sub in parts if schema.rule(table, sub[0]) in UNITS}
            others = {sub: value for sub, value in parts.items() if sub not in replaced}
            have = {sub: value for sub, value in now(row).parts.items() if sub not in replaced}
            yield Change(Kind.WRITE, row, (*replaced.items(), *_between(have, others)))
        for name in before:
            if name not in after and now((table, name)).here:
                yield Change(Kind.DELETE, (table, name))
