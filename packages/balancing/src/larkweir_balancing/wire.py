"""Codec for the simulator's wire format: frames to events, and actions to frames. Pure logic."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from dataclasses import dataclass
from struct import Struct, error

from larkweir_balancing.actions import (
    Action,
    Cancel,
    CloseIdle,
    Fail,
    FetchList,
    Log,
    Probe,
    Refuse,
    Send,
    SendToPeer,
    SetTimer,
    WatchList,
)
from larkweir_balancing.errors import WireError
from larkweir_balancing.events import (
    AnswerStarted,
    AttemptEnded,
    ClientGone,
    Event,
    ListUpdate,
    PeerMessage,
    ProbeEnded,
    RequestArrived,
    ServerEntry,
    TimerFired,
)
from larkweir_balancing.outcomes import ListKind, Outcome, ServerState


@dataclass(slots=True)
class Hello:
    """An instance starts; it knows only its settings."""

    seed: int
    settings_json: bytes


@dataclass(slots=True)
class Destroy:
    """An instance was killed."""


Record = tuple[int, Event | Hello | Destroy]

HEADER = Struct(">dII")
_REPLY = Struct(">II")
_U16 = Struct(">H")
_ENTRY = Struct(">dIHfBBHB")
_U32 = Struct(">I")
_TIMER = Struct(">IQ")
_GONE = Struct(">II")
_PEER = Struct(">IIH")
_UPDATE = Struct(">IBII")
_CATALOG = Struct(">II")
_OPENED = Struct(">IIHIHd")
_ENDED = Struct(">IIBdIHHHB")
_REQUEST = Struct(">IIHIQddB")
_HELLO = Struct(">IQI")
_ECHO = Struct(">IIHHdB")

OUTCOMES = {
    0: Outcome.OK,
    5: Outcome.ERROR,
    11: Outcome.FULL,
    110: Outcome.TIMEOUT,
    111: Outcome.CONNECT_FAILED,
    104: Outcome.RESET,
    125: Outcome.CANCELLED,
    114: Outcome.MOOT,
}
LIST_KINDS = {0: ListKind.FULL, 1: ListKind.DELTA, 3: ListKind.CACHED, 4: ListKind.FAILED}
_STATES = {0: ServerState.GONE, 1: ServerState.READY, 2: ServerState.DRAINING}
_FLOATS = [Struct(f">{n}f") for n in range(256)]
MAX_TIMER_MS = 71 * 60_000.0
ALL_PEERS = 0xFFFF


class Decoder:
    """Decodes batches. Keeps the numbered server lists, which all instances share; a new list replaces the one with the
    same number, in the order of events.
    """

    def __init__(self) -> None:
        """Start without server lists."""
        self._lists: dict[int, tuple[ServerEntry, ...]] = {}
        self._readers: dict[int, Callable[[bytes, int], tuple[Record | None, int]]] = {
            1: _read_timer,
            2: _read_client_gone,
            3: _read_peer_message,
            4: self._read_update,
            5: self._read_catalog,
            6: _read_answer_started,
            7: _read_destroy,
            8: _read_attempt_ended,
            9: _read_request,
            10: _read_hello,
            11: _read_probe_ended,
        }

    def batch(self, frame: bytes, count: int) -> list[Record]:
        """Decode the `count` records that follow a batch header; raises `WireError`."""
        try:
            return self._records(frame, count)
        except (error, IndexError) as problem:
            raise WireError(f"frame ends inside a record: {problem}") from problem

    def _records(self, frame: bytes, count: int) -> list[Record]:
        records: list[Record] = []
        at = 0
        for _ in range(count):
            code = frame[at]
            reader = self._readers.get(code)
            if reader is None:
                raise WireError(f"unknown event code {code}")
            record, at = reader(frame, at + 1)
            if record is not None:
                records.append(record)
        if at != len(frame):
            raise WireError(f"{len(frame) - at} bytes left over after the last record")
        return records

    def _read_update(self, frame: bytes, at: int) -> tuple[Record, int]:
        inst, how, version, list_number = _UPDATE.unpack_from(frame, at)
        kind = LIST_KINDS.get(how)
        if kind is None:
            raise WireError(f"list update of unknown kind {how}")
        if kind is ListKind.FAILED:
            update = ListUpdate(kind, version)
        elif list_number in self._lists:
            update = ListUpdate(kind, version, self._lists[list_number])
        else:
            raise WireError(f"list update refers to list {list_number}, but no catalog has defined it")
        return (inst, update), at + _UPDATE.size

    def _read_catalog(self, frame: bytes, at: int) -> tuple[None, int]:
        list_number, n = _CATALOG.unpack_from(frame, at)
        at += _CATALOG.size
        end = at + n * _ENTRY.size
        if end > len(frame):
            raise WireError(f"catalog of {n} entries runs past the frame's end")
        self._lists[list_number] = tuple(map(_entry, _ENTRY.iter_unpack(frame[at:end])))
        return None, end


# Each function takes a frame and the offset after the record's code; it returns the record and the offset of the next.


def _read_timer(frame: bytes, at: int) -> tuple[Record, int]:
    inst, cookie = _TIMER.unpack_from(frame, at)
    return (inst, TimerFired(cookie)), at + _TIMER.size


def _read_client_gone(frame: bytes, at: int) -> tuple[Record, int]:
    inst, request = _GONE.unpack_from(frame, at)
    return (inst, ClientGone(request)), at + _GONE.size


def _read_peer_message(frame: bytes, at: int) -> tuple[Record, int]:
    inst, sender, n = _PEER.unpack_from(frame, at)
    at += _PEER.size
    return (inst, PeerMessage(sender, _byte_field(frame, at, n))), at + n


def _read_answer_started(frame: bytes, at: int) -> tuple[Record, int]:
    inst, request, attempt, addr, port, spent_ms = _OPENED.unpack_from(frame, at)
    return (inst, AnswerStarted(request, attempt, addr << 16 | port, spent_ms)), at + _OPENED.size


def _read_destroy(frame: bytes, at: int) -> tuple[Record, int]:
    (inst,) = _U32.unpack_from(frame, at)
    return (inst, Destroy()), at + 4


def _read_attempt_ended(frame: bytes, at: int) -> tuple[Record, int]:
    inst, request, final, spent_ms, addr, port, attempt, how, n = _ENDED.unpack_from(frame, at)
    at += _ENDED.size
    report = _FLOATS[n].unpack_from(frame, at) if n else ()
    server, outcome = addr << 16 | port, _outcome(how)
    event = AttemptEnded(request, attempt, server, outcome, bool(final), spent_ms, report)
    return (inst, event), at + 4 * n


def _read_request(frame: bytes, at: int) -> tuple[Record, int]:
    inst, request, class_index, tenant, key, left_ms, hint_ms, flags = _REQUEST.unpack_from(frame, at)
    expected_ms = hint_ms if flags & 1 else None
    event = RequestArrived(
        request, class_index, left_ms, tenant, key, expected_ms, bool(flags & 2), bool(flags & 4)
    )
    return (inst, event), at + _REQUEST.size


def _read_hello(frame: bytes, at: int) -> tuple[Record, int]:
    inst, seed, n = _HELLO.unpack_from(frame, at)
    at += _HELLO.size
    return (inst, Hello(seed, _byte_field(frame, at, n))), at + n


def _read_probe_ended(frame: bytes, at: int) -> tuple[Record, int]:
    inst, addr, port, how, spent_ms, n = _ECHO.unpack_from(frame, at)
    at += _ECHO.size
    report = _FLOATS[n].unpack_from(frame, at) if n else ()
    return (inst, ProbeEnded(addr << 16 | port, _outcome(how), spent_ms, report)), at + 4 * n


def _byte_field(frame: bytes, at: int, n: int) -> bytes:
    if at + n > len(frame):
        raise WireError(f"a field of {n} bytes runs past the frame's end")
    return frame[at : at + n]


def _outcome(code: int) -> Outcome:
    try:
        return OUTCOMES[code]
    except KeyError:
        raise WireError(f"unknown outcome {code}") from None


def _entry(raw: tuple[float, int, int, float, int, int, int, int]) -> ServerEntry:
    started, addr, port, weight, state, kind, cell, zone = raw
    if state not in _STATES:
        raise WireError(f"unknown server state {state}")
    return ServerEntry(addr << 16 | port, _STATES[state], started, weight, zone, cell, kind)


_CANCEL = Struct(">BIIH")
_CLOSE = Struct(">BIIH")
_FAIL = Struct(">BII")
_SCHEDULE = Struct(">BIQd")
_SEND = Struct(">BIIIHd")
_POST = Struct(">BIHH")
_INST = Struct(">BI")
_TEXT = Struct(">BIH")
_TRACK = Struct(">BIB")
_REFUSE = Struct(">BIId")


def encode_action(inst: int, action: Action) -> bytes:
    """Encode one action as a record."""
    if isinstance(action, Send):
        return _SEND.pack(
            5, inst, action.request, action.server >> 16, action.server & 0xFFFF, action.timeout_ms
        )
    if isinstance(action, SetTimer):
        return _SCHEDULE.pack(4, inst, action.cookie, min(max(action.delay_ms, 0.0), MAX_TIMER_MS))
    if isinstance(action, Probe):
        return _CLOSE.pack(12, inst, action.server >> 16, action.server & 0xFFFF)
    if isinstance(action, Fail):
        return _FAIL.pack(3, inst, action.request)
    if isinstance(action, Refuse):
        return _REFUSE.pack(11, inst, action.request, action.wait_ms)
    if isinstance(action, Cancel):
        return _CANCEL.pack(1, inst, action.request, action.attempt)
    if isinstance(action, CloseIdle):
        return _CLOSE.pack(2, inst, action.server >> 16, action.server & 0xFFFF)
    if isinstance(action, SendToPeer):
        peer = ALL_PEERS if action.peer is None else action.peer
        return _POST.pack(6, inst, peer, len(action.payload)) + action.payload
    if isinstance(action, FetchList):
        return _INST.pack(7, inst)
    if isinstance(action, WatchList):
        return _TRACK.pack(10, inst, action.active)
    if isinstance(action, Log):
        return _encode_text(9, inst, action.text)
    raise TypeError(f"not an action: {action!r}")


def encode_crash(inst: int, text: str) -> bytes:
    """Encode the record that reports a failure in an instance's decision code."""
    return _encode_text(8, inst, text)


def _encode_text(code: int, inst: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return _TEXT.pack(code, inst, len(data)) + data


def encode_reply(records: Sequence[bytes]) -> bytes:
    """Join the records of one reply into a frame."""
    body = b"".join(records)
    return _REPLY.pack(len(records), len(body) + _REPLY.size) + body
