"""The log on standard error: bounded, and it never blocks."""

from __future__ import annotations

import os
import time

import pytest

from larkweir.core.stderr_log import StderrLog


def test_a_full_pipe_drops_lines_and_counts_them() -> None:
    """Guards the event loop: a write to a pipe that nobody reads must return."""
    read, write = os.pipe()
    log = StderrLog("n", write)
    log.PER_SECOND = 100_000
    for _ in range(5_000):
        log.write("x" * 100)
    assert log._dropped > 0
    held = os.read(read, 1 << 20)
    assert held.count(b"\n") + log._dropped == 5_000
    assert os.get_blocking(write)  # the shared descriptor's flags are unchanged
    log.close()
    os.close(read)
    os.close(write)


def test_a_long_message_is_truncated_to_one_line() -> None:
    read, write = os.pipe()
    log = StderrLog("n", write)
    log.write("a\nb" + "x" * 10_000)
    text = os.read(read, 1 << 20)
    assert text.count(b"\n") == 1 and len(text) <= StderrLog.MAX_LINE_BYTES + 1 and b"a | b" in text
    log.close()
    os.close(read)
    os.close(write)


def test_writing_to_a_closed_descriptor_does_not_raise() -> None:
    read, write = os.pipe()
    os.close(read)
    log = StderrLog("n", write)
    log.write("x")
    os.close(write)
    log.write("y")
    StderrLog("n", write).write("z")
    log.close()


def test_lines_on_state_changes_are_written_beyond_the_rate(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(time, "monotonic", lambda: 7.5)
    read, write = os.pipe()
    log = StderrLog("n", write)
    for number in range(30):
        log.write(f"line {number}")
    for number in range(30):
        log.write_change(f"change {number}")
    lines = os.read(read, 1 << 20).decode().splitlines()
    assert len([line for line in lines if "line" in line]) == StderrLog.PER_SECOND
    assert len([line for line in lines if "change" in line]) == StderrLog.CHANGES_PER_SECOND
    monkeypatch.setattr(time, "monotonic", lambda: 8.5)
    log.write_change("later")
    assert os.read(read, 1 << 20).decode().splitlines()[0].endswith("45 lines dropped")
    log.close()
    os.close(read)
    os.close(write)
