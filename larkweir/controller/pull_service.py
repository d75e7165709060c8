"""What routers and other controllers pull: the configuration, the upstreams, the use of quotas."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from larkweir_balancing.ejection import Ejections, Endings, summed
from larkweir_quotas.ledger import Ledger, Limit
from larkweir_registry.registry import Registry

from larkweir.cluster import log
from larkweir.cluster.configuration.documents import Document, difference
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import ConfigUpdate, Delta, Kind, Pull

HOLD_MS = 100.0  # a pull is answered after it, with or without news
HOLD_MS_PER_ROUTER = 2.0  # where that is longer, so that a controller's work stays the same
BUSY_TOKENS = 4_000  # that wait at an engine, from which routers are told
BUSIEST_MOST = 32  # engines that they are told of
GATHER_S = 0.005  # changes that come together are told together
HISTORY_MOST = 32  # configurations that a delta can build on
AWAY_MS = 30_000.0  # so long a router that is no longer connected may still be at work, cut off


Quorum = Callable[[set[str]], bool]
"""Whether these controllers, by node, are a majority."""


@dataclass(slots=True)
class _Confirmation:
    """Someone waits until others have what was noted here up to `counter`."""

    counter: int
    all_have_it: asyncio.Future[None]


class Subscriber:
    """One process that pulls on one connection."""

    def __init__(self, connection: Connection, kind: Kind) -> None:
        """It has asked nothing yet."""
        self.connection = connection
        self.kind = kind
        self.pull: Pull | None = None  # while it waits for an answer
        self.pulled_ms = 0.0
        self.vector: dict[str, int] = {}  # what it had seen at its last pull
        self.waiting: dict[str, int] = {}  # by engine: what its calls wait for there
        self.endings: dict[str, Endings] = {}  # by upstream: how its calls ended lately
        self.ejected: frozenset[str] = frozenset()  # that it was told of
        self.controllers: list[str] = []  # that it was told of
        self.configuration = -1  # the sequence that it had in force then


class Distribution:
    """Answers pulls as soon as there is something that the puller lacks."""

    def __init__(
        self,
        registry: Registry,
        ledger: Ledger,
        controllers: Callable[[], list[str]],
        *,
        quota_over: float = 0.0,
    ) -> None:
        """`controllers`: the nodes that pulls may go to, at present.

        `quota_over`: the part of a quota by which it may be passed.
        """
        self._registry = registry
        self._ledger = ledger
        self._controllers = controllers
        self._quota_over = quota_over
        self._lost_ms: dict[str, float] = {}  # by router that is no longer connected
        self._loop = asyncio.get_running_loop()
        self._subscribers: dict[Connection, Subscriber] = {}
        self._history: list[tuple[int, Document]] = []
        self._whole: bytes = b""
        self._patches: dict[int, bytes] = {}
        self.waiting: dict[str, int] = {}  # by engine, of all routers: prompt tokens that wait to be read
        self._busiest: dict[str, int] | None = None  # None: to be found anew
        self._ejections = Ejections()
        self._waking: asyncio.TimerHandle | None = None
        self._confirmations: list[_Confirmation] = []

    # The configuration

    def publish(self, sequence: int, value: str) -> None:
        """A committed configuration."""
        if not value or (self._history and sequence <= self._history[-1][0]):
            return
        document: Document = msgspec.json.decode(value)
        if self._history and self._history[-1][1] == document:
            return
        self._history.append((sequence, document))
        del self._history[:-HISTORY_MOST]
        self._whole = value.encode()
        self._patches = {}
        self._ledger.set_limits(limits_of(document), self._now_ms())
        self.wake()

    @property
    def sequence(self) -> int:
        """Of the configuration that is told; -1 for none."""
        return self._history[-1][0] if self._history else -1

    def _update_for(self, known: int) -> ConfigUpdate | None:
        if known >= self.sequence:
            return None
        if known not in self._patches:
            base = next((document for sequence, document in self._history if sequence == known), None)
            if base is None:
                return ConfigUpdate(self.sequence, -1, msgspec.Raw(self._whole))
            self._patches[known] = msgspec.json.encode(difference(base, self._history[-1][1]))
        return ConfigUpdate(self.sequence, known, msgspec.Raw(self._patches[known]))

    # Subscribers

    def joined(self, connection: Connection, kind: Kind) -> None:
        """A process has said who it is."""
        self._subscribers[connection] = Subscriber(connection, kind)
        self._lost_ms.pop(connection.node, None)

    def left(self, connection: Connection) -> None:
        """Its connection has ended."""
        subscriber = self._subscribers.pop(connection, None)
        if subscriber is not None:
            self._set_waiting(subscriber, {})
        if subscriber is not None and subscriber.kind is Kind.ROUTER:
            self._lost_ms[connection.node] = self._now_ms()

    def _keep_back_for_the_lost(self) -> None:
        """Routers that were connected lately may be cut off and go on by their own share of quotas."""
        now_ms = self._now_ms()
        connected = {one.connection.node for one in self._subscribers.values()}
        for node, lost_ms in list(self._lost_ms.items()):
            if node in connected or now_ms >= lost_ms + AWAY_MS:
                del self._lost_ms[node]
        lost = len(self._lost_ms)
        self._ledger.set_away(lost / max(1, lost + self.routers), self._quota_over)

    @property
    def routers(self) -> int:
        """Routers that are connected."""
        return sum(1 for subscriber in self._subscribers.values() if subscriber.kind is Kind.ROUTER)

    def router_sequences(self) -> dict[str, int]:
        """By router, the configuration that it had in force at its last pull."""
        return {
            one.connection.node: one.configuration
            for one in self._subscribers.values()
            if one.kind is Kind.ROUTER
        }

    def pulled(self, connection: Connection, pull: Pull) -> None:
        """A process asks for what it lacks."""
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return
        now_ms = self._now_ms()
        subscriber.pull, subscriber.pulled_ms = pull, now_ms
        if pull.vector is not None:
            subscriber.vector = pull.vector
        subscriber.configuration = pull.config
        self._set_waiting(subscriber, pull.waiting)
        subscriber.endings = pull.endings
        if self._ledger.report(connection.life, pull.usage, pull.sent_ms, now_ms):
            self.wake()
        self._confirm()
        if self._has_news(subscriber):
            self._answer(subscriber)

    def wake(self) -> None:
        """Something has changed: whoever lacks it is answered soon."""
        if self._waking is None:
            self._waking = self._loop.call_later(GATHER_S, self._answer_all)

    def _answer_all(self) -> None:
        self._waking = None
        for subscriber in list(self._subscribers.values()):
            if subscriber.pull is not None and self._has_news(subscriber):
                self._answer(subscriber)

    def tick(self) -> None:
        """Answers pulls that have been held for long enough; to be called several times a second."""
        now_ms = self._now_ms()
        hold_ms = max(HOLD_MS, HOLD_MS_PER_ROUTER * self.routers)
        self._keep_back_for_the_lost()
        self._judge_upstreams(now_ms)
        for subscriber in list(self._subscribers.values()):
            subscriber.connection.keep_alive()
            if subscriber.pull is not None and now_ms >= subscriber.pulled_ms + hold_ms:
                self._answer(subscriber)

    def _judge_upstreams(self, now_ms: float) -> None:
        """Ejects upstreams at which calls of many routers fail."""
        endings = summed(one.endings for one in self._subscribers.values() if one.endings)
        services = self._registry.ready_by_service().values()
        if self._ejections.judge(services, endings, now_ms):
            log.event("ejected", upstreams=sorted(self.ejected))
            self.wake()

    @property
    def ejected(self) -> frozenset[str]:
        """Upstreams that routers leave out, as far as others are left."""
        return self._ejections.ejected

    def _has_news(self, subscriber: Subscriber) -> bool:
        assert subscriber.pull is not None
        if subscriber.kind is Kind.ROUTER and subscriber.pull.config < self.sequence:
            return True
        if subscriber.kind is Kind.ROUTER and subscriber.ejected != self.ejected:
            return True
        return not self._registry.covers(subscriber.vector)

    def _answer(self, subscriber: Subscriber) -> None:
        pull = subscriber.pull
        assert pull is not None
        subscriber.pull = None
        is_router = subscriber.kind is Kind.ROUTER
        controllers = self._controllers()
        delta = Delta(
            config=self._update_for(pull.config) if is_router else None,
            records=self._registry.delta(subscriber.vector),
            vector={
                origin: counter
                for origin, counter in self._registry.vector.items()
                if counter > subscriber.vector.get(origin, 0)
            },
            controllers=controllers if controllers != subscriber.controllers else [],
            routers=max(1, self.routers),
            quotas=self._ledger.statements(list(pull.usage), self._now_ms()),
            waiting=self._waiting_elsewhere(subscriber) if is_router else {},
            ejected=sorted(self.ejected) if is_router and self.ejected != subscriber.ejected else None,
        )
        subscriber.ejected = self.ejected
        subscriber.controllers = controllers
        subscriber.connection.send(delta)

    # What engines are known to be busy with

    def told_waiting(self, connection: Connection, tokens: dict[str, int]) -> None:
        """A router tells, between pulls, what its calls wait for."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            self._set_waiting(subscriber, tokens)

    def _set_waiting(self, subscriber: Subscriber, tokens: dict[str, int]) -> None:
        before, subscriber.waiting = subscriber.waiting, tokens
        if before == tokens:
            return
        total = self.waiting
        for engine, count in before.items():
            total[engine] = total.get(engine, 0) - count
        for engine, count in tokens.items():
            total[engine] = total.get(engine, 0) + count
        for engine in before:
            if total.get(engine, 0) <= 0:
                total.pop(engine, None)
        self._busiest = None

    def _waiting_elsewhere(self, subscriber: Subscriber) -> dict[str, int]:
        if self._busiest is None:
            busy = [one for one in self.waiting.items() if one[1] >= BUSY_TOKENS]
            self._busiest = dict(sorted(busy, key=lambda one: -one[1])[:BUSIEST_MOST])
        own = subscriber.waiting
        left = {engine: tokens - own.get(engine, 0) for engine, tokens in self._busiest.items()}
        return {engine: tokens for engine, tokens in left.items() if tokens > 0}

    # Confirmation that news has arrived

    async def confirmed(self, for_s: float, quorum: Quorum) -> bool:
        """Waits until all that are connected have what this registry noted last, for that time at most.

        Whether a majority of controllers has it then: if so, every router in touch with them gets it.
        """
        counter = self._registry.vector.get(self._registry.origin, 0)
        confirmation = _Confirmation(counter, self._loop.create_future())
        self._confirmations.append(confirmation)
        self.wake()
        self._confirm()
        try:
            async with asyncio.timeout(for_s):
                await confirmation.all_have_it
        except TimeoutError:
            pass
        finally:
            self._confirmations.remove(confirmation)
        return quorum(self._controllers_that_have(counter))

    def _controllers_that_have(self, counter: int) -> set[str]:
        origin = self._registry.origin
        return {
            one.connection.node
            for one in self._subscribers.values()
            if one.kind is Kind.CONTROLLER and one.vector.get(origin, 0) >= counter
        }

    def _confirm(self) -> None:
        if not self._confirmations:
            return
        origin = self._registry.origin
        seen = min((one.vector.get(origin, 0) for one in self._subscribers.values()), default=0)
        for confirmation in self._confirmations:
            if seen >= confirmation.counter and not confirmation.all_have_it.done():
                confirmation.all_have_it.set_result(None)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0


def limits_of(document: Document) -> dict[str, Limit]:
    """The tenants that have a limit."""
    return {
        tenant["name"]: Limit(float(tenant["rate_per_s"]), float(tenant.get("burst", 0)))
        for tenant in document.get("tenants", [])
        if tenant.get("rate_per_s", 0) > 0
    }
