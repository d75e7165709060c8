"""Wraps a balancer's decisions with storm handling: all events and actions pass through here.

It has the interface of `Balancer` and changes three things only: which requests are admitted, but not how many; the
wait that a refusal advises; and how far the window opens when servers return. It does no input or output and reads no
clock. Times are milliseconds.
"""

from __future__ import annotations

from collections.abc import Callable

from larkweir_balancing import Balancer
from larkweir_balancing.concurrency_limiter import Verdict
from larkweir_balancing.interface import (
    Action,
    AttemptEnded,
    ClientGone,
    Event,
    Fail,
    ListUpdate,
    Outcome,
    Reconfigured,
    Refuse,
    RequestArrived,
    Send,
)

from larkweir.storms.storm import Storm


class _OpenRequest:
    """A request that has no final answer yet, or still has attempts in flight."""

    __slots__ = ("client", "cls", "in_flight", "is_over", "sends")

    def __init__(self, client: int, cls: int) -> None:
        self.client = client
        self.cls = cls
        self.in_flight = 0
        self.sends = 0
        self.is_over = False


class StormBalancer:
    """A balancer's decisions, adjusted in a storm."""

    COLD_CHECK_MS = 250.0  # interval at which the capacity of cold servers is checked

    def __init__(self, balancer: Balancer, storm: Storm, fingerprint_of: Callable[[int], int]) -> None:
        """`fingerprint_of` computes the fingerprint of an open request, or 0 if it has none. It is called only while
        `Storm.needs_fingerprints` holds, and for refused requests.
        """
        self._fingerprint_of = fingerprint_of
        self.balancer = balancer
        self.storm = storm
        self._open: dict[int, _OpenRequest] = {}
        self._in_flight = 0
        self._next_count_ms = 0.0
        self._now_ms = 0.0
        self._tenant = 0
        if not balancer.settings.tier:  # inner tiers refuse nobody: what the first tier admitted is served
            storm.set_window(balancer.limiter)
            balancer.limiter.arbiter = self._arbiter

    def _arbiter(self, cls: int, verdict: Verdict, waiting: int) -> Verdict:
        storm = self.storm
        if verdict is Verdict.WAIT:
            # The queue has its own order by worth. While it is full, it takes only preferred requests.
            room = waiting < self.balancer.limiter.window
            preferred = storm.decide(self._now_ms, cls, self._tenant, True, swaps=False)
            return Verdict.WAIT if room or preferred else Verdict.REFUSE
        let_in = storm.decide(self._now_ms, cls, self._tenant, verdict is Verdict.GO)
        return Verdict.GO if let_in else Verdict.REFUSE

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        """Handle one event; returns the actions to carry out now, in order."""
        self._now_ms = now_ms
        storm = self.storm
        if isinstance(event, RequestArrived):
            self._tenant = event.tenant
            client = self._fingerprint_of(event.request) if storm.needs_fingerprints(now_ms) else 0
            storm.arrive(now_ms, event.tenant, event.client_retry, client)
            self._open[event.request] = _OpenRequest(client, event.class_index)
        elif isinstance(event, AttemptEnded):
            self._ended(now_ms, event)
        elif isinstance(event, ClientGone):
            self._close(event.request)
        elif isinstance(event, Reconfigured):
            storm.configure(event.settings)
        self.balancer.slow_start.earn_fraction = storm.usual_share
        actions = self.balancer.handle(now_ms, event)
        for action in actions:
            if isinstance(action, Send):
                item = self._open.get(action.request)
                if item is not None:
                    item.in_flight += 1
                    item.sends += 1
                    self._in_flight += 1
                    if item.sends == 1:
                        storm.sent(now_ms, self._in_flight)
            elif isinstance(action, Refuse):
                storm.has_refused = True
                item = self._open.get(action.request)
                if action.wait_ms > 0.0 and item is not None:
                    client = item.client or self._fingerprint_of(action.request)
                    action.wait_ms = storm.advised_wait_ms(now_ms, client)
                self._close(action.request)
            elif isinstance(action, Fail):
                self._close(action.request)
        if isinstance(event, ListUpdate) or (storm.signs.cold and now_ms >= self._next_count_ms):
            self._count_servers(now_ms)
        return actions

    def _ended(self, now_ms: float, event: AttemptEnded) -> None:
        item = self._open.get(event.request)
        if item is None:
            return
        item.in_flight -= 1
        self._in_flight -= 1
        spent = event.spent_ms if event.upstream_ms is None else event.upstream_ms
        self.storm.call_ended(now_ms, event.outcome, spent, item.cls)
        if event.outcome is Outcome.OK:
            self.storm.served(now_ms, item.client)
        if event.is_final or event.outcome is Outcome.OK or item.is_over:
            self._close(event.request)

    def _close(self, request: int) -> None:
        """Close a request. It is kept until its last attempt in flight has ended."""
        item = self._open.get(request)
        if item is not None:
            item.is_over = True
            if not item.in_flight:
                del self._open[request]

    def _count_servers(self, now_ms: float) -> None:
        """Count the servers that take requests, and their capacity."""
        self._next_count_ms = now_ms + self.COLD_CHECK_MS
        slow = self.balancer.slow_start
        ready = cold = 0
        share = 0.0
        for server in self.balancer.table.servers.values():
            if server.ready:
                ready += 1
                if slow.is_cold(server, now_ms):
                    cold += 1
                    share += slow.capacity_fraction(server, now_ms)
                else:
                    share += 1.0
        self.storm.listed(now_ms, ready, cold, share / ready if ready else 1.0)

    def tick(self, now_ms: float) -> None:
        """Advance the storm state when no event arrives."""
        self._now_ms = now_ms
        if self.storm.signs.cold and now_ms >= self._next_count_ms:
            self._count_servers(now_ms)
        self.storm.tick(now_ms)
