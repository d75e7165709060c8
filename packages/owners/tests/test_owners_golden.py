"""Bytes written by the release before: the keeper's file and every message are read, and written again the same."""

from __future__ import annotations

import errno
from pathlib import Path
from typing import get_args

import pytest
from larkweir_owners import keeper_file
from larkweir_owners.keeper import Disk, Entry, HeardEntry, SelfEntry, SetEntry, Slot, SlotEntry, mark
from larkweir_owners.keeper_file import Folder, KeeperFile, load
from larkweir_owners.messages import (
    Accept,
    Accepted,
    Adopt,
    Adopted,
    AnyItem,
    Ask,
    Batch,
    Catch,
    Digest,
    Effects,
    Held,
    KeeperSet,
    Known,
    Page,
    Prepare,
    Promised,
    Record,
    Refused,
    Who,
    pack,
    unpack,
)

GOLDEN = Path(__file__).parent / "golden"
RECORD = Record(7, 21, "a:1", 2**40 + 5, "b:2", 3, b"\x00state\xff")
SET = KeeperSet(2, ("a:1", "b:2", "c:3", "d:4"), ("a:1", "b:2", "c:3"), ("d:4", 2 << 20, 2**62 + 1))
WORDS = (("a:1", (1, 2**62, 9)), ("b:2", (2, 77, 0)))

MESSAGES: dict[str, AnyItem] = {
    "ask": Ask((5 << 24) + 1, 2, "probes"),
    "prepare": Prepare(2, "probes", (9, "a:1", 5)),
    "accept": Accept(2, "probes", (9, "a:1", 5), RECORD, WORDS),
    "held": Held((5 << 24) + 1, "probes", (9, "a:1", 5), RECORD),
    "held_nothing": Held(1, "probes", (0, "", 0), None),
    "promised": Promised("probes", (9, "a:1", 5), (8, "b:2", 6), RECORD, (1, 2**62, 9), WORDS),
    "promised_nothing": Promised("probes", (9, "a:1", 5), (0, "", 0), None, (1, 4, 0), ()),
    "accepted": Accepted("probes", (9, "a:1", 5), (1, 2**62, 10)),
    "refused_ballot": Refused("probes", (9, "a:1", 5), "ballot", (10, "b:2", 6)),
    "refused_life": Refused("probes", (9, "a:1", 5), "life"),
    "refused_rest": Refused("probes", (9, "a:1", 5), "rest"),
    "refused_epoch": Refused("probes", (9, "a:1", 5), "epoch", (0, "", 0), SET),
    "who": Who(2**62 + 1),
    "known_new": Known((0, 0, 0), "new", (0, 5, 0), KeeperSet(1, ("a:1",))),
    "known_back": Known((1, 2, 3), "back", (1, 5, 8), SET),
    "known_catching": Known((1, 2, 3), "catching", (1, 5, 8), SET),
    "known_lost": Known((1, 2, 3), "lost", (1, 5, 8), SET),
    "known_voting": Known((1, 2, 3), "voting", (1, 5, 8), SET),
    "known_failed": Known((1, 2, 3), "failed", (1, 5, 8), SET),
    "catch": Catch((3, 2**62 + 1), "drill"),
    "page": Page(
        (3, 2**62 + 1),
        "drill",
        (("probes", (9, "a:1", 5), (8, "b:2", 6), RECORD), ("ramps", (1, "a:1", 5), (0, "", 0), None)),
        True,
        SET,
    ),
    "adopt": Adopt(SET, "drill"),
    "adopt_settled": Adopt(KeeperSet(2, ("a:1", "b:2", "c:3"))),
    "adopted": Adopted(2, "drill", ("probes", "\0keepers"), False),
    "effects": Effects((("probes", RECORD), ("ramps", Record(8, 22, "", 0)))),
    "digest": Digest((("probes", 7, 21), ("ramps", 8, 22))),
    "batch": Batch((bytes.fromhex("9301a070"), pack(Who(1)))),
}

ENTRIES: list[Entry] = [
    HeardEntry((("b:2", (1, 5, 0)), ("c:3", (1, 2**62, 0)))),
    SelfEntry((1, 77), True, 0),
    SlotEntry("probes", Slot((1, "p", 9)), 1),
    SlotEntry("probes", Slot((1, "p", 9), (1, "p", 9), RECORD), 2, (("b:2", (1, 5, 3)),)),
    SetEntry(SET),
    SlotEntry("ramps", Slot((2, "q", 8)), 3),
]
FIRST = KeeperSet(1, ("a:1", "b:2", "c:3"))


def rows(name: str) -> dict[str, bytes]:
    """Lines of a name and bytes in hex."""
    lines = (GOLDEN / name).read_text(encoding="ascii").splitlines()
    return {key: bytes.fromhex(text) for key, text in (line.split(" ") for line in lines)}


GOLDEN_MESSAGES = rows("messages.hex")
GOLDEN_FILES = rows("keeper_files.hex")


@pytest.mark.parametrize("name", MESSAGES)
def test_a_message_is_read_and_written_as_before(name: str) -> None:
    assert unpack(GOLDEN_MESSAGES[name]) == MESSAGES[name]
    assert pack(MESSAGES[name]) == GOLDEN_MESSAGES[name]


def test_every_kind_of_message_is_here() -> None:
    assert {type(item) for item in MESSAGES.values()} == set(get_args(AnyItem))
    assert set(MESSAGES) == set(GOLDEN_MESSAGES)


def expected(entries: list[Entry]) -> Disk:
    disk = Disk(2**62 + 1, FIRST)
    for entry in entries:
        disk.put(entry)
    return disk


def test_a_new_file_and_its_log_are_written_as_before(tmp_path: Path) -> None:
    file = KeeperFile(Folder(str(tmp_path)), FIRST, lambda: 2**62 + 1)
    file.open()
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES["new"]
    for entry in ENTRIES:
        assert file.put([entry])
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES["log"]
    assert sorted(path.name for path in tmp_path.iterdir()) == ["keeper", "keeper.lock"]
    assert file.close((1, 77)).encode() == GOLDEN_FILES["mark"]


def test_a_file_that_is_long_is_rewritten_as_before(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(keeper_file, "COMPACT_BYTES", 1)
    file = KeeperFile(Folder(str(tmp_path)), FIRST, lambda: 2**62 + 1)
    file.open()
    assert file.put(ENTRIES)
    file.close()
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES["rewritten"]


@pytest.mark.parametrize("name", ["log", "rewritten"])
def test_a_file_of_before_is_read(name: str, tmp_path: Path) -> None:
    found = load(GOLDEN_FILES[name], FIRST)
    assert found is not None and found[0] == expected(ENTRIES)
    assert mark(found[0]).encode() == GOLDEN_FILES["mark"]
    (tmp_path / "keeper").write_bytes(GOLDEN_FILES[name])
    file = KeeperFile(Folder(str(tmp_path)), FIRST, lambda: 1)
    assert file.open() == expected(ENTRIES) and file.cut_bytes == 0
    assert file.close((1, 77)).encode() == GOLDEN_FILES["mark"]
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES[name]


def test_a_torn_file_of_before_is_cut_and_gone_on_with(tmp_path: Path) -> None:
    (tmp_path / "keeper").write_bytes(GOLDEN_FILES["torn"])
    file = KeeperFile(Folder(str(tmp_path)), FIRST, lambda: 1)
    assert file.open() == expected(ENTRIES[:-1])
    assert file.cut_bytes == len(GOLDEN_FILES["torn"]) - len(GOLDEN_FILES["log_but_one"])
    assert file.put(ENTRIES[-1:])
    file.close()
    assert (tmp_path / "keeper").read_bytes() == GOLDEN_FILES["log"]


def test_a_folder_in_use_is_refused_as_before(tmp_path: Path) -> None:
    file = KeeperFile(Folder(str(tmp_path)), FIRST, lambda: 1)
    file.open()
    with pytest.raises(OSError, match="another process has it") as caught:
        KeeperFile(Folder(str(tmp_path)), FIRST, lambda: 2).open()
    assert caught.value.errno == errno.EBUSY
    file.close()
