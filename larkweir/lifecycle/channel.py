"""The messages that two processes of one balancer exchange for a handover, one JSON object a line.

The words and keys below are the wire form between versions: a process has to understand an older or newer one.

predecessor                         successor
state {...}             ->          starts from it, follows discovery, accepts nothing
                        <-          ready {ids}: ids that are taken from "go" on may be told of
go {...newest state}    ->          takes it over and accepts
seen {ids}             <->          taken since "go": a copy of such a request is turned away at the other process too
                        <-          took {kept}: a keeper's file may be told of
kept {mark}             ->          votes by that file, which nobody has written since
reload                  ->          reads its files again
give_up                 ->          ends, or, once it may have accepted, stops as after SIGTERM
                        <-          bye: it was told to stop
"""

from __future__ import annotations

import json
from collections.abc import Mapping
from enum import StrEnum
from typing import Any, NamedTuple

MAX_LINE_BYTES = 16 * 1024 * 1024  # a complete list, and the recent ids
MAX_MARK_LENGTH = 64  # characters
MAX_TIME_MS = 1e15  # far beyond any clock, and exact in a float


class ChannelError(Exception):
    """The other process sent what is no message."""


class MessageKind(StrEnum):
    """The words of the wire form."""

    STATE = "state"
    READY = "ready"
    GO = "go"
    TOOK = "took"
    IDS_STORED = "kept"
    SEEN = "seen"
    RELOAD = "reload"
    GIVE_UP = "give_up"
    BYE = "bye"


class HandoverState(NamedTuple):
    """What the successor needs to keep the rules from its first request on. Field names are the wire's keys; times are
    milliseconds of the predecessor's clock.
    """

    offset_ms: float  # of that clock, against the system's monotonic one
    discovery: str  # the address of the discovery that the list is from
    upstream_list: dict[str, Any]  # the list, in discovery's form
    drains: dict[str, float]  # when each drain was announced, by instance id
    ids: list[tuple[str, float]]  # of recent requests, and when each ended
    learned: dict[str, Any]  # what the decisions have learned, in their own form
    paused: bool = False  # an operator's PAUSE, that the successor keeps
    accepts_ids: bool = False  # the predecessor may be sent ids ("seen"): an older one knows no such word


class ReplicaMark(NamedTuple):
    """Of a keeper's file that its process has closed for good: what stood in it, as `larkweir_owners` marks it. With
    "took" and an empty mark the successor says that it can make use of one: an older one knows no such word.
    """

    mark: str = ""


class TakenIds(NamedTuple):
    """Ids of requests that a process has taken. With "ready" and none the successor says that it may be sent some: an
    older one knows no such word.
    """

    ids: tuple[str, ...] = ()


Payload = HandoverState | ReplicaMark | TakenIds | None


class Message(NamedTuple):
    """One line of the channel."""

    kind: MessageKind
    payload: Payload = None


# By field, its name in the messages of earlier versions, which stays.
PUBLISHED_NAMES = {"upstream_list": "held", "accepts_ids": "hears"}


def encode(kind: str, payload: Payload = None) -> bytes:
    """One line, with its end."""
    data: dict[str, Any] = {"word": kind}
    if isinstance(payload, ReplicaMark):
        data["kept"] = payload.mark
    elif isinstance(payload, TakenIds):
        data["ids"] = payload.ids
    elif payload is not None:
        data |= {PUBLISHED_NAMES.get(name, name): value for name, value in payload._asdict().items()}
    return json.dumps(data, separators=(",", ":")).encode() + b"\n"


def decode(line: bytes) -> Message:
    """The message of a line; ChannelError if it is none."""
    try:
        data = json.loads(line)
    except (ValueError, RecursionError) as problem:
        raise ChannelError(f"not JSON: {problem}") from None
    message_name = data.get("word") if isinstance(data, dict) else None
    if not isinstance(message_name, str) or message_name not in _KINDS:
        raise ChannelError(f"{line[:100]!r} is no word of it")
    kind = MessageKind(message_name)
    match kind:
        case MessageKind.TOOK | MessageKind.IDS_STORED:
            return Message(kind, _decode_mark(data, optional=kind is MessageKind.TOOK))
        case MessageKind.READY | MessageKind.SEEN:
            return Message(kind, _decode_ids(data, optional=kind is MessageKind.READY))
        case MessageKind.STATE | MessageKind.GO:
            return Message(kind, _decode_state(data))
        case _:
            return Message(kind)


def _decode_mark(data: Mapping[str, object], optional: bool) -> ReplicaMark | None:
    mark = data.get("kept")
    if mark is None and optional:
        return None
    if not isinstance(mark, str) or len(mark) > MAX_MARK_LENGTH:
        raise ChannelError(f"kept: {mark!r:.100} is no mark")
    return ReplicaMark(mark)


def _decode_ids(data: Mapping[str, object], optional: bool) -> TakenIds | None:
    ids = data.get("ids")
    if ids is None and optional:
        return None
    if not isinstance(ids, list) or not all(isinstance(item, str) for item in ids):
        raise ChannelError(f"ids: {ids!r:.100} are no ids")
    return TakenIds(tuple(ids))


def _decode_state(data: dict[str, Any]) -> HandoverState:
    for key, kind in _STATE_TYPES.items():
        if not isinstance(data.get(key), kind):
            raise ChannelError(f"{key}: missing, or no {kind.__name__}")
    return HandoverState(
        ids=[_decode_recent_id(item) for item in data["ids"]],
        offset_ms=_decode_time(data.get("offset_ms"), "offset_ms"),
        discovery=data["discovery"],
        upstream_list=data["held"],
        drains={str(name): _decode_time(at_ms, "drains") for name, at_ms in data["drains"].items()},
        learned=data["learned"],
        paused=data.get("paused") is True,
        accepts_ids=data.get("hears") is True,
    )


def _decode_recent_id(item: object) -> tuple[str, float]:
    if not isinstance(item, list) or len(item) != 2 or not isinstance(item[0], str):
        raise ChannelError(f"ids: {item!r:.100} is no id and time")
    return item[0], _decode_time(item[1], "ids")


def _decode_time(value: object, key: str) -> float:
    if (
        isinstance(value, bool)
        or not isinstance(value, int | float)
        or not -MAX_TIME_MS < value < MAX_TIME_MS
    ):
        raise ChannelError(f"{key}: {value!r:.100} is not a time")
    return float(value)


_KINDS = frozenset(MessageKind)
_STATE_TYPES = {"held": dict, "drains": dict, "ids": list, "learned": dict, "discovery": str}


class LineBuffer:
    """Puts a stream of bytes together into lines of at most `MAX_LINE_BYTES`."""

    def __init__(self) -> None:
        self._incomplete = bytearray()

    def feed(self, data: bytes) -> list[bytes]:
        """The lines that are complete now; ChannelError where one is too long."""
        self._incomplete += data
        if b"\n" not in data:
            if len(self._incomplete) > MAX_LINE_BYTES:
                raise ChannelError(f"a line of over {MAX_LINE_BYTES} bytes")
            return []
        *complete, rest = bytes(self._incomplete).split(b"\n")
        self._incomplete = bytearray(rest)
        return complete
