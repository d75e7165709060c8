"""Answers the pulls of routers and other controllers as soon as there is an update for the sender (long polling)."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from dataclasses import dataclass, field

from larkweir_quotas.share_leases import ShareClaim, ShareOffer
from larkweir_registry.records import VersionVector
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import Delta, NodeRole, Pull
from larkweir.controller.clock import now_ms, unix_ms
from larkweir.controller.committed_rollouts import CommittedRollouts
from larkweir.controller.configuration_delivery import ConfigurationAnswer, ConfigurationDelivery
from larkweir.controller.configuration_history import ConfigurationHistory
from larkweir.controller.delivery_confirmation import DeliveryConfirmation
from larkweir.controller.prefill_load import PrefillLoad
from larkweir.controller.quota_accounting import QuotaAccounting
from larkweir.controller.quota_shares import QuotaShares
from larkweir.controller.rollout_samples import RolloutSamples
from larkweir.controller.subscriptions import Subscriber, Subscriptions
from larkweir.controller.upstream_ejection import UpstreamEjection

MAX_PENDING_MS = 100.0  # after this time a pull is answered even without an update
# Applies where it gives a longer time, so that the pulls per second do not grow with the number of routers.
MAX_PENDING_MS_PER_ROUTER = 2.0
BATCH_S = 0.005  # changes within this time are sent in one answer


@dataclass(frozen=True, slots=True)
class PublishedState:
    """The components from whose state answers to pulls are made."""

    registry: Registry
    configuration: ConfigurationHistory
    quotas: QuotaAccounting
    quota_shares: QuotaShares
    prefill_load: PrefillLoad
    ejection: UpstreamEjection
    unconfirmed: UnconfirmedUpstreams
    rollouts: CommittedRollouts = field(default_factory=CommittedRollouts)
    rollout_samples: RolloutSamples = field(default_factory=RolloutSamples)


class PullService:
    """Keeps each pull pending until there is an update or the maximum pending time has passed."""

    def __init__(
        self,
        state: PublishedState,
        subscriptions: Subscriptions,
        confirmation: DeliveryConfirmation,
        controllers: Callable[[], list[str]],
    ) -> None:
        """`controllers`: returns the nodes of all known controllers."""
        self._state = state
        self._delivery = ConfigurationDelivery(state.configuration)
        self._subscriptions = subscriptions
        self._confirmation = confirmation
        self._controllers = controllers
        # Whether to request the routers' records because this controller has lost its own. Set before the first pull.
        self.requests_records = False
        self._loop = asyncio.get_running_loop()
        self._wake_timer: asyncio.TimerHandle | None = None

    def publish(self, sequence: int, value: str, controllers: int = 1) -> None:
        """Publishes a committed configuration. `controllers`: the number of voting controllers."""
        state = self._state
        document = state.configuration.add(sequence, value)
        if document is not None:
            state.quotas.set_limits(document, sequence, max(1, controllers), now_ms())
            state.rollouts.update(document, sequence, now_ms(), unix_ms())
            state.rollout_samples.update(committed.rollout for committed in state.rollouts.running())
            self.wake()

    def connected(self, connection: Connection, role: NodeRole) -> None:
        """Subscribes a process that has sent its hello on a new connection."""
        self._subscriptions.add(connection, role)
        self._state.quotas.connected(connection.node)

    def disconnected(self, connection: Connection) -> None:
        """Removes the subscriber of a lost connection."""
        is_newest = self._subscriptions.is_newest(connection)
        subscriber = self._subscriptions.remove(connection)
        if subscriber is None:
            return
        self._set_queued_prefill_tokens(subscriber, {})
        if subscriber.is_router:
            self._state.quotas.router_disconnected(connection.node, now_ms())
            if is_newest:
                self._state.rollout_samples.disconnected(_router_name(connection))

    def report_prefill(self, connection: Connection, tokens: dict[str, int]) -> None:
        """Records a router's report between pulls: by engine, the prompt tokens of its calls that wait for prefill."""
        subscriber = self._subscriptions.get(connection)
        if subscriber is not None:
            self._set_queued_prefill_tokens(subscriber, tokens)

    def report_durable(self, connection: Connection, vector: VersionVector) -> None:
        """Records the version vector of the upstream records on another controller's disk."""
        subscriber = self._subscriptions.get(connection)
        if subscriber is not None:
            subscriber.durable_vector = vector
            self._confirmation.check()

    def _set_queued_prefill_tokens(self, subscriber: Subscriber, tokens: dict[str, int]) -> None:
        before, subscriber.queued_prefill_tokens = subscriber.queued_prefill_tokens, tokens
        self._state.prefill_load.replace(before, tokens)

    def pull(self, connection: Connection, pull: Pull) -> None:
        """Records the state that a process reports, and answers at once if there is an update for it."""
        subscriber = self._subscriptions.get(connection)
        if subscriber is None:
            return
        present_ms = now_ms()
        subscriber.pending_pull, subscriber.pulled_ms = pull, present_ms
        if pull.vector is not None:
            subscriber.vector = pull.vector
        subscriber.config_sequence = pull.config_sequence
        self._delivery.record_encodings(subscriber, pull)
        self._set_queued_prefill_tokens(subscriber, pull.queued_prefill_tokens)
        subscriber.outcome_counts = pull.outcomes
        if subscriber.is_router and self._subscriptions.is_newest(connection):
            self._state.rollout_samples.report(_router_name(connection), pull.rollouts)
        if pull.records and subscriber.is_router:
            offered = [record.upstream for record in pull.records]
            if self._state.unconfirmed.add(offered, present_ms):
                self.wake()
        self._state.quotas.report(connection.node, connection.incarnation, pull, present_ms)
        claim = self._quota_claim(subscriber, pull)
        if claim is not None:
            self._state.quota_shares.record_claim(connection.node, claim, present_ms)
        self._confirmation.check()
        if self._has_update(subscriber, pull):
            self._answer(subscriber, pull)

    def wake(self) -> None:
        """Answers, after `BATCH_S`, the pending pulls whose senders lack a change. Must be called after a change."""
        if self._wake_timer is None:
            self._wake_timer = self._loop.call_later(BATCH_S, self._answer_updated)

    def _answer_updated(self) -> None:
        self._wake_timer = None
        for subscriber in self._subscriptions:
            pull = subscriber.pending_pull
            if pull is not None and self._has_update(subscriber, pull):
                self._answer(subscriber, pull)

    def tick(self) -> None:
        """Answers pulls that have reached the maximum pending time. Must be called several times a second."""
        present_ms = now_ms()
        routers = self._subscriptions.router_count
        max_pending_ms = max(MAX_PENDING_MS, MAX_PENDING_MS_PER_ROUTER * routers)
        self._state.quotas.update_reserve(self._subscriptions.nodes, routers, present_ms)
        if self._state.ejection.evaluate(present_ms):
            self.wake()
        for subscriber in self._subscriptions:
            subscriber.connection.keep_alive()
            pull = subscriber.pending_pull
            if pull is not None and present_ms >= subscriber.pulled_ms + max_pending_ms:
                self._answer(subscriber, pull)

    def _has_update(self, subscriber: Subscriber, pull: Pull) -> bool:
        state, present_ms = self._state, now_ms()
        if pull.quota_snapshot is not None:  # a router's first pull: it can do little before the answer
            return True
        if subscriber.is_router and subscriber.sent_granting != state.quotas.is_granting(present_ms):
            return True
        if self._awaits_share(subscriber, pull, present_ms):
            return True
        if subscriber.is_router and self._delivery.has_update(pull):
            return True
        if subscriber.is_router and subscriber.sent_ejected != state.ejection.ejected:
            return True
        return not state.registry.is_covered_by(subscriber.vector)

    def _answer(self, subscriber: Subscriber, pull: Pull) -> None:
        state, is_router = self._state, subscriber.is_router
        subscriber.pending_pull = None
        controllers, ejected, present_ms = self._controllers(), state.ejection.ejected, now_ms()
        is_granting = state.quotas.is_granting(present_ms)
        has_new_ejected = is_router and ejected != subscriber.sent_ejected
        configuration = self._delivery.answer(subscriber, pull) if is_router else ConfigurationAnswer()
        delta = Delta(
            config=configuration.config,
            records=state.registry.delta(subscriber.vector),
            vector={
                origin: counter
                for origin, counter in state.registry.vector.items()
                if counter > subscriber.vector.get(origin, 0)
            },
            controllers=controllers if controllers != subscriber.sent_controllers else [],
            router_count=max(1, self._subscriptions.router_count),
            quotas=state.quotas.statuses(pull, present_ms) if is_router else {},
            queued_prefill_tokens=state.prefill_load.without_own(subscriber.queued_prefill_tokens)
            if is_router
            else {},
            ejected=sorted(ejected) if has_new_ejected else None,
            wants_records=is_router and self.requests_records and not subscriber.records_requested,
            compressed_config=configuration.compressed_config,
            wants_encodings=configuration.wants_encodings,
            quotas_unknown=is_router and pull.config_sequence >= 0 and not is_granting,
            rollout_ages={} if is_router else state.rollouts.ages(present_ms),
            grants_quotas=is_granting if is_router else None,
            quota_offer=self._quota_offer(subscriber, pull, present_ms),
        )
        subscriber.records_requested = True
        subscriber.sent_ejected, subscriber.sent_controllers = ejected, controllers
        subscriber.sent_granting = is_granting
        subscriber.connection.send(delta)

    def _quota_claim(self, subscriber: Subscriber, pull: Pull) -> ShareClaim | None:
        """Returns the share that a controller claims; None for a router.

        Claims on an older connection of a controller are ignored: a newer claim may have arrived already.
        """
        if subscriber.is_router or not self._subscriptions.is_newest(subscriber.connection):
            return None
        return pull.quota_claim

    def _awaits_share(self, subscriber: Subscriber, pull: Pull, present_ms: float) -> bool:
        claim = self._quota_claim(subscriber, pull)
        if claim is None:
            return False
        return self._state.quota_shares.is_urgent(subscriber.connection.node, claim, present_ms)

    def _quota_offer(self, subscriber: Subscriber, pull: Pull, present_ms: float) -> ShareOffer | None:
        claim = self._quota_claim(subscriber, pull)
        if claim is None:
            return None
        return self._state.quota_shares.offer(subscriber.connection.node, claim, present_ms)


def _router_name(connection: Connection) -> str:
    """Returns a router's name in `RolloutSamples`, which differs for each of its incarnations."""
    return f"{connection.node}/{connection.incarnation}"
