"""Recovers a state from the bytes that a crash has left, and makes a snapshot's bytes from a state. Pure logic.

A generation is a snapshot and the log that goes on from it. A snapshot counts only if it is complete: its last record
has the number of the others. A log counts up to the first frame that does not fit. The newest generation with a
complete snapshot is the one that is recovered.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from larkweir.store.records import (
    HEADER_BYTES,
    Record,
    RecordKind,
    StoreError,
    frame,
    frames,
    header,
    read_header,
)
from larkweir.store.state import StoredState

LAST = "end of the snapshot"  # in the record that ends one
MAX_GENERATIONS = 64  # that are searched for a complete snapshot, from the newest back


def snapshot(state: StoredState, site: bytes, generation: int) -> Iterator[bytes]:
    """The bytes of a snapshot, record by record."""
    yield header(site, generation)
    serial = 0
    for record in state.records():
        yield frame(serial, record)
        serial += 1
    yield frame(serial, Record(RecordKind.SOURCE, [LAST, serial]))


def read_snapshot(data: bytes, site: bytes) -> tuple[StoredState, int]:
    """A snapshot's state and generation.

    Raises:
        StoreError: it is incomplete or damaged, or another site's.
    """
    _, found_site, generation = read_header(data)
    if found_site != site:
        raise StoreError("it is of another site")
    state = StoredState()
    for count, (end, record) in enumerate(frames(data, 0)):
        if record.kind is RecordKind.SOURCE and isinstance(record.body, list) and record.body[:1] == [LAST]:
            if record.body == [LAST, count] and end == len(data):
                return state, generation
            break
        state.apply(record)
    raise StoreError("the snapshot is not whole")


@dataclass(slots=True)
class Recovered:
    """What the files of a store hold."""

    state: StoredState
    generation: int  # the newest that any file's name has; 0: none
    records: int  # of the logs
    unread_bytes: int  # after the last record that fits, of the last log that was read
    faults: tuple[str, ...]  # what was found damaged, each in a line


def read_log(data: bytes, site: bytes, state: StoredState) -> tuple[int, int, int]:
    """Apply a log to `state`; returns the number of records, the offset after the last, and the generation.

    Raises:
        StoreError: the header can't be read, or is another site's.
    """
    _, found_site, generation = read_header(data)
    if found_site != site:
        raise StoreError("it is of another site")
    end, count = HEADER_BYTES, 0
    for offset, record in frames(data, 0):
        state.apply(record)
        end, count = offset, count + 1
    return count, end, generation


def recover(files: Mapping[str, bytes], site: bytes) -> Recovered:
    """The newest state in a store's files, by name: `G.snap` and `G.log` for each generation G.

    Where the newest snapshot is damaged, the one before it and both logs make the same state: a snapshot holds no more
    than the log before it had come to. Garbage collection is off meanwhile: it would search these objects for cycles
    again and again, and they have none.
    """
    was_enabled = gc.isenabled()
    gc.disable()
    try:
        return _recover(files, site)
    finally:
        if was_enabled:
            gc.enable()


def _recover(files: Mapping[str, bytes], site: bytes) -> Recovered:
    faults: list[str] = []
    newest = _newest_generation(files)
    for generation in range(newest, max(-1, newest - MAX_GENERATIONS), -1):
        data = files.get(f"{generation}.snap")
        if data is None:
            continue
        try:
            state, found = read_snapshot(data, site)
            if found != generation:
                raise StoreError(f"it says that it is generation {found}")
        except StoreError as problem:
            faults.append(f"{generation}.snap: {problem}")
            continue
        records, unread = _apply_logs(files, site, state, range(generation, newest + 1), faults)
        return Recovered(state, newest, records, unread, tuple(faults))
    return Recovered(StoredState(), newest, 0, 0, tuple(faults))


def _newest_generation(files: Mapping[str, bytes]) -> int:
    newest = 0
    for name in files:
        stem = name.partition(".")[0]
        if stem.isascii() and stem.isdigit() and len(stem) < 16:
            newest = max(newest, int(stem))
    return newest


def _apply_logs(
    files: Mapping[str, bytes], site: bytes, state: StoredState, generations: range, faults: list[str]
) -> tuple[int, int]:
    """Apply logs in sequence, up to the first that is missing or damaged; adds what is damaged to `faults`. Returns the
    number of records, and the bytes of the last log that were not read.
    """
    records = unread = 0
    for generation in generations:
        log = files.get(f"{generation}.log")
        if log is None:
            break
        try:
            count, end, _ = read_log(log, site, state)
        except StoreError as problem:
            faults.append(f"{generation}.log: {problem}")
            break
        records += count
        unread = len(log) - end
        if unread:
            faults.append(f"{generation}.log: {unread} bytes behind its last whole record")
            break
    return records, unread
