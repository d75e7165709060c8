"""What the disk's thread writes, in which order, and whom it notifies."""

from __future__ import annotations

import asyncio
import threading
from collections.abc import AsyncIterator, Callable
from contextlib import asynccontextmanager

from larkweir_replication.journal import Journal
from larkweir_replication.messages import DurableState, Epoch

from larkweir.controller.disk_writer import DiskWriter


class MemoryFiles:
    """Files that a test can make fail, and whose first write waits for the test."""

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


class Scene:
    """A writer, and the notifications that it has sent."""

    def __init__(self) -> None:
        self.files = MemoryFiles()
        self.persisted: list[int] = []
        self.failed: list[int] = []
        self.journal = Journal(self.files)
        loop = asyncio.get_running_loop()
        self.writer = DiskWriter(self.journal, self.files, loop, self.persisted.append, self.failed.append)

    async def until(self, found: Callable[[], bool]) -> None:
        async with asyncio.timeout(10.0):
            while not found():
                await asyncio.sleep(0.001)


@asynccontextmanager
async def writing() -> AsyncIterator[Scene]:
    scene = Scene()
    try:
        yield scene
    finally:
        scene.files.may_write.set()
        scene.writer.close()


def durable(number: int) -> DurableState:
    return DurableState(Epoch(number, "n"), None)


def test_the_newest_queued_record_supersedes_the_earlier_ones() -> None:
    async def scene() -> None:
        async with writing() as made:
            made.writer.write_hint("a.hint", b"a")  # the thread waits in it
            await made.until(made.files.is_writing.is_set)
            for token in (1, 2, 3):
                made.writer.write_record(token, durable(token))
            made.files.may_write.set()
            await made.until(lambda: made.persisted == [3])
            assert made.journal.newest == durable(3)

    asyncio.run(scene())


def test_a_hint_is_written_after_the_record_that_is_being_written() -> None:
    async def scene() -> None:
        async with writing() as made:
            made.writer.write_record(1, durable(1))
            await made.until(made.files.is_writing.is_set)
            made.writer.write_hint("a.hint", b"a")
            made.writer.write_record(2, durable(2))
            made.files.may_write.set()
            await made.until(lambda: made.persisted == [1, 2])
            assert made.files.appended == ["replica.log", "a.hint.new", "replica.log"]

    asyncio.run(scene())


def test_a_hint_replaces_its_file_and_is_read_again() -> None:
    async def scene() -> None:
        async with writing() as made:
            made.files.may_write.set()
            assert made.writer.read_hint("a.hint") is None
            made.writer.write_hint("a.hint", b"1")
            await made.until(lambda: made.writer.read_hint("a.hint") == b"1")
            made.writer.write_hint("a.hint", b"2")
            await made.until(lambda: made.writer.read_hint("a.hint") == b"2")
            assert list(made.files.contents) == ["a.hint"]

    asyncio.run(scene())


def test_a_failed_record_is_notified_as_failed_and_the_thread_goes_on() -> None:
    async def scene() -> None:
        async with writing() as made:
            made.files.may_write.set()
            made.files.fails = True
            made.writer.write_record(1, durable(1))
            await made.until(lambda: made.failed == [1])
            made.files.fails = False
            made.writer.write_record(2, durable(2))
            await made.until(lambda: made.persisted == [2])

    asyncio.run(scene())


def test_a_failed_hint_is_lost_and_the_thread_goes_on() -> None:
    async def scene() -> None:
        async with writing() as made:
            made.files.may_write.set()
            made.files.fails = True
            made.writer.write_hint("a.hint", b"1")
            await made.until(lambda: made.files.appended == ["a.hint.new"])
            made.files.fails = False
            made.writer.write_record(1, durable(1))
            await made.until(lambda: made.persisted == [1])
            assert made.writer.read_hint("a.hint") is None

    asyncio.run(scene())


def test_what_is_queued_at_the_close_is_not_written() -> None:
    async def scene() -> None:
        async with writing() as made:
            made.writer.write_hint("a.hint", b"a")
            await made.until(made.files.is_writing.is_set)
            made.writer.write_record(1, durable(1))
            made.writer.close()
            made.files.may_write.set()
            made.writer._thread.join(10.0)
            assert not made.writer._thread.is_alive()
            assert list(made.files.contents) == ["a.hint"]

    asyncio.run(scene())
