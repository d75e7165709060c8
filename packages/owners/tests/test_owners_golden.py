"""The acceptor's file and every message have the same bytes as in the previous release, for reading and writing."""

from __future__ import annotations

import errno
from pathlib import Path
from typing import get_args

import pytest
from larkweir_owners import acceptor_file
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
from larkweir_owners.messages import (
    Accept,
    Accepted,
    AdoptSet,
    AnyMessage,
    Batch,
    CatchUpPage,
    CatchUpRequest,
    Digest,
    Prepare,
    Promised,
    ReadReply,
    ReadRequest,
    Record,
    RecoveryQuery,
    RecoveryReply,
    Rejected,
    ReplicaSet,
    SetAdopted,
    StateUpdates,
    decode,
    encode,
)

GOLDEN = Path(__file__).parent / "golden"
RECORD = Record(7, 21, "a:1", 2**40 + 5, "b:2", 3, b"\x00state\xff")
SET = ReplicaSet(2, ("a:1", "b:2", "c:3", "d:4"), ("a:1", "b:2", "c:3"), ("d:4", 2 << 20, 2**62 + 1))
PROGRESS = (("a:1", (1, 2**62, 9)), ("b:2", (2, 77, 0)))

MESSAGES: dict[str, AnyMessage] = {
    "ask": ReadRequest((5 << 24) + 1, 2, "probes"),
    "prepare": Prepare(2, "probes", (9, "a:1", 5)),
    "accept": Accept(2, "probes", (9, "a:1", 5), RECORD, PROGRESS),
    "held": ReadReply((5 << 24) + 1, "probes", (9, "a:1", 5), RECORD),
    "held_nothing": ReadReply(1, "probes", (0, "", 0), None),
    "promised": Promised("probes", (9, "a:1", 5), (8, "b:2", 6), RECORD, (1, 2**62, 9), PROGRESS),
    "promised_nothing": Promised("probes", (9, "a:1", 5), (0, "", 0), None, (1, 4, 0), ()),
    "accepted": Accepted("probes", (9, "a:1", 5), (1, 2**62, 10)),
    "refused_ballot": Rejected("probes", (9, "a:1", 5), "ballot", (10, "b:2", 6)),
    "refused_life": Rejected("probes", (9, "a:1", 5), "life"),
    "refused_rest": Rejected("probes", (9, "a:1", 5), "rest"),
    "refused_epoch": Rejected("probes", (9, "a:1", 5), "epoch", (0, "", 0), SET),
    "who": RecoveryQuery(2**62 + 1),
    "known_new": RecoveryReply((0, 0, 0), "new", (0, 5, 0), ReplicaSet(1, ("a:1",))),
    "known_back": RecoveryReply((1, 2, 3), "back", (1, 5, 8), SET),
    "known_catching": RecoveryReply((1, 2, 3), "catching", (1, 5, 8), SET),
    "known_lost": RecoveryReply((1, 2, 3), "lost", (1, 5, 8), SET),
    "known_voting": RecoveryReply((1, 2, 3), "voting", (1, 5, 8), SET),
    "known_failed": RecoveryReply((1, 2, 3), "failed", (1, 5, 8), SET),
    "catch": CatchUpRequest((3, 2**62 + 1), "drill"),
    "page": CatchUpPage(
        (3, 2**62 + 1),
        "drill",
        (("probes", (9, "a:1", 5), (8, "b:2", 6), RECORD), ("ramps", (1, "a:1", 5), (0, "", 0), None)),
        True,
        SET,
    ),
    "adopt": AdoptSet(SET, "drill"),
    "adopt_settled": AdoptSet(ReplicaSet(2, ("a:1", "b:2", "c:3"))),
    "adopted": SetAdopted(2, "drill", ("probes", "\0keepers"), False),
    "effects": StateUpdates((("probes", RECORD), ("ramps", Record(8, 22, "", 0)))),
    "digest": Digest((("probes", 7, 21), ("ramps", 8, 22))),
    "batch": Batch((bytes.fromhex("9301a070"), encode(RecoveryQuery(1)))),
}

ENTRIES: list[LogEntry] = [
    PeerProgressEntry((("b:2", (1, 5, 0)), ("c:3", (1, 2**62, 0)))),
    IncarnationEntry((1, 77), True, 0),
    SlotEntry("probes", Slot((1, "p", 9)), 1),
    SlotEntry("probes", Slot((1, "p", 9), (1, "p", 9), RECORD), 2, (("b:2", (1, 5, 3)),)),
    ReplicaSetEntry(SET),
    SlotEntry("ramps", Slot((2, "q", 8)), 3),
]
FIRST_SET = ReplicaSet(1, ("a:1", "b:2", "c:3"))


def read_hex_lines(name: str) -> dict[str, bytes]:
    """Read lines that hold a name and bytes in hexadecimal."""
    lines = (GOLDEN / name).read_text(encoding="ascii").splitlines()
    return {key: bytes.fromhex(text) for key, text in (line.split(" ") for line in lines)}


GOLDEN_MESSAGES = read_hex_lines("messages.hex")
GOLDEN_FILES = read_hex_lines("keeper_files.hex")


@pytest.mark.parametrize("name", MESSAGES)
def test_message_decodes_and_encodes_as_in_the_previous_release(name: str) -> None:
    assert decode(GOLDEN_MESSAGES[name]) == MESSAGES[name]
    assert encode(MESSAGES[name]) == GOLDEN_MESSAGES[name]


def test_every_message_type_has_golden_bytes() -> None:
    assert {type(item) for item in MESSAGES.values()} == set(get_args(AnyMessage))
    assert set(MESSAGES) == set(GOLDEN_MESSAGES)


def expected(entries: list[LogEntry]) -> AcceptorState:
    disk = AcceptorState(2**62 + 1, FIRST_SET)
    for entry in entries:
        disk.apply(entry)
    return disk


def test_new_file_and_its_log_have_the_golden_bytes(tmp_path: Path) -> None:
    file = AcceptorFile(LockedFolder(str(tmp_path)), FIRST_SET, lambda: 2**62 + 1)
    file.open()
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES["new"]
    for entry in ENTRIES:
        assert file.append([entry])
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES["log"]
    assert sorted(path.name for path in tmp_path.iterdir()) == ["keeper", "keeper.lock"]
    assert file.close((1, 77)).encode() == GOLDEN_FILES["mark"]


def test_compacted_file_has_the_golden_bytes(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(acceptor_file, "MIN_COMPACT_BYTES", 1)
    file = AcceptorFile(LockedFolder(str(tmp_path)), FIRST_SET, lambda: 2**62 + 1)
    file.open()
    assert file.append(ENTRIES)
    file.close()
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES["rewritten"]


@pytest.mark.parametrize("name", ["log", "rewritten"])
def test_file_of_the_previous_release_is_read(name: str, tmp_path: Path) -> None:
    found = decode_file(GOLDEN_FILES[name], FIRST_SET)
    assert found is not None and found[0] == expected(ENTRIES)
    assert fingerprint(found[0]).encode() == GOLDEN_FILES["mark"]
    (tmp_path / "keeper").write_bytes(GOLDEN_FILES[name])
    file = AcceptorFile(LockedFolder(str(tmp_path)), FIRST_SET, lambda: 1)
    assert file.open() == expected(ENTRIES) and file.truncated_bytes == 0
    assert file.close((1, 77)).encode() == GOLDEN_FILES["mark"]
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES[name]


def test_torn_file_of_the_previous_release_is_truncated_and_appended_to(tmp_path: Path) -> None:
    (tmp_path / "keeper").write_bytes(GOLDEN_FILES["torn"])
    file = AcceptorFile(LockedFolder(str(tmp_path)), FIRST_SET, lambda: 1)
    assert file.open() == expected(ENTRIES[:-1])
    assert file.truncated_bytes == len(GOLDEN_FILES["torn"]) - len(GOLDEN_FILES["log_but_one"])
    assert file.append(ENTRIES[-1:])
    file.close()
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES["log"]


def test_folder_in_use_is_rejected(tmp_path: Path) -> None:
    file = AcceptorFile(LockedFolder(str(tmp_path)), FIRST_SET, lambda: 1)
    file.open()
    with pytest.raises(OSError, match="another process has it") as caught:
        AcceptorFile(LockedFolder(str(tmp_path)), FIRST_SET, lambda: 2).open()
    assert caught.value.errno == errno.EBUSY
    file.close()
