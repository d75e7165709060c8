"""The hint file of a controller and the records in messages, byte for byte as version 0.2 of the fleet wrote them.

The fleet is updated one process at a time, so every later version must read and write the same bytes.
"""

from __future__ import annotations

import msgspec
import pytest
from larkweir_registry import hint_file
from larkweir_registry.records import Record, Upstream, UpstreamState, VersionVector
from larkweir_registry.registry import Registry

UPSTREAMS = (
    Upstream("u-0", "chat", "10.0.0.4:9000", "z1"),
    Upstream("u-1", "chat", "10.0.0.5:9000", "z2", 8, 41, UpstreamState.READY, 41),
    Upstream("u-2", "embed", "10.0.0.6:9000", "", 2, 17, UpstreamState.DRAINING, 3),
    Upstream("u-é", "", "", "", state=UpstreamState.GONE),
)
UPSTREAM_LINES = (
    b'{"id":"u-0","service":"chat","address":"10.0.0.4:9000","zone":"z1","slots":1,"sequence":0,"state":0,"lapsed":-1}',
    b'{"id":"u-1","service":"chat","address":"10.0.0.5:9000","zone":"z2","slots":8,"sequence":41,"state":0,"lapsed":41}',
    b'{"id":"u-2","service":"embed","address":"10.0.0.6:9000","zone":"","slots":2,"sequence":17,"state":1,"lapsed":3}',
    b'{"id":"u-\xc3\xa9","service":"","address":"","zone":"","slots":1,"sequence":0,"state":2,"lapsed":-1}',
)
HINT_FILE = b"ede3955f [" + b",".join(UPSTREAM_LINES) + b"]"
EMPTY_HINT_FILE = b"0d4cbb29 []"


@pytest.mark.parametrize(("upstream", "line"), zip(UPSTREAMS, UPSTREAM_LINES, strict=True))
def test_an_upstream(upstream: Upstream, line: bytes) -> None:
    assert msgspec.json.encode(upstream) == line
    assert msgspec.json.decode(line, type=Upstream) == upstream


def test_the_fields_that_a_sender_may_leave_out() -> None:
    line = b'{"id":"u","service":"s","address":"a:1","zone":"z","unknown":[1]}'
    assert msgspec.json.decode(line, type=Upstream) == Upstream(
        "u", "s", "a:1", "z", 1, 0, UpstreamState.READY, -1
    )


def test_a_record() -> None:
    line = b"[" + UPSTREAM_LINES[1] + b',"10.0.0.1/a1b2c3",7]'
    record = Record(UPSTREAMS[1], "10.0.0.1/a1b2c3", 7)
    assert msgspec.json.encode(record) == line
    assert msgspec.json.decode(line, type=Record) == record


def test_a_version_vector() -> None:
    line = b'{"10.0.0.1/a1b2c3":7,"10.0.0.2/d4e5f6":1}'
    vector = {"10.0.0.1/a1b2c3": 7, "10.0.0.2/d4e5f6": 1}
    assert msgspec.json.encode(vector) == line
    assert msgspec.json.decode(line, type=VersionVector) == vector


@pytest.mark.parametrize("state", UpstreamState)
def test_a_state_is_written_as_its_number(state: UpstreamState) -> None:
    assert msgspec.json.encode(state) == {"READY": b"0", "DRAINING": b"1", "GONE": b"2"}[state.name]


def test_the_hint_file_is_written_byte_for_byte() -> None:
    registry = Registry("10.0.0.1/a1b2c3")
    assert hint_file.encode(registry) == EMPTY_HINT_FILE
    for upstream in UPSTREAMS:
        registry.update(upstream, 0.0)
    assert hint_file.encode(registry) == HINT_FILE


def test_the_hint_file_is_read_and_written_again_the_same() -> None:
    registry = Registry("10.0.0.1/d4e5f6")
    assert hint_file.restore(registry, HINT_FILE, 0.0)
    assert tuple(registry.upstreams.values()) == UPSTREAMS
    assert hint_file.encode(registry) == HINT_FILE
    assert hint_file.restore(Registry("10.0.0.1/000000"), EMPTY_HINT_FILE, 0.0)
