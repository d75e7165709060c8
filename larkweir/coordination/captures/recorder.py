"""Makes each request's record from the events and actions of the decisions, and its sampling decision. Pure logic.

Every event passes through here to the decisions, and every action comes back, unchanged. The sampling decision is made
before the decisions see the request; its record is handed on when the request has ended, under the sampling decision as
it is then. The clock is handed in; times are in milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    Event,
    Reconfigured,
    RequestArrived,
    Settings,
    TimerFired,
)
from larkweir_captures.node import Node
from larkweir_captures.propagation import SamplingDecision

from larkweir.core.ports import Decisions
from larkweir.logs.follow import Follow, Told, tenths

HEADER = b"X-Capture"
OWNER = "owner"  # the destination of reports: whichever process owns the duty
UNSENT_OUTCOME = "moot"  # in a record, of an attempt that was never sent
_encode = msgspec.json.Encoder().encode


class CaptureBaggage(msgspec.Struct, eq=False):
    """One request's sampling decision on its way through the tiers: a `larkweir.core.ports.Baggage`."""

    _recorder: CaptureRecorder
    number: int  # of the request
    decision: SamplingDecision
    route: str
    _text: bytes = b""  # the field of forwarded requests,
    _threshold: int = -1  # and the threshold that it states
    is_answer_lost: bool = False  # an attempt's answer is missing, or came without the field

    def down(self) -> bytes:
        """The field's value for an attempt."""
        if self._threshold != self.decision.threshold:
            self._threshold = self.decision.threshold
            self._text = self._recorder.node.request_field(self.decision).encode()
        return self._text

    def on_answer(self, text: bytes | None, ran: bool) -> None:
        """An attempt has ended, with this value in its answer. `ran`: it may have reached the next hop."""
        if text is not None:
            self._recorder.node.on_answer(self.decision, text.decode("latin-1"))
        elif ran:
            self.is_answer_lost = True

    def up(self) -> bytes:
        """The field's value in the final answer."""
        return self._recorder.node.answer_field(self.decision).encode()

    def closed(self, status: int) -> None:
        """The request has its final answer, or its client is gone."""
        self._recorder.on_closed(self, status)


class Record(msgspec.Struct, omit_defaults=True, gc=False):
    """A request's record, as it is written. One is made for each request: a struct costs a third of a dict."""

    id: str
    cls: str = msgspec.field(name="class")
    tenant: str
    left_ms: float
    at_ms: float
    took_ms: float
    status: int
    attempts: list[list[Any]]
    hint_ms: float | None = None
    is_retry: bool = msgspec.field(name="again", default=False)
    route: str = ""
    previous_hops: tuple[str, ...] = msgspec.field(name="above", default=())
    next_hops: tuple[str, ...] = msgspec.field(name="below", default=())


class CaptureRecorder:
    """The decisions, with each request recorded. A `BaggagePropagator` where budgets travel."""

    name = HEADER
    LATE_MS = 50.0  # after its deadline, by which a request has ended

    def __init__(
        self,
        decisions: Decisions,
        settings: Settings,
        node: Node,
        slow_ms: float,
        now_ms: Callable[[], float],
        trace_of: Callable[[int], bytes],
        address_of: Callable[[int], str],
        route_of: Callable[[RequestArrived], str],
    ) -> None:
        """`slow_ms`: the duration from which a request's trace is worth retaining; 0: none is for its duration.
        `trace_of`, `address_of`: a request's trace id and an upstream's address, by number.
        """
        self.decisions = decisions
        self.node = node
        self.slow_ms = slow_ms
        self._now_ms = now_ms
        self._route_of = route_of
        self._baggage: dict[int, CaptureBaggage] = {}  # of requests that the decisions have not seen yet
        self.follow = Follow(settings, self._on_followed, trace_of, address_of, self._on_ended)
        self.follow.LATE_MS = self.LATE_MS

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event. Returns the actions to carry out, in order, at the same time."""
        if isinstance(event, AttemptEnded):
            self.follow.attempt(now_ms, event)
        elif isinstance(event, RequestArrived):
            self.follow.arrived(now_ms, event)
            if self._baggage:
                self._baggage.pop(event.request, None)  # where too many are open to follow one more
        elif isinstance(event, TimerFired):  # the most frequent event, and most have no effect
            actions = self.decisions.handle(now_ms, event)
            if actions:
                self.follow.after(now_ms, event, actions)
            return actions
        else:
            self.follow.before(now_ms, event)
        actions = self.decisions.handle(now_ms, event)
        self.follow.after(now_ms, event, actions)
        if isinstance(event, Reconfigured):
            self.follow.take_names(event.settings)
        return actions

    # ------------------------------------------------ sampling decisions

    def baggage_for(
        self, received: bytes | None, trace: bytes, event: RequestArrived, now_ms: float
    ) -> CaptureBaggage:
        """The sampling decision that arrived with a request, or one made here, for all hops."""
        names = self.follow.names(event)
        found = self._baggage[event.request] = self._decide(received, trace, event, now_ms, names)
        return found

    def _decide(
        self,
        field: bytes | None,
        trace: bytes,
        event: RequestArrived,
        now_ms: float,
        names: tuple[str, str],
    ) -> CaptureBaggage:
        route = self._route_of(event)
        decision = None
        if field is not None:
            decision = self.node.later_hop(field.decode("latin-1"), now_ms, trace)
        if decision is None:
            decision = self.node.first_hop(trace, route, names[0], names[1], now_ms)
        return CaptureBaggage(self, event.request, decision, route)

    def _on_followed(
        self, trace: bytes, event: RequestArrived, now_ms: float, names: tuple[str, str]
    ) -> CaptureBaggage:
        found = self._baggage.pop(event.request, None)
        return found if found is not None else self._decide(None, trace, event, now_ms, names)

    # ------------------------------------------------ records

    def on_closed(self, baggage: CaptureBaggage, status: int) -> None:
        """A request has its answer. Rejections by its budget, deadlines and faults are not seen by the decisions."""
        now = self._now_ms()
        if self._baggage.pop(baggage.number, None) is not None:
            self._record_rejected(baggage, status, now)
        elif status >= 500:
            self.follow.over(now, baggage.number, status)

    def _record_rejected(self, baggage: CaptureBaggage, status: int, now_ms: float) -> None:
        """Record a request that its budget rejected, before the decisions saw it."""
        decision = baggage.decision
        fields = {"id": decision.trace_id, "at_ms": tenths(now_ms), "took_ms": 0.0, "status": status}
        fields |= {"attempts": [], "why": "budget"}
        hops = ("above", decision.previous_hops), ("below", decision.next_hops)
        for name, value in (("route", baggage.route), *hops):
            if value:
                fields[name] = value
        self.node.record(decision, _encode(fields), now_ms, lost=baggage.is_answer_lost)

    def _on_ended(self, on_answer: Told, status: int, now_ms: float) -> None:
        baggage: CaptureBaggage = on_answer.mark
        sent = 0
        for attempt in on_answer.attempts:
            sent += attempt[3] != UNSENT_OUTCOME
        # A rejection that no upstream saw is no failure.
        failed = status >= 500 and (sent > 0 or status != 503)
        slow = 0.0 < self.slow_ms <= now_ms - on_answer.at_ms
        decision = baggage.decision
        record = Record(
            on_answer.trace.decode("latin-1"),
            *on_answer.names,
            tenths(on_answer.left_ms),
            tenths(on_answer.at_ms),
            tenths(now_ms - on_answer.at_ms),
            status,
            on_answer.attempts,
            on_answer.hint_ms,
            on_answer.again,
            baggage.route,
            decision.previous_hops,
            decision.next_hops,
        )
        lost = baggage.is_answer_lost
        self.node.record(decision, _encode(record), now_ms, failed, slow, again=sent > 1, lost=lost)
