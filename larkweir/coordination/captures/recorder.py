"""Rules: each request's record, made of what the decisions hear and say, and the verdict that travels with it.

Every event goes through here to the decisions and every action comes back, unchanged. The verdict is made before the
decisions hear of the request; its record is handed on when it has ended, by the verdict as it is then. Nothing here
does input or output; the one clock is handed in. Times are milliseconds.
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

FIELD = b"X-Capture"
OWNER = "owner"  # to whom reports go: whoever owns the duty
_encode = msgspec.json.Encoder().encode


class CaptureBaggage(msgspec.Struct, eq=False):
    """One request's verdict on its way (`larkweir.core.ports.Baggage`)."""

    _scribe: CaptureRecorder
    number: int
    verdict: SamplingDecision
    route: str
    _text: bytes = b""  # what goes down,
    _threshold: int = -1  # and for which threshold
    lost: bool = False  # an attempt's answer never came, or came without what it should have brought

    def down(self) -> bytes:
        if self._threshold != self.verdict.threshold:
            self._threshold = self.verdict.threshold
            self._text = self._scribe.node.request_field(self.verdict).encode()
        return self._text

    def told(self, text: bytes | None, ran: bool) -> None:
        if text is not None:
            self._scribe.node.on_answer(self.verdict, text.decode("latin-1"))
        elif ran:
            self.lost = True

    def up(self) -> bytes:
        return self._scribe.node.answer_field(self.verdict).encode()

    def closed(self, status: int) -> None:
        self._scribe.closed(self, status)


class Record(msgspec.Struct, omit_defaults=True, gc=False):
    """A request's record, as it is written. Made for each request: a struct costs a third of a dict."""

    id: str
    cls: str = msgspec.field(name="class")
    tenant: str
    left_ms: float
    at_ms: float
    took_ms: float
    status: int
    attempts: list[list[Any]]
    hint_ms: float | None = None
    again: bool = False
    route: str = ""
    above: tuple[str, ...] = ()
    below: tuple[str, ...] = ()


class CaptureRecorder:
    """Decisions, and what they hear and say written down. A `BaggagePropagator` where budgets travel."""

    name = FIELD
    LATE_MS = 50.0  # past its deadline, by which a request has ended

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
        """`slow_ms`: a request that took as long is worth keeping; 0: none is for its time."""
        self.decisions = decisions
        self.node = node
        self.slow_ms = slow_ms
        self._now_ms = now_ms
        self._route_of = route_of
        self._rides: dict[int, CaptureBaggage] = {}  # of requests that the decisions have not heard of yet
        self.follow = Follow(settings, self._marks, trace_of, address_of, self._ended)
        self.follow.LATE_MS = self.LATE_MS

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event; returns the actions to carry out, in order, at the same time."""
        if isinstance(event, AttemptEnded):
            self.follow.attempt(now_ms, event)
        elif isinstance(event, RequestArrived):
            self.follow.arrived(now_ms, event)
            if self._rides:
                self._rides.pop(event.request, None)  # where too many are open to follow one more
        elif isinstance(event, TimerFired):  # of which there are the most, and most come to nothing
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

    # ------------------------------------------------ verdicts

    def ride(self, came: bytes | None, trace: bytes, event: RequestArrived, now_ms: float) -> CaptureBaggage:
        """The verdict that came with a request, or that is made here, for all hops."""
        found = self._rides[event.request] = self._judged(
            came, trace, event, now_ms, self.follow.names(event)
        )
        return found

    def _judged(
        self,
        came: bytes | None,
        trace: bytes,
        event: RequestArrived,
        now_ms: float,
        names: tuple[str, str],
    ) -> CaptureBaggage:
        route = self._route_of(event)
        verdict = None
        if came is not None:
            verdict = self.node.later_hop(came.decode("latin-1"), now_ms, trace)
        if verdict is None:
            verdict = self.node.first_hop(trace, route, names[0], names[1], now_ms)
        return CaptureBaggage(self, event.request, verdict, route)

    def _marks(
        self, trace: bytes, event: RequestArrived, now_ms: float, names: tuple[str, str]
    ) -> CaptureBaggage:
        found = self._rides.pop(event.request, None)
        return found if found is not None else self._judged(None, trace, event, now_ms, names)

    def closed(self, ride: CaptureBaggage, status: int) -> None:
        """A request's answer. Of some ends decisions hear nothing: its budget refused it, it is overdue, a fault."""
        now = self._now_ms()
        if self._rides.pop(ride.number, None) is not None:
            fields = {"id": ride.verdict.trace_id, "at_ms": tenths(now), "took_ms": 0.0, "status": status}
            fields |= {"attempts": [], "why": "budget"}
            above, below = ride.verdict.previous_hops, ride.verdict.next_hops
            for name, value in (("route", ride.route), ("above", above), ("below", below)):
                if value:
                    fields[name] = value
            self.node.record(ride.verdict, _encode(fields), now, False, False, False, ride.lost)
        elif status >= 500:
            self.follow.over(now, ride.number, status)

    # ------------------------------------------------ records

    def _ended(self, told: Told, status: int, now_ms: float) -> None:
        ride: CaptureBaggage = told.mark
        sent = 0
        for attempt in told.attempts:
            sent += attempt[3] != "moot"
        failed = status >= 500 and (sent > 0 or status != 503)  # a refusal that nobody saw is no trouble
        slow = 0.0 < self.slow_ms <= now_ms - told.at_ms
        verdict = ride.verdict
        record = Record(
            told.trace.decode("latin-1"),
            *told.names,
            tenths(told.left_ms),
            tenths(told.at_ms),
            tenths(now_ms - told.at_ms),
            status,
            told.attempts,
            told.hint_ms,
            told.again,
            ride.route,
            verdict.previous_hops,
            verdict.next_hops,
        )
        self.node.record(verdict, _encode(record), now_ms, failed, slow, sent > 1, ride.lost)
