"""Many pools' decisions behind the one interface that the dispatcher knows. A request with all its attempts
belongs to one pool; what is told of it goes there, and what is told of upstreams goes to all pools that have them.

An upstream may be in several pools. Its calls are then counted for it, whichever pool sends them, so that none takes
for idle what another has filled; what a cold one gets is each pool's part of its own traffic, so that the sum is that
of one.
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

LIST_COOKIE = 1 << 40  # the decisions' own, for asking for the list: above every request's number

Filter = Callable[[Iterable[ServerEntry]], list[ServerEntry]]


@dataclass(slots=True)
class Pool:
    """One pool: its decisions, and what of the list is its own."""

    name: str
    decisions: Balancer
    filter: Filter  # of all entries, whole lists at a time
    draining: bool = False  # no route names it any more
    requests: int = 0
    told: dict[int, ServerEntry] = field(default_factory=dict)  # of the list, as its decisions have it
    counted: set[int] = field(default_factory=set)  # upstreams whose calls of other pools have changed


class Held:
    """One request."""

    __slots__ = ("arrived", "choice", "due_ms", "first", "out", "pool", "ran", "senders", "sent")

    def __init__(self, pool: Pool, choice: Choice, arrived: RequestArrived, now_ms: float) -> None:
        self.pool = pool
        self.choice = choice
        self.arrived = arrived
        self.due_ms = now_ms + arrived.time_left_ms
        self.sent = 0  # attempts, of all pools
        self.first = 0  # the number of this pool's first attempt
        self.out = 0
        self.ran = False  # an attempt may have run
        self.senders: dict[int, Pool] = {}  # by attempt that is out


class Coming(NamedTuple):
    """A generation that is to count with the next `Reconfigured`."""

    pools: dict[str, Pool]
    settings: dict[str, Settings]
    left: list[Pool]


class Switch:
    """`larkweir.core.ports.Decisions` over several pools. `ended` is told of each request's answer: its choice,
    whether it failed, and how long it took.
    """

    def __init__(self, pools: dict[str, Pool], main: str) -> None:
        self.pools = pools
        self.main = main  # the one that asks for lists, where they must be asked for
        self.entries: dict[int, ServerEntry] = {}  # the whole list, as last told
        self.has: dict[int, list[Pool]] = {}  # by upstream
        self._requests: dict[int, Held] = {}
        self._probes: dict[int, deque[Pool]] = {}
        self._out_at: dict[int, dict[int, int]] = {}  # by upstream and pool (its `id`): calls that are out
        self._version = 0
        self.listed = False  # a list has come
        self.ended: Callable[[Choice, bool, float], None] = lambda choice, failed, spent_ms: None
        self.coming: Coming | None = None
        self._list_waits = False  # a list has come that pools hear of with the generation that comes
        self.left: list[Pool] = []  # pools that no route names, until their requests are over
        self.now = 0.0

    # ------------------------------------------------ the dispatcher's side

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
            having = list(self.has.get(event.server, ()))
            return [action for pool in having for action in self._out(pool, self._tell(pool, event))]
        if isinstance(event, ProbeEnded):
            asked = self._probes.get(event.server)
            if not asked:
                return []
            pool = asked.popleft()
            if not asked:
                del self._probes[event.server]
            return self._out(pool, self._tell(pool, event))
        if isinstance(event, Reconfigured):
            coming, self.coming = self.coming, None
            return [] if coming is None else self._reconfigure(coming)
        assert isinstance(event, PeerMessage)
        return []

    def _arrived(self, event: RequestArrived) -> list[Action]:
        choice = event.choice
        if not isinstance(choice, Choice):
            choice = Choice("", (self.main,))
        pool = self._pool(choice)
        if pool is None:  # its generation has gone while it came
            return [Refuse(event.request)]
        choice.began_ms, choice.cls = self.now, event.class_index
        held = Held(pool, choice, event, self.now)
        self._requests[event.request] = held
        pool.requests += 1
        reserved = self._reserved(choice)
        if reserved:
            event = replace(event, attempts_left=self._share(pool, held, reserved))
        return self._out(pool, self._tell(pool, event), held)

    def _reserved(self, choice: Choice) -> int:
        """Attempts that are kept for the pools still to come: one each, or there would be none left for them."""
        return sum(name in self.pools for name in choice.pools[choice.at + 1 :])

    def _share(self, pool: Pool, held: Held, reserved: int) -> int:
        """Attempts that its present pool may make: of those that are left in all, less what is kept for others."""
        left = pool.decisions.settings.max_attempts - held.sent
        if held.arrived.attempts_left is not None:
            left = min(left, held.arrived.attempts_left - held.sent)
        return max(1, left - reserved) if left > 0 else 0

    def _pool(self, choice: Choice) -> Pool | None:
        """The next of its pools that is there."""
        while choice.at < len(choice.pools):
            pool = self.pools.get(choice.pools[choice.at])
            if pool is not None:
                return pool
            choice.at += 1
        return None

    def _attempt_ended(self, event: AttemptEnded) -> list[Action]:
        held = self._requests.get(event.request)
        if held is None:
            return []
        sender = held.senders.pop(event.attempt, held.pool)
        self._count(event.server, sender, -1)
        held.out -= 1
        held.ran = held.ran or event.outcome not in NEVER_RAN
        if event.outcome is Outcome.OK:
            self._over(held, False)
        pool = held.pool
        number = event.attempt - held.first
        if number >= 0:
            told = event if not held.first else replace(event, attempt=number)
            if event.attempts_left is not None and (reserved := self._reserved(held.choice)):
                told = replace(told, attempts_left=max(0, event.attempts_left - reserved))
            actions = self._out(pool, self._tell(pool, told), held)
        else:
            actions = []
        self._settle(event.request, held)
        return actions

    def _of_request(self, event: AnswerStarted | RequestBodyReceived | ClientGone) -> list[Action]:
        held = self._requests.get(event.request)
        if held is None:
            return []
        told: Event = event
        if isinstance(event, AnswerStarted):
            self._over(held, False)
            if held.first:
                told = replace(event, attempt=event.attempt - held.first)
        elif isinstance(event, RequestBodyReceived):
            held.arrived.body_incomplete = False
            held.due_ms = self.now + held.arrived.time_left_ms
        actions = self._out(held.pool, self._tell(held.pool, told), held)
        if isinstance(event, ClientGone):
            held.choice.route = ""  # how it would have ended nobody knows
        self._settle(event.request, held)
        return actions

    def _settle(self, number: int, held: Held) -> None:
        """Forget a request that its decisions have forgotten, and that has nothing out."""
        if not held.out and number not in held.pool.decisions.requests and self._requests.get(number) is held:
            del self._requests[number]
            self._leave(held.pool)

    def _leave(self, pool: Pool) -> None:
        pool.requests -= 1
        if pool.draining and not pool.requests and pool in self.left:
            self.left.remove(pool)
            self._unlist(pool)

    def _over(self, held: Held, failed: bool) -> None:
        """It has its answer; told once."""
        choice, held.choice = held.choice, Choice("", held.choice.pools)
        if choice.route:
            self.ended(choice, failed, self.now - choice.began_ms)

    def _timer(self, event: TimerFired) -> list[Action]:
        if event.cookie == LIST_COOKIE:
            pool = self.pools[self.main]
            return self._out(pool, self._tell(pool, event))
        held = self._requests.get(event.cookie)
        if held is None:
            return []
        actions = self._out(held.pool, self._tell(held.pool, event), held)
        self._settle(event.cookie, held)
        return actions

    # ------------------------------------------------ a pool's actions

    def _out(self, pool: Pool, actions: list[Action], held: Held | None = None) -> list[Action]:
        """A pool's actions as the dispatcher is to carry them out."""
        found: list[Action] = []
        for action in actions:
            if isinstance(action, Send):
                owner = self._requests[action.request]
                owner.sent += 1
                owner.out += 1
                owner.senders[owner.sent - 1] = pool
                self._count(action.server, pool, 1)
                found.append(action)
            elif isinstance(action, Refuse):
                found += self._refused(action)
            elif isinstance(action, Fail):
                owner = self._requests[action.request]
                self._over(owner, True)
                found.append(action)
                self._settle(action.request, owner)
            elif isinstance(action, Cancel):
                owner = self._requests[action.request]
                found.append(Cancel(action.request, action.attempt + owner.first) if owner.first else action)
            elif isinstance(action, Probe):
                self._probes.setdefault(action.server, deque()).append(pool)
                found.append(action)
            elif isinstance(action, CloseIdle):
                for other in self.has.get(action.server, ()):
                    if other is not pool:
                        other.decisions.on_connections_closed(action.server)
                found.append(action)
            elif isinstance(action, SetTimer | Log) or pool.name == self.main:
                found.append(action)
        return found

    def _refused(self, action: Refuse) -> list[Action]:
        """To the next of its pools, where no attempt may have run, or running twice is harmless; else to its caller."""
        held = self._requests[action.request]
        choice = held.choice
        left = held.due_ms - self.now
        safe = held.arrived.class_in(held.pool.decisions.settings).effect is Effect.SAFE
        if (safe or not held.ran) and not held.out and left > 0.0 and not held.arrived.body_incomplete:
            choice.at += 1
            pool = self._pool(choice)
            if pool is not None:
                before = held.pool
                held.pool, held.first = pool, held.sent
                pool.requests += 1
                self._leave(before)
                share = self._share(pool, held, self._reserved(choice))
                if share:
                    again = replace(held.arrived, time_left_ms=left, attempts_left=share)
                    return self._out(pool, self._tell(pool, again), held)
        return self._give_up(action, held)

    def _give_up(self, action: Refuse, held: Held) -> list[Action]:
        self._over(held, True)
        self._settle(action.request, held)
        return [action]

    # ------------------------------------------------ the list

    def _list(self, event: ListUpdate) -> list[Action]:
        if event.kind is ListKind.FAILED:
            pool = self.pools[self.main]
            return self._out(pool, self._tell(pool, event))
        whole = event.kind in (ListKind.FULL, ListKind.CACHED)
        if whole:
            self.entries = {}
            self.listed = True
        for entry in event.entries:
            if entry.state is ServerState.GONE:
                self.entries.pop(entry.server, None)
            else:
                self.entries[entry.server] = entry
        self._version = event.version
        if self.coming is not None:
            # Told with the generation that it belongs to. Guards against a request whose class is a place in the new
            # settings, and that comes while pools have the former ones: what they do about a list may set it free.
            self._list_waits = True
            return []
        actions: list[Action] = []
        for pool in (*self.pools.values(), *self.left):
            actions += self._relist(pool, event.kind)
        return actions

    def _relist(self, pool: Pool, kind: ListKind) -> list[Action]:
        """Tell a pool what of the list is its own now: what has changed for it, or all of it where the list is
        whole.
        """
        mine = {entry.server: entry for entry in pool.filter(self.entries.values())}
        gone = [number for number in pool.told if number not in mine]
        for number in gone:
            self._drop(number, pool)
        for number in mine:
            if number not in pool.told:
                self._join(number, pool)
        if kind in (ListKind.FULL, ListKind.CACHED):
            entries = list(mine.values())
        else:
            entries = [entry for number, entry in mine.items() if pool.told.get(number) != entry]
            entries += [ServerEntry(number, ServerState.GONE) for number in gone]
        pool.told = mine
        if not entries and kind is ListKind.PROOF:
            return []
        actions = self._tell(pool, ListUpdate(kind, self._version, entries))
        # A new one, or one that is told of anew, may have calls of others already.
        pool.counted.update(number for number in mine if number in self._out_at)
        return self._out(pool, actions)

    def _count(self, server: int, pool: Pool, change: int) -> None:
        """A call of this pool's has gone to an upstream, or come back: the other pools that have it are told."""
        counts = self._out_at.setdefault(server, {})
        left = counts.get(id(pool), 0) + change
        if left > 0:
            counts[id(pool)] = left
        else:
            counts.pop(id(pool), None)
            if not counts:
                del self._out_at[server]
        for other in self.has.get(server, ()):
            if other is not pool:
                other.counted.add(server)  # told when it next decides anything

    def _tell(self, pool: Pool, event: Event) -> list[Action]:
        """Hand an event to a pool's decisions, with what others have out at its upstreams."""
        if pool.counted:
            self._tell_counts(pool)
        return pool.decisions.handle(self.now, event)

    def _tell_counts(self, pool: Pool) -> None:
        for number in pool.counted:
            counts = self._out_at.get(number, {})
            pool.decisions.set_other_in_flight(
                number, sum(counts.values()) - counts.get(id(pool), 0), self.now
            )
        pool.counted.clear()

    def settle(self) -> None:
        """Tell all pools what they would be told next: for whoever looks at them."""
        for pool in (*self.pools.values(), *self.left):
            self._tell_counts(pool)

    def _join(self, number: int, pool: Pool) -> None:
        having = self.has.setdefault(number, [])
        if pool not in having:
            having.append(pool)

    def _drop(self, number: int, pool: Pool) -> None:
        having = self.has.get(number, [])
        if pool in having:
            having.remove(pool)
        if not having:
            self.has.pop(number, None)

    def _unlist(self, pool: Pool) -> None:
        for number in list(self.has):
            self._drop(number, pool)

    # ------------------------------------------------ generations

    def _reconfigure(self, coming: Coming) -> list[Action]:
        """Other pools from here on: those that stay are the same objects, with their own new settings. Those that leave
        keep their requests, and get no new ones.
        """
        pools, settings, left = coming
        self._carry_over(self.pools[self.main].decisions.settings, settings[self.main])
        actions: list[Action] = []
        for pool in left:
            pool.draining = True
            if pool.requests:
                self.left.append(pool)
            else:
                self._unlist(pool)
        self.pools = pools
        for name, pool in pools.items():
            if pool.decisions.settings != settings[name]:
                actions += self._out(pool, self._tell(pool, Reconfigured(settings[name])))
        if self.listed or self._list_waits:
            self._list_waits = False
            for pool in (*pools.values(), *self.left):
                actions += self._relist(pool, ListKind.PROOF)
        return actions

    def _carry_over(self, before: Settings, after: Settings) -> None:
        """Open requests go on under the settings that they came with."""
        names = [tenant.name for tenant in before.tenants]
        places = {tenant.name: n for n, tenant in enumerate(after.tenants)}
        for held in self._requests.values():
            arrived, choice = held.arrived, held.choice
            if before.classes[arrived.class_index] != after.classes[arrived.class_index]:
                # Another pool would take it up under what its class says now: guards against running it twice where
                # the class has become one that may be repeated.
                choice.pools = choice.pools[: choice.at + 1]
            if 0 <= arrived.tenant < len(names):
                # Another pool counts it for its tenant's share, by the place that the tenant has now.
                arrived.tenant = places.get(names[arrived.tenant], len(places))

    def class_places(self) -> set[int]:
        """The places of the classes of open requests."""
        return {held.arrived.class_index for held in self._requests.values()}

    # ------------------------------------------------ from life to life

    def learned(self) -> dict[str, Any]:
        found = self.pools[self.main].decisions.learned()
        others = {name: pool.decisions.learned() for name, pool in self.pools.items() if name != self.main}
        return found | {"pools": others}

    def adopt(self, learned: dict[str, Any]) -> None:
        self.pools[self.main].decisions.adopt(learned)
        others = learned.get("pools")
        if isinstance(others, dict):
            for name, told in others.items():
                if name in self.pools and isinstance(told, dict):
                    self.pools[name].decisions.adopt(told)
