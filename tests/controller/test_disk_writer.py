"""What the disk thread writes, in which order, and which callbacks it calls."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from larkweir_replication.journal import Journal
from larkweir_replication.messages import DurableState, Epoch

from larkweir.controller.disk_writer import DiskWriter


class MemoryFiles:
    """Files in memory. Writes wait until the test sets `may_write`, and fail while `fails` is set."""

    def __init__(self) -> None:
        self.contents: dict[str, bytes] = {}
        self.appended: list[str] = []
        self.fails = False
        self.is_writing = threading.Event()
        self.may_write = threading.Event()

    def read(self, name: str) -> bytes:
        try:
            return self.contents[name]
        except KeyError:
            raise FileNotFoundError(name) from None

    def append(self, name: str, at: int, data: bytes) -> None:
        self.is_writing.set()
        self.may_write.wait(10.0)
        self.appended.append(name)
        if self.fails:
            raise OSError(28, "No space left on device")
        self.contents[name] = self.contents.get(name, b"")[:at] + data

    def replace(self, new: str, name: str) -> None:
        self.contents[name] = self.contents.pop(new)


class WriterHarness:
    """A disk writer and the tokens that its callbacks received."""

    def __init__(self) -> None:
        self.files = MemoryFiles()
        self.persisted: list[int] = []
        self.failed: list[int] = []
        self.journal = Journal(self.files)
        loop = asyncio.get_running_loop()
        self.writer = DiskWriter(self.journal, self.files, loop, self.persisted.append, self.failed.append)

    async def wait_until(self, condition: Callable[[], bool]) -> None:
        async with asyncio.timeout(10.0):
            while not condition():
                await asyncio.sleep(0.001)


@asynccontextmanager
async def disk_writer_harness() -> AsyncIterator[WriterHarness]:
    harness = WriterHarness()
    try:
        yield harness
    finally:
        harness.files.may_write.set()
        harness.writer.close()


def durable(number: int) -> DurableState:
    return DurableState(Epoch(number, "n"), None)


def test_the_newest_queued_record_supersedes_the_earlier_ones() -> None:
    async def scenario() -> None:
        async with disk_writer_harness() as harness:
            harness.writer.replace_file("a.hint", b"a")  # blocks the thread until `may_write` is set
            await harness.wait_until(harness.files.is_writing.is_set)
            for token in (1, 2, 3):
                harness.writer.write_record(token, durable(token))
            harness.files.may_write.set()
            await harness.wait_until(lambda: harness.persisted == [3])
            assert harness.journal.newest == durable(3)

    asyncio.run(scenario())


def test_a_hint_is_written_after_the_record_that_is_being_written() -> None:
    async def scenario() -> None:
        async with disk_writer_harness() as harness:
            harness.writer.write_record(1, durable(1))
            await harness.wait_until(harness.files.is_writing.is_set)
            harness.writer.replace_file("a.hint", b"a")
            harness.writer.write_record(2, durable(2))
            harness.files.may_write.set()
            await harness.wait_until(lambda: harness.persisted == [1, 2])
            assert harness.files.appended == ["replica.log", "a.hint.new", "replica.log"]

    asyncio.run(scenario())


def test_a_hint_replaces_its_file_and_can_be_read() -> None:
    async def scenario() -> None:
        async with disk_writer_harness() as harness:
            harness.files.may_write.set()
            assert harness.writer.read_file("a.hint") is None
            harness.writer.replace_file("a.hint", b"1")
            await harness.wait_until(lambda: harness.writer.read_file("a.hint") == b"1")
            harness.writer.replace_file("a.hint", b"2")
            await harness.wait_until(lambda: harness.writer.read_file("a.hint") == b"2")
            assert list(harness.files.contents) == ["a.hint"]

    asyncio.run(scenario())


def test_a_failed_record_write_is_reported_and_the_thread_continues() -> None:
    async def scenario() -> None:
        async with disk_writer_harness() as harness:
            harness.files.may_write.set()
            harness.files.fails = True
            harness.writer.write_record(1, durable(1))
            await harness.wait_until(lambda: harness.failed == [1])
            harness.files.fails = False
            harness.writer.write_record(2, durable(2))
            await harness.wait_until(lambda: harness.persisted == [2])

    asyncio.run(scenario())


def test_a_failed_hint_write_is_dropped_and_the_thread_continues() -> None:
    async def scenario() -> None:
        async with disk_writer_harness() as harness:
            harness.files.may_write.set()
            harness.files.fails = True
            harness.writer.replace_file("a.hint", b"1")
            await harness.wait_until(lambda: harness.files.appended == ["a.hint.new"])
            harness.files.fails = False
            harness.writer.write_record(1, durable(1))
            await harness.wait_until(lambda: harness.persisted == [1])
            assert harness.writer.read_file("a.hint") is None

    asyncio.run(scenario())


def test_the_end_of_a_replacement_is_reported_with_whether_the_file_is_durable() -> None:
    async def scenario() -> None:
        async with disk_writer_harness() as harness:
            reports: list[tuple[str, bool]] = []
            harness.writer.replace_file("a", b"0")  # blocks the thread until `may_write` is set
            await harness.wait_until(harness.files.is_writing.is_set)
            harness.writer.replace_file("a", b"1", lambda ok: reports.append(("superseded", ok)))
            harness.writer.replace_file("a", b"2", lambda ok: reports.append(("newest", ok)))
            harness.files.may_write.set()
            await harness.wait_until(lambda: reports == [("newest", True)])
            assert harness.writer.read_file("a") == b"2"
            harness.files.fails = True
            harness.writer.replace_file("a", b"3", lambda ok: reports.append(("refused", ok)))
            await harness.wait_until(lambda: reports == [("newest", True), ("refused", False)])
            assert harness.writer.read_file("a") == b"2"

    asyncio.run(scenario())


def test_a_record_queued_before_close_is_not_written() -> None:
    async def scenario() -> None:
        async with disk_writer_harness() as harness:
            harness.writer.replace_file("a.hint", b"a")
            await harness.wait_until(harness.files.is_writing.is_set)
            harness.writer.write_record(1, durable(1))
            harness.writer.close()
            harness.files.may_write.set()
            harness.writer._thread.join(10.0)
            assert not harness.writer._thread.is_alive()
            assert list(harness.files.contents) == ["a.hint"]

    asyncio.run(scenario())
