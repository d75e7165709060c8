"""A whole state as bytes, for the disk and for copies that were away for too long."""

from __future__ import annotations

import zlib
from collections.abc import Mapping
from typing import Any

import msgspec

from larkweir_edits.edit import Edit, EditError, Kind, Vector, made, shaped
from larkweir_edits.merge import Write
from larkweir_edits.rows import Row
from larkweir_edits.schema import Schema
from larkweir_edits.state import State

VERSION = 1
MAX_STATE_BYTES = 32 * 1024 * 1024  # bytes of a state, unpacked


class _Row(msgspec.Struct, array_like=True):
    table: str
    name: str
    here: bool
    base: list[tuple[str, str, Any]]
    edits: list[
        tuple[str, int, int, int, list[tuple[str, str, Any]]]
    ]  # writer, counter, context, kind, changes
    writes: list[tuple[str, str, list[int]]]


class _StoredState(msgspec.Struct, array_like=True):
    version: int
    origin: bytes
    vector: dict[str, int]
    folded: dict[str, int]
    strikes: dict[str, int]
    contexts: list[dict[str, int]]
    lasts: dict[str, int]
    rows: list[_Row]
    log: dict[str, list[tuple[int, bytes]]]
    buffered: dict[str, list[tuple[int, bytes]]]


_ENCODER = msgspec.msgpack.Encoder()
_DECODER: msgspec.msgpack.Decoder[_StoredState] = msgspec.msgpack.Decoder(_StoredState)


class _Contexts:
    """The contexts of a state's edits, each once: many edits share one."""

    def __init__(self) -> None:
        self.all: list[Mapping[str, int]] = []
        self._places: dict[int, int] = {}  # by identity

    def place_of(self, seen: Vector) -> int:
        if id(seen) not in self._places:
            self._places[id(seen)] = len(self.all)
            self.all.append(seen)
        return self._places[id(seen)]


def _stored_row(row: Row, contexts: _Contexts) -> _Row:
    edits: dict[int, tuple[int, Edit]] = {}
    writes = []
    for sub, group in row.writes.items():
        places = [edits.setdefault(id(item.edit), (len(edits), item.edit))[0] for item in group]
        writes.append((*sub, places))
    stored_edits = [
        (
            *edit.dot,
            contexts.place_of(edit.seen),
            int(edit.kind),
            [(*sub, value) for sub, value in edit.changes],
        )
        for _, edit in edits.values()
    ]
    base = [(*sub, value) for sub, value in row.base.items()]
    return _Row(row.table, row.name, row.here, base, stored_edits, writes)


def dumped(state: State) -> bytes:
    """A state as compressed bytes."""
    contexts = _Contexts()
    rows = [_stored_row(row, contexts) for row in state.rows.values()]
    buffered: dict[str, list[tuple[int, bytes]]] = {}
    for (writer, count), data in state.raw.items():
        buffered.setdefault(writer, []).append((count, data))
    lasts = {writer: contexts.place_of(seen) for writer, seen in state.lasts.items()}
    stored = _StoredState(
        VERSION,
        state.origin,
        state.vector,
        state.folded,
        state.strikes,
        [dict(seen) for seen in contexts.all],
        lasts,
        rows,
        {writer: list(found.items()) for writer, found in state.log.items()},
        buffered,
    )
    return zlib.compress(_ENCODER.encode(stored), 6)


def loaded(schema: Schema, data: bytes) -> State:
    """A state from its bytes; EditError where they are none."""
    try:
        unpack = zlib.decompressobj()
        plain = unpack.decompress(data, MAX_STATE_BYTES)
        if unpack.unconsumed_tail or not unpack.eof:
            raise EditError(f"no state: it is cut off, or longer than {MAX_STATE_BYTES} bytes")
        stored = _DECODER.decode(plain)
        if stored.version != VERSION:
            raise EditError(f"a state of version {stored.version}; {VERSION} is read")
        return _state(schema, stored)
    except (msgspec.ValidationError, msgspec.DecodeError, zlib.error, RecursionError) as problem:
        raise EditError(f"no state: {problem}") from None
    except (LookupError, ValueError, TypeError) as problem:
        raise EditError(f"no state: it does not fit together ({problem})") from None


def _state(schema: Schema, stored: _StoredState) -> State:
    state = State(schema, stored.origin)
    state.vector, state.folded, state.strikes = stored.vector, stored.folded, stored.strikes
    state.lasts = {writer: stored.contexts[place] for writer, place in stored.lasts.items()}
    state.log = {writer: dict(found) for writer, found in stored.log.items()}
    for stored_row in stored.rows:
        row = Row(stored_row.table, stored_row.name, stored_row.here)
        row.base = {(unit, element): value for unit, element, value in stored_row.base}
        edits = [
            made(
                (writer, count),
                stored.contexts[context],
                Kind(kind),
                (stored_row.table, stored_row.name),
                tuple(((unit, element), value) for unit, element, value in changes),
            )
            for writer, count, context, kind, changes in stored_row.edits
        ]
        values = [dict(edit.writes()) for edit in edits]
        for unit, element, places in stored_row.writes:
            sub = (unit, element)
            row.writes[sub] = [Write(edits[place], values[place][sub]) for place in places]
        row.mark(state.strikes)
        state.rows[(stored_row.table, stored_row.name)] = row
    for writer, found in stored.buffered.items():
        for count, data in found:
            state.buffered.setdefault(writer, {})[count] = shaped(data)
            state.raw[(writer, count)] = data
    return state
