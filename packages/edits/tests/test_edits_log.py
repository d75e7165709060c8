"""The log: what is told as kept is there after any crash, and any error ends it for that life."""

from __future__ import annotations

import errno
import threading
from pathlib import Path

import pytest
from larkweir_edits.log import MAGIC, Calls, FileLog, framed, read


class Reports:
    def __init__(self) -> None:
        self.number, self.lines = 0, list[str]()
        self.changed = threading.Condition()

    def on_durable(self, number: int) -> None:
        with self.changed:
            self.number = number
            self.changed.notify_all()

    def say(self, line: str) -> None:
        with self.changed:
            self.lines.append(line)
            self.changed.notify_all()

    def until(self, number: int) -> None:
        with self.changed:
            assert self.changed.wait_for(lambda: self.number >= number or bool(self.lines), 30.0)


class Faulty(Calls):
    """Notes what is flushed, and fails at one call."""

    def __init__(self, at: int = -1) -> None:
        self.at, self.made = at, 0
        self.order: list[str] = []

    def _call(self, name: str) -> None:
        self.made += 1
        self.order.append(name)
        if self.made - 1 == self.at:
            raise OSError(errno.EIO, "input/output error")

    def write(self, number: int, data: bytes) -> None:
        self._call("write")
        super().write(number, data)

    def flush(self, number: int) -> None:
        self._call("flush")
        super().flush(number)

    def rename(self, old: str, new: str) -> None:
        self._call("rename")
        super().rename(old, new)

    def flush_folder(self, path: str) -> None:
        self._call("folder")
        super().flush_folder(path)


def test_records_come_back_and_go_on_over_a_log_that_is_begun_anew(tmp_path: Path) -> None:
    reports = Reports()
    log = FileLog(str(tmp_path), reports.on_durable, reports.say)
    assert [log.append(b"one"), log.append(b"two")] == [1, 2]
    reports.until(2)
    log.compact([b"all", b"pending"])
    log.append(b"three")
    reports.until(3)
    log.close()
    again = FileLog(str(tmp_path), reports.on_durable, reports.say)
    assert again.records == [b"all", b"pending", b"three"]
    with pytest.raises(OSError, match="another process"):
        FileLog(str(tmp_path), reports.on_durable, reports.say)
    again.close()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["1.log", "lock"]


def test_a_write_that_was_cut_off_anywhere_leaves_what_was_kept(tmp_path: Path) -> None:
    records = [b"a" * 30, b"b" * 7, b"c" * 90]
    merged = MAGIC + b"".join(map(framed, records))
    ends = [len(MAGIC) + sum(len(framed(item)) for item in records[:n]) for n in range(len(records) + 1)]
    for cut in range(len(MAGIC), len(merged) + 1):
        found, good = read(merged[:cut])
        assert found == records[: sum(end <= cut for end in ends[1:])] and good in ends
    (tmp_path / "0.log").write_bytes(merged[:-5])
    reports = Reports()
    log = FileLog(str(tmp_path), reports.on_durable, reports.say)
    assert (log.records, log.left_out) == (records[:2], len(framed(records[2])) - 5)
    log.append(b"new")
    reports.until(1)
    log.close()
    assert read((tmp_path / "0.log").read_bytes())[0] == [*records[:2], b"new"]


def test_no_bit_flipped_brings_back_what_was_not_written() -> None:
    records = [b"first", b"second"]
    merged = MAGIC + b"".join(map(framed, records))
    for at in range(8 * len(merged)):
        data = bytearray(merged)
        data[at // 8] ^= 1 << at % 8
        found, _ = read(bytes(data))
        assert found == records[: len(found)] and len(found) < 2


def test_a_number_is_told_only_behind_its_flush(tmp_path: Path) -> None:
    calls = Faulty()
    reports = Reports()
    seen: list[list[str]] = []
    log = FileLog(
        str(tmp_path),
        lambda n: (seen.append(list(calls.order)), reports.on_durable(n))[1],
        reports.say,
        calls,
    )
    log.append(b"one")
    reports.until(1)
    assert seen[0][-2:] == ["write", "flush"]
    log.compact([b"all"])
    log.append(b"two")
    reports.until(2)
    log.close()
    assert calls.order[calls.order.index("rename") - 2 :][:4] == ["write", "flush", "rename", "folder"]


@pytest.mark.parametrize("at", range(3, 9))
def test_any_error_ends_the_log_and_nothing_is_told_behind_it(tmp_path: Path, at: int) -> None:
    reports = Reports()
    log = FileLog(str(tmp_path), reports.on_durable, reports.say, Faulty(at))
    reports.until(log.append(b"one"))
    on_durable = reports.number
    if not reports.lines:
        log.compact([b"one"])
        log.append(b"two")
        with reports.changed:
            assert reports.changed.wait_for(lambda: bool(reports.lines), 30.0)
    log.append(b"three")
    log.close()
    assert log.broken and len(reports.lines) == 1 and reports.number <= max(on_durable, 2)
    again = FileLog(str(tmp_path), reports.on_durable, reports.say)
    assert again.records[: min(reports.number, 1)] == [b"one"][: reports.number]
    again.close()
