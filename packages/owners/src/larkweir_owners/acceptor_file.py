"""An acceptor's file: a log of entries that is flushed, compacted by a rename, and cut where its end is torn.

The file is a header (magic, version, the random number that names this disk, CRC-32) and frames (length, CRC-32 over
what follows it, serial, an entry as MessagePack). Entries before a damaged one count, none after it: what a flipped
bit takes away is then missing as in an older copy, which the other replicas notice. A header that can't be read means
a lost disk. A file is replaced by writing `NAME.new` completely, flushing it, renaming it, and flushing the folder.
Any error ends the writing for this process, since after a failed flush it is not known what the file holds (fsync(2)).
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
# A file of this size, and of four times what it had when it was last rewritten, is compacted
MIN_COMPACT_BYTES = 4 * 1024 * 1024

_encode = msgspec.msgpack.Encoder().encode
_decoder: msgspec.msgpack.Decoder[LogEntry] = msgspec.msgpack.Decoder(
    SlotEntry | IncarnationEntry | PeerProgressEntry | ReplicaSetEntry
)


def encode_header(disk_id: int) -> bytes:
    """The header of a file."""
    text = HEADER.pack(MAGIC, VERSION, disk_id)
    return text + CHECK.pack(zlib.crc32(text))


def encode_frame(serial: int, entry: LogEntry) -> bytes:
    """An entry as it is in the file. `serial` counts a file's entries from 1."""
    inner = SERIAL.pack(serial) + _encode(entry)
    return FRAME.pack(len(inner), zlib.crc32(inner)) + inner


def decode_file(data: bytes, replica_set: ReplicaSet) -> tuple[AcceptorState, int, int] | None:
    """The state, how many bytes of the file count, and how many entries; None where the header can't be read.
    `replica_set`: the set where the file names none.
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
    """One acceptor's file, open. Blocking: used on a thread of its own, by one call at a time."""

    def __init__(
        self, files: FileSystem, replica_set: ReplicaSet, new_disk_id: Callable[[], int], name: str = "keeper"
    ) -> None:
        """`new_disk_id`: a random number of 63 bits, for a disk that is new or lost."""
        self.name = name
        self.state = AcceptorState(0, replica_set)  # what is on disk, and nothing else
        self.truncated_bytes = 0  # after the last entry that counts, when it was opened
        self.fault = ""  # why it is not written to any more
        self._files, self._new_disk_id = files, new_disk_id
        self._descriptor = -1
        self._serial = 0
        self._size_bytes = 0
        self._rewritten_bytes = 0

    def open(self) -> AcceptorState:
        """Read the file, or make a new one; returns a copy of the state for the acceptor.

        Raises:
            OSError: another process has the folder (FolderInUseError), or it can't be read or written.
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
        """Append and flush. False, then and ever after, where that fails: the acceptor must not vote any more."""
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
                self._on_failed(error)  # what is flushed stands; nothing follows it
        return True

    def close(self, voting_incarnation: Incarnation | None = None) -> str:
        """Close the file: this process writes nothing from here on, and another may open it.

        Returns the state's fingerprint where the acceptor voted as `voting_incarnation`, else "": one that had not
        caught up, or whose coming to vote is not on disk, has nothing that a successor could vote by.
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
        """Write the state to a new file, and put that in the old one's place."""
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
