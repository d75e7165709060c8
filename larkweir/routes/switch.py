"""Combines the balancers of several pools behind the single interface that the dispatcher uses.

A request is assigned to one pool at a time, and its events go to that pool's balancer. Events about an upstream go to
every pool that contains it.

An upstream may be in several pools. Each of them then counts the calls that the others have in flight there, so that no
pool takes an upstream for idle that another pool has filled. During slow start each pool limits an upstream to a
fraction of the pool's own traffic, so that all pools together send it no more than a single pool would.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field, replace
from typing import Any, NamedTuple

from larkweir_balancing import Balancer
from larkweir_balancing.interface import (
    NEVER_RAN,
    Action,
    AnswerStarted,
    AttemptEnded,
    Cancel,
    ClientGone,
    CloseIdle,
    Effect,
    Event,
    Fail,
    ListKind,
    ListUpdate,
    Log,
    Outcome,
    PeerHealthReport,
    PeerMessage,
    Probe,
    ProbeEnded,
    Reconfigured,
    Refuse,
    RequestArrived,
    RequestBodyReceived,
    Send,
    ServerEntry,
    ServerState,
    SetTimer,
    Settings,
    TimerFired,
)

from larkweir.routes.router import Choice

LIST_COOKIE = 1 << 40  # timer cookie of the list requests; above every request number

Filter = Callable[[Iterable[ServerEntry]], list[ServerEntry]]


@dataclass(slots=True)
class Pool:
    """One pool: its balancer, and the upstreams of the list that belong to it."""

    name: str
    decisions: Balancer
    filter: Filter  # selects the entries of this pool from the complete list
    draining: bool = False  # no route uses the pool any more
    requests: int = 0
    # The entries that the pool's balancer knows, by upstream number.
    known_entries: dict[int, ServerEntry] = field(default_factory=dict)
    # Upstreams whose number of calls from other pools has changed since the balancer was last updated.
    stale_counts: set[int] = field(default_factory=set)


class ActiveRequest:
    """An open request and the pool that it is assigned to."""

    __slots__ = (
        "arrived",
        "attempts_sent",
        "choice",
        "deadline_ms",
        "first_attempt",
        "in_flight",
        "may_have_run",
        "pool",
        "senders",
    )

    def __init__(self, pool: Pool, choice: Choice, arrived: RequestArrived, now_ms: float) -> None:
        self.pool = pool
        self.choice = choice
        self.arrived = arrived
        self.deadline_ms = now_ms + arrived.time_left_ms
        self.attempts_sent = 0  # by all pools together
        self.first_attempt = 0  # number of the first attempt of the current pool
        self.in_flight = 0
        self.may_have_run = False  # whether an upstream may have executed an attempt
        self.senders: dict[int, Pool] = {}  # by the number of the attempt in flight


class PendingGeneration(NamedTuple):
    """A configuration that takes effect with the next `Reconfigured` event."""

    pools: dict[str, Pool]
    settings: dict[str, Settings]
    removed: list[Pool]


class Switch:
    """Implements `larkweir.core.ports.Decisions` for several pools.

    `on_request_ended` is called once for each answered request that has a route, with its choice, whether it failed,
    and its duration in milliseconds.
    """

    def __init__(self, pools: dict[str, Pool], main: str) -> None:
        self.pools = pools
        self.main = main  # the pool that requests the list of upstreams, where it must be requested
        self.entries: dict[int, ServerEntry] = {}  # the complete list, as last received
        self.pools_by_server: dict[int, list[Pool]] = {}
        self._requests: dict[int, ActiveRequest] = {}
        self._probes: dict[int, deque[Pool]] = {}
        # Calls in flight, by upstream and by the `id` of the pool.
        self._in_flight: dict[int, dict[int, int]] = {}
        self._version = 0
        self.list_received = False  # whether a complete list has been received
        self.on_request_ended: Callable[[Choice, bool, float], None] = lambda choice, failed, spent_ms: None
        self.pending_generation: PendingGeneration | None = None
        self._list_deferred = False  # a list was received that the pools get with the pending configuration
        self.draining_pools: list[Pool] = []  # pools without a route that still have requests
        self.now = 0.0

    # ------------------------------------------------ events from the dispatcher

    def handle(self, now_ms: float, event: Event) -> list[Action]:
        self.now = now_ms
        if isinstance(event, RequestArrived):
            return self._arrived(event)
        if isinstance(event, AttemptEnded):
            return self._attempt_ended(event)
        if isinstance(event, TimerFired):
            return self._timer(event)
        if isinstance(event, ListUpdate):
            return self._list(event)
        if isinstance(event, AnswerStarted | RequestBodyReceived | ClientGone):
            return self._of_request(event)
        if isinstance(event, PeerHealthReport):
            listing_pools = list(self.pools_by_server.get(event.server, ()))
            return [
                action
                for pool in listing_pools
                for action in self._translate_actions(pool, self._forward(pool, event))
            ]
        if isinstance(event, ProbeEnded):
            asked = self._probes.get(event.server)
            if not asked:
                return []
            pool = asked.popleft()
            if not asked:
                del self._probes[event.server]
            return self._translate_actions(pool, self._forward(pool, event))
        if isinstance(event, Reconfigured):
            pending_generation, self.pending_generation = self.pending_generation, None
            return [] if pending_generation is None else self._reconfigure(pending_generation)
        assert isinstance(event, PeerMessage)
        return []

    def _arrived(self, event: RequestArrived) -> list[Action]:
        choice = event.choice
        if not isinstance(choice, Choice):
            choice = Choice("", (self.main,))
        pool = self._pool(choice)
        if pool is None:  # a reload has removed all of its pools since the route was chosen
            return [Refuse(event.request)]
        choice.started_ms, choice.cls = self.now, event.class_index
        active = ActiveRequest(pool, choice, event, self.now)
        self._requests[event.request] = active
        pool.requests += 1
        reserved = self._reserved(choice)
        if reserved:
            event = replace(event, attempts_left=self._share(pool, active, reserved))
        return self._translate_actions(pool, self._forward(pool, event), active)

    def _reserved(self, choice: Choice) -> int:
        """The number of attempts reserved for the remaining fallback pools: one each, so that each gets a try."""
        return sum(name in self.pools for name in choice.pools[choice.position + 1 :])

    def _share(self, pool: Pool, active: ActiveRequest, reserved: int) -> int:
        """How many of the remaining attempts the current pool may make, without the `reserved` ones."""
        left = pool.decisions.settings.max_attempts - active.attempts_sent
        if active.arrived.attempts_left is not None:
            left = min(left, active.arrived.attempts_left - active.attempts_sent)
        return max(1, left - reserved) if left > 0 else 0

    def _pool(self, choice: Choice) -> Pool | None:
        """The first remaining pool of the choice that still exists."""
        while choice.position < len(choice.pools):
            pool = self.pools.get(choice.pools[choice.position])
            if pool is not None:
                return pool
            choice.position += 1
        return None

    def _attempt_ended(self, event: AttemptEnded) -> list[Action]:
        active = self._requests.get(event.request)
        if active is None:
            return []
        sender = active.senders.pop(event.attempt, active.pool)
        self._count(event.server, sender, -1)
        active.in_flight -= 1
        active.may_have_run = active.may_have_run or event.outcome not in NEVER_RAN
        if event.outcome is Outcome.OK:
            self._report_outcome(active, False)
        pool = active.pool
        number = event.attempt - active.first_attempt
        if number >= 0:
            forwarded = event if not active.first_attempt else replace(event, attempt=number)
            if event.attempts_left is not None and (reserved := self._reserved(active.choice)):
                forwarded = replace(forwarded, attempts_left=max(0, event.attempts_left - reserved))
            actions = self._translate_actions(pool, self._forward(pool, forwarded), active)
        else:
            actions = []
        self._forget_if_finished(event.request, active)
        return actions

    def _of_request(self, event: AnswerStarted | RequestBodyReceived | ClientGone) -> list[Action]:
        active = self._requests.get(event.request)
        if active is None:
            return []
        forwarded: Event = event
        if isinstance(event, AnswerStarted):
            self._report_outcome(active, False)
            if active.first_attempt:
                forwarded = replace(event, attempt=event.attempt - active.first_attempt)
        elif isinstance(event, RequestBodyReceived):
            active.arrived.body_incomplete = False
            active.deadline_ms = self.now + active.arrived.time_left_ms
        actions = self._translate_actions(active.pool, self._forward(active.pool, forwarded), active)
        if isinstance(event, ClientGone):
            active.choice.route = ""  # the outcome is unknown, so it is not reported
        self._forget_if_finished(event.request, active)
        return actions

    def _forget_if_finished(self, number: int, active: ActiveRequest) -> None:
        """Forget a request that its pool has forgotten and that has no attempt in flight."""
        if (
            not active.in_flight
            and number not in active.pool.decisions.requests
            and self._requests.get(number) is active
        ):
            del self._requests[number]
            self._release(active.pool)

    def _release(self, pool: Pool) -> None:
        pool.requests -= 1
        if pool.draining and not pool.requests and pool in self.draining_pools:
            self.draining_pools.remove(pool)
            self._remove_pool(pool)

    def _report_outcome(self, active: ActiveRequest, failed: bool) -> None:
        """Report the outcome of an answered request; later calls for the same request have no effect."""
        choice, active.choice = active.choice, Choice("", active.choice.pools)
        if choice.route:
            self.on_request_ended(choice, failed, self.now - choice.started_ms)

    def _timer(self, event: TimerFired) -> list[Action]:
        if event.cookie == LIST_COOKIE:
            pool = self.pools[self.main]
            return self._translate_actions(pool, self._forward(pool, event))
        active = self._requests.get(event.cookie)
        if active is None:
            return []
        actions = self._translate_actions(active.pool, self._forward(active.pool, event), active)
        self._forget_if_finished(event.cookie, active)
        return actions

    # ------------------------------------------------ actions of a pool

    def _translate_actions(
        self, pool: Pool, actions: list[Action], active: ActiveRequest | None = None
    ) -> list[Action]:
        """Convert the actions of a pool to those that the dispatcher carries out."""
        found: list[Action] = []
        for action in actions:
            if isinstance(action, Send):
                request = self._requests[action.request]
                request.attempts_sent += 1
                request.in_flight += 1
                request.senders[request.attempts_sent - 1] = pool
                self._count(action.server, pool, 1)
                found.append(action)
            elif isinstance(action, Refuse):
                found += self._refused(action)
            elif isinstance(action, Fail):
                request = self._requests[action.request]
                self._report_outcome(request, True)
                found.append(action)
                self._forget_if_finished(action.request, request)
            elif isinstance(action, Cancel):
                request = self._requests[action.request]
                found.append(
                    Cancel(action.request, action.attempt + request.first_attempt)
                    if request.first_attempt
                    else action
                )
            elif isinstance(action, Probe):
                self._probes.setdefault(action.server, deque()).append(pool)
                found.append(action)
            elif isinstance(action, CloseIdle):
                for other in self.pools_by_server.get(action.server, ()):
                    if other is not pool:
                        other.decisions.on_connections_closed(action.server)
                found.append(action)
            elif isinstance(action, SetTimer | Log) or pool.name == self.main:
                found.append(action)
        return found

    def _refused(self, action: Refuse) -> list[Action]:
        """Pass a refused request on to its next pool, if it is safe or no attempt may have run; else refuse it."""
        active = self._requests[action.request]
        choice = active.choice
        left = active.deadline_ms - self.now
        safe = active.arrived.class_in(active.pool.decisions.settings).effect is Effect.SAFE
        if (
            (safe or not active.may_have_run)
            and not active.in_flight
            and left > 0.0
            and not active.arrived.body_incomplete
        ):
            choice.position += 1
            pool = self._pool(choice)
            if pool is not None:
                before = active.pool
                active.pool, active.first_attempt = pool, active.attempts_sent
                pool.requests += 1
                self._release(before)
                share = self._share(pool, active, self._reserved(choice))
                if share:
                    again = replace(active.arrived, time_left_ms=left, attempts_left=share)
                    return self._translate_actions(pool, self._forward(pool, again), active)
        return self._give_up(action, active)

    def _give_up(self, action: Refuse, active: ActiveRequest) -> list[Action]:
        self._report_outcome(active, True)
        self._forget_if_finished(action.request, active)
        return [action]

    # ------------------------------------------------ the list of upstreams

    def _list(self, event: ListUpdate) -> list[Action]:
        if event.kind is ListKind.FAILED:
            pool = self.pools[self.main]
            return self._translate_actions(pool, self._forward(pool, event))
        is_full_list = event.kind in (ListKind.FULL, ListKind.CACHED)
        if is_full_list:
            self.entries = {}
            self.list_received = True
        for entry in event.entries:
            if entry.state is ServerState.GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        self._version = event.version
        if self.pending_generation is not None:
            # The pools get the list together with the configuration that it belongs to. A pool's reaction to a list
            # may let a waiting request in; its class would be an index into the new settings while the pools still
            # have the old ones.
            self._list_deferred = True
            return []
        actions: list[Action] = []
        for pool in (*self.pools.values(), *self.draining_pools):
            actions += self._relist(pool, event.kind)
        return actions

    def _relist(self, pool: Pool, kind: ListKind) -> list[Action]:
        """Send a pool its entries of the list: all of them if the list is complete, else those that have changed."""
        own_entries = {entry.server: entry for entry in pool.filter(self.entries.values())}
        gone = [number for number in pool.known_entries if number not in own_entries]
        for number in gone:
            self._remove_member(number, pool)
        for number in own_entries:
            if number not in pool.known_entries:
                self._add_member(number, pool)
        if kind in (ListKind.FULL, ListKind.CACHED):
            entries = list(own_entries.values())
        else:
            entries = [
                entry for number, entry in own_entries.items() if pool.known_entries.get(number) != entry
            ]
            entries += [ServerEntry(number, ServerState.GONE) for number in gone]
        pool.known_entries = own_entries
        if not entries and kind is ListKind.PROOF:
            return []
        actions = self._forward(pool, ListUpdate(kind, self._version, entries))
        # Other pools may already have calls in flight at upstreams that are new to this pool or announced again.
        pool.stale_counts.update(number for number in own_entries if number in self._in_flight)
        return self._translate_actions(pool, actions)

    def _count(self, server: int, pool: Pool, change: int) -> None:
        """Update the number of calls of a pool in flight at an upstream, and mark the other pools' counts stale."""
        counts = self._in_flight.setdefault(server, {})
        left = counts.get(id(pool), 0) + change
        if left > 0:
            counts[id(pool)] = left
        else:
            counts.pop(id(pool), None)
            if not counts:
                del self._in_flight[server]
        for other in self.pools_by_server.get(server, ()):
            if other is not pool:
                other.stale_counts.add(server)  # updated before the next event of that pool

    def _forward(self, pool: Pool, event: Event) -> list[Action]:
        """Pass an event to a pool's balancer, after updating the counts of other pools' calls."""
        if pool.stale_counts:
            self._update_counts(pool)
        return pool.decisions.handle(self.now, event)

    def _update_counts(self, pool: Pool) -> None:
        for number in pool.stale_counts:
            counts = self._in_flight.get(number, {})
            pool.decisions.set_other_in_flight(
                number, sum(counts.values()) - counts.get(id(pool), 0), self.now
            )
        pool.stale_counts.clear()

    def update_all_counts(self) -> None:
        """Bring the counts of all pools up to date, so that they can be inspected."""
        for pool in (*self.pools.values(), *self.draining_pools):
            self._update_counts(pool)

    def _add_member(self, number: int, pool: Pool) -> None:
        listing_pools = self.pools_by_server.setdefault(number, [])
        if pool not in listing_pools:
            listing_pools.append(pool)

    def _remove_member(self, number: int, pool: Pool) -> None:
        listing_pools = self.pools_by_server.get(number, [])
        if pool in listing_pools:
            listing_pools.remove(pool)
        if not listing_pools:
            self.pools_by_server.pop(number, None)

    def _remove_pool(self, pool: Pool) -> None:
        for number in list(self.pools_by_server):
            self._remove_member(number, pool)

    # ------------------------------------------------ reloads

    def _reconfigure(self, pending_generation: PendingGeneration) -> list[Action]:
        """Replace the pools. Pools that remain are the same objects and get their new settings. Removed pools finish
        their open requests and get no new ones.
        """
        pools, settings, removed = pending_generation
        self._carry_over(self.pools[self.main].decisions.settings, settings[self.main])
        actions: list[Action] = []
        for pool in removed:
            pool.draining = True
            if pool.requests:
                self.draining_pools.append(pool)
            else:
                self._remove_pool(pool)
        self.pools = pools
        for name, pool in pools.items():
            if pool.decisions.settings != settings[name]:
                actions += self._translate_actions(pool, self._forward(pool, Reconfigured(settings[name])))
        if self.list_received or self._list_deferred:
            self._list_deferred = False
            for pool in (*pools.values(), *self.draining_pools):
                actions += self._relist(pool, ListKind.PROOF)
        return actions

    def _carry_over(self, before: Settings, after: Settings) -> None:
        """Adjust open requests to new settings: each keeps the class and the tenant with which it arrived."""
        names = [tenant.name for tenant in before.tenants]
        places = {tenant.name: n for n, tenant in enumerate(after.tenants)}
        for active in self._requests.values():
            arrived, choice = active.arrived, active.choice
            if before.classes[arrived.class_index] != after.classes[arrived.class_index]:
                # A fallback pool would treat the request by the new settings of its class, and could run it twice if
                # the class has become repeatable. So the request gets no further pools.
                choice.pools = choice.pools[: choice.position + 1]
            if 0 <= arrived.tenant < len(names):
                # A fallback pool counts the request for its tenant, by the tenant's index in the new settings.
                arrived.tenant = places.get(names[arrived.tenant], len(places))

    def class_indices(self) -> set[int]:
        """The class indices of all open requests."""
        return {active.arrived.class_index for active in self._requests.values()}

    # ------------------------------------------------ state that survives a restart

    def learned(self) -> dict[str, Any]:
        found = self.pools[self.main].decisions.learned()
        others = {name: pool.decisions.learned() for name, pool in self.pools.items() if name != self.main}
        return found | {"pools": others}

    def adopt(self, learned: dict[str, Any]) -> None:
        self.pools[self.main].decisions.adopt(learned)
        others = learned.get("pools")
        if isinstance(others, dict):
            for name, state in others.items():
                if name in self.pools and isinstance(state, dict):
                    self.pools[name].decisions.adopt(state)
