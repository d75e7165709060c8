"""Rules: each request's record, made of what the decisions hear and say, and the verdict that travels with it.

Every event goes through here to the decisions and every action comes back, unchanged. The verdict is made before the
decisions hear of the request; its record is handed on when it has ended, by the verdict as it is then. Nothing here
does input or output; the one clock is handed in. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import msgspec
from larkweir_captures.node import Node
from larkweir_captures.thresholds import Verdict

from larkweir.core.ports import Decisions
from larkweir.logs.follow import Follow, Told, ended_fields
from mulleinhitch.interface import Action, Event, Reconfigured, RequestArrived, Settings

FIELD = b"X-Capture"
OWNER = "owner"  # to whom reports go: whoever owns the duty
_encode = msgspec.json.Encoder().encode


class Ride:
    """One request's verdict on its way (`larkweir.core.ports.Ride`)."""

    __slots__ = ("_scribe", "_text", "_threshold", "fields", "lost", "number", "route", "verdict")

    def __init__(self, scribe: Scribe, number: int, verdict: Verdict, route: str) -> None:
        self._scribe = scribe
        self._text, self._threshold = b"", -1  # what goes down, and for which threshold
        self.number = number
        self.verdict = verdict
        self.route = route
        self.lost = False  # an attempt's answer never came, or came without what it should have brought

    def down(self) -> bytes:
        if self._threshold != self.verdict.threshold:
            self._threshold = self.verdict.threshold
            self._text = self._scribe.node.down(self.verdict).encode()
        return self._text

    def told(self, text: bytes | None, ran: bool) -> None:
        if text is not None:
            self._scribe.node.settle(self.verdict, text.decode("latin-1"))
        elif ran:
            self.lost = True

    def up(self) -> bytes:
        return self._scribe.node.up(self.verdict).encode()

    def closed(self, status: int) -> None:
        self._scribe.closed(self, status)


class Scribe:
    """Decisions, and what they hear and say written down. A `Rider` where budgets travel."""

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
        self._rides: dict[int, Ride] = {}  # of requests that the decisions have not heard of yet
        self.follow = Follow(settings, self._marks, trace_of, address_of, self._ended)
        self.follow.LATE_MS = self.LATE_MS

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event; returns the actions to carry out, in order, at the same time."""
        self.follow.before(now_ms, event)
        if isinstance(event, RequestArrived):
            self._rides.pop(event.request, None)  # where too many are open to follow one more
        actions = self.decisions.handle(now_ms, event)
        self.follow.after(now_ms, event, actions)
        if isinstance(event, Reconfigured):
            self.follow.take_names(event.settings)
        return actions

    # ------------------------------------------------ verdicts

    def ride(self, came: bytes | None, trace: bytes, event: RequestArrived, now_ms: float) -> Ride:
        """The verdict that came with a request, or that is made here, for all hops."""
        found = self._rides[event.request] = self._judged(came, trace, event, now_ms)
        return found

    def _judged(self, came: bytes | None, trace: bytes, event: RequestArrived, now_ms: float) -> Ride:
        route = self._route_of(event)
        verdict = None
        if came is not None:
            verdict = self.node.next_hop(came.decode("latin-1"), now_ms, trace)
        if verdict is None:
            verdict = self.node.first_hop(trace, route, *self.follow.names(event), now_ms)
        return Ride(self, event.request, verdict, route)

    def _marks(self, trace: bytes, event: RequestArrived, now_ms: float) -> Ride:
        if event.request in self._rides:
            return self._rides.pop(event.request)
        return self._judged(None, trace, event, now_ms)

    def closed(self, ride: Ride, status: int) -> None:
        """A request's answer. Of some ends decisions hear nothing: its budget refused it, it is overdue, a fault."""
        now = self._now_ms()
        if self._rides.pop(ride.number, None) is not None:
            fields: dict[str, Any] = {"id": ride.verdict.trace, "at_ms": round(now, 1), "took_ms": 0.0}
            self._record(
                ride, fields | {"status": status, "attempts": [], "why": "budget"}, now, False, False, 0
            )
        elif status >= 500:
            self.follow.over(now, ride.number, status)

    # ------------------------------------------------ records

    def _ended(self, told: Told, status: int, now_ms: float) -> None:
        ride: Ride = told.mark
        sent = 0
        for attempt in told.attempts:
            sent += attempt[3] != "moot"
        failed = status >= 500 and (sent > 0 or status != 503)  # a refusal that nobody saw is no trouble
        slow = 0.0 < self.slow_ms <= now_ms - told.at_ms
        self._record(ride, ended_fields(told, status, now_ms), now_ms, failed, slow, sent)

    def _record(
        self, ride: Ride, fields: dict[str, Any], now_ms: float, failed: bool, slow: bool, sent: int
    ) -> None:
        verdict = ride.verdict
        if ride.route:
            fields["route"] = ride.route
        if verdict.above:
            fields["above"] = verdict.above
        if verdict.below:
            fields["below"] = verdict.below
        self.node.record(verdict, _encode(fields), now_ms, failed, slow, sent > 1, ride.lost)
