"""Files of captures: bounded, whole lines, and what can't be written is counted."""

from __future__ import annotations

import json
import os
from pathlib import Path

import pytest
from larkweir_captures.writer import Writer


def test_files_are_bounded_and_their_lines_whole(tmp_path: Path) -> None:
    path = tmp_path / "captures.jsonl"
    writer = Writer(str(path), file_bytes=1000, files=3)
    lines = [json.dumps({"n": n, "x": "y" * (n % 50)}).encode() + b"\n" for n in range(300)]
    writer.put(lines)
    writer.close(30.0)
    assert (writer.written, writer.dropped) == (300, 0)
    files = [tmp_path / "captures.jsonl.2", tmp_path / "captures.jsonl.1", path]
    assert sorted(tmp_path.iterdir()) == sorted(files)
    assert all(file.stat().st_size <= 1000 for file in files)
    kept = [line for file in files for line in file.read_bytes().splitlines(keepends=True)]
    assert kept == lines[-len(kept) :]


def test_a_full_disk_drops_lines_and_ends_nothing() -> None:
    descriptor = os.open("/dev/full", os.O_WRONLY)
    writer = Writer(descriptor=descriptor)
    writer.put([b"{}\n"] * 5)
    writer.close(30.0)
    os.close(descriptor)
    assert (writer.written, writer.dropped) == (0, 5)
    assert "space" in writer.broken


def test_a_reader_that_is_away_fills_a_bounded_room() -> None:
    reading, writing = os.pipe()
    writer = Writer(descriptor=writing, max_waiting_bytes=1000)
    writer.put([b"x" * 99 + b"\n"] * 2000)  # more than the pipe and the room hold
    assert writer.dropped >= 1000
    os.close(reading)  # what waits meets a broken pipe
    writer.close(30.0)
    os.close(writing)
    assert writer.written + writer.dropped == 2000


def test_a_path_that_cant_be_opened_is_an_error(tmp_path: Path) -> None:
    with pytest.raises(OSError):
        Writer(str(tmp_path / "no" / "such"))
    with pytest.raises(ValueError):
        Writer()
