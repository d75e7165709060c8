"""Every crash point of the replica's file: short writes, torn and flipped records, full disks, lost names."""

from __future__ import annotations

from pathlib import Path
from random import Random

import pytest
from larkweir_replication import journal as module
from larkweir_replication.journal import NAME, NEW_NAME, FolderFiles, Journal
from larkweir_replication.messages import Durable, Epoch, Snapshot


def durable(number: int, size: int = 10) -> Durable:
    return Durable(Epoch(number, "m0"), Snapshot(Epoch(number, "m0"), number, ("m0",), value="v" * size))


class PowerCutError(Exception):
    """The process ends here."""


class MemoryFiles:
    """Files whose writes may fail or be cut short; `lasting` is what a loss of power leaves."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.lasting: dict[str, bytes] = {}
        self.fail_at: int | None = None  # bytes of the next append that are written before the power goes
        self.full = False

    def read(self, name: str) -> bytes:
        if name not in self.files:
            raise FileNotFoundError(name)
        return self.files[name]

    def append(self, name: str, at: int, data: bytes) -> None:
        before = self.files.get(name, b"")[:at]
        if self.full:
            self.files[name] = before + data[: len(data) // 2]
            raise OSError(28, "No space left on device")
        if self.fail_at is not None:
            self.files[name] = before + data[: self.fail_at]
            self.lasting[name] = self.files[name]
            raise PowerCutError
        self.files[name] = before + data
        self.lasting[name] = self.files[name]

    def replace(self, new: str, name: str) -> None:
        self.files[name] = self.files.pop(new)
        self.lasting = dict(self.files)

    def lose_power(self) -> None:
        self.files = dict(self.lasting)
        self.fail_at = None


def test_the_newest_record_is_found_again() -> None:
    files = MemoryFiles()
    journal = Journal(files)
    assert journal.newest is None
    for number in range(1, 6):
        journal.write(durable(number))
    assert Journal(files).newest == durable(5)


def test_power_lost_at_each_byte_of_a_write() -> None:
    line = len(module._encode(3, durable(3)))
    for cut in range(line):
        files = MemoryFiles()
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


def test_a_full_disk_leaves_what_was_there_and_the_next_write_is_whole() -> None:
    files = MemoryFiles()
    journal = Journal(files)
    journal.write(durable(1))
    files.full = True
    with pytest.raises(OSError):
        journal.write(durable(2))
    assert Journal(files).newest == durable(1)
    files.full = False
    journal.write(durable(3))
    assert Journal(files).newest == durable(3)


def test_a_flipped_bit_ends_what_is_read() -> None:
    files = MemoryFiles()
    journal = Journal(files)
    for number in range(1, 4):
        journal.write(durable(number))
    whole = files.files[NAME]
    first = len(module._encode(1, durable(1)))
    for seed in range(60):
        rng = Random(seed)
        damaged = bytearray(whole)
        at = rng.randrange(first, len(whole))
        damaged[at] ^= 1 << rng.randrange(8)
        files.files[NAME] = bytes(damaged)
        newest = Journal(files).newest
        assert newest in (durable(1), durable(2))


def test_a_long_file_is_rewritten_and_power_lost_then_loses_nothing(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(module, "REWRITE_BYTES", 500)
    monkeypatch.setattr(module, "REWRITE_RECORDS", 2)
    files = MemoryFiles()
    journal = Journal(files)
    for number in range(1, 40):
        journal.write(durable(number))
        assert Journal(files).newest == durable(number)
    assert len(files.files[NAME]) < 1_000
    while journal.size + 300 <= 500:
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
    files.append(NEW_NAME, 0, b"x")
    files.replace(NEW_NAME, NAME)
    assert Journal(files).newest is None
    assert Journal(files).dropped == 1
