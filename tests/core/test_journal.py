"""The log: bounded, and never a wait."""

from __future__ import annotations

import os

from larkweir.core.journal import Journal


def test_a_full_pipe_drops_lines_and_counts_them() -> None:
    """Guards the event loop: writing to a log that nobody reads must return."""
    read, write = os.pipe()
    journal = Journal("n", write)
    journal.PER_SECOND = 100_000
    for _ in range(5_000):
        journal.line("x" * 100)
    assert journal._dropped > 0
    held = os.read(read, 1 << 20)
    assert held.count(b"\n") + journal._dropped == 5_000
    assert os.get_blocking(write)  # another's end of the pipe is left as it was
    journal.close()
    os.close(read)
    os.close(write)


def test_a_line_is_cut_and_stays_one() -> None:
    read, write = os.pipe()
    journal = Journal("n", write)
    journal.line("a\nb" + "x" * 10_000)
    text = os.read(read, 1 << 20)
    assert text.count(b"\n") == 1 and len(text) <= Journal.MOST + 1 and b"a | b" in text
    journal.close()
    os.close(read)
    os.close(write)


def test_a_closed_log_is_survived() -> None:
    read, write = os.pipe()
    os.close(read)
    journal = Journal("n", write)
    journal.line("x")
    os.close(write)
    journal.line("y")
    Journal("n", write).line("z")
    journal.close()
