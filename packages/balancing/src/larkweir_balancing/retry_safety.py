"""Decides where a request may be sent, and whether it may be sent again, from its attempts so far. Pure logic."""

from __future__ import annotations

import math
from dataclasses import dataclass

from larkweir_balancing.events import RequestArrived
from larkweir_balancing.outcomes import NEVER_RAN, Outcome
from larkweir_balancing.restored_trust import is_admitted
from larkweir_balancing.servers import Server
from larkweir_balancing.settings import Effect, Group, Settings


@dataclass(slots=True, eq=False, repr=False)
class Attempt:
    """One attempt of a request at a server."""

    server: Server
    cell: int
    sent_ms: float
    in_flight_before: int = 0  # own requests that were in flight there already
    connection_idle_ms: float | None = None  # how long its connection had been idle; None: it opens a new one
    limiter_round: int = 0  # the result of `ConcurrencyLimiter.round_of` when it was sent
    outcome: Outcome | None = None  # None: in flight
    is_counted: bool = False  # whether it counts as in flight: it may be running or waiting at its server


class Request:
    """A request, with the settings it arrived under. All rules on whether it may be sent or refused are here."""

    __slots__ = (
        "arrived_ms",
        "attempts",
        "body_incomplete",
        "class_index",
        "deadline_ms",
        "has_waited",
        "id",
        "ignores_zone",
        "in_flight",
        "is_answered",
        "max_attempts",
        "needs_idle_server",
        "probe_count",
        "probed_server",
        "request_class",
        "settings",
        "size",
        "useful_until_ms",
        "wake_ms",
    )

    def __init__(self, event: RequestArrived, settings: Settings, now_ms: float) -> None:
        self.id = event.request
        self.settings = settings
        self.class_index = event.class_index
        self.request_class = event.class_in(settings)
        self.arrived_ms = now_ms
        self.deadline_ms = now_ms + event.time_left_ms
        self.useful_until_ms = self.deadline_ms  # an answer after this has no value; set by the balancer
        self.attempts: list[Attempt] = []
        self.limit_attempts(event.attempts_left)
        self.in_flight = 0  # number of attempts in flight
        self.wake_ms = math.inf  # when its current timer fires; an earlier timer event is ignored
        self.is_answered = False  # a streamed response has started, or the request is finished
        self.probed_server: Server | None = None  # the server whose load report it waits for
        self.has_waited = False  # it has waited for a server at least once
        self.needs_idle_server = False  # may be sent only to a server that reports to be idle
        self.probe_count = 0  # probes since the last `begin_round`
        self.size = 1.0  # its cost hint, relative to the mean of its class
        self.body_incomplete = event.body_incomplete  # its last byte has not arrived yet
        self.ignores_zone = False  # samples all zones, although cross-zone traffic has a cost

    def limit_attempts(self, attempts_left: int | None) -> None:
        """Set `max_attempts` from the settings, the limit of the class and the attempts left, if those are limited."""
        most = min(self.settings.max_attempts, self.request_class.attempts or self.settings.max_attempts)
        self.max_attempts = most if attempts_left is None else min(most, len(self.attempts) + attempts_left)

    def may_have_run(self) -> list[Attempt]:
        """The attempts that may have run, including those that are in flight or cancelled."""
        return [a for a in self.attempts if a.outcome is None or a.outcome not in NEVER_RAN]

    def can_send_to(self, server: Server, now_ms: float) -> bool:
        """Whether the request may be sent to the server now, given the attempts that may have run."""
        if not server.ready:
            return False  # draining, gone or no longer listed
        if server.restored_trust is not None and not is_admitted(
            self.request_class, server.restored_trust, server.in_flight
        ):
            return False
        return self.can_attempt(now_ms) and (not self.attempts or self._is_in_group(server))

    def can_attempt(self, now_ms: float) -> bool:
        """Whether the request may be sent at all now, before a server is chosen."""
        if self.is_answered or now_ms >= self.deadline_ms or len(self.attempts) >= self.max_attempts:
            return False
        if self.in_flight and not self.settings.allows_hedging:
            return False
        return now_ms < self.write_by_ms()

    def write_by_ms(self) -> float:
        """The time before which a further attempt must be written.

        Servers drop duplicates of a keyed request for `memory_ms` after the first attempt that may have run. An unsafe
        request must not be sent again after such an attempt.
        """
        if not self.attempts or self.request_class.effect is Effect.SAFE or not (ran := self.may_have_run()):
            return math.inf
        memory_ms = self.request_class.memory_ms if self.request_class.effect is Effect.KEYED else 0.0
        return ran[0].sent_ms + memory_ms - self.settings.tick_ms

    def _is_in_group(self, server: Server) -> bool:
        if self.request_class.effect is not Effect.KEYED or self.request_class.group is Group.ALL:
            return True
        ran = self.may_have_run()
        cells = self.request_class.group is Group.ZONE or all(a.cell == server.cell for a in ran)
        return cells and all(a.server.zone == server.zone for a in ran)

    def can_refuse(self) -> bool:
        """Whether the request may be refused, which tells the client that a retry is harmless."""
        effect = self.request_class.effect
        harmless = effect is Effect.SAFE or (effect is Effect.KEYED and self.request_class.group is Group.ALL)
        return not self.is_answered and (harmless or not self.may_have_run())
