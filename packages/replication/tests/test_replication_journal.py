"""Crashes at every point of a journal write: short writes, torn records, bit flips, full disks, lost renames."""

from __future__ import annotations

import zlib
from pathlib import Path
from random import Random

import pytest
from larkweir_replication import journal as module
from larkweir_replication.journal import (
    DAMAGED_JOURNAL_FILE,
    JOURNAL_FILE,
    NEW_JOURNAL_FILE,
    Journal,
)
from larkweir_replication.journal_files import FolderFiles
from larkweir_replication.journal_records import encode_record
from larkweir_replication.messages import DurableState, Epoch, Snapshot
from replication_disk import MemoryFiles


def durable(number: int, size: int = 10) -> DurableState:
    return DurableState(Epoch(number, "m0"), Snapshot(Epoch(number, "m0"), number, ("m0",), value="v" * size))


class PowerCutError(Exception):
    """Simulates the end of the process by a loss of power."""


class FaultyFiles(MemoryFiles):
    """Files whose writes may fail or be cut short; `lasting` is what survives a loss of power."""

    def __init__(self) -> None:
        super().__init__()
        self.lasting: dict[str, bytes] = {}
        self.fail_at: int | None = (
            None  # number of bytes of the next append that are written before the power fails
        )
        self.full = False
        self.calls_left: int | None = None  # number of writes and renames until the power fails

    def _count_call(self) -> None:
        if self.calls_left is not None:
            if self.calls_left == 0:
                raise PowerCutError
            self.calls_left -= 1

    def append(self, name: str, offset: int, data: bytes) -> None:
        self._count_call()
        before = self.files.get(name, b"")[:offset]
        if self.full:
            self.files[name] = before + data[: len(data) // 2]
            raise OSError(28, "No space left on device")
        if self.fail_at is not None:
            self.files[name] = before + data[: self.fail_at]
            self.lasting[name] = self.files[name]
            raise PowerCutError
        super().append(name, offset, data)
        self.lasting[name] = self.files[name]

    def replace(self, new_name: str, name: str) -> None:
        self._count_call()
        super().replace(new_name, name)
        self.lasting = dict(self.files)

    def lose_power(self) -> None:
        self.files = dict(self.lasting)
        self.fail_at = None


def test_the_newest_record_is_found_again() -> None:
    files = FaultyFiles()
    journal = Journal(files)
    assert journal.newest is None
    for number in range(1, 6):
        journal.write(durable(number))
    assert Journal(files).newest == durable(5)


def test_power_lost_at_each_byte_of_a_write() -> None:
    line = len(encode_record(3, durable(3)))
    for cut in range(line):
        files = FaultyFiles()
        journal = Journal(files)
        journal.write(durable(1))
        journal.write(durable(2))
        files.fail_at = cut
        with pytest.raises(PowerCutError):
            journal.write(durable(3))
        files.lose_power()
        again = Journal(files)
        assert again.newest == durable(2)
        again.write(durable(4))
        assert Journal(files).newest == durable(4)


def test_a_full_disk_loses_nothing_and_the_next_write_is_intact() -> None:
    files = FaultyFiles()
    journal = Journal(files)
    journal.write(durable(1))
    files.full = True
    with pytest.raises(OSError):
        journal.write(durable(2))
    assert Journal(files).newest == durable(1)
    files.full = False
    journal.write(durable(3))
    assert Journal(files).newest == durable(3)


def written(count: int) -> tuple[FaultyFiles, list[int]]:
    """Returns files with a journal of `count` records, and the offset of each record."""
    files = FaultyFiles()
    journal = Journal(files)
    starts = []
    for number in range(1, count + 1):
        starts.append(journal.size_bytes)
        journal.write(durable(number))
    return files, starts


def test_a_bit_flipped_before_the_last_record_marks_the_journal_damaged() -> None:
    """Whichever bit is flipped, no older record may be returned as the newest."""
    files, starts = written(4)
    intact = files.files[JOURNAL_FILE]
    for at in range(starts[-1]):
        for bit in range(8):
            damaged = bytearray(intact)
            damaged[at] ^= 1 << bit
            files.files[JOURNAL_FILE] = bytes(damaged)
            journal = Journal(files)
            assert journal.newest is None
            assert journal.is_damaged
            assert not journal.is_blank


def test_a_bit_flipped_in_the_last_record_looks_like_a_torn_one() -> None:
    files, starts = written(4)
    intact = files.files[JOURNAL_FILE]
    for seed in range(60):
        rng = Random(seed)
        damaged = bytearray(intact)
        damaged[rng.randrange(starts[-1], len(intact))] ^= 1 << rng.randrange(8)
        files.files[JOURNAL_FILE] = bytes(damaged)
        assert Journal(files).newest == durable(3)


def test_a_block_lost_in_the_middle_marks_the_journal_damaged() -> None:
    files, starts = written(6)
    intact = files.files[JOURNAL_FILE]
    for start in range(0, starts[-1] - 40, 7):
        for fill in (b"", bytes(40)):
            files.files[JOURNAL_FILE] = intact[:start] + fill + intact[start + 40 :]
            journal = Journal(files)
            assert journal.newest is None
            assert journal.is_damaged


def test_a_damaged_file_is_renamed_and_the_next_record_is_found() -> None:
    files, starts = written(4)
    damaged = bytearray(files.files[JOURNAL_FILE])
    damaged[starts[2] + 20] ^= 1
    files.files[JOURNAL_FILE] = bytes(damaged)
    journal = Journal(files)
    assert journal.last_known_members == ("m0",)
    journal.write(durable(9))
    assert files.files[DAMAGED_JOURNAL_FILE] == bytes(damaged)
    again = Journal(files)
    assert (again.newest, again.is_damaged) == (durable(9), False)
    again.write(durable(10))
    assert Journal(files).newest == durable(10)


@pytest.mark.parametrize("steps", range(4))
def test_a_crash_at_each_step_of_starting_a_new_file(steps: int) -> None:
    files, starts = written(4)
    damaged = bytearray(files.files[JOURNAL_FILE])
    damaged[starts[2] + 20] ^= 1
    files.files[JOURNAL_FILE] = bytes(damaged)
    journal = Journal(files)
    files.calls_left = steps
    if steps < 3:
        with pytest.raises(PowerCutError):
            journal.write(durable(9))
    else:
        journal.write(durable(9))
    files.calls_left = None
    again = Journal(files)
    assert not again.is_blank
    assert again.newest == (durable(9) if steps == 3 else None)
    again.write(durable(11))
    assert Journal(files).newest == durable(11)


def test_a_record_of_another_format_is_ignored() -> None:
    files, _ = written(1)
    body = b'2 {"neither": 1}'
    files.files[JOURNAL_FILE] += b"%08x %s\n" % (zlib.crc32(body), body)
    journal = Journal(files)
    assert journal.newest == durable(1)


def test_a_long_file_is_rewritten_and_power_lost_then_loses_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "MIN_REWRITE_BYTES", 500)
    monkeypatch.setattr(module, "REWRITE_SIZE_FACTOR", 2)
    files = FaultyFiles()
    journal = Journal(files)
    for number in range(1, 40):
        journal.write(durable(number))
        assert Journal(files).newest == durable(number)
    assert len(files.files[JOURNAL_FILE]) < 1_000
    while journal.size_bytes + 300 <= 500:
        journal.write(durable(50))
    files.fail_at = 20
    newest = Journal(files).newest
    with pytest.raises(PowerCutError):
        journal.write(durable(99, size=400))
    files.lose_power()
    assert Journal(files).newest == newest


def test_the_folder_on_disk(tmp_path: Path) -> None:
    files = FolderFiles(str(tmp_path / "replica"))
    journal = Journal(files)
    journal.write(durable(1))
    journal.write(durable(2))
    assert Journal(FolderFiles(str(tmp_path / "replica"))).newest == durable(2)
    files.append(NEW_JOURNAL_FILE, 0, b"x")
    files.replace(NEW_JOURNAL_FILE, JOURNAL_FILE)
    assert Journal(files).newest is None
    assert Journal(files).unreadable_bytes == 1
