"""Bytes written by the release before: the store's log and snapshot are read, and written again the same."""

from __future__ import annotations

from pathlib import Path

import pytest

from larkweir.membership.remembered.evidence import Churn, Evidence, EvidenceKind
from larkweir.store.disk import Disk, Files
from larkweir.store.records import Record, RecordKind, frame, frames, header, read_header
from larkweir.store.recoverable_state import recoverable_state
from larkweir.store.recovery import read_snapshot, recover, snapshot
from larkweir.store.state import StoredState

GOLDEN = Path(__file__).parent / "golden"
SITE = b"\x01site\xff\x00\x02"
ROW = {
    "instanceId": "s-1",
    "address": "10.0.0.1:80",
    "zone": "a",
    "cell": 3,
    "weight": 1.5,
    "lifecycle": "active",
    "since": None,
}
RECORDS: dict[str, Record] = {
    "listed": Record(RecordKind.LISTED, ROW),
    "listed_leaving": Record(RecordKind.LISTED, {"instanceId": "s-2\u00e9", "lifecycle": "leaving"}),
    "listed_third": Record(RecordKind.LISTED, {"instanceId": "s-3"}),
    "gone": Record(RecordKind.DELISTED, "s-3"),
    "drain": Record(RecordKind.DRAIN, ["s-2\u00e9", 1_000.5]),
    "began": Record(RecordKind.BEGAN, ["trace-1", 2_000.0, 60_000.0]),
    "began_other": Record(RecordKind.BEGAN, ["trace-2", 2_001.0, 60_000.0]),
    "ended": Record(RecordKind.ENDED, ["trace-1", 2_500.25]),
    "learned": Record(RecordKind.LEARNED, [3_000.0, {"credit": 1.5, "means": {"0": [1.0, 2]}}]),
    "clock": Record(RecordKind.CLOCK, 3_100.0),
    "clock_boot": Record(RecordKind.CLOCK, [3_200.0, "boot-id", 200.0]),
    "source": Record(RecordKind.SOURCE, ["127.0.0.1:1", 42]),
    "source_heard": Record(RecordKind.SOURCE, ["127.0.0.1:1", 43, 3_000.0, 1.25, 86_400_000.0]),
    "proved": Record(RecordKind.SERVED, ["s-1", 3_050.0, 2]),
}


def rows(name: str) -> dict[str, bytes]:
    """Lines of a name and bytes in hex."""
    lines = (GOLDEN / name).read_text(encoding="ascii").splitlines()
    return {key: bytes.fromhex(text) for key, text in (line.split(" ") for line in lines)}


FOUND = rows("records.hex")
FILES = rows("files.hex")


def expected() -> StoredState:
    state = StoredState()
    for record in RECORDS.values():
        state.apply(record)
    return state


@pytest.mark.parametrize("name", RECORDS)
def test_a_record_is_read_and_written_as_before(name: str) -> None:
    assert frame(7, RECORDS[name]) == FOUND[name]
    found = [record for _, record in frames(header(SITE, 1) + FOUND[name], 7)]
    assert found == [RECORDS[name]]


def test_every_kind_of_record_is_here() -> None:
    assert {record.kind for record in RECORDS.values()} == set(RecordKind)


def test_a_header_is_read_and_written_as_before() -> None:
    assert header(SITE, 2**40) == FILES["header"] and read_header(FILES["header"]) == (2, SITE, 2**40)
    assert header(SITE, 3, 1) == FILES["header_1"] and read_header(FILES["header_1"]) == (1, SITE, 3)


def test_a_snapshot_is_read_and_written_as_before() -> None:
    assert b"".join(snapshot(expected(), SITE, 4)) == FILES["snapshot"]
    state, generation = read_snapshot(FILES["snapshot"], SITE)
    assert (state, generation) == (expected(), 4)


def test_a_folder_is_written_as_before(tmp_path: Path) -> None:
    disk = Disk(Files(str(tmp_path)), SITE)
    disk.open()
    disk.begin_generation(None, StoredState())
    for record in RECORDS.values():
        disk.append([record], durable=True)
    assert (tmp_path / "1.snap").read_bytes() == FILES["snapshot_empty"]
    assert (tmp_path / "1.log").read_bytes() == FILES["log"]
    disk.begin_generation(None, expected())
    disk.close()
    assert sorted(path.name for path in tmp_path.iterdir()) == ["1.log", "1.snap", "2.log", "2.snap", "lock"]
    assert (tmp_path / "2.log").read_bytes() == FILES["log_new"]


def test_a_folder_of_before_is_recovered(tmp_path: Path) -> None:
    (tmp_path / "1.snap").write_bytes(FILES["snapshot_empty"])
    (tmp_path / "1.log").write_bytes(FILES["log"])
    disk = Disk(Files(str(tmp_path)), SITE)
    found = disk.open()
    disk.close()
    assert (found.state, found.generation, found.records) == (expected(), 1, len(RECORDS))
    assert (found.unread_bytes, found.faults) == (0, ())


def test_a_torn_log_of_before_counts_up_to_its_last_whole_record() -> None:
    found = recover({"1.snap": FILES["snapshot_empty"], "1.log": FILES["log"][:-3]}, SITE)
    short = StoredState()
    for record in list(RECORDS.values())[:-1]:
        short.apply(record)
    assert found.state == short and found.records == len(RECORDS) - 1
    assert found.unread_bytes == len(frame(0, RECORDS["proved"])) - 3


def test_what_a_new_life_believes_of_it_is_as_before() -> None:
    state, _ = read_snapshot(FILES["snapshot"], SITE)
    told = recoverable_state(state, 4_000.0, 30_000.0, ("boot-id", 3_000.0))
    assert told.request_ids == [("trace-1", 2_500.25), ("trace-2", 4_000.0)]
    assert told.drains == {"s-2\u00e9": 1_000.5}
    assert told.listing == {
        "generation": 43,
        "reset": True,
        "instances": [ROW, {"instanceId": "s-2\u00e9", "lifecycle": "leaving"}],
    }
    assert told.evidence["s-1"] == Evidence(3_000.0, 3_050.0, EvidenceKind.ANSWERED)
    assert (told.source, told.churn) == ("127.0.0.1:1", Churn(1.25, 86_400_000.0))
