"""The file of a replica: checksummed records, appended, rewritten when it grows long.

A line is a CRC-32 in hex, a serial number, and the record as JSON. Each is synced before the next is written, so that
a crash leaves at most one torn line, at the end: what it held, nobody was told of. Damage anywhere else means that the
file may have lost what its replica promised. Then nothing in it is believed, and it is kept aside for whoever looks for
the cause. The calls to the system come in as `Files`, so that every crash point can be tried without a disk.
"""

from __future__ import annotations

import os
import re
import zlib
from typing import Protocol

import msgspec

from larkweir_replication.messages import DurableState

JOURNAL_FILE = "replica.log"
NEW_JOURNAL_FILE = "replica.log.new"
DAMAGED_JOURNAL_FILE = "replica.log.damaged"
# Past the first, and past so many times what one record takes, the file is rewritten. With records of 4 MB the file,
# a damaged one beside it and the new one stay under 70 MB, about half of a machine's disk.
MIN_REWRITE_BYTES = 2 * 1024 * 1024
REWRITE_SIZE_FACTOR = 8
RECORD_START = re.compile(rb"[0-9a-f]{8} [0-9]+ \{")


class JournalFiles(Protocol):
    """Files of one folder. All raise OSError."""

    def read(self, name: str) -> bytes:
        """The whole file; FileNotFoundError where there is none."""

    def append(self, name: str, at: int, data: bytes) -> None:
        """Cuts the file to `at` bytes, writes `data` behind and syncs the file."""

    def replace(self, new: str, name: str) -> None:
        """Gives the synced file `new` that name, and syncs the folder."""


class FolderFiles:
    """`Files` of a folder on disk."""

    def __init__(self, folder: str) -> None:
        """The first write makes the folder where it is missing."""
        self._folder = folder

    def read(self, name: str) -> bytes:
        """The whole file; FileNotFoundError where there is none."""
        with open(os.path.join(self._folder, name), "rb") as file:
            return file.read()

    def append(self, name: str, at: int, data: bytes) -> None:
        """Cuts the file to `at` bytes, writes `data` behind and syncs the file; a new name lasts with the folder."""
        self._make_folder()
        path = os.path.join(self._folder, name)
        descriptor = os.open(path, os.O_RDWR | os.O_CREAT, 0o600)
        try:
            os.ftruncate(descriptor, at)
            os.lseek(descriptor, at, os.SEEK_SET)
            view = memoryview(data)
            while view:
                view = view[os.write(descriptor, view) :]
            os.fsync(descriptor)
        finally:
            os.close(descriptor)
        if at == 0:
            self._sync_folder()

    def replace(self, new: str, name: str) -> None:
        """Renames and syncs the folder."""
        os.replace(os.path.join(self._folder, new), os.path.join(self._folder, name))
        self._sync_folder()

    def _make_folder(self) -> None:
        if not os.path.isdir(self._folder):
            os.makedirs(self._folder, exist_ok=True)
            self._sync(os.path.dirname(os.path.abspath(self._folder)))

    def _sync_folder(self) -> None:
        self._sync(self._folder)

    @staticmethod
    def _sync(folder: str) -> None:
        """Names that were made, changed or removed in it last from now on."""
        descriptor = os.open(folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class Journal:
    """The newest `Durable` of a replica on disk. Used by one thread at a time; it waits for the disk."""

    def __init__(self, files: JournalFiles) -> None:
        """Reads what is there; `newest` is None where there is nothing whole."""
        self._files = files
        self.newest: DurableState | None = None
        self.size_bytes = 0  # of the part that is known to be whole, bytes
        self.unreadable_bytes = 0  # bytes behind it
        self.is_damaged = False  # its memory is lost: what was read may be older than what was promised
        self.last_known_members: tuple[str, ...] = ()  # by what can be read of a damaged file; whom to ask
        self._serial = 0
        self._load()

    @property
    def is_blank(self) -> bool:
        """Whether there has never been a record here, as far as the disk tells."""
        return self.newest is None and not self.is_damaged

    def _load(self) -> None:
        data = self._read(JOURNAL_FILE)
        if data is None:
            self.is_damaged = self._read(DAMAGED_JOURNAL_FILE) is not None
            return
        for line in data.split(b"\n"):
            durable = _decode(line, self._serial + 1 if self._serial else None)
            if durable is None or self.size_bytes + len(line) == len(data):  # the last one has no end
                break
            self._serial, self.newest = durable
            self.size_bytes += len(line) + 1
        self.unreadable_bytes = len(data) - self.size_bytes
        if _contains_record(data[self.size_bytes :]):
            self._discard_untrusted()

    def _read(self, name: str) -> bytes | None:
        try:
            return self._files.read(name)
        except FileNotFoundError:
            return None

    def _discard_untrusted(self) -> None:
        """A whole record stands behind what can't be read: records were lost that had been synced."""
        if self.newest is not None and self.newest.snapshot is not None:
            self.last_known_members = self.newest.snapshot.members
        self.is_damaged, self.newest = True, None

    def write(self, durable: DurableState) -> None:
        """Returns once the record will be found after a loss of power. Raises OSError: then it may or may not be, and
        what was written before it is there still.
        """
        line = _encode(self._serial + 1, durable)
        if self.is_damaged:
            self._start_new_file(line)
        elif self.size_bytes + len(line) > max(MIN_REWRITE_BYTES, REWRITE_SIZE_FACTOR * len(line)):
            self._rewrite(line)
        else:
            self._files.append(JOURNAL_FILE, self.size_bytes, line)
        self._serial += 1
        self.size_bytes += len(line)
        self.newest = durable

    def _rewrite(self, line: bytes) -> None:
        self._files.append(NEW_JOURNAL_FILE, 0, line)
        self._files.replace(NEW_JOURNAL_FILE, JOURNAL_FILE)
        self.size_bytes = 0

    def _start_new_file(self, line: bytes) -> None:
        """The damaged file is kept aside, never cut. A crash between the two names leaves the folder damaged still."""
        self._files.append(NEW_JOURNAL_FILE, 0, line)
        if self._read(JOURNAL_FILE) is not None:
            self._files.replace(JOURNAL_FILE, DAMAGED_JOURNAL_FILE)
        self._files.replace(NEW_JOURNAL_FILE, JOURNAL_FILE)
        self.size_bytes = 0
        self.is_damaged = False


def _encode(serial: int, durable: DurableState) -> bytes:
    body = b"%d %s" % (serial, msgspec.json.encode(durable))
    return b"%08x %s\n" % (zlib.crc32(body), body)


def _decode(line: bytes, serial: int | None) -> tuple[int, DurableState] | None:
    """Serial and record of a line; None where it is torn, damaged or not the next one (`serial`, if given)."""
    if line[8:9] != b" ":
        return None
    body = line[9:]
    if line[:8] != b"%08x" % zlib.crc32(body):
        return None
    number, _, text = body.partition(b" ")
    if serial is not None and int(number) != serial:
        return None
    try:
        return int(number), msgspec.json.decode(text, type=DurableState)
    except msgspec.DecodeError:
        return None


def _contains_record(rest: bytes) -> bool:
    """Whether a whole record stands anywhere behind the first that can't be read, be its line's start lost or not."""
    for start in RECORD_START.finditer(rest, 1):
        end = rest.find(b"\n", start.start())
        if end >= 0 and _decode(rest[start.start() : end], None) is not None:
            return True
    return False
