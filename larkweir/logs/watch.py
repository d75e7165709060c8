"""What a log tells of requests and upstreams, seen from where the decisions stand.

Every event goes through here to the decisions and every action comes back, unchanged. A part of the requests is told
when they end, drawn by their ids, so that all tiers and copies tell the same ones. Changes of upstreams are told
always. Nothing here does input or output or reads a clock. Times are milliseconds.

The fields that lines have are a promise (`docs/operators/logs.md`): one may be added, none changes its meaning.
"""

from __future__ import annotations

import zlib
from collections.abc import Callable
from typing import Any

from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    Event,
    ListKind,
    ListUpdate,
    Reconfigured,
    RequestArrived,
    ServerState,
    Settings,
)

from larkweir.core.ports import Decisions
from larkweir.logs.follow import Follow, Told, ended_fields

Say = Callable[[str, dict[str, Any]], None]


def drawn(trace: bytes, part: float) -> bool:
    """Whether a request with this id is of the part that is told of, at every tier alike."""
    return zlib.crc32(trace) < part * 4_294_967_296.0


class Watch:
    """Decisions, and what they hear and say told to a log."""

    MOST_NAMED = 20  # upstreams by name in one line

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
        self._fleet = decisions.table if isinstance(decisions, Balancer) else None
        self._part = part
        self._address_of = address_of
        self._say = say
        self._follow = Follow(settings, self._marks, trace_of, address_of, self._over)
        self._states: dict[int, ServerState] = {}
        self._ejected: set[int] = set()

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Take one event; returns the actions to carry out, in order, at the same time."""
        self._follow.before(now_ms, event)
        actions = self.decisions.handle(now_ms, event)
        self._follow.after(now_ms, event, actions)
        if isinstance(event, AttemptEnded):
            self._look(event)
        elif isinstance(event, ListUpdate):
            self._listed(event)
        elif isinstance(event, Reconfigured):
            self._follow.take_names(event.settings)
        if self._ejected:
            self._back()
        return actions

    def _marks(
        self, trace: bytes, event: RequestArrived, now_ms: float, names: tuple[str, str]
    ) -> bool | None:
        return True if self._part > 0.0 and drawn(trace, self._part) else None

    def _over(self, told: Told, status: int, now_ms: float) -> None:
        self._say("request", ended_fields(told, status, now_ms))

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
                self._follow.forget(number)
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
