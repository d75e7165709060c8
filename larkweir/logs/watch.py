"""Rules: what a log tells of requests and upstreams, seen from where the decisions stand.

Every event goes through here to the decisions and every action comes back, unchanged. A part of the requests is told
when they end, drawn by their ids, so that all tiers and copies tell the same ones. Changes of upstreams are told
always. Nothing here does input or output or reads a clock. Times are milliseconds.

The fields that lines have are a promise (`docs/operators/logs.md`): one may be added, none changes its meaning.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from larkweir.core.ports import Decisions
from mulleinhitch import Balancer
from mulleinhitch.interface import (
    Action,
    AttemptEnded,
    ClientGone,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Outcome,
    Reconfigured,
    Refuse,
    RequestArrived,
    Send,
    ServerState,
    Settings,
)

Say = Callable[[str, dict[str, Any]], None]
SERVED, GONE, FAILED, REFUSED, OVERDUE = 200, 499, 502, 503, 504


class _Told:
    """A request that is to be told of."""

    __slots__ = ("at_ms", "attempts", "due_ms", "fields", "out")

    def __init__(self, at_ms: float, due_ms: float, fields: dict[str, Any]) -> None:
        self.at_ms = at_ms
        self.due_ms = due_ms
        self.fields = fields
        self.attempts: list[
            list[Any]
        ] = []  # upstream, after so long, for so long, how it ended, own calls it found
        self.out = 0


def drawn(trace: bytes, part: float) -> bool:
    """Whether a request with this id is of the part that is told of, at every tier alike."""
    return zlib.crc32(trace) < part * 4_294_967_296.0


class Watch:
    """Decisions, and what they hear and say told to a log."""

    MOST = 4_096  # requests that are followed at once; more are not told of
    MOST_NAMED = 20  # upstreams, and attempts, by name in one line
    LATE_MS = 1_000.0  # past its deadline, by which a request must have ended

    def __init__(
        self,
        decisions: Decisions,
        settings: Settings,
        part: float,
        trace_of: Callable[[int], bytes],
        address_of: Callable[[int], str],
        say: Say,
    ) -> None:
        """`part` of the requests is told of; `trace_of` a request's id, `address_of` where an upstream listens."""
        self.decisions = decisions
        self._fleet = decisions.fleet if isinstance(decisions, Balancer) else None
        self._part = part
        self._trace_of = trace_of
        self._address_of = address_of
        self._say = say
        self._open: dict[int, _Told] = {}
        self._states: dict[int, ServerState] = {}
        self._calls: dict[int, int] = {}  # own calls out, by upstream
        self._ejected: set[int] = set()
        self._take_names(settings)

    def _take_names(self, settings: Settings) -> None:
        self._classes = [item.name for item in settings.classes]
        self._tenants = [item.name for item in settings.tenants]

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event; returns the actions to carry out, in order, at the same time."""
        if isinstance(event, RequestArrived):
            self._arrived(now_ms, event)
        elif isinstance(event, AttemptEnded):
            self._attempt(now_ms, event)
        actions = self.decisions.handle(now_ms, event)
        for action in actions:
            if isinstance(action, Send):
                self._sent(now_ms, action)
            elif isinstance(action, Refuse):
                self._over(now_ms, action.request, REFUSED)
            elif isinstance(action, Fail):
                self._over(now_ms, action.request, FAILED)
        if isinstance(event, AttemptEnded):
            if event.final and event.outcome is Outcome.OK:
                self._over(now_ms, event.request, SERVED)
            self._look(event)
        elif isinstance(event, ClientGone):
            self._over(now_ms, event.request, GONE)
        elif isinstance(event, ListUpdate):
            self._listed(event)
        elif isinstance(event, Reconfigured):
            self._take_names(event.settings)
        if self._ejected:
            self._back()
        return actions

    # ------------------------------------------------ requests

    def _arrived(self, now_ms: float, event: RequestArrived) -> None:
        while self._open:  # whom the deadline has ended, of which decisions hear nothing
            number, oldest = next(iter(self._open.items()))
            if now_ms <= oldest.due_ms + self.LATE_MS:
                break
            self._over(oldest.due_ms, number, OVERDUE)
        if self._part <= 0.0 or len(self._open) >= self.MOST:
            return
        trace = self._trace_of(event.request)
        if not drawn(trace, self._part):
            return
        tenants = self._tenants
        fields: dict[str, Any] = {
            "id": trace.decode("latin-1"),
            "class": self._classes[event.class_index] if event.class_index < len(self._classes) else "",
            "tenant": tenants[event.tenant] if 0 <= event.tenant < len(tenants) else "",
            "left_ms": round(event.time_left_ms, 1),
        }
        if event.expected_ms is not None:
            fields["hint_ms"] = event.expected_ms
        if event.client_retry:
            fields["again"] = True
        self._open[event.request] = _Told(now_ms, now_ms + event.time_left_ms, fields)

    def _sent(self, now_ms: float, action: Send) -> None:
        here = self._calls.get(action.server, 0)
        self._calls[action.server] = here + 1
        told = self._open.get(action.request)
        if told is not None and len(told.attempts) < self.MOST_NAMED:
            after = round(now_ms - told.at_ms, 1)
            told.attempts.append([self._address_of(action.server), after, None, "out", here])

    def _attempt(self, now_ms: float, event: AttemptEnded) -> None:
        here = self._calls.get(event.server, 0)
        if here > 1:
            self._calls[event.server] = here - 1
        else:
            self._calls.pop(event.server, None)
        told = self._open.get(event.request)
        if told is not None and event.attempt < len(told.attempts):
            spent = event.spent_ms if event.upstream_ms is None else event.upstream_ms
            told.attempts[event.attempt][2:4] = [round(spent, 1), event.outcome.name.lower()]

    def _over(self, now_ms: float, number: int, status: int) -> None:
        told = self._open.pop(number, None)
        if told is None:
            return
        took = round(now_ms - told.at_ms, 1)
        fields = {"at_ms": round(told.at_ms, 1), "took_ms": took, "status": status, "attempts": told.attempts}
        self._say("request", told.fields | fields)

    # ------------------------------------------------ upstreams

    def _look(self, event: AttemptEnded) -> None:
        fleet = self._fleet
        if fleet and fleet.servers.get(event.server) in fleet.ejected and event.server not in self._ejected:
            self._ejected.add(event.server)
            self._say(
                "upstream",
                {
                    "upstream": self._address_of(event.server),
                    "state": "left_out",
                    "why": event.outcome.name.lower(),
                },
            )

    def _back(self) -> None:
        assert self._fleet is not None
        for number in sorted(self._ejected):
            if self._fleet.servers.get(number) not in self._fleet.ejected:
                self._ejected.discard(number)
                self._say("upstream", {"upstream": self._address_of(number), "state": "back"})

    def _listed(self, event: ListUpdate) -> None:
        if event.kind in (ListKind.FAILED, ListKind.PROOF):
            return
        now = {entry.server: entry.state for entry in event.entries}
        if event.kind in (ListKind.FULL, ListKind.CACHED):
            gone = [number for number in self._states if number not in now]
            now |= dict.fromkeys(gone, ServerState.GONE)
        changed = {
            number: state
            for number, state in now.items()
            if self._states.get(number, ServerState.GONE) is not state
        }
        for number, state in changed.items():
            if state is ServerState.GONE:
                self._states.pop(number, None)
                self._calls.pop(number, None)
            else:
                self._states[number] = state
        if changed:
            named = [
                [self._address_of(number), state.name.lower()]
                for number, state in list(changed.items())[: self.MOST_NAMED]
            ]
            ready = sum(state is ServerState.READY for state in self._states.values())
            self._say(
                "list",
                {
                    "kind": event.kind.value,
                    "version": event.version,
                    "ready": ready,
                    "draining": len(self._states) - ready,
                    "changes": len(changed),
                    "changed": named,
                },
            )
