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
MIN_REPORTED_TOKENS = 4_000  # that wait at an engine, from which routers are told
MAX_REPORTED_ENGINES = 32  # engines that they are told of
BATCH_S = 0.005  # changes that come together are told together
MAX_VERSIONS = 32  # configurations that a delta can build on
DISCONNECTED_ROUTER_MS = (
    30_000.0  # so long a router that is no longer connected may still be at work, cut off
)


Quorum = Callable[[set[str]], bool]
"""Whether these controllers, by node, are a majority."""


@dataclass(slots=True)
class _Confirmation:
    """Someone waits until others have what was noted here up to `counter`."""

    counter: int
    delivered: asyncio.Future[None]


class Subscriber:
    """One process that pulls on one connection."""

    def __init__(self, connection: Connection, kind: Kind) -> None:
        """It has asked nothing yet."""
        self.connection = connection
        self.kind = kind
        self.pending_pull: Pull | None = None  # while it waits for an answer
        self.pulled_ms = 0.0
        self.vector: dict[str, int] = {}  # what it had seen at its last pull
        self.prefill_tokens: dict[str, int] = {}  # by engine: what its calls wait for there
        self.outcome_counts: dict[str, Endings] = {}  # by upstream: how its calls ended lately
        self.sent_ejected: frozenset[str] = frozenset()  # that it was told of
        self.sent_controllers: list[str] = []  # that it was told of
        self.configuration = -1  # the sequence that it had in force then


class PullService:
    """Answers pulls as soon as there is something that the puller lacks."""

    def __init__(
        self,
        registry: Registry,
        ledger: Ledger,
        controllers: Callable[[], list[str]],
        *,
        overuse_fraction: float = 0.0,
    ) -> None:
        """`controllers`: the nodes that pulls may go to, at present.

        `overuse_fraction`: the part of a quota by which it may be passed.
        """
        self._registry = registry
        self._ledger = ledger
        self._controllers = controllers
        self._overuse_fraction = overuse_fraction
        self._disconnected_ms: dict[str, float] = {}  # by router that is no longer connected
        self._loop = asyncio.get_running_loop()
        self._subscribers: dict[Connection, Subscriber] = {}
        self._versions: list[tuple[int, Document]] = []
        self._newest_json: bytes = b""
        self._patches: dict[int, bytes] = {}
        self.prefill_load: dict[
            str, int
        ] = {}  # by engine, of all routers: prompt tokens that wait to be read
        self._busiest: dict[str, int] | None = None  # None: to be found anew
        self._ejections = Ejections()
        self._wake_timer: asyncio.TimerHandle | None = None
        self._confirmations: list[_Confirmation] = []

    # The configuration

    def publish(self, sequence: int, value: str) -> None:
        """A committed configuration."""
        if not value or (self._versions and sequence <= self._versions[-1][0]):
            return
        document: Document = msgspec.json.decode(value)
        if self._versions and self._versions[-1][1] == document:
            return
        self._versions.append((sequence, document))
        del self._versions[:-MAX_VERSIONS]
        self._newest_json = value.encode()
        self._patches = {}
        self._ledger.set_limits(limits_of(document), self._now_ms())
        self.wake()

    @property
    def sequence(self) -> int:
        """Of the configuration that is told; -1 for none."""
        return self._versions[-1][0] if self._versions else -1

    def _update_for(self, known: int) -> ConfigUpdate | None:
        if known >= self.sequence:
            return None
        if known not in self._patches:
            base = next((document for sequence, document in self._versions if sequence == known), None)
            if base is None:
                return ConfigUpdate(self.sequence, -1, msgspec.Raw(self._newest_json))
            self._patches[known] = msgspec.json.encode(difference(base, self._versions[-1][1]))
        return ConfigUpdate(self.sequence, known, msgspec.Raw(self._patches[known]))

    # Subscribers

    def connected(self, connection: Connection, kind: Kind) -> None:
        """A process has said who it is."""
        self._subscribers[connection] = Subscriber(connection, kind)
        self._disconnected_ms.pop(connection.node, None)

    def disconnected(self, connection: Connection) -> None:
        """Its connection has ended."""
        subscriber = self._subscribers.pop(connection, None)
        if subscriber is not None:
            self._set_prefill_tokens(subscriber, {})
        if subscriber is not None and subscriber.kind is Kind.ROUTER:
            self._disconnected_ms[connection.node] = self._now_ms()

    def _update_reserve(self) -> None:
        """Routers that were connected lately may be cut off and go on by their own share of quotas."""
        now_ms = self._now_ms()
        connected = {one.connection.node for one in self._subscribers.values()}
        for node, lost_ms in list(self._disconnected_ms.items()):
            if node in connected or now_ms >= lost_ms + DISCONNECTED_ROUTER_MS:
                del self._disconnected_ms[node]
        lost = len(self._disconnected_ms)
        self._ledger.set_away(lost / max(1, lost + self.routers), self._overuse_fraction)

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

    def pull(self, connection: Connection, pull: Pull) -> None:
        """A process asks for what it lacks."""
        subscriber = self._subscribers.get(connection)
        if subscriber is None:
            return
        now_ms = self._now_ms()
        subscriber.pending_pull, subscriber.pulled_ms = pull, now_ms
        if pull.vector is not None:
            subscriber.vector = pull.vector
        subscriber.configuration = pull.config
        self._set_prefill_tokens(subscriber, pull.waiting)
        subscriber.outcome_counts = pull.endings
        if self._ledger.report(connection.life, pull.usage, pull.sent_ms, now_ms):
            self.wake()
        self._check_confirmations()
        if self._has_update(subscriber):
            self._answer(subscriber)

    def wake(self) -> None:
        """Something has changed: whoever lacks it is answered soon."""
        if self._wake_timer is None:
            self._wake_timer = self._loop.call_later(BATCH_S, self._answer_all)

    def _answer_all(self) -> None:
        self._wake_timer = None
        for subscriber in list(self._subscribers.values()):
            if subscriber.pending_pull is not None and self._has_update(subscriber):
                self._answer(subscriber)

    def tick(self) -> None:
        """Answers pulls that have been held for long enough; to be called several times a second."""
        now_ms = self._now_ms()
        hold_ms = max(HOLD_MS, HOLD_MS_PER_ROUTER * self.routers)
        self._update_reserve()
        self._evaluate_ejection(now_ms)
        for subscriber in list(self._subscribers.values()):
            subscriber.connection.keep_alive()
            if subscriber.pending_pull is not None and now_ms >= subscriber.pulled_ms + hold_ms:
                self._answer(subscriber)

    def _evaluate_ejection(self, now_ms: float) -> None:
        """Ejects upstreams at which calls of many routers fail."""
        outcome_counts = summed(
            one.outcome_counts for one in self._subscribers.values() if one.outcome_counts
        )
        services = self._registry.ready_by_service().values()
        if self._ejections.judge(services, outcome_counts, now_ms):
            log.event("ejected", upstreams=sorted(self.ejected))
            self.wake()

    @property
    def ejected(self) -> frozenset[str]:
        """Upstreams that routers leave out, as far as others are left."""
        return self._ejections.ejected

    def _has_update(self, subscriber: Subscriber) -> bool:
        assert subscriber.pending_pull is not None
        if subscriber.kind is Kind.ROUTER and subscriber.pending_pull.config < self.sequence:
            return True
        if subscriber.kind is Kind.ROUTER and subscriber.sent_ejected != self.ejected:
            return True
        return not self._registry.covers(subscriber.vector)

    def _answer(self, subscriber: Subscriber) -> None:
        pull = subscriber.pending_pull
        assert pull is not None
        subscriber.pending_pull = None
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
            controllers=controllers if controllers != subscriber.sent_controllers else [],
            routers=max(1, self.routers),
            quotas=self._ledger.statements(list(pull.usage), self._now_ms()),
            waiting=self._prefill_load_of_others(subscriber) if is_router else {},
            ejected=sorted(self.ejected) if is_router and self.ejected != subscriber.sent_ejected else None,
        )
        subscriber.sent_ejected = self.ejected
        subscriber.sent_controllers = controllers
        subscriber.connection.send(delta)

    # What engines are known to be busy with

    def report_prefill(self, connection: Connection, tokens: dict[str, int]) -> None:
        """A router tells, between pulls, what its calls wait for."""
        subscriber = self._subscribers.get(connection)
        if subscriber is not None:
            self._set_prefill_tokens(subscriber, tokens)

    def _set_prefill_tokens(self, subscriber: Subscriber, tokens: dict[str, int]) -> None:
        before, subscriber.prefill_tokens = subscriber.prefill_tokens, tokens
        if before == tokens:
            return
        total = self.prefill_load
        for engine, count in before.items():
            total[engine] = total.get(engine, 0) - count
        for engine, count in tokens.items():
            total[engine] = total.get(engine, 0) + count
        for engine in before:
            if total.get(engine, 0) <= 0:
                total.pop(engine, None)
        self._busiest = None

    def _prefill_load_of_others(self, subscriber: Subscriber) -> dict[str, int]:
        if self._busiest is None:
            busy = [one for one in self.prefill_load.items() if one[1] >= MIN_REPORTED_TOKENS]
            self._busiest = dict(sorted(busy, key=lambda one: -one[1])[:MAX_REPORTED_ENGINES])
        own = subscriber.prefill_tokens
        left = {engine: tokens - own.get(engine, 0) for engine, tokens in self._busiest.items()}
        return {engine: tokens for engine, tokens in left.items() if tokens > 0}

    # Confirmation that news has arrived

    async def wait_until_delivered(self, for_s: float, quorum: Quorum) -> bool:
        """Waits until all that are connected have what this registry noted last, for that time at most.

        Whether a majority of controllers has it then: if so, every router in touch with them gets it.
        """
        counter = self._registry.vector.get(self._registry.origin, 0)
        confirmation = _Confirmation(counter, self._loop.create_future())
        self._confirmations.append(confirmation)
        self.wake()
        self._check_confirmations()
        try:
            async with asyncio.timeout(for_s):
                await confirmation.delivered
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

    def _check_confirmations(self) -> None:
        if not self._confirmations:
            return
        origin = self._registry.origin
        seen = min((one.vector.get(origin, 0) for one in self._subscribers.values()), default=0)
        for confirmation in self._confirmations:
            if seen >= confirmation.counter and not confirmation.delivered.done():
                confirmation.delivered.set_result(None)

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0


def limits_of(document: Document) -> dict[str, Limit]:
    """The tenants that have a limit."""
    return {
        tenant["name"]: Limit(float(tenant["rate_per_s"]), float(tenant.get("burst", 0)))
        for tenant in document.get("tenants", [])
        if tenant.get("rate_per_s", 0) > 0
    }
