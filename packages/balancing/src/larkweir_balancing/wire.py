"""Codec of the bench's frames: bytes to events and actions to bytes. It decides nothing."""

from __future__ import annotations

import json
import math
from collections.abc import Sequence
from dataclasses import dataclass
from struct import Struct, error
from typing import Any

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
from larkweir_balancing.errors import SettingsError, WireError
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
from larkweir_balancing.settings import Effect, Group, ReportMode, RequestClass, Settings, Tenant


@dataclass(slots=True)
class Hello:
    """An instance starts, with nothing known but its settings."""

    seed: int
    facts: bytes


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
    """Reads batches; keeps the numbered lists, which serve the whole process and are replaced in event
    order.
    """

    def __init__(self) -> None:
        self._lists: dict[int, tuple[ServerEntry, ...]] = {}

    def batch(self, frame: bytes, count: int) -> list[Record]:
        """Decode the records that follow a batch header."""
        try:
            return self._records(frame, count)
        except (error, IndexError) as problem:
            raise WireError(f"frame ends inside a record: {problem}") from problem

    def _records(self, frame: bytes, count: int) -> list[Record]:
        out: list[Record] = []
        at = 0
        for _ in range(count):
            code = frame[at]
            at += 1
            if code == 8:
                inst, txn, ended, spent, addr, port, trial, how, n = _ENDED.unpack_from(frame, at)
                at += _ENDED.size
                report = _FLOATS[n].unpack_from(frame, at) if n else ()
                at += 4 * n
                out.append(
                    (
                        inst,
                        AttemptEnded(
                            txn, trial, addr << 16 | port, _outcome(how), bool(ended), spent, report
                        ),
                    )
                )
            elif code == 11:
                inst, addr, port, how, spent, n = _ECHO.unpack_from(frame, at)
                at += _ECHO.size
                report = _FLOATS[n].unpack_from(frame, at) if n else ()
                at += 4 * n
                out.append((inst, ProbeEnded(addr << 16 | port, _outcome(how), spent, report)))
            elif code == 9:
                inst, txn, klass, tenant, key, left, hint, flags = _REQUEST.unpack_from(frame, at)
                at += _REQUEST.size
                expected = hint if flags & 1 else None
                out.append(
                    (
                        inst,
                        RequestArrived(
                            txn, klass, left, tenant, key, expected, bool(flags & 2), bool(flags & 4)
                        ),
                    )
                )
            elif code == 1:
                inst, cookie = _TIMER.unpack_from(frame, at)
                at += _TIMER.size
                out.append((inst, TimerFired(cookie)))
            elif code == 2:
                inst, txn = _GONE.unpack_from(frame, at)
                at += _GONE.size
                out.append((inst, ClientGone(txn)))
            elif code == 4:
                inst, how, version, sheet = _UPDATE.unpack_from(frame, at)
                at += _UPDATE.size
                kind = LIST_KINDS.get(how)
                if kind is None:
                    raise WireError(f"update of unknown kind {how}")
                if kind is ListKind.FAILED:
                    out.append((inst, ListUpdate(kind, version)))
                elif sheet in self._lists:
                    out.append((inst, ListUpdate(kind, version, self._lists[sheet])))
                else:
                    raise WireError(f"update names list {sheet}, which no catalog has set up")
            elif code == 5:
                sheet, n = _CATALOG.unpack_from(frame, at)
                at += _CATALOG.size
                end = at + n * _ENTRY.size
                if end > len(frame):
                    raise WireError(f"catalog of {n} entries runs past the frame's end")
                self._lists[sheet] = tuple(map(_entry, _ENTRY.iter_unpack(frame[at:end])))
                at = end
            elif code == 10:
                inst, seed, n = _HELLO.unpack_from(frame, at)
                at += _HELLO.size
                out.append((inst, Hello(seed, _blob(frame, at, n))))
                at += n
            elif code == 7:
                (inst,) = _U32.unpack_from(frame, at)
                at += 4
                out.append((inst, Destroy()))
            elif code == 6:
                inst, txn, trial, addr, port, spent = _OPENED.unpack_from(frame, at)
                at += _OPENED.size
                out.append((inst, AnswerStarted(txn, trial, addr << 16 | port, spent)))
            elif code == 3:
                inst, author, n = _PEER.unpack_from(frame, at)
                at += _PEER.size
                out.append((inst, PeerMessage(author, _blob(frame, at, n))))
                at += n
            else:
                raise WireError(f"unknown event code {code}")
        if at != len(frame):
            raise WireError(f"{len(frame) - at} bytes left over after the last record")
        return out


def _blob(frame: bytes, at: int, n: int) -> bytes:
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
    """One action record."""
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
        return _line(9, inst, action.text)
    raise TypeError(f"not an action: {action!r}")


def encode_crash(inst: int, text: str) -> bytes:
    """The record that says the decision code of an instance failed."""
    return _line(8, inst, text)


def _line(code: int, inst: int, text: str) -> bytes:
    data = text.encode()[:0xFFFF]
    return _TEXT.pack(code, inst, len(data)) + data


def encode_reply(records: Sequence[bytes]) -> bytes:
    """Frame the records of one reply."""
    body = b"".join(records)
    return _REPLY.pack(len(records), len(body) + _REPLY.size) + body


# Settings: the JSON object of `hello`, by the wire's key names. Unknown keys are skipped.

_EFFECTS = {"read_like": Effect.SAFE, "idempotency_key": Effect.KEYED, "non_idempotent": Effect.UNSAFE}
_GROUPS = {"all": Group.ALL, "zone": Group.ZONE, "cell": Group.CELL}
_MODES = {"inline": ReportMode.INLINE, "on_probe": ReportMode.ON_PROBE, "off": ReportMode.OFF}
_REPORT_FIELDS = {"busy_reqs": "running_and_waiting", "pending": "waiting"}  # others are not used
_MISSING = object()


class _Reader:
    """Takes typed values out of one JSON object and names key and value when it can't."""

    def __init__(self, data: Any, path: str) -> None:
        if not isinstance(data, dict):
            raise SettingsError(f"{path or 'settings'}: {data!r} is not an object")
        self.data, self.path = data, path

    def _get(self, key: str, default: Any) -> Any:
        value = self.data.get(key)
        if value is None:
            if default is _MISSING:
                raise SettingsError(f"{self.path}{key}: missing")
            return default
        return value

    def num(self, key: str, default: Any = _MISSING, low: float = 0.0) -> float:
        value = self._get(key, default)
        if isinstance(value, bool) or not isinstance(value, int | float) or not low <= value < math.inf:
            raise SettingsError(f"{self.path}{key}: {value!r} is not a finite number of at least {low:g}")
        return float(value)

    def whole(self, key: str, default: Any = _MISSING, low: int = 0) -> int:
        value = self.num(key, default, low)
        if value != int(value):
            raise SettingsError(f"{self.path}{key}: {value!r} is not a whole number")
        return int(value)

    def flag(self, key: str, default: bool) -> bool:
        value = self._get(key, default)
        if not isinstance(value, bool):
            raise SettingsError(f"{self.path}{key}: {value!r} is neither true nor false")
        return value

    def word(self, key: str, default: Any, words: dict[str, Any]) -> Any:
        value = self._get(key, default)
        if not isinstance(value, str) or value not in words:
            raise SettingsError(f"{self.path}{key}: {value!r} is not one of {', '.join(words)}")
        return words[value]

    def items(self, key: str, default: Any = _MISSING) -> list[Any]:
        value = self._get(key, default)
        if not isinstance(value, list):
            raise SettingsError(f"{self.path}{key}: {value!r} is not a list")
        return value

    def sub(self, key: str) -> _Reader:
        return _Reader(self._get(key, {}), f"{self.path}{key}.")


def decode_settings(facts: bytes) -> Settings:
    """Turn the settings text of `hello` into `Settings`; raises SettingsError naming key and value."""
    try:
        top = _Reader(json.loads(facts), "")
    except (ValueError, RecursionError) as problem:
        raise SettingsError(f"settings: not JSON: {problem}") from problem
    limits, rules = top.sub("PolicyLimits"), top.sub("Guarantees")
    prices, stats = top.sub("Deductions"), top.sub("Stats")
    return Settings(
        classes=tuple(
            _request_class(_Reader(item, f"Categories[{n}]."))
            for n, item in enumerate(top.items("Categories"))
        ),
        tenants=tuple(
            _tenant(_Reader(item, f"Tenants[{n}].")) for n, item in enumerate(top.items("Tenants", []))
        ),
        zones=max(1, len(top.items("Zones", []))),
        my_zone=top.whole("MyZone", 0),
        me=top.whole("Me", 0),
        copies=top.whole("PeersTotal", 1, low=1),
        tier=top.whole("Tier", 0),
        tiers=max(1, len(top.items("Tiers", []))),
        tick_ms=top.num("TickMs", 1.0, low=0.001),
        on_request_discovery=top.word("Discovery", "pushed", {"pushed": False, "on_request": True}),
        ask_within_ms=rules.num("AskWithinMs", 10_000.0),
        answer_slack_ms=rules.num("AnswerSlackMs", 0.0),
        cold_share=rules.num("ColdShare", 0.1),
        cold_ms=rules.num("ColdMs", 30_000.0),
        fall_multiple=rules.num("FallMultiple", 2.0, low=0.001),
        fall_ms=rules.num("FallMs", 2_000.0, low=0.001),
        max_attempts=limits.whole("SendCap", 1, low=1),
        may_cancel=limits.flag("MayCancel", False),
        may_probe=limits.flag("MayProbe", False),
        second_copies=limits.flag("SecondCopies", False),
        conn_idle_ms=limits.num("ConnIdleMs", 60_000.0),
        connect_timeout_ms=limits.num("ConnectTimeoutMs", 250.0),
        retry_advice=limits.flag("RetryAfter", False),
        max_retry_after_ms=limits.num("MaxRetryAfterMs", 0.0),
        marks_retry=top.sub("Clients").flag("MarksRetry", False),
        passes_deadline=top.sub("FamilyInfo").flag("PassesDeadline", False),
        report_mode=stats.word("How", "off", _MODES),
        report_fields=tuple(_REPORT_FIELDS.get(str(item), "") for item in stats.items("Fields", [])),
        over_share_worth=top.num("OverShareWorth", 1.0),
        price_cross_zone=prices.num("CrossZone", 0.0),
        price_probe=prices.num("Probe", 0.0),
        price_waste=prices.num("Waste", 0.0),
        price_late_fail=prices.num("LateFail", 0.0),
    )


def _request_class(at: _Reader) -> RequestClass:
    effect = at.word("Effect", _MISSING, _EFFECTS)
    keyed = effect is Effect.KEYED
    return RequestClass(
        aim_ms=at.num("AimMs", low=0.001),
        deadline_ms=at.num("HardLimitMs", low=0.001),
        effect=effect,
        worth=at.num("Worth", 1.0),
        late_worth=at.num("LateWorth", 0.0),
        group=at.word("Group", _MISSING, _GROUPS) if keyed else Group.ALL,
        memory_ms=at.num("MemorySpanMs") if keyed else 0.0,
        streaming=at.flag("Streaming", False),
        aim_stretch=at.num("AimStretch", 0.0),
        name=str(at.data.get("Name", "")),
    )


def _tenant(at: _Reader) -> Tenant:
    return Tenant(at.num("QuotaPerS"), at.num("Fraction", 0.0), str(at.data.get("Name", "")))
