"""What a store holds, record by record. Pure logic.

Every table is bounded. A record whose body does not fit its kind changes nothing: bytes that are intact may still come
from a version that gave them another meaning.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator
from dataclasses import dataclass, field
from typing import Any, NamedTuple

from larkweir.membership.remembered.evidence import NEVER_SEEN, Churn, EvidenceKind
from larkweir.store.records import Record, RecordKind

MAX_LISTED = 50_000
MAX_OPEN_REQUESTS = 8_192  # requests that must not run twice
MAX_TEXT_CHARS = 512  # of a name or an id


class OpenRequest(NamedTuple):
    """A request that must not run twice, from its first attempt on. Times are Unix milliseconds."""

    began_ms: float
    span_ms: float  # for how long a duplicate of it may still arrive
    ended_ms: float  # 0: not known


_EVIDENCE_KINDS = {int(kind): kind for kind in EvidenceKind}


def _is_number(value: Any) -> bool:
    return isinstance(value, int | float) and not isinstance(value, bool) and 0.0 <= value < 1e18


def _is_text(value: Any) -> bool:
    return isinstance(value, str) and 0 < len(value) <= MAX_TEXT_CHARS


def _is_timed(body: Any) -> bool:
    """Whether a body is a name or an id, and numbers, of which the first is a time."""
    return (
        isinstance(body, list)
        and len(body) >= 2
        and _is_text(body[0])
        and all(_is_number(item) for item in body[1:])
    )


@dataclass(slots=True)
class StoredState:
    """The state as of the last record that was applied. Times are Unix milliseconds."""

    listed: dict[str, dict[str, Any]] = field(default_factory=dict)  # by instance id, in discovery's form
    drains: dict[str, float] = field(default_factory=dict)  # since when each upstream drains, by instance id
    open: dict[str, OpenRequest] = field(default_factory=dict)  # by trace id, the oldest first
    learned: dict[str, Any] = field(default_factory=dict)
    learned_ms: float = 0.0
    clock_ms: float = 0.0  # the latest time in any record
    boot: tuple[str, float] = ("", 0.0)  # the machine's boot id, and the system time at its boot
    source: str = ""  # discovery's address
    generation: int = 0  # version of the list
    answered_ms: float = 0.0  # when discovery last confirmed the list
    churn: Churn = NEVER_SEEN
    served: dict[str, tuple[float, EvidenceKind]] = field(default_factory=dict)  # when each last served
    passed_over: int = 0  # records that did not fit their kind

    def apply(self, record: Record) -> None:
        """Apply one record; one whose body does not fit its kind is only counted."""
        if not _APPLY[record.kind](self, record.body):
            self.passed_over += 1

    def _apply_listed(self, body: Any) -> bool:
        if not isinstance(body, dict) or not _is_text(body.get("instanceId")):
            return False
        if body["instanceId"] not in self.listed and len(self.listed) >= MAX_LISTED:
            return False
        self.listed[body["instanceId"]] = body
        if body.get("lifecycle") == "active":
            self.drains.pop(body["instanceId"], None)  # discovery has cancelled the drain
        return True

    def _apply_delisted(self, body: Any) -> bool:
        if not _is_text(body):
            return False
        self.listed.pop(body, None)
        self.served.pop(body, None)
        return True

    def _apply_served(self, body: Any) -> bool:
        if not isinstance(body, list) or len(body) != 3 or not (_is_text(body[0]) and _is_number(body[1])):
            return False
        kind = _EVIDENCE_KINDS.get(body[2]) if type(body[2]) is int else None
        if kind is None:
            return False
        if body[0] in self.listed:  # only of listed upstreams: the table is bounded as the list is
            self.served[body[0]] = (float(body[1]), kind)
        return self._advance_clock(body[1])

    def _apply_learned(self, body: Any) -> bool:
        if not isinstance(body, list) or len(body) != 2:
            return False
        if not _is_number(body[0]) or not isinstance(body[1], dict):
            return False
        self.learned_ms, self.learned = float(body[0]), body[1]
        return self._advance_clock(body[0])

    def _apply_clock(self, body: Any) -> bool:
        if not isinstance(body, list):
            return _is_number(body) and self._advance_clock(body)
        if len(body) != 3 or not (_is_number(body[0]) and _is_text(body[1]) and _is_number(body[2])):
            return False
        # The system time less the time since boot: constant for as long as nobody sets the clock.
        self.boot = (body[1], float(body[0]) - float(body[2]))
        return self._advance_clock(body[0])

    def _apply_source(self, body: Any) -> bool:
        if not isinstance(body, list) or len(body) not in (2, 5) or not isinstance(body[0], str):
            return False
        if len(body[0]) > MAX_TEXT_CHARS or not all(map(_is_number, body[1:])):
            return False
        self.source, self.generation = body[0], int(body[1])
        if len(body) == 5:
            self.answered_ms = float(body[2])
            self.churn = Churn(float(body[3]), float(body[4]))
            self._advance_clock(self.answered_ms)
        return True

    def _apply_drain(self, body: Any) -> bool:
        if not _is_timed(body):
            return False
        self._advance_clock(body[1])
        known = self.drains.get(body[0])
        self.drains[body[0]] = body[1] if known is None else min(known, body[1])  # the earliest counts
        return True

    def _apply_began(self, body: Any) -> bool:
        if not _is_timed(body):
            return False
        self._advance_clock(body[1])
        if len(body) != 3:
            return False
        if body[0] not in self.open:
            while len(self.open) >= MAX_OPEN_REQUESTS:
                del self.open[next(iter(self.open))]
            self.open[body[0]] = OpenRequest(float(body[1]), float(body[2]), 0.0)
        return True

    def _apply_ended(self, body: Any) -> bool:
        if not _is_timed(body):
            return False
        self._advance_clock(body[1])
        before = self.open.get(body[0])
        if before is not None:
            self.open[body[0]] = before._replace(ended_ms=float(body[1]))
        return True

    def _advance_clock(self, now_ms: float) -> bool:
        self.clock_ms = max(self.clock_ms, float(now_ms))
        return True

    def prune(self, now_ms: float) -> None:
        """Remove requests of which no duplicate can arrive any more, and drains of upstreams that are not listed."""
        for trace in [
            trace
            for trace, item in self.open.items()
            if max(item.began_ms, item.ended_ms) + item.span_ms < now_ms
        ]:
            del self.open[trace]
        for name in [name for name in self.drains if name not in self.listed]:
            del self.drains[name]

    def records(self) -> Iterator[Record]:
        """The records from which an equal state can be made."""
        yield Record(RecordKind.CLOCK, self.clock_ms)
        if self.boot[0]:
            since_boot_ms = max(0.0, self.clock_ms - self.boot[1])
            yield Record(RecordKind.CLOCK, [self.clock_ms, self.boot[0], since_boot_ms])
        yield Record(RecordKind.SOURCE, [self.source, self.generation, self.answered_ms, *self.churn])
        for row in self.listed.values():
            yield Record(RecordKind.LISTED, row)
        for name, (at, kind) in self.served.items():
            yield Record(RecordKind.SERVED, [name, at, int(kind)])
        for name, since_ms in self.drains.items():
            yield Record(RecordKind.DRAIN, [name, since_ms])
        for trace, item in self.open.items():
            yield Record(RecordKind.BEGAN, [trace, item.began_ms, item.span_ms])
            if item.ended_ms:
                yield Record(RecordKind.ENDED, [trace, item.ended_ms])
        if self.learned:
            yield Record(RecordKind.LEARNED, [self.learned_ms, self.learned])


_APPLY: dict[RecordKind, Callable[[StoredState, Any], bool]] = {
    RecordKind.LISTED: StoredState._apply_listed,
    RecordKind.DELISTED: StoredState._apply_delisted,
    RecordKind.SERVED: StoredState._apply_served,
    RecordKind.LEARNED: StoredState._apply_learned,
    RecordKind.CLOCK: StoredState._apply_clock,
    RecordKind.SOURCE: StoredState._apply_source,
    RecordKind.DRAIN: StoredState._apply_drain,
    RecordKind.BEGAN: StoredState._apply_began,
    RecordKind.ENDED: StoredState._apply_ended,
}
