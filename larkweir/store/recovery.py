"""Rules: from the bytes that a crash has left to a state, and from a state to the bytes of a snapshot.

A generation is a snapshot and the log that goes on from it. A snapshot counts only if it is whole: its last record says
how many there are. A log counts up to the first frame that does not fit. The newest generation whose snapshot is
whole is the one.
"""

from __future__ import annotations

import gc
from collections.abc import Iterator, Mapping
from dataclasses import dataclass

from larkweir.store.records import HEADER_BYTES, Kind, Record, StoreError, frame, frames, header, read_header
from larkweir.store.state import State

LAST = "end of the snapshot"


def snapshot(state: State, site: bytes, generation: int) -> Iterator[bytes]:
    """The bytes of a snapshot, piece by piece, so that whoever writes it may stop between two."""
    yield header(site, generation)
    serial = 0
    for record in state.records():
        yield frame(serial, record)
        serial += 1
    yield frame(serial, Record(Kind.SOURCE, [LAST, serial]))


def read_snapshot(data: bytes, site: bytes) -> tuple[State, int]:
    """A snapshot's state and generation; StoreError where it is not whole, or not this site's."""
    _, theirs, generation = read_header(data)
    if theirs != site:
        raise StoreError("it is of another site")
    state = State()
    for count, (at, record) in enumerate(frames(data, 0)):
        if record.kind is Kind.SOURCE and isinstance(record.body, list) and record.body[:1] == [LAST]:
            if record.body == [LAST, count] and at == len(data):
                return state, generation
            break
        state.apply(record)
    raise StoreError("the snapshot is not whole")


@dataclass(slots=True)
class Recovered:
    state: State
    generation: int  # the newest that any file tells; 0: none
    records: int  # of the log
    cut: int  # bytes behind the last record of the log that fits
    faults: tuple[str, ...]  # what was found damaged, in words


def read_log(data: bytes, site: bytes, state: State) -> tuple[int, int, int]:
    """Apply a log; how many records, the place behind the last, and its generation. StoreError as above."""
    _, theirs, generation = read_header(data)
    if theirs != site:
        raise StoreError("it is of another site")
    behind, count = HEADER_BYTES, 0
    for at, record in frames(data, 0):
        state.apply(record)
        behind, count = at, count + 1
    return count, behind, generation


def recover(files: Mapping[str, bytes], site: bytes) -> Recovered:
    """As `_recover`, without a look for cycles after each few hundred objects: none of these is garbage."""
    collects = gc.isenabled()
    gc.disable()
    try:
        return _recover(files, site)
    finally:
        if collects:
            gc.enable()


def _recover(files: Mapping[str, bytes], site: bytes) -> Recovered:
    """From all files of a store, by name: `G.snap` and `G.log` for each generation G.

    Where the newest snapshot is damaged, the one before it and both logs make the same state: a snapshot holds no more
    than the log before it had come to.
    """
    faults: list[str] = []
    newest = 0
    for name in files:
        stem = name.partition(".")[0]
        if stem.isascii() and stem.isdigit() and len(stem) < 16:
            newest = max(newest, int(stem))
    for generation in range(newest, max(-1, newest - 64), -1):
        data = files.get(f"{generation}.snap")
        if data is None:
            continue
        try:
            state, told = read_snapshot(data, site)
            if told != generation:
                raise StoreError(f"it says that it is generation {told}")
        except StoreError as problem:
            faults.append(f"{generation}.snap: {problem}")
            continue
        records = cut = 0
        for later in range(generation, newest + 1):
            log = files.get(f"{later}.log")
            if log is None:
                break
            try:
                count, at, told = read_log(log, site, state)
            except StoreError as problem:
                faults.append(f"{later}.log: {problem}")
                break
            records += count
            cut = len(log) - at
            if cut:
                faults.append(f"{later}.log: {cut} bytes behind its last whole record")
                break
        return Recovered(state, newest, records, cut, tuple(faults))
    return Recovered(State(), newest, 0, 0, tuple(faults))
