"""Test vectors of the wire format, in both directions, and the errors for malformed frames."""

from __future__ import annotations

import io
import json
import struct
from collections.abc import Callable
from typing import Any

import pytest
from larkweir_balancing.errors import WireError
from larkweir_balancing.interface import (
    Action,
    AnswerStarted,
    AttemptEnded,
    Cancel,
    ClientGone,
    CloseIdle,
    Fail,
    FetchList,
    ListKind,
    ListUpdate,
    Log,
    Outcome,
    PeerMessage,
    Probe,
    ProbeEnded,
    Refuse,
    RequestArrived,
    Send,
    SendToPeer,
    ServerEntry,
    ServerState,
    SetTimer,
    SettingsError,
    TimerFired,
    WatchList,
)
from larkweir_balancing.wire import (
    Decoder,
    Destroy,
    Hello,
    encode_action,
    encode_crash,
    encode_reply,
)
from larkweir_balancing.wire_settings import decode_settings
from larkweir_balancing.wirehost import serve

A, B = 0x0A124A07_2BC3, 0x0A9011F2_2BEC
CATALOG = (
    "05 00000000 00000002"
    "0000000000000000 0a124a07 2bc3 3f800000 01 00 0000 00"
    "40b7d40000000000 0a9011f2 2bec 3fc00000 01 00 0000 01"
)
ENTRIES = (ServerEntry(A), ServerEntry(B, ServerState.READY, 6100.0, 1.5, 1, 0, 0))

EVENTS = [
    ("01 00000003 000000000000004d", 3, TimerFired(77)),
    ("02 00000005 0e6f2b19", 5, ClientGone(0x0E6F2B19)),
    ("03 00000003 00000001 0004 68692037", 3, PeerMessage(1, b"hi 7")),
    (
        "06 00000003 5d3a91c4 0001 0a124a07 2bc3 4032800000000000",
        3,
        AnswerStarted(0x5D3A91C4, 1, A, 18.5),
    ),
    ("07 00000009", 9, Destroy()),
    (
        "08 00000003 5d3a91c4 01 4032800000000000 0a124a07 2bc3 0000 0000 00",
        3,
        AttemptEnded(0x5D3A91C4, 0, A, Outcome.OK, True, 18.5),
    ),
    (
        "08 00000003 5d3a91c4 00 4032800000000000 0a124a07 2bc3 0002 006f 02 3f800000 40000000",
        3,
        AttemptEnded(0x5D3A91C4, 2, A, Outcome.CONNECT_FAILED, False, 18.5, (1.0, 2.0)),
    ),
    (
        "09 00000003 5d3a91c4 0000 00000000 91f03b7c55d20a64 406e000000000000 4028000000000000 01",
        3,
        RequestArrived(0x5D3A91C4, 0, 240.0, 0, 0x91F03B7C55D20A64, 12.0),
    ),
    (
        "09 00000003 5d3a91c4 0002 00000004 0000000000000000 406e000000000000 0000000000000000 06",
        3,
        RequestArrived(0x5D3A91C4, 2, 240.0, 4, 0, None, True, True),
    ),
    ("0a 00000003 0000000000000007 00000002 7b7d", 3, Hello(7, b"{}")),
    ("0b 00000003 0a124a07 2bc3 006e 4032800000000000 00", 3, ProbeEnded(A, Outcome.TIMEOUT, 18.5)),
    (
        "0b 00000003 0a124a07 2bc3 0000 4032800000000000 01 40400000",
        3,
        ProbeEnded(A, Outcome.OK, 18.5, (3.0,)),
    ),
]

ACTIONS: list[tuple[Action, str]] = [
    (Cancel(7, 2), "01 00000003 00000007 0002"),
    (CloseIdle(A), "02 00000003 0a124a07 2bc3"),
    (Fail(7), "03 00000003 00000007"),
    (SetTimer(77, 500.0), "04 00000003 000000000000004d 407f400000000000"),
    (SetTimer(77, 1e12), "04 00000003 000000000000004d 4150402800000000"),
    (Send(0x5D3A91C4, A, 80.0), "05 00000003 5d3a91c4 0a124a07 2bc3 4054000000000000"),
    (Send(0x5D3A91C4, A, 80.0, 9_000.0), "05 00000003 5d3a91c4 0a124a07 2bc3 4054000000000000"),
    (SendToPeer(None, b"hi 7"), "06 00000003 ffff 0004 68692037"),
    (SendToPeer(2, b""), "06 00000003 0002 0000"),
    (FetchList(), "07 00000003"),
    (Log("two servers known"), "09 00000003 0011 74776f2073657276657273206b6e6f776e"),
    (WatchList(True), "0a 00000003 01"),
    (WatchList(False), "0a 00000003 00"),
    (Refuse(7, 80.0), "0b 00000003 00000007 4054000000000000"),
    (Probe(A), "0c 00000003 0a124a07 2bc3"),
]


def raw(text: str) -> bytes:
    return bytes.fromhex(text.replace(" ", ""))


@pytest.mark.parametrize(("text", "inst", "event"), EVENTS)
def test_event_vector(text: str, inst: int, event: Any) -> None:
    assert Decoder().batch(raw(text), 1) == [(inst, event)]


@pytest.mark.parametrize(("action", "text"), ACTIONS)
def test_action_vector(action: Action, text: str) -> None:
    assert encode_action(3, action) == raw(text)


def test_crash_and_reply_frames() -> None:
    assert encode_crash(5, "no") == raw("08 00000005 0002 6e6f")
    assert encode_reply([]) == raw("00000000 00000008")
    assert encode_reply([raw("07 00000003")]) == raw("00000001 0000000d 07 00000003")


def test_lists_are_resolved_in_event_order_and_numbers_are_reused() -> None:
    update = "04 00000003 {} 00000029 00000000"
    gone = "05 00000000 00000001 0000000000000000 0a124a07 2bc3 3f800000 00 00 0000 00"
    frame = raw(CATALOG + update.format("03") + gone + update.format("01") + update.format("04"))
    assert Decoder().batch(frame, 5) == [
        (3, ListUpdate(ListKind.CACHED, 41, ENTRIES)),
        (3, ListUpdate(ListKind.DELTA, 41, (ServerEntry(A, ServerState.GONE),))),
        (3, ListUpdate(ListKind.FAILED, 41)),
    ]


@pytest.mark.parametrize(
    ("text", "count", "message"),
    [
        ("01 00000003", 1, "ends inside"),
        ("", 1, "ends inside"),
        ("63 00000003", 1, "unknown event code 99"),
        ("07 00000009 00", 1, "left over"),
        ("03 00000003 00000001 0009 6869", 1, "past the frame's end"),
        ("05 00000000 00000009", 1, "past the frame's end"),
        ("0a 00000003 0000000000000007 00000020 7b7d", 1, "past the frame's end"),
        ("0b 00000003 0a124a07 2bc3 0000 4032800000000000 09 40400000", 1, "ends inside"),
        ("04 00000003 03 00000029 00000007", 1, "no catalog"),
        ("04 00000003 02 00000029 00000007", 1, "unknown kind 2"),
        ("0b 00000003 0a124a07 2bc3 0001 4032800000000000 00", 1, "unknown outcome 1"),
    ],
)
def test_malformed_frames_get_a_plain_message(text: str, count: int, message: str) -> None:
    with pytest.raises(WireError, match=message):
        Decoder().batch(raw(text), count)


# settings

SETTINGS: dict[str, Any] = {
    "Categories": [
        {
            "AimMs": 100.0,
            "Effect": "idempotency_key",
            "Group": "zone",
            "HardLimitMs": 400.0,
            "MemorySpanMs": 9,
        }
    ],
    "Guarantees": {"ColdMs": 22000.0, "ColdShare": 0.16, "FallMs": 2000.0, "FallMultiple": 3.0},
    "PolicyLimits": {"SendCap": 6, "MayProbe": True},
    "Stats": {"Fields": ["busy_reqs"], "How": "on_probe"},
    "Zones": ["a", "b"],
    "MyZone": 1,
    "NeverHeardOf": {"x": 1},
}


def test_settings_are_read_and_unknown_keys_skipped() -> None:
    settings = decode_settings(json.dumps(SETTINGS).encode())
    assert (settings.zones, settings.my_zone, settings.max_attempts) == (2, 1, 6)
    assert settings.classes[0].memory_ms == 9.0
    assert not settings.allows_hedging


def _set(path: list[Any], value: Any) -> Callable[[dict[str, Any]], None]:
    def change(settings_data: dict[str, Any]) -> None:
        at: Any = settings_data
        for key in path[:-1]:
            at = at[key]
        if value is None:
            del at[path[-1]]
        else:
            at[path[-1]] = value

    return change


@pytest.mark.parametrize(
    ("change", "message"),
    [
        (_set(["Categories"], None), "Categories: missing"),
        (_set(["Categories"], []), "classes: the list is empty"),
        (_set(["Categories", 0, "AimMs"], None), r"Categories\[0\].AimMs: missing"),
        (_set(["Categories", 0, "AimMs"], -5), r"Categories\[0\].AimMs: -5"),
        (_set(["Categories", 0, "AimMs"], float("nan")), r"Categories\[0\].AimMs: nan"),
        (_set(["Categories", 0, "HardLimitMs"], "long"), r"Categories\[0\].HardLimitMs: 'long'"),
        (_set(["Categories", 0, "Effect"], "maybe"), r"Categories\[0\].Effect: 'maybe'"),
        (_set(["Categories", 0, "Group"], "hall"), r"Categories\[0\].Group: 'hall'"),
        (_set(["Categories", 0], 7), r"Categories\[0\].: 7 is not an object"),
        (_set(["PolicyLimits", "MayProbe"], 1), "PolicyLimits.MayProbe: 1"),
        (_set(["PolicyLimits", "SendCap"], 1.5), "PolicyLimits.SendCap: 1.5"),
        (_set(["Guarantees", "ColdShare"], 7), "cold_share: 7"),
        (_set(["MyZone"], 2), "my_zone: 2"),
        (_set(["Zones"], "ab"), "Zones: 'ab' is not a list"),
    ],
)
def test_malformed_settings_name_key_and_value(
    change: Callable[[dict[str, Any]], None], message: str
) -> None:
    settings_data = json.loads(json.dumps(SETTINGS))
    change(settings_data)
    with pytest.raises(SettingsError, match=message):
        decode_settings(json.dumps(settings_data).encode())


def test_settings_that_are_not_json() -> None:
    with pytest.raises(SettingsError, match="not JSON"):
        decode_settings(b"{")


# the adapter


def frame(clock: float, text: str, count: int) -> bytes:
    body = raw(text)
    return struct.pack(">dII", clock, 16 + len(body), count) + body


def hello(inst: int, settings_data: dict[str, Any]) -> str:
    data = json.dumps(settings_data).encode()
    return f"0a {inst:08x} 0000000000000007 {len(data):08x} {data.hex()}"


def test_adapter_serves_a_request_and_ends_at_the_end_of_input() -> None:
    update = "04 00000003 03 00000001 00000000"
    first = frame(1.0, hello(3, SETTINGS) + CATALOG + update, 3)
    ask = "09 00000003 00000007 0000 00000000 0000000000000000 4079000000000000 0000000000000000 00"
    restart = frame(3.0, "07 00000003" + hello(3, SETTINGS), 2)
    sink = io.BytesIO()
    serve(io.BytesIO(first + frame(2.0, ask, 1) + restart), sink)
    count, length = struct.unpack_from(">II", sink.getvalue(), 8)
    assert count >= 1
    assert sink.getvalue()[8 + length :] == encode_reply([])


def test_adapter_reports_bad_settings_as_a_fault() -> None:
    sink = io.BytesIO()
    serve(io.BytesIO(frame(1.0, hello(3, {"Categories": 5}), 1)), sink)
    assert sink.getvalue()[8] == 8
    assert b"Categories: 5" in sink.getvalue()


@pytest.mark.parametrize("cut", [3, 20, -1])
def test_adapter_writes_nothing_for_a_cut_frame(cut: int) -> None:
    sink = io.BytesIO()
    with pytest.raises(WireError):
        serve(io.BytesIO(frame(1.0, hello(3, SETTINGS), 1)[:cut]), sink)
    assert sink.getvalue() == b""
