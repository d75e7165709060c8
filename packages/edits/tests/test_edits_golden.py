"""Bytes written by the release before: edits, items, the log and a whole state are read, and written again the same."""

from __future__ import annotations

import threading
import zlib
from pathlib import Path
from random import Random
from typing import get_args

import pytest
from edits_sample import BASE, SCHEMA, check
from edits_sample import Replica as SampleCopy
from larkweir_edits import digests
from larkweir_edits.digests import Digest, EditRequest, Edits, Have, Item, Offer, Piece, PieceRequest, Sum
from larkweir_edits.edit import Edit, Kind, encoded, made, read, shaped
from larkweir_edits.log import MAGIC, FileLog, framed, peek
from larkweir_edits.log import read as read_log
from larkweir_edits.records import ENCODER, RECORDS, SNAPSHOT_WRITER, LogRecord, origin_of
from larkweir_edits.replica import Replica
from larkweir_edits.snapshot import dumped, loaded
from larkweir_edits.state import State

GOLDEN = Path(__file__).parent / "golden"
ORIGIN = b"\x01\x02\x03\x04\x05\x06\x07\xff"
BEFORE = {"b#2": 3}
EDITS: dict[str, Edit] = {
    "write": made(
        ("a#1", 1), {"b#2": 4}, Kind.WRITE, ("pool", "west"), ((("attempts", ""), 2), (("zones", "a"), True))
    ),
    "delete": made(("a#1", 2), {"b#2": 4, "c#3": 9}, Kind.DELETE, ("route", "r"), ()),
    "owner": made(("a#1", 3), {"b#2": 3}, Kind.OWNER, ("route", "r"), ((("ended", "next"), [7, 21, True]),)),
    "strike": made(("a#1", 4), {"b#2": 3}, Kind.STRIKE, ("", "b#2"), ((("", ""), 3),)),
}
ITEMS: dict[str, Item] = {
    "sum": Sum(ORIGIN, False, bytes(range(8)), bytes(range(32))),
    "sum_fresh": Sum(ORIGIN, True, bytes(8), bytes(32)),
    "have": Have(ORIGIN, True, [0, 15], "a#1", "", {"a#1": [4], "b#2": [3, 5, 7]}),
    "ask": EditRequest(ORIGIN, {"b#2": [4, 4, 8, 9]}),
    "edits": Edits(ORIGIN, "a#1", [b"\x01\x02", b"\xff"]),
    "offer": Offer(ORIGIN, b"hash1234", 12, "b#2", 4),
    "want": PieceRequest(b"hash1234", [0, 1, 11]),
    "piece": Piece(b"hash1234", 11, b"\x00data\xff"),
}
KEPT: dict[str, LogRecord] = {
    "edits": LogRecord("a#1", [b"\x01\x02", b"\xff"]),
    "said": LogRecord(
        "a#1", [b"\x01"], [("route", "r", {"pool": "west", "split": ["next 10%"]}), ("pool", "x", None)]
    ),
    "whole": LogRecord(SNAPSHOT_WRITER, [], [("pool", "next", {})], b"state"),
    "adopted": LogRecord("", [], [], b"state"),
}
VECTOR = {"a#1": 4, "b#2": 7, "c#3": 1, "d#4": 2**40}


def rows(name: str) -> dict[str, bytes]:
    """Lines of a name and bytes in hex."""
    lines = (GOLDEN / name).read_text(encoding="ascii").splitlines()
    return {key: bytes.fromhex(text) for key, text in (line.split(" ") for line in lines)}


FOUND = {name: rows(f"{name}.hex") for name in ("edits", "items", "records", "files")}


def sample() -> State:
    """A state with all that a snapshot can hold: a base, a log, edits whose causes are missing, strikes, contexts."""
    one, two = SampleCopy("a#1"), SampleCopy("b#2")
    one.say("pool", "west", attempts=2, zones=("a", "c"))
    two.say("route", "r", split=("next 20%",), alarm=0.05)
    one.give(two)
    two.drop("route", "m")
    two.own(("route", "r"), ("ended", "next"), 7, 21, True)
    two.give(one)
    assert one.state.collect({"a#1": 1, "b#2": 1}, check)
    one.own(("route", "s"), ("step", "ramp"), 3, 4, 2)
    late = encoded(made(("c#3", 5), {"b#2": 9}, Kind.WRITE, ("pool", "spare"), ()), {})
    one.state.take("c#3", late)
    one.state.strikes["d#4"] = 2
    return one.state


@pytest.mark.parametrize("name", EDITS)
def test_an_edit_is_read_and_written_as_before(name: str) -> None:
    edit, golden = EDITS[name], FOUND["edits"][name]
    assert encoded(edit, BEFORE) == golden
    again = read("a#1", shaped(golden), BEFORE)
    assert (again.dot, again.seen, again.kind, again.row, again.stamp) == (
        edit.dot,
        edit.seen,
        edit.kind,
        edit.row,
        edit.stamp,
    )
    assert again.changes == edit.changes and encoded(again, BEFORE) == golden


@pytest.mark.parametrize("name", ITEMS)
def test_an_item_is_read_and_written_as_before(name: str) -> None:
    assert digests.packed(ITEMS[name]) == FOUND["items"][name]
    assert digests.unpacked(FOUND["items"][name]) == ITEMS[name]


def test_every_kind_of_item_is_here() -> None:
    assert {type(item) for item in ITEMS.values()} == set(get_args(Item))
    assert {edit.kind for edit in EDITS.values()} == set(Kind)


def test_hashes_of_a_vector_and_of_what_all_began_with_are_as_before() -> None:
    digest = Digest(VECTOR)
    assert digest.total == FOUND["items"]["digest_total"]
    assert digest.ranges == FOUND["items"]["digest_ranges"]
    assert origin_of(SCHEMA, BASE) == FOUND["items"]["origin"]


@pytest.mark.parametrize("name", KEPT)
def test_a_record_is_read_and_written_as_before(name: str) -> None:
    assert ENCODER.encode(KEPT[name]) == FOUND["records"][name]
    again = RECORDS.decode(FOUND["records"][name])
    assert ENCODER.encode(again) == FOUND["records"][name] and again.edits == KEPT[name].edits


def test_a_whole_state_is_read_and_written_as_before() -> None:
    """Before it is compressed: zlib promises the same text, and not the same bytes from release to release."""
    golden = FOUND["files"]["snapshot"]
    assert zlib.decompress(dumped(sample())) == zlib.decompress(golden)
    again = loaded(SCHEMA, golden)
    assert zlib.decompress(dumped(again)) == zlib.decompress(golden)
    assert again.merged(check).tables == sample().merged(check).tables


def test_a_log_is_written_as_before(tmp_path: Path) -> None:
    notices = threading.Event()
    log = FileLog(str(tmp_path), lambda number: notices.set() if number == 2 else None, lambda line: None)
    for name in ("edits", "said"):
        log.append(FOUND["records"][name])
    assert notices.wait(30.0)
    log.close()
    assert (tmp_path / "0.log").read_bytes() == FOUND["files"]["log"]


def test_a_log_that_is_begun_anew_is_as_before(tmp_path: Path) -> None:
    notices = threading.Event()
    log = FileLog(str(tmp_path), lambda number: notices.set() if number == 2 else None, lambda line: None)
    log.append(FOUND["records"]["edits"])
    log.compact([FOUND["records"]["whole"]])
    log.append(FOUND["records"]["said"])
    assert notices.wait(30.0)
    log.close()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["1.log", "lock"]
    assert (tmp_path / "1.log").read_bytes() == FOUND["files"]["log_anew"]


def test_a_log_of_before_is_read_and_its_torn_end_cut(tmp_path: Path) -> None:
    records = [FOUND["records"]["edits"], FOUND["records"]["said"]]
    assert read_log(FOUND["files"]["log"]) == (records, len(FOUND["files"]["log"]))
    assert MAGIC + b"".join(map(framed, records)) == FOUND["files"]["log"]
    (tmp_path / "0.log").write_bytes(FOUND["files"]["log_torn"])
    assert peek(str(tmp_path)) == records[:1]
    log = FileLog(str(tmp_path), lambda number: None, lambda line: None)
    assert log.records == records[:1] and log.left_out == len(framed(records[1])) - 3
    log.close()
    assert (tmp_path / "0.log").read_bytes() == MAGIC + framed(records[0])


class _Quiet:
    """A log and a channel that nothing comes out of."""

    def append(self, record: bytes) -> int:
        return 1

    def post(self, to: str, item: bytes) -> bool:
        return True

    def alive(self) -> tuple[str, ...]:
        return ()


def test_a_copy_goes_on_from_a_log_of_before() -> None:
    records, _ = read_log(FOUND["files"]["log_copy"])
    replica = Replica(SCHEMA, "a", ["b"], {}, _Quiet(), _Quiet(), Random(1), 0.0, check, records)
    assert replica.state.vector == {"a#1": 2, "b#2": 3}
    assert replica.merged.tables == sample().merged(check).tables
    assert zlib.decompress(dumped(replica.state)) == zlib.decompress(FOUND["files"]["snapshot"])
