"""An acceptor's file: an append-only log that is flushed, compacted by a rename, and truncated at a torn end.

The file is a header (magic, version, random disk id, CRC-32) followed by frames (length, CRC-32 over the rest of the
frame, serial, an entry as MessagePack). Reading stops at the first damaged frame. The entries lost this way are missing
as they would be in an older copy of the file, and the other replicas detect that. A header that can't be read is
treated as a lost disk. To replace the file, `NAME.new` is written completely, flushed and renamed, and the folder is
flushed. After any error this process writes no more, because a failed flush leaves the file's content unknown
(fsync(2)).
"""

from __future__ import annotations

import struct
import zlib
from collections.abc import Callable, Iterable

import msgspec

from larkweir_owners.acceptor_state import (
    AcceptorState,
    IncarnationEntry,
    LogEntry,
    PeerProgressEntry,
    ReplicaSetEntry,
    SlotEntry,
    fingerprint,
)
from larkweir_owners.file_system import FileSystem
from larkweir_owners.messages import Incarnation, ReplicaSet

MAGIC = b"LWKP"
VERSION = 1
HEADER = struct.Struct(">4sIQ")
CHECK = struct.Struct(">I")
FRAME = struct.Struct(">II")
SERIAL = struct.Struct(">Q")
HEADER_BYTES = HEADER.size + CHECK.size
MAX_ENTRY_BYTES = 16 * 1024
# The file is compacted at this size, or at four times its size after the last compaction if that is larger
MIN_COMPACT_BYTES = 4 * 1024 * 1024

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(
    SlotEntry | IncarnationEntry | PeerProgressEntry | ReplicaSetEntry
)


def encode_header(disk_id: int) -> bytes:
    """Encode the header of a file."""
    text = HEADER.pack(MAGIC, VERSION, disk_id)
    return text + CHECK.pack(zlib.crc32(text))


def encode_frame(serial: int, entry: LogEntry) -> bytes:
    """Encode an entry as a frame of the file. `serial` counts a file's entries from 1."""
    inner = SERIAL.pack(serial) + _encode(entry)
    return FRAME.pack(len(inner), zlib.crc32(inner)) + inner


def decode_file(data: bytes, replica_set: ReplicaSet) -> tuple[AcceptorState, int, int] | None:
    """Return the state, the length of the valid part in bytes, and the number of entries; None if the header can't be
    read. `replica_set`: the set to use if the file holds none.
    """
    if len(data) < HEADER_BYTES:
        return None
    magic, version, disk_id = HEADER.unpack_from(data)
    (check,) = CHECK.unpack_from(data, HEADER.size)
    if (magic, version, check) != (MAGIC, VERSION, zlib.crc32(data[: HEADER.size])):
        return None
    state, at, serial = AcceptorState(disk_id, replica_set), HEADER_BYTES, 0
    while at + FRAME.size <= len(data):
        length, check = FRAME.unpack_from(data, at)
        inner = data[at + FRAME.size : at + FRAME.size + length]
        if not SERIAL.size < length <= MAX_ENTRY_BYTES or len(inner) < length or zlib.crc32(inner) != check:
            break
        if SERIAL.unpack_from(inner)[0] != serial + 1:
            break
        try:
            state.apply(_decoder.decode(inner[SERIAL.size :]))
        except msgspec.DecodeError:
            break
        serial += 1
        at += FRAME.size + length
    return state, at, serial


class AcceptorFile:
    """One acceptor's file. Its calls block: use it on a separate thread, one call at a time."""

    def __init__(
        self, files: FileSystem, replica_set: ReplicaSet, new_disk_id: Callable[[], int], name: str = "keeper"
    ) -> None:
        """`new_disk_id`: returns a random 63-bit number, for a new or lost disk."""
        self.name = name
        self.state = AcceptorState(0, replica_set)  # exactly what is on disk
        self.truncated_bytes = 0  # removed after the last valid entry when the file was opened
        self.fault = ""  # the error that stopped all writing, or ""
        self._files, self._new_disk_id = files, new_disk_id
        self._descriptor = -1
        self._serial = 0
        self._size_bytes = 0
        self._rewritten_bytes = 0

    def open(self) -> AcceptorState:
        """Read the file, or create it; return a copy of the state for the acceptor.

        Raises:
            OSError: another process has locked the folder (FolderInUseError), or it can't be read or written.
        """
        self._files.lock()
        data = self._files.read(self.name)
        found = decode_file(data, self.state.replica_set) if data is not None else None
        if found is None:
            self.state = AcceptorState(self._new_disk_id(), self.state.replica_set)
            self._rewrite()
        else:
            self.state, self._size_bytes, self._serial = found
            self.truncated_bytes = len(data or b"") - self._size_bytes
            self._descriptor = self._files.append(self.name, self._size_bytes)
            self._rewritten_bytes = self._size_bytes
        return self.state.copy()

    def append(self, entries: Iterable[LogEntry]) -> bool:
        """Append entries and flush. After a failure, this and every later call return False, and the acceptor must stop
        voting.
        """
        if self.fault or self._descriptor < 0:
            return False
        written = list(entries)
        frames = []
        for entry in written:
            self._serial += 1
            frames.append(encode_frame(self._serial, entry))
        data = b"".join(frames)
        try:
            self._files.write(self._descriptor, data)
            self._files.flush(self._descriptor)
        except OSError as error:
            self._on_failed(error)
            return False
        for entry in written:
            self.state.apply(entry)
        self._size_bytes += len(data)
        if self._size_bytes >= max(MIN_COMPACT_BYTES, 4 * self._rewritten_bytes):
            try:
                self._rewrite()
            except OSError as error:
                self._on_failed(error)  # the flushed entries remain valid; no more are written
        return True

    def close(self, voting_incarnation: Incarnation | None = None) -> str:
        """Close the file. This process writes no more, and another process may open the file.

        Returns the state's fingerprint if the acceptor voted as `voting_incarnation`, else "". A successor can't vote
        from the file if the acceptor had not caught up, or if the disk does not record that it had begun to vote.
        """
        is_known = self._descriptor >= 0 and not self.fault
        if self._descriptor >= 0:
            self._files.close_file(self._descriptor)
            self._descriptor = -1
        voted = is_known and self.state.can_vote and voting_incarnation == self.state.incarnation
        closed_fingerprint = fingerprint(self.state) if voted else ""
        self._files.close()
        return closed_fingerprint

    def _on_failed(self, error: OSError) -> None:
        self.fault = error.strerror or str(error)

    def _rewrite(self) -> None:
        """Write the state to a new file, then replace the old file with it."""
        frames, serial = [encode_header(self.state.disk_id)], 0
        for entry in self.state.entries():
            serial += 1
            frames.append(encode_frame(serial, entry))
        data = b"".join(frames)
        new = self.name + ".new"
        descriptor = self._files.create(new)
        try:
            self._files.write(descriptor, data)
            self._files.flush(descriptor)
            self._files.rename(new, self.name)
            self._files.flush_folder()
        except OSError:
            self._files.close_file(descriptor)
            raise
        if self._descriptor >= 0:
            self._files.close_file(self._descriptor)
        self._descriptor, self._serial = descriptor, serial
        self._size_bytes = self._rewritten_bytes = len(data)
