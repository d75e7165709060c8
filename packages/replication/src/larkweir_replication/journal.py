"""The journal of a replica: an append-only file of checksummed records, rewritten when it grows too large.

Each record is synced before the next one is written, so a crash leaves at most one torn line, at the end, and no other
replica has been sent anything that depends on it. Damage anywhere else means that a promise of this replica may be
lost: then no record is trusted, and the file is kept to analyze the cause. The system calls are passed in as
`JournalFiles`, so that a test can stop at each of them without a disk.
"""

from __future__ import annotations

from larkweir_replication.journal_files import JournalFiles
from larkweir_replication.journal_records import contains_record, decode_record, encode_record
from larkweir_replication.messages import DurableState

JOURNAL_FILE = "replica.log"
NEW_JOURNAL_FILE = "replica.log.new"
DAMAGED_JOURNAL_FILE = "replica.log.damaged"
# The file is rewritten once it exceeds both the minimum and this multiple of the record to write. With records of 4 MB,
# the file, a damaged file beside it and the new file stay under 70 MB together, about half of a machine's disk.
MIN_REWRITE_BYTES = 2 * 1024 * 1024
REWRITE_SIZE_FACTOR = 8


class Journal:
    """Stores the newest `DurableState` of a replica on disk. Not thread-safe; calls block while the disk syncs."""

    def __init__(self, files: JournalFiles) -> None:
        """Reads the existing files. Raises OSError if a file exists but can't be read."""
        self._files = files
        self.newest: DurableState | None = None  # None if there is no trusted record
        self.size_bytes = 0  # of the intact records at the start of the file
        self.unreadable_bytes = 0  # after the intact records
        self.is_damaged = False  # records were lost: those that remain may be older than a promise
        self.last_known_members: tuple[str, ...] = ()  # read from a damaged file: nodes to recover from
        self._serial = 0
        self._load()

    @property
    def is_blank(self) -> bool:
        """Whether no record was ever written, as far as the files show."""
        return self.newest is None and not self.is_damaged

    def write(self, record: DurableState) -> None:
        """Writes the record durably: when this returns, the record survives a loss of power.

        Raises OSError: then the record may or may not be durable, and earlier records still are.
        """
        line = encode_record(self._serial + 1, record)
        if self.is_damaged:
            self._start_new_file(line)
        elif self.size_bytes + len(line) > max(MIN_REWRITE_BYTES, REWRITE_SIZE_FACTOR * len(line)):
            self._rewrite(line)
        else:
            self._files.append(JOURNAL_FILE, self.size_bytes, line)
        self._serial += 1
        self.size_bytes += len(line)
        self.newest = record

    def _load(self) -> None:
        data = self._read(JOURNAL_FILE)
        if data is None:
            self.is_damaged = self._read(DAMAGED_JOURNAL_FILE) is not None
            return
        for line in data.split(b"\n"):
            decoded = decode_record(line, self._serial + 1 if self._serial else None)
            if decoded is None or self.size_bytes + len(line) == len(data):  # the last line has no newline
                break
            self._serial, self.newest = decoded
            self.size_bytes += len(line) + 1
        self.unreadable_bytes = len(data) - self.size_bytes
        if contains_record(data[self.size_bytes :]):
            self._discard_untrusted()

    def _read(self, name: str) -> bytes | None:
        try:
            return self._files.read(name)
        except FileNotFoundError:
            return None

    def _discard_untrusted(self) -> None:
        """Trusts no record: an intact record after unreadable bytes shows that synced records were lost."""
        if self.newest is not None and self.newest.snapshot is not None:
            self.last_known_members = self.newest.snapshot.members
        self.is_damaged, self.newest = True, None

    def _rewrite(self, line: bytes) -> None:
        self._files.append(NEW_JOURNAL_FILE, 0, line)
        self._files.replace(NEW_JOURNAL_FILE, JOURNAL_FILE)
        self.size_bytes = 0

    def _start_new_file(self, line: bytes) -> None:
        """Keeps the damaged file under another name. A crash between the two renames leaves the journal damaged."""
        self._files.append(NEW_JOURNAL_FILE, 0, line)
        if self._read(JOURNAL_FILE) is not None:
            self._files.replace(JOURNAL_FILE, DAMAGED_JOURNAL_FILE)
        self._files.replace(NEW_JOURNAL_FILE, JOURNAL_FILE)
        self.size_bytes = 0
        self.is_damaged = False
