"""The acceptor's file: every truncation, every flipped bit, a crash at or inside every call, and every failing call."""

import errno
from collections.abc import Iterator
from itertools import product

import pytest
from larkweir_owners import acceptor_file
from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_file import AcceptorFile, decode_file
from larkweir_owners.acceptor_state import (
    AcceptorState,
    IncarnationEntry,
    LogEntry,
    PeerProgressEntry,
    ReplicaSetEntry,
    Slot,
    SlotEntry,
    fingerprint,
)
from larkweir_owners.file_system import LockedFolder
from larkweir_owners.messages import Record, ReplicaSet

SET = ReplicaSet(1, ("a", "b", "c"))
ENTRIES: list[LogEntry] = [
    PeerProgressEntry((("b", (1, 5, 0)), ("c", (1, 6, 0)))),
    IncarnationEntry((1, 4), True, 0),
    SlotEntry("d", Slot((1, "p", 9)), 1),
    SlotEntry("d", Slot((1, "p", 9), (1, "p", 9), Record(1, 1, "p", 9, value=b"x")), 2, (("b", (1, 5, 3)),)),
    ReplicaSetEntry(ReplicaSet(2, ("a", "b", "c", "d"), ("a", "b", "c"), ("d", 2, 7))),
    SlotEntry("e", Slot((2, "q", 8)), 3),
]


class ModelFolder:
    """A folder in memory. Flushed data survives a crash, with any prefix of the unflushed rest of a file. Of the
    changes to the folder since its last flush, either all survive or none."""

    def __init__(self, fail_at: int = 0) -> None:
        self.calls, self.fail_at = 0, fail_at
        self.data: list[bytearray] = []
        self.flushed_bytes: list[int] = []
        self.names: dict[str, int] = {}
        self.flushed_names: dict[str, int] = {}

    def _call(self) -> None:
        self.calls += 1
        if self.calls == self.fail_at:
            raise OSError(errno.ENOSPC, "No space left on device")

    def lock(self) -> None: ...

    def close(self) -> None: ...

    def close_file(self, number: int) -> None: ...

    def read(self, name: str) -> bytes | None:
        return bytes(self.data[self.names[name]]) if name in self.names else None

    def create(self, name: str) -> int:
        self._call()
        self.data.append(bytearray())
        self.flushed_bytes.append(0)
        self.names[name] = len(self.data) - 1
        return self.names[name]

    def append(self, name: str, length: int) -> int:
        self._call()
        number = self.names[name]
        del self.data[number][length:]
        self.flushed_bytes[number] = length
        return number

    def write(self, number: int, data: bytes) -> None:
        try:
            self._call()
        except OSError:
            self.data[number] += data[: len(data) // 2]
            raise
        self.data[number] += data

    def flush(self, number: int) -> None:
        self._call()
        self.flushed_bytes[number] = len(self.data[number])

    def rename(self, old: str, new: str) -> None:
        self._call()
        self.names[new] = self.names.pop(old)

    def flush_folder(self) -> None:
        self._call()
        self.flushed_names = dict(self.names)

    def crashes(self) -> Iterator["ModelFolder"]:
        """Return every possible content of the folder after a crash now."""
        cuts = [
            range(flushed_bytes, len(data) + 1)
            for flushed_bytes, data in zip(self.flushed_bytes, self.data, strict=True)
        ]
        for names in (self.names, self.flushed_names):
            for lengths in product(*(cut if n in names.values() else cut[:1] for n, cut in enumerate(cuts))):
                after_crash = ModelFolder()
                after_crash.data = [bytearray(d[:n]) for d, n in zip(self.data, lengths, strict=True)]
                after_crash.flushed_bytes = list(lengths)
                after_crash.names, after_crash.flushed_names = dict(names), dict(names)
                yield after_crash


def states() -> list[AcceptorState]:
    """Return the states after no entry, after one entry, and so on."""
    disk = AcceptorState(77, SET)
    found = [disk.copy()]
    for entry in ENTRIES:
        disk.apply(entry)
        found.append(disk.copy())
    return found


def write_entries(model: ModelFolder) -> list[int]:
    """Append the entries with one flush each, and return the serial of the last one in a list."""
    file = AcceptorFile(model, SET, lambda: 77)
    file.open()
    for entry in ENTRIES:
        if not file.append([entry]):
            break
    return [file._serial]


def test_truncated_or_bit_flipped_file_decodes_to_an_earlier_state() -> None:
    model = ModelFolder()
    write_entries(model)
    data, known_states = model.read("keeper"), states()
    assert data is not None
    whole = decode_file(data, SET)
    assert whole is not None and whole[0] == known_states[-1]
    lengths = []
    for length in range(len(data) + 1):
        found = decode_file(data[:length], SET)
        lengths.append(-1 if found is None else known_states.index(found[0]))
    assert lengths == sorted(lengths) and set(lengths) >= set(range(len(known_states)))
    for bit in range(len(data) * 8):
        damaged = bytearray(data)
        damaged[bit // 8] ^= 1 << bit % 8
        found = decode_file(bytes(damaged), SET)
        assert found is None or found[0] in known_states[:-1], bit


@pytest.mark.parametrize("compact", [1 << 20, 1])
def test_acknowledged_entries_survive_a_crash_at_any_call(
    compact: int, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(acceptor_file, "MIN_COMPACT_BYTES", compact)
    known_states = states()
    seen = 0
    for fail_at in range(1, 100):
        model = ModelFolder(fail_at)
        file = AcceptorFile(model, SET, lambda: 77)
        promised = -1  # nothing
        try:
            file.open()
            promised = 0
            for entry in ENTRIES:
                if not file.append([entry]):
                    assert file.fault == "No space left on device"
                    assert not file.append([ENTRIES[0]])  # this process never writes again
                    break
                promised += 1
        except OSError:
            pass
        for after_crash in model.crashes():
            seen += 1
            data = after_crash.read("keeper")
            found = decode_file(data, SET) if data is not None else None
            if found is None:
                assert promised == -1
            else:
                assert found[0] in known_states[max(promised, 0) :]
        if model.calls < fail_at:
            break
    assert seen > 100 and promised == len(ENTRIES)


def test_folder_is_reopened_and_a_torn_tail_is_truncated(tmp_path, monkeypatch: pytest.MonkeyPatch) -> None:  # type: ignore[no-untyped-def]
    monkeypatch.setattr(acceptor_file, "MIN_COMPACT_BYTES", 64)
    folder = str(tmp_path / "k")
    file = AcceptorFile(LockedFolder(folder), SET, lambda: 77)
    file.open()
    with pytest.raises(OSError, match="another process has it"):
        AcceptorFile(LockedFolder(folder), SET, lambda: 78).open()
    for entry in ENTRIES:
        assert file.append([entry])
    file.close()
    with open(tmp_path / "k" / "keeper", "ab") as torn:
        torn.write(b"\0\0\0\x20torn")
    again = AcceptorFile(LockedFolder(folder), SET, lambda: 78)
    assert again.open() == states()[-1]
    assert again.truncated_bytes == 8
    assert again.append([ENTRIES[-1]])
    again.close()
    (tmp_path / "k" / "keeper").write_bytes(b"no keeper's file, and so as good as lost")
    lost = AcceptorFile(LockedFolder(folder), SET, lambda: 78)
    assert lost.open() == AcceptorState(78, SET)
    lost.close()


def test_compacted_file_decodes_to_the_same_state() -> None:
    for disk in states():
        data = acceptor_file.encode_header(disk.disk_id)
        for serial, entry in enumerate(disk.entries(), 1):
            data += acceptor_file.encode_frame(serial, entry)
        found = decode_file(data, SET)
        assert found is not None and found[0] == disk


def test_closed_fingerprint_covers_the_whole_state_and_requires_a_voting_acceptor() -> None:
    model = ModelFolder()
    file = AcceptorFile(model, SET, lambda: 77)
    file.open()
    assert file.append(ENTRIES)
    held = file.state.copy()
    closed_fingerprint = file.close((1, 4))
    assert closed_fingerprint == fingerprint(held) and not file.append(ENTRIES[:1])
    again = AcceptorFile(model, SET, lambda: 78)
    assert Acceptor("a", again.open(), closed_fingerprint).voting_incarnation == (1, 4)
    assert again.append([PeerProgressEntry((("b", (2, 5, 0)),))])  # not a promise, but the state has changed
    assert Acceptor("a", again.state.copy(), closed_fingerprint).voting_incarnation is None
    assert again.close(None) == ""  # it did not vote
    other = AcceptorFile(model, SET, lambda: 79)
    other.open()
    assert other.close((2, 77)) == ""  # its new incarnation is not on disk yet
    full = AcceptorFile(model, SET, lambda: 80)
    full.open()
    model.fail_at = model.calls + 1
    assert not full.append(ENTRIES) and full.close((1, 4)) == ""


@pytest.mark.parametrize("at", range(len(ENTRIES)))
def test_fingerprint_differs_between_any_two_states(at: int) -> None:
    disk = AcceptorState(77, SET)
    seen = {fingerprint(disk)}
    for entry in ENTRIES[: at + 1]:
        disk.apply(entry)
        assert fingerprint(disk) not in seen
        seen.add(fingerprint(disk))
    assert fingerprint(disk.copy()) in seen
