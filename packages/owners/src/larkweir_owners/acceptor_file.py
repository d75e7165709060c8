"""A keeper's file: entries appended and flushed, compacted by rename; a torn tail is cut.

`NAME` is a header (magic, version, a random number that names this disk, CRC-32) and frames (length, CRC-32 over what
follows it, serial, an entry as MessagePack). Entries before a damaged one count, none behind it: what a flipped bit
takes away is then missing as in an older copy, which the other keepers notice. A header that can't be read is a lost
disk. A file is replaced by writing `NAME.new` whole, flushing it, renaming it, and flushing the folder. Any error ends
the writing for this life, since after a failed flush it is not known what the file holds (fsync(2)).
"""

from __future__ import annotations

import errno
import fcntl
import os
import struct
import zlib
from collections.abc import Callable, Iterable
from typing import Protocol

import msgspec

from larkweir_owners.acceptor import (
    AcceptorState,
    IncarnationEntry,
    LogEntry,
    PeerProgressEntry,
    ReplicaSetEntry,
    SlotEntry,
    fingerprint,
)
from larkweir_owners.messages import Incarnation, ReplicaSet

MAGIC = b"LWKP"
VERSION = 1
HEADER = struct.Struct(">4sIQ")
CHECK = struct.Struct(">I")
FRAME = struct.Struct(">II")
SERIAL = struct.Struct(">Q")
HEADER_BYTES = HEADER.size + CHECK.size
MAX_ENTRY_BYTES = 16 * 1024  # bytes
MAX_FILE_BYTES = 128 * 1024 * 1024
MIN_COMPACT_BYTES = (
    4 * 1024 * 1024
)  # a file of this, and of four times what it was when it was new, is written anew

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(
    SlotEntry | IncarnationEntry | PeerProgressEntry | ReplicaSetEntry
)


class FileSystem(Protocol):
    """The system calls that it makes, so that a test can fail any of them. OSError from each."""

    def lock(self) -> None: ...
    def read(self, name: str) -> bytes | None: ...
    def create(self, name: str) -> int: ...
    def append(self, name: str, length: int) -> int: ...
    def write(self, number: int, data: bytes) -> None: ...
    def flush(self, number: int) -> None: ...
    def close_file(self, number: int) -> None: ...
    def rename(self, old: str, new: str) -> None: ...
    def flush_folder(self) -> None: ...
    def close(self) -> None: ...


class LockedFolder:
    """`System` on a folder of this user's own, which one process has at a time."""

    def __init__(self, path: str) -> None:
        self.path = path
        self._lock = -1

    def lock(self) -> None:
        os.makedirs(self.path, mode=0o700, exist_ok=True)
        flags = os.O_RDWR | os.O_CREAT | os.O_CLOEXEC | os.O_NOFOLLOW
        self._lock = os.open(os.path.join(self.path, "keeper.lock"), flags, 0o600)
        try:
            fcntl.flock(self._lock, fcntl.LOCK_EX | fcntl.LOCK_NB)
        except OSError:
            self.close()
            raise OSError(errno.EBUSY, "another process has it") from None

    def close(self) -> None:
        if self._lock >= 0:
            os.close(self._lock)
            self._lock = -1

    def read(self, name: str) -> bytes | None:
        try:
            number = os.open(os.path.join(self.path, name), os.O_RDONLY | os.O_CLOEXEC | os.O_NOFOLLOW)
        except FileNotFoundError:
            return None
        with os.fdopen(number, "rb") as file:
            if os.fstat(number).st_size > MAX_FILE_BYTES:
                raise OSError(errno.EFBIG, "it is no keeper's file")
            return file.read()

    def create(self, name: str) -> int:
        flags = os.O_WRONLY | os.O_CREAT | os.O_TRUNC | os.O_CLOEXEC | os.O_NOFOLLOW
        return os.open(os.path.join(self.path, name), flags, 0o600)

    def append(self, name: str, length: int) -> int:
        """Opened for appending, cut to that length first, and flushed so."""
        flags = os.O_WRONLY | os.O_APPEND | os.O_CLOEXEC | os.O_NOFOLLOW
        number = os.open(os.path.join(self.path, name), flags)
        try:
            os.ftruncate(number, length)
            os.fsync(number)
        except OSError:
            os.close(number)
            raise
        return number

    def write(self, number: int, data: bytes) -> None:
        left = memoryview(data)
        while left:
            left = left[os.write(number, left) :]

    def flush(self, number: int) -> None:
        os.fsync(number)

    def close_file(self, number: int) -> None:
        os.close(number)

    def rename(self, old: str, new: str) -> None:
        os.rename(os.path.join(self.path, old), os.path.join(self.path, new))

    def flush_folder(self) -> None:
        number = os.open(self.path, os.O_RDONLY | os.O_DIRECTORY | os.O_CLOEXEC)
        try:
            os.fsync(number)
        finally:
            os.close(number)


def encode_header(disk: int) -> bytes:
    text = HEADER.pack(MAGIC, VERSION, disk)
    return text + CHECK.pack(zlib.crc32(text))


def encode_frame(serial: int, entry: LogEntry) -> bytes:
    inner = SERIAL.pack(serial) + _encode(entry)
    return FRAME.pack(len(inner), zlib.crc32(inner)) + inner


def decode_file(data: bytes, replica_set: ReplicaSet) -> tuple[AcceptorState, int, int] | None:
    """The disk, how many bytes of the file count, and how many entries; None where the header can't be read.
    `keepers`: the set where the file names none."""
    if len(data) < HEADER_BYTES:
        return None
    magic, version, number = HEADER.unpack_from(data)
    (check,) = CHECK.unpack_from(data, HEADER.size)
    if (magic, version, check) != (MAGIC, VERSION, zlib.crc32(data[: HEADER.size])):
        return None
    disk, at, serial = AcceptorState(number, replica_set), HEADER_BYTES, 0
    while at + FRAME.size <= len(data):
        length, check = FRAME.unpack_from(data, at)
        inner = data[at + FRAME.size : at + FRAME.size + length]
        if not SERIAL.size < length <= MAX_ENTRY_BYTES or len(inner) < length or zlib.crc32(inner) != check:
            break
        if SERIAL.unpack_from(inner)[0] != serial + 1:
            break
        try:
            disk.apply(_decoder.decode(inner[SERIAL.size :]))
        except msgspec.DecodeError:
            break
        serial += 1
        at += FRAME.size + length
    return disk, at, serial


class AcceptorFile:
    """One keeper's file, open. Blocking: used on a thread of its own, by one call at a time."""

    def __init__(
        self, files: FileSystem, replica_set: ReplicaSet, new_disk_id: Callable[[], int], name: str = "keeper"
    ) -> None:
        """`new_disk`: a random number of 63 bits, for a disk that is new or lost."""
        self.name = name
        self.state = AcceptorState(0, replica_set)  # what is on disk, and nothing else
        self.truncated_bytes = 0  # behind what counts, when it was opened
        self.fault = ""  # why it is no more written to
        self._files, self._new_disk = files, new_disk_id
        self._descriptor = -1
        self._serial = 0
        self._size_bytes = 0
        self._rewritten_bytes = 0

    def open(self) -> AcceptorState:
        """Read it, or make a new one; a copy for the keeper. OSError where another process has it, or it can't be read
        or written.
        """
        self._files.lock()
        data = self._files.read(self.name)
        found = decode_file(data, self.state.replica_set) if data is not None else None
        if found is None:
            self.state = AcceptorState(self._new_disk(), self.state.replica_set)
            self._rewrite()
        else:
            self.state, self._size_bytes, self._serial = found
            self.truncated_bytes = len(data or b"") - self._size_bytes
            self._descriptor = self._files.append(self.name, self._size_bytes)
            self._rewritten_bytes = self._size_bytes
        return self.state.copy()

    def append(self, entries: Iterable[LogEntry]) -> bool:
        """Append and flush. False, then and ever after, where that fails: the keeper must not vote any more."""
        if self.fault or self._descriptor < 0:
            return False
        accepted = list(entries)
        frames = []
        for entry in accepted:
            self._serial += 1
            frames.append(encode_frame(self._serial, entry))
        data = b"".join(frames)
        try:
            self._files.write(self._descriptor, data)
            self._files.flush(self._descriptor)
        except OSError as error:
            self._on_failed(error)
            return False
        for entry in accepted:
            self.state.apply(entry)
        self._size_bytes += len(data)
        if self._size_bytes >= max(MIN_COMPACT_BYTES, 4 * self._rewritten_bytes):
            try:
                self._rewrite()
            except OSError as error:
                self._on_failed(error)  # what is flushed stands; nothing follows it
        return True

    def close(self, voting_incarnation: Incarnation | None = None) -> str:
        """From here on this process writes nothing, and another may open it. Gives the mark of what stands in it where
        its keeper voted as that life, else "": one that had not caught up, or whose coming to vote is not on disk, has
        nothing that a successor could vote by."""
        known = self._descriptor >= 0 and not self.fault
        if self._descriptor >= 0:
            self._files.close_file(self._descriptor)
            self._descriptor = -1
        voted = known and self.state.can_vote and voting_incarnation == self.state.incarnation
        closed_fingerprint = fingerprint(self.state) if voted else ""
        self._files.close()
        return closed_fingerprint

    def _on_failed(self, error: OSError) -> None:
        self.fault = error.strerror or str(error)

    def _rewrite(self) -> None:
        """Write it anew and put it in the old one's place."""
        frames, serial = [encode_header(self.state.disk_id)], 0
        for entry in self.state.entries():
            serial += 1
            frames.append(encode_frame(serial, entry))
        data = b"".join(frames)
        new = self.name + ".new"
        number = self._files.create(new)
        try:
            self._files.write(number, data)
            self._files.flush(number)
            self._files.rename(new, self.name)
            self._files.flush_folder()
        except OSError:
            self._files.close_file(number)
            raise
        if self._descriptor >= 0:
            self._files.close_file(self._descriptor)
        self._descriptor, self._serial = number, serial
        self._size_bytes = self._rewritten_bytes = len(data)
