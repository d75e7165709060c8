"""The exact bytes of every message and of every kind of replica file.

Machines of two releases exchange messages, and a release reads the files of the previous one. So a change to these
bytes is a change of format; renaming something in Python must not change them.
"""

from __future__ import annotations

import os
import stat
import typing
from pathlib import Path

import msgspec
import pytest
from larkweir_replication.journal import Journal
from larkweir_replication.journal_files import FolderFiles
from larkweir_replication.messages import (
    NO_EPOCH,
    Accepted,
    AppliedCommand,
    Command,
    DurableState,
    Epoch,
    Heartbeat,
    HeartbeatAck,
    Join,
    Leave,
    Message,
    Prepare,
    PreVote,
    PreVoteReply,
    Promise,
    Recover,
    RecoverReply,
    Replicate,
    ReplicateDelta,
    Resign,
    Snapshot,
    SnapshotDelta,
    SnapshotRequest,
    StaleEpoch,
)
from larkweir_replication.text_delta import TextEdit

EPOCH = Epoch(3, "10.0.0.1")
FIRST = Snapshot(NO_EPOCH, 0, ("10.0.0.1", "10.0.0.2", "10.0.0.3"))
FIRST_BYTES = (
    b'{"epoch":[0,""],"sequence":0,"members":["10.0.0.1","10.0.0.2","10.0.0.3"],"previous_members":[],"value":"",'
    b'"taken":[],"forgotten":-1}'
)
STANDBY_JOINS = Snapshot(  # 10.0.0.3 takes the place of 10.0.0.4
    EPOCH,
    41,
    ("10.0.0.1", "10.0.0.2", "10.0.0.3"),
    ("10.0.0.1", "10.0.0.2", "10.0.0.4"),
    '{"services": ["é"]}',
    (AppliedCommand(6, "sha-a"), AppliedCommand(7, "sha-b")),
    5,
)
STANDBY_JOINS_BYTES = (
    b'{"epoch":[3,"10.0.0.1"],"sequence":41,"members":["10.0.0.1","10.0.0.2","10.0.0.3"],'
    b'"previous_members":["10.0.0.1","10.0.0.2","10.0.0.4"],"value":"{\\"services\\": [\\"\xc3\xa9\\"]}",'
    b'"taken":[[6,"sha-a"],[7,"sha-b"]],"forgotten":5}'
)

HEARTBEAT_WITH_UNREACHABLE_BYTES = (
    b'{"type":"heartbeat","epoch":[3,"10.0.0.1"],"committed":40,"round":12,"unreachable":["10.0.0.3"]}'
)
DELTA = SnapshotDelta(
    epoch=EPOCH,
    sequence=41,
    base_epoch=NO_EPOCH,
    base_sequence=0,
    members=("10.0.0.1",),
    previous_members=(),
    edits=(TextEdit(0, 7, "x"),),
    checksum=9,
    dropped=1,
    added=(AppliedCommand(7, "sha-b"),),
    latest_forgotten_base=5,
)

MESSAGES: list[tuple[Message, bytes]] = [
    (PreVote(7), b'{"type":"canvass","round":7}'),
    (
        PreVoteReply(7, True, EPOCH, ("10.0.0.1", "10.0.0.2")),
        b'{"type":"canvass_reply","round":7,"granted":true,"promised":[3,"10.0.0.1"],"members":["10.0.0.1","10.0.0.2"]}',
    ),
    (
        PreVoteReply(7, False, NO_EPOCH),
        b'{"type":"canvass_reply","round":7,"granted":false,"promised":[0,""],"members":[]}',
    ),
    (Prepare(EPOCH), b'{"type":"prepare","epoch":[3,"10.0.0.1"]}'),
    (Promise(EPOCH, None), b'{"type":"promise","epoch":[3,"10.0.0.1"],"snapshot":null}'),
    (
        Promise(EPOCH, STANDBY_JOINS),
        b'{"type":"promise","epoch":[3,"10.0.0.1"],"snapshot":' + STANDBY_JOINS_BYTES + b"}",
    ),
    (
        Replicate(STANDBY_JOINS, 40),
        b'{"type":"replicate","snapshot":' + STANDBY_JOINS_BYTES + b',"committed":40}',
    ),
    (Replicate(FIRST, -1), b'{"type":"replicate","snapshot":' + FIRST_BYTES + b',"committed":-1}'),
    (Accepted(EPOCH, 41), b'{"type":"accepted","epoch":[3,"10.0.0.1"],"sequence":41}'),
    (StaleEpoch(EPOCH), b'{"type":"refused","promised":[3,"10.0.0.1"]}'),
    (Heartbeat(EPOCH, 40, 12), b'{"type":"heartbeat","epoch":[3,"10.0.0.1"],"committed":40,"round":12}'),
    (
        HeartbeatAck(EPOCH, 12, NO_EPOCH, -1),
        b'{"type":"heartbeat_ack","epoch":[3,"10.0.0.1"],"round":12,"accepted":[0,""],"sequence":-1}',
    ),
    (Resign(EPOCH), b'{"type":"resign","epoch":[3,"10.0.0.1"]}'),
    (Recover(123_456_789_012), b'{"type":"recover","nonce":123456789012}'),
    (
        RecoverReply(5, EPOCH, FIRST),
        b'{"type":"recover_reply","nonce":5,"promised":[3,"10.0.0.1"],"snapshot":' + FIRST_BYTES + b"}",
    ),
    (Heartbeat(EPOCH, 40, 12, ("10.0.0.3",)), HEARTBEAT_WITH_UNREACHABLE_BYTES),
    (
        HeartbeatAck(EPOCH, 12, EPOCH, 41, accepts_deltas=True),
        b'{"type":"heartbeat_ack","epoch":[3,"10.0.0.1"],"round":12,"accepted":[3,"10.0.0.1"],"sequence":41,'
        b'"deltas":true}',
    ),
    (
        ReplicateDelta(DELTA, 40),
        b'{"type":"replicate_delta","delta":{"epoch":[3,"10.0.0.1"],"sequence":41,"base_epoch":[0,""],'
        b'"base_sequence":0,"members":["10.0.0.1"],"previous_members":[],"edits":[[0,7,"x"]],"checksum":9,'
        b'"dropped":1,"added":[[7,"sha-b"]],"latest_forgotten_base":5},"committed":40}',
    ),
    (SnapshotRequest(EPOCH), b'{"type":"request_snapshot","epoch":[3,"10.0.0.1"]}'),
    (Join(), b'{"type":"join"}'),
    (Leave(), b'{"type":"leave"}'),
]


@pytest.mark.parametrize(("message", "written"), MESSAGES, ids=lambda one: type(one).__name__)
def test_a_message_encodes_to_the_golden_bytes(message: Message, written: bytes) -> None:
    assert msgspec.json.encode(message) == written
    assert msgspec.json.decode(written, type=Message) == message


def test_every_message_type_has_golden_bytes() -> None:
    assert {type(message) for message, _ in MESSAGES} == set(typing.get_args(Message))


def test_a_reply_without_members_is_read() -> None:
    written = b'{"type":"canvass_reply","round":7,"granted":false,"promised":[0,""]}'
    assert msgspec.json.decode(written, type=Message) == PreVoteReply(7, False, NO_EPOCH)


def test_a_command_encodes_to_the_golden_bytes() -> None:
    command, written = Command("sha-c", 8, "{}"), b'{"identity":"sha-c","base":8,"text":"{}"}'
    assert msgspec.json.encode(command) == written
    assert msgspec.json.decode(written, type=Command) == command


FIRST_LINE = b'8aec8294 1 {"promised":[0,""],"snapshot":' + FIRST_BYTES + b"}\n"
PROMISE_LINE = b'bb270550 2 {"promised":[1,"10.0.0.2"],"snapshot":' + FIRST_BYTES + b"}\n"
STANDBY_LINE = b'cd14f761 3 {"promised":[3,"10.0.0.1"],"snapshot":' + STANDBY_JOINS_BYTES + b"}\n"
FIRST_RECORD = DurableState(NO_EPOCH, FIRST)
PROMISE_RECORD = DurableState(Epoch(1, "10.0.0.2"), FIRST)
STANDBY_RECORD = DurableState(EPOCH, STANDBY_JOINS)
INTACT_FILE = FIRST_LINE + PROMISE_LINE + STANDBY_LINE


def found(folder: Path) -> dict[str, bytes]:
    return {file.name: file.read_bytes() for file in folder.iterdir()}


def test_a_journal_file_has_the_golden_lines(tmp_path: Path) -> None:
    folder = tmp_path / "replica"
    journal = Journal(FolderFiles(str(folder)))
    for record in (FIRST_RECORD, PROMISE_RECORD, STANDBY_RECORD):
        journal.write(record)
    assert found(folder) == {"replica.log": INTACT_FILE}
    assert stat.S_IMODE(os.stat(folder / "replica.log").st_mode) == 0o600


@pytest.mark.parametrize(
    ("written", "record"),
    [
        (FIRST_LINE, FIRST_RECORD),
        (FIRST_LINE + PROMISE_LINE, PROMISE_RECORD),
        (INTACT_FILE, STANDBY_RECORD),
    ],
)
def test_a_file_is_read(tmp_path: Path, written: bytes, record: DurableState) -> None:
    (tmp_path / "replica.log").write_bytes(written)
    journal = Journal(FolderFiles(str(tmp_path)))
    assert (journal.newest, journal.size_bytes, journal.unreadable_bytes, journal.is_damaged) == (
        record,
        len(written),
        0,
        False,
    )
    assert found(tmp_path) == {"replica.log": written}


def test_a_record_without_a_state_is_read(tmp_path: Path) -> None:
    (tmp_path / "replica.log").write_bytes(b'369571db 1 {"promised":[2,"10.0.0.3"],"snapshot":null}\n')
    assert Journal(FolderFiles(str(tmp_path))).newest == DurableState(Epoch(2, "10.0.0.3"), None)


def test_a_torn_tail_is_cut_off_by_the_next_record(tmp_path: Path) -> None:
    torn = FIRST_LINE + PROMISE_LINE + STANDBY_LINE[:-1]
    (tmp_path / "replica.log").write_bytes(torn)
    journal = Journal(FolderFiles(str(tmp_path)))
    assert (journal.newest, journal.unreadable_bytes) == (PROMISE_RECORD, len(STANDBY_LINE) - 1)
    assert found(tmp_path) == {"replica.log": torn}
    journal.write(STANDBY_RECORD)
    assert found(tmp_path) == {"replica.log": INTACT_FILE}


def test_a_damaged_file_is_renamed(tmp_path: Path) -> None:
    damaged = FIRST_LINE + PROMISE_LINE.replace(b"bb", b"bc", 1) + STANDBY_LINE
    (tmp_path / "replica.log").write_bytes(damaged)
    journal = Journal(FolderFiles(str(tmp_path)))
    assert (journal.newest, journal.is_damaged, journal.last_known_members) == (None, True, FIRST.members)
    assert journal.unreadable_bytes == len(PROMISE_LINE) + len(STANDBY_LINE)
    assert found(tmp_path) == {"replica.log": damaged}
    journal.write(PROMISE_RECORD)
    assert found(tmp_path) == {"replica.log": PROMISE_LINE, "replica.log.damaged": damaged}


def test_a_folder_with_only_a_damaged_file_must_recover(tmp_path: Path) -> None:
    (tmp_path / "replica.log.damaged").write_bytes(INTACT_FILE)
    journal = Journal(FolderFiles(str(tmp_path)))
    assert (journal.newest, journal.is_damaged, journal.last_known_members) == (None, True, ())
    journal.write(FIRST_RECORD)
    assert found(tmp_path) == {"replica.log": FIRST_LINE, "replica.log.damaged": INTACT_FILE}


def test_a_long_file_is_rewritten_as_its_newest_record(tmp_path: Path) -> None:
    journal = Journal(FolderFiles(str(tmp_path)))
    large = DurableState(EPOCH, Snapshot(EPOCH, 8, ("10.0.0.1",), value="v" * 300_000))
    body = (
        b'{"promised":[3,"10.0.0.1"],"snapshot":{"epoch":[3,"10.0.0.1"],"sequence":8,"members":["10.0.0.1"],'
        b'"previous_members":[],"value":"' + b"v" * 300_000 + b'","taken":[],"forgotten":-1}}\n'
    )
    for _ in range(8):
        journal.write(large)
    file = (tmp_path / "replica.log").read_bytes()
    assert len(file) == 8 * (11 + len(body))
    assert file.startswith(b"3d1d0cb1 1 " + body)
    journal.write(large)
    assert found(tmp_path) == {"replica.log": b"7c287c61 9 " + body}
    journal.write(FIRST_RECORD)
    assert found(tmp_path) == {"replica.log": b"7c287c61 9 " + body + b"3958f60a 10 " + FIRST_LINE[11:]}
