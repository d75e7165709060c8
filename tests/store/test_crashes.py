"""A crash after every system call and inside every write: what was promised is there, and nothing that nobody wrote."""

from __future__ import annotations

import errno
from typing import Any

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larkweir.store.disk import Disk
from larkweir.store.records import Record, RecordKind, StoreError, frame, header
from larkweir.store.recovery import read_snapshot, recover, snapshot
from larkweir.store.state import StoredState
from standins.crashes import ModelFiles

SITE = b"sitesite"


class Watched(ModelFiles):
    """Hands out every state that a crash may leave, before and after each call."""

    def __init__(self) -> None:
        super().__init__()
        self.told: Any = lambda state: None
        self.every_byte = True
        self.seen = 0

    def _call(self) -> None:
        self._look()
        super()._call()

    def _look(self) -> None:
        for state in self.states(self.every_byte):
            self.seen += 1
            self.told(state)


def began(trace: str, now: float = 1000.0) -> Record:
    return Record(RecordKind.BEGAN, [trace, now, 5000.0])


def test_no_crash_breaks_a_promise() -> None:
    """Two generations, with durable and loose records between: every state of the disk on the way is recovered."""
    files = Watched()
    disk = Disk(files, SITE)
    promised: set[str] = set()
    written: set[str] = set()
    drains: set[str] = set()

    def check(found: dict[str, bytes]) -> None:
        got = recover(found, SITE).state
        assert promised <= set(got.open), "a promise is broken"
        assert set(got.open) <= written, "a record that nobody wrote"
        assert drains <= set(got.drains)

    files.told = check
    assert disk.open().generation == 0
    state = StoredState()
    disk.begin_generation(None, state)
    number = 0
    for generation in range(2):
        for step in range(5):
            number += 1
            batch = [began(f"t{number}a"), began(f"t{number}b")]
            if step == 2:
                batch.append(Record(RecordKind.DRAIN, [f"u{number}", 1000.0]))
            written |= {record.body[0] for record in batch if record.kind is RecordKind.BEGAN}
            durable = step != 3
            disk.append(batch, durable)
            for record in batch:
                state.apply(record)
            if durable:
                promised |= set(state.open)
                drains |= set(state.drains)
            files._look()
        # A compaction keeps what was only loose, too.
        files.every_byte = (
            generation != 1
        )  # a few cuts only, in one of them: the snapshot is in one piece there
        disk.begin_generation(None, state)
        promised |= set(state.open)
        files._look()
    assert files.seen > 2_000


@pytest.mark.parametrize("number", [errno.ENOSPC, errno.EIO, errno.EROFS])
def test_an_error_at_any_call_loses_nothing_that_was_promised(number: int) -> None:
    """A full disk, an error of the device, a disk that has become read-only: at each call in turn."""
    for at in range(1, 40):
        files = ModelFiles(fails={at: number})
        disk = Disk(files, SITE)
        promised: set[str] = set()
        failed = False
        try:
            disk.open()
            disk.begin_generation(None, StoredState())
            state = StoredState()
            for n in range(8):
                record = began(f"t{n}")
                disk.append([record], True)
                state.apply(record)
                promised.add(f"t{n}")
                if n in (2, 5):
                    disk.begin_generation(None, state)  # also while compacting
        except OSError:
            failed = True
        for found in files.states(every_byte=False):
            assert promised <= set(recover(found, SITE).state.open)
        if not failed:
            break
    assert at > 10  # all of them were tried


def test_a_bit_flipped_anywhere_never_makes_a_record_that_was_not_written() -> None:
    state = StoredState()
    state.apply(
        Record(RecordKind.LISTED, {"instanceId": "u1", "hostPort": "10.0.0.1:80", "lifecycle": "active"})
    )
    state.apply(began("one"))
    snap = b"".join(snapshot(state, SITE, 3))
    log = header(SITE, 3) + frame(0, began("two")) + frame(1, Record(RecordKind.DRAIN, ["u1", 900.0]))
    for name, data in (("3.snap", snap), ("3.log", log)):
        for at in range(len(data) * 8):
            bad = bytearray(data)
            bad[at // 8] ^= 1 << at % 8
            got = recover({"3.snap": snap, "3.log": log, name: bytes(bad)}, SITE)
            assert set(got.state.open) <= {"one", "two"} and set(got.state.listed) <= {"u1"}
            assert got.faults or at < 8 * 100  # told, unless a flip in the flags of the header is none
    for cut in range(len(snap)):
        with pytest.raises(StoreError):
            read_snapshot(snap[:cut], SITE)


def test_a_damaged_snapshot_is_made_up_by_the_one_before_and_both_logs() -> None:
    files = ModelFiles()
    disk = Disk(files, SITE)
    disk.open()
    disk.begin_generation(None, StoredState())
    state = StoredState()
    for n in range(3):
        disk.append([began(f"t{n}")], True)
        state.apply(began(f"t{n}"))
    disk.begin_generation(None, state)
    disk.append([began("t3")], True)
    found = {name: files.read(name) for name in files.names()}
    found["2.snap"] = found["2.snap"][:-5]
    got = recover(found, SITE)
    assert set(got.state.open) == {"t0", "t1", "t2", "t3"} and "2.snap" in got.faults[0]


def test_a_store_of_another_site_is_not_believed() -> None:
    snap = b"".join(snapshot(StoredState(), b"othersit", 1))
    got = recover({"1.snap": snap}, SITE)
    assert not got.state.listed and "another site" in got.faults[0] and got.generation == 1


@pytest.mark.parametrize(("version", "reads"), [(1, True), (2, True), (3, False), (0, False)])
def test_versions_before_and_after(version: int, reads: bool) -> None:
    """This version and the one before are read; a later one is said to be one, and left alone."""
    data = header(SITE, 1, version) + frame(0, Record(RecordKind.SOURCE, ["end of the snapshot", 0]))
    got = recover({"1.snap": data}, SITE)
    assert bool(got.faults) is not reads
    assert reads or f"version {version}" in got.faults[0]


def test_a_kind_of_a_later_version_is_passed_over() -> None:
    import struct
    import zlib

    body = struct.pack(">QB", 1, 200) + b"\xa1x"
    odd = struct.pack(">II", len(body), zlib.crc32(body)) + body
    log = header(SITE, 1) + frame(0, began("a")) + odd + frame(2, began("b"))
    got = recover({"1.snap": b"".join(snapshot(StoredState(), SITE, 1)), "1.log": log}, SITE)
    assert set(got.state.open) == {"a", "b"} and not got.faults


@given(st.binary(max_size=300), st.binary(max_size=300))
@settings(max_examples=120, deadline=None)
def test_no_bytes_crash_the_recovery(snap: bytes, log: bytes) -> None:
    recover({"1.snap": snap, "1.log": log}, SITE)
    whole = b"".join(snapshot(StoredState(), SITE, 1))
    recover({"1.snap": whole, "1.log": header(SITE, 1) + log}, SITE)


VALUES = st.recursive(
    st.none() | st.booleans() | st.integers(-10, 10) | st.floats(allow_nan=True) | st.text(max_size=4),
    lambda inner: st.lists(inner, max_size=3) | st.dictionaries(st.text(max_size=12), inner, max_size=3),
    max_leaves=6,
)


@given(st.lists(st.tuples(st.sampled_from(list(RecordKind)), VALUES), max_size=20))
@settings(max_examples=120, deadline=None)
def test_bodies_that_fit_no_kind_change_nothing_and_never_raise(rows: list[tuple[RecordKind, Any]]) -> None:
    state = StoredState()
    for kind, body in rows:
        state.apply(Record(kind, body))
    again = StoredState()
    for record in state.records():
        again.apply(record)
    assert (again.open, again.drains, again.listed) == (state.open, state.drains, state.listed)


def listing() -> StoredState:
    state = StoredState()
    for record in (
        Record(RecordKind.CLOCK, [5e12, "a-machine", 1e9]),
        *(Record(RecordKind.LISTED, {"instanceId": f"u{n}", "hostPort": f"10.0.0.{n}:80"}) for n in range(3)),
        Record(RecordKind.SOURCE, ["10.0.0.9:1", 7, 5e12, 1.0, 9e9]),
        Record(RecordKind.SERVED, ["u1", 5e12, 3]),
        Record(RecordKind.DRAIN, ["u2", 5e12]),
    ):
        state.apply(record)
    return state


def test_a_list_cut_at_any_byte_or_with_any_bit_flipped_names_nobody_that_was_not_written() -> None:
    whole = listing()
    snap = b"".join(snapshot(whole, SITE, 1))
    later = [
        Record(RecordKind.DELISTED, "u0"),
        Record(RecordKind.SERVED, ["u2", 6e12, 2]),
        Record(RecordKind.SOURCE, ["10.0.0.9:1", 8]),
    ]
    log = header(SITE, 1) + b"".join(frame(n, record) for n, record in enumerate(later))
    harmed = [(snap[:at], log) for at in range(len(snap))] + [(snap, log[:at]) for at in range(len(log))]
    for at in range(8 * len(snap)):
        data = bytearray(snap)
        data[at // 8] ^= 1 << at % 8
        harmed.append((bytes(data), log))
    for at in range(8 * len(log)):
        data = bytearray(log)
        data[at // 8] ^= 1 << at % 8
        harmed.append((snap, bytes(data)))
    full = 0
    for one, other in harmed:
        found = recover({"1.snap": one, "1.log": other}, SITE)
        assert all(whole.listed.get(name) == row for name, row in found.state.listed.items())
        assert found.state.served.items() <= {"u1": (5e12, 3), "u2": (6e12, 2)}.items()
        assert found.state.generation in (0, 7, 8)
        full += bool(found.state.listed)
    assert full > len(other) * 8  # what harms the log leaves the snapshot
