"""Requests from their arrival to their end, as the events and actions of the decisions tell of them.

Whoever tells of requests (the log, captures) hands each event and action on, and is told of each request once, when it
has ended. Nothing here reads a clock. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from larkweir_balancing.interface import (
    Action,
    AnswerStarted,
    AttemptEnded,
    ClientGone,
    Event,
    Fail,
    Outcome,
    Refuse,
    RequestArrived,
    RequestBodyReceived,
    Send,
    Settings,
)

SERVED, GONE, FAILED, REFUSED, OVERDUE = 200, 499, 502, 503, 504
WORDS = {item: item.name.lower() for item in Outcome}


class Told(msgspec.Struct, eq=False):
    """A request that is to be told of. `mark`: whatever its teller has put there."""

    at_ms: float
    due_ms: float
    trace: bytes
    names: tuple[str, str]  # its class and tenant
    left_ms: float
    hint_ms: float | None
    again: bool
    mark: Any
    begun: int = -1  # the attempt whose answer the caller is being given while it comes
    # upstream, after so long, for so long, how it ended, own calls it found
    attempts: list[list[Any]] = []  # msgspec makes each its own


def tenths(value: float) -> float:
    """Milliseconds to a tenth: a fifth of what `round` costs, which five times a request is felt. NaN if infinite."""
    return (value * 10.0 + 0.5) // 1.0 / 10.0


class Follow:
    """The requests that are open. `marks` picks those that are told of: None for one that is not."""

    MOST = 4_096  # requests that are followed at once; more are not told of
    MOST_ATTEMPTS = 20  # by name in one telling
    MOST_NAMES = 4_096  # pairs of a class and a tenant that are remembered
    LATE_MS = 1_000.0  # past its deadline, by which a request must have ended
    LOOK_MS = 10.0  # between two looks, as requests arrive, for those that are overdue

    def __init__(
        self,
        settings: Settings,
        marks: Callable[[bytes, RequestArrived, float, tuple[str, str]], Any],
        trace_of: Callable[[int], bytes],
        address_of: Callable[[int], str],
        ended: Callable[[Told, int, float], None],
    ) -> None:
        """`marks`: by a request's id, arrival, time, class and tenant; `trace_of`: its id; `address_of`: where an
        upstream listens; `ended`: told of each, with its status and when.
        """
        self._marks = marks
        self._trace_of = trace_of
        self._address_of = address_of
        self._ended = ended
        self._open: dict[int, Told] = {}
        # Whose body or answer is still coming, so that no deadline runs that is known here.
        self._coming: dict[int, tuple[Told, float]] = {}
        self._calls: dict[int, int] = {}  # own calls out, by upstream
        self._look_ms = 0.0  # when the overdue are looked for next
        self._named: dict[tuple[int, int], tuple[str, str]] = {}
        self.take_names(settings)

    def __len__(self) -> int:
        return len(self._open) + len(self._coming)

    def take_names(self, settings: Settings) -> None:
        self._named.clear()
        self._classes = [item.name for item in settings.classes]
        self._tenants = [item.name for item in settings.tenants]

    def names(self, event: RequestArrived) -> tuple[str, str]:
        """A request's class and tenant; empty where the settings name none."""
        found = self._named.get((event.class_index, event.tenant))
        if found is None:
            classes, tenants = self._classes, self._tenants
            cls = classes[event.class_index] if event.class_index < len(classes) else ""
            found = cls, tenants[event.tenant] if 0 <= event.tenant < len(tenants) else ""
            if len(self._named) >= self.MOST_NAMES:
                self._named.clear()
            self._named[event.class_index, event.tenant] = found
        return found

    def before(self, now_ms: float, event: Event) -> None:
        """What goes into the decisions."""
        kind = type(event)
        if kind is RequestArrived:
            self.arrived(now_ms, event)  # type: ignore[arg-type]
        elif kind is AttemptEnded:
            self.attempt(now_ms, event)  # type: ignore[arg-type]
        elif isinstance(event, RequestBodyReceived):
            told = self._coming.pop(event.request, None)
            if told is not None:
                told[0].due_ms = now_ms + told[1]
                self._open[event.request] = told[0]
        elif isinstance(event, AnswerStarted):
            found = self._open.pop(event.request, None)
            if found is not None:
                found.begun = event.attempt
                self._coming[event.request] = (found, 0.0)

    def after(self, now_ms: float, event: Event, actions: list[Action]) -> None:
        """What came of it."""
        for action in actions:
            if isinstance(action, Send):
                self._sent(now_ms, action)
            elif isinstance(action, Refuse):
                self.over(now_ms, action.request, REFUSED)
            elif isinstance(action, Fail):
                self.over(now_ms, action.request, FAILED)
        if isinstance(event, AttemptEnded):
            if event.is_final and (event.outcome is Outcome.OK or self._begun(event)):
                self.over(now_ms, event.request, SERVED)
        elif isinstance(event, ClientGone):
            self.over(now_ms, event.request, GONE)

    def _begun(self, event: AttemptEnded) -> bool:
        """Whether its answer had begun: that was the one answer, and it broke off."""
        coming = self._coming.get(event.request)
        return coming is not None and coming[0].begun == event.attempt

    def overdue(self, now_ms: float) -> None:
        """Tell of those whom the deadline has ended, of which decisions hear nothing."""
        while self._open:
            number, oldest = next(iter(self._open.items()))
            if now_ms <= oldest.due_ms + self.LATE_MS:
                break
            self.over(oldest.due_ms, number, OVERDUE)

    def arrived(self, now_ms: float, event: RequestArrived) -> None:
        """A request goes into the decisions."""
        if now_ms >= self._look_ms:
            self._look_ms = now_ms + self.LOOK_MS
            self.overdue(now_ms)
        if len(self._open) + len(self._coming) >= self.MOST:
            return
        trace = self._trace_of(event.request)
        names = self.names(event)
        mark = self._marks(trace, event, now_ms, names)
        if mark is None:
            return
        left = event.time_left_ms
        told = Told(now_ms, now_ms + left, trace, names, left, event.expected_ms, event.client_retry, mark)
        if event.body_incomplete:
            self._coming[event.request] = (told, left)
        else:
            self._open[event.request] = told

    def _find(self, number: int) -> Told | None:
        told = self._open.get(number)
        if told is None and self._coming:
            coming = self._coming.get(number)
            return coming[0] if coming is not None else None
        return told

    def _sent(self, now_ms: float, action: Send) -> None:
        here = self._calls.get(action.server, 0)
        self._calls[action.server] = here + 1
        told = self._find(action.request)
        if told is not None and len(told.attempts) < self.MOST_ATTEMPTS:
            after = tenths(now_ms - told.at_ms)
            told.attempts.append([self._address_of(action.server), after, None, "out", here])

    def attempt(self, now_ms: float, event: AttemptEnded) -> None:
        """An attempt's end goes into the decisions."""
        here = self._calls.get(event.server, 0)
        if here > 1:
            self._calls[event.server] = here - 1
        else:
            self._calls.pop(event.server, None)
        told = self._find(event.request)
        if told is not None and event.attempt < len(told.attempts):
            spent = event.spent_ms if event.upstream_ms is None else event.upstream_ms
            row = told.attempts[event.attempt]
            row[2], row[3] = tenths(spent), WORDS[event.outcome]

    def forget(self, server: int) -> None:
        """An upstream is gone."""
        self._calls.pop(server, None)

    def over(self, now_ms: float, number: int, status: int) -> None:
        """A request has its answer, or nobody waits for one any more. Only the first word counts."""
        told = self._open.pop(number, None)
        if told is None:
            coming = self._coming.pop(number, None)
            if coming is None:
                return
            told = coming[0]
        self._ended(told, status, now_ms)


def ended_fields(told: Told, status: int, now_ms: float) -> dict[str, Any]:
    """What is told of a request that has ended."""
    fields: dict[str, Any] = {
        "id": told.trace.decode("latin-1"),
        "class": told.names[0],
        "tenant": told.names[1],
        "left_ms": tenths(told.left_ms),
    }
    if told.hint_ms is not None:
        fields["hint_ms"] = told.hint_ms
    if told.again:
        fields["again"] = True
    fields["at_ms"] = tenths(told.at_ms)
    fields["took_ms"] = tenths(now_ms - told.at_ms)
    fields["status"] = status
    fields["attempts"] = told.attempts
    return fields
