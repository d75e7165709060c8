"""The file of a replica: checksummed records, appended, rewritten when it grows long.

A line is a CRC-32 in hex, a serial number, and the record as JSON. Reading stops at the first line that is torn,
damaged or out of turn: what lies behind it was written after the last sync that succeeded, so nobody was told of
it. The calls to the system come in as `Files`, so that every crash point can be tried without a disk.
"""

from __future__ import annotations

import os
import zlib
from typing import Protocol

import msgspec

from larkweir_replication.messages import Durable

NAME = "replica.log"
NEW_NAME = "replica.log.new"
REWRITE_BYTES = (
    2 * 1024 * 1024
)  # past it, and past so many times what one record takes, the file is rewritten
REWRITE_RECORDS = 16


class Files(Protocol):
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
        os.makedirs(self._folder, exist_ok=True)
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

    def _sync_folder(self) -> None:
        descriptor = os.open(self._folder, os.O_RDONLY)
        try:
            os.fsync(descriptor)
        finally:
            os.close(descriptor)


class Journal:
    """The newest `Durable` of a replica on disk. Used by one thread at a time; it waits for the disk."""

    def __init__(self, files: Files) -> None:
        """Reads what is there; `newest` is None where there is nothing whole."""
        self._files = files
        self.newest: Durable | None = None
        self.size = 0  # of the part that is known to be whole, bytes
        self.dropped = 0  # bytes behind it
        self._serial = 0
        self._load()

    def _load(self) -> None:
        try:
            data = self._files.read(NAME)
        except FileNotFoundError:
            return
        for line in data.splitlines(keepends=True):
            durable = _decode(line, self._serial + 1 if self._serial else None)
            if durable is None:
                break
            self._serial, self.newest = durable
            self.size += len(line)
        self.dropped = len(data) - self.size

    def write(self, durable: Durable) -> None:
        """Returns once the record will be found after a loss of power. Raises OSError: then it may or may not be, and
        what was written before it is there still.
        """
        line = _encode(self._serial + 1, durable)
        if self.size + len(line) > max(REWRITE_BYTES, REWRITE_RECORDS * len(line)):
            self._files.append(NEW_NAME, 0, line)
            self._files.replace(NEW_NAME, NAME)
            self.size = 0
        else:
            self._files.append(NAME, self.size, line)
        self._serial += 1
        self.size += len(line)
        self.newest = durable


def _encode(serial: int, durable: Durable) -> bytes:
    body = b"%d %s" % (serial, msgspec.json.encode(durable))
    return b"%08x %s\n" % (zlib.crc32(body), body)


def _decode(line: bytes, serial: int | None) -> tuple[int, Durable] | None:
    """Serial and record of a whole line; None where it is torn, damaged or not the next one (`serial`, if given)."""
    if not line.endswith(b"\n") or line[8:9] != b" ":
        return None
    body = line[9:-1]
    if line[:8] != b"%08x" % zlib.crc32(body):
        return None
    number, _, text = body.partition(b" ")
    if serial is not None and int(number) != serial:
        return None
    return int(number), msgspec.json.decode(text, type=Durable)
