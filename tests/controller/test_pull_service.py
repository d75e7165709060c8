"""Pulls of routers and controllers: reported state, pending answers, and the contents of answers."""

from __future__ import annotations

import asyncio
import random

import msgspec
from larkweir_balancing.fleet_outlier_detection import MIN_FAILURES, OutcomeCounts
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.share_leases import LEASE_MS, TOTAL_SHARE, ShareClaim, ShareOffer
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Record, Upstream
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams
from larkweir_rollouts.pooling import count_answers

from larkweir.cluster.configuration.documents import ROLLOUTS_KEY
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import Delta, Message, NodeRole, Pull
from larkweir.controller.clock import now_ms
from larkweir.controller.committed_rollouts import CATCH_UP_MS
from larkweir.controller.configuration_history import ConfigurationHistory
from larkweir.controller.delivery_confirmation import DeliveryConfirmation
from larkweir.controller.prefill_load import MIN_REPORTED_TOKENS, PrefillLoad
from larkweir.controller.pull_service import PublishedState, PullService
from larkweir.controller.quota_accounting import QuotaAccounting
from larkweir.controller.quota_shares import QuotaGroup, QuotaShares
from larkweir.controller.subscriptions import Subscriptions
from larkweir.controller.upstream_ejection import UpstreamEjection
from tests.controller.rollout_factories import ORDERED_UNIX_MS, document, report, rollout

ROUTERS = 3
WAIT_S = 10.0  # time-out; the answer normally arrives within milliseconds


class RecordingConnection(Connection):
    """A connection that records the sent deltas."""

    def __init__(self, node: str) -> None:
        super().__init__(lambda connection, message: None, lambda connection: None)
        self.node = self.incarnation = node
        self.sent: list[Delta] = []
        self.has_answer = asyncio.Event()

    def send(self, message: Message) -> None:
        if isinstance(message, Delta):
            self.sent.append(message)
            self.has_answer.set()


class PullServiceHarness:
    """A controller's pull service and some routers. Must be created inside an event loop."""

    def __init__(self) -> None:
        self.allocator = QuotaAllocator()
        self.term: tuple[int, str] | None = None
        self.registry = Registry("c/1")
        self.failure_detector = FailureDetector(1_000.0, 0.0)
        subscriptions = Subscriptions()
        self.prefill_load = PrefillLoad()
        self.ejection = UpstreamEjection(self.registry, subscriptions)
        state = self.state = PublishedState(
            registry=self.registry,
            configuration=ConfigurationHistory(),
            quotas=QuotaAccounting(self.allocator),
            quota_shares=QuotaShares(self.allocator, self._group(), lambda: self.pulls.wake()),
            prefill_load=self.prefill_load,
            ejection=self.ejection,
            unconfirmed=UnconfirmedUpstreams(self.registry, self.failure_detector),
        )
        confirmation = DeliveryConfirmation(subscriptions, lambda version: True, lambda others, own: True)
        self.pulls = PullService(state, subscriptions, confirmation, lambda: ["c"])
        self.routers = [RecordingConnection(f"r{n}") for n in range(ROUTERS)]
        for router in self.routers:
            self.pulls.connected(router, NodeRole.ROUTER)

    def _group(self) -> QuotaGroup:
        return QuotaGroup(
            "c", term=lambda present_ms: self.term, members=lambda: ["c", "d"], clients=lambda: ROUTERS
        )

    def answer(self, router: RecordingConnection, pull: Pull) -> Delta:
        """Returns the immediate answer to a pull: a new upstream ensures that there is an update."""
        self.registry.update(Upstream(f"u{random.random()}", "other", "127.0.0.1:1", "z"), 0.0)
        router.sent.clear()
        self.pulls.pull(router, pull)
        return router.sent[-1]


def test_prefill_load_is_summed_over_routers_and_sent_to_the_others_at_once() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        one, two, three = harness.routers
        harness.pulls.report_prefill(one, {"e": MIN_REPORTED_TOKENS, "f": 10})
        harness.pulls.report_prefill(two, {"e": 500})
        assert harness.prefill_load.tokens_by_engine == {"e": MIN_REPORTED_TOKENS + 500, "f": 10}
        assert harness.answer(three, Pull(vector={})).queued_prefill_tokens == {
            "e": MIN_REPORTED_TOKENS + 500
        }
        assert harness.answer(
            one, Pull(vector={}, queued_prefill_tokens={"e": MIN_REPORTED_TOKENS})
        ).queued_prefill_tokens == {"e": 500}
        harness.pulls.report_prefill(one, {})
        assert harness.prefill_load.tokens_by_engine == {"e": 500}
        assert harness.answer(three, Pull(vector={})).queued_prefill_tokens == {}

    asyncio.run(scenario())


def test_the_prefill_load_of_a_disconnected_router_is_removed() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        harness.pulls.report_prefill(harness.routers[0], {"e": 9_000})
        harness.pulls.disconnected(harness.routers[0])
        assert harness.prefill_load.tokens_by_engine == {}
        harness.pulls.report_prefill(harness.routers[0], {"e": 9_000})
        assert harness.prefill_load.tokens_by_engine == {}

    asyncio.run(scenario())


def test_the_prefill_load_is_the_sum_of_the_latest_reports() -> None:
    async def scenario() -> None:
        rng = random.Random(5)
        harness = PullServiceHarness()
        last: dict[str, dict[str, int]] = {}
        for _ in range(500):
            router = rng.choice(harness.routers)
            reported = {engine: rng.randrange(1, 9_000) for engine in "efgh" if rng.random() < 0.5}
            harness.pulls.report_prefill(router, reported)
            last[router.node] = reported
            total = {engine: sum(one.get(engine, 0) for one in last.values()) for engine in "efgh"}
            assert harness.prefill_load.tokens_by_engine == {
                engine: tokens for engine, tokens in total.items() if tokens
            }

    asyncio.run(scenario())


def test_an_upstream_that_fails_calls_of_several_routers_is_ejected_for_all_routers() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        for number in range(8):
            harness.registry.update(Upstream(f"s{number}", "s", f"127.0.0.1:{number}", "z"), 0.0)
        harness.registry.update(Upstream("bad", "s", "127.0.0.1:9", "z"), 0.0)
        for router in harness.routers:
            harness.answer(router, Pull(vector={}, outcomes={"bad": OutcomeCounts(0, MIN_FAILURES)}))
        harness.pulls.tick()
        assert harness.ejection.ejected == {"bad"}
        assert harness.answer(harness.routers[0], Pull(vector={})).ejected == ["bad"]
        assert harness.answer(harness.routers[0], Pull(vector={})).ejected is None, "sent only once"

    asyncio.run(scenario())


def test_a_controller_without_stored_upstreams_requests_records_of_each_router_once() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        harness.pulls.requests_records = True
        first, second, _ = harness.routers
        assert harness.answer(first, Pull(vector={})).wants_records
        assert not harness.answer(first, Pull(vector={})).wants_records
        assert harness.answer(second, Pull(vector={})).wants_records
        known = set(harness.registry.upstreams)
        offered = [Record(Upstream("old", "s", "127.0.0.1:1", "z", sequence=3), "c/0", 1)]
        harness.pulls.pull(first, Pull(vector={}, records=offered))
        assert set(harness.registry.upstreams) == known, "other routers are not informed of it"
        assert harness.failure_detector.last_sequence("old") == 3

    asyncio.run(scenario())


def test_a_controller_with_stored_upstreams_requests_no_records() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        assert not harness.answer(harness.routers[0], Pull(vector={})).wants_records

    asyncio.run(scenario())


def test_reports_of_a_rollout_are_pooled_until_the_router_is_lost() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        order = rollout()
        harness.pulls.publish(1, msgspec.json.encode(document(order)).decode())
        pool = harness.state.rollout_samples.pool("s")
        assert pool is not None
        for router in harness.routers:
            harness.pulls.pull(router, Pull(rollouts={"s": report(order, 5, others_in_flight=2)}))
            harness.pulls.pull(router, Pull())
        assert count_answers(pool.totals().target) == 15
        assert pool.totals().others.in_flight == 6
        harness.pulls.disconnected(harness.routers[0])
        assert count_answers(pool.totals().target) == 15
        assert pool.totals().others.in_flight == 4

    asyncio.run(scenario())


def test_a_router_that_reconnects_before_its_old_connection_ends_keeps_its_report() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        order, later = rollout(), rollout(target_version="v3")
        harness.pulls.publish(1, msgspec.json.encode(document(order)).decode())
        old, new = harness.routers[0], RecordingConnection(harness.routers[0].node)
        harness.pulls.pull(old, Pull(rollouts={"s": report(order, 5, others_in_flight=2)}))
        harness.pulls.connected(new, NodeRole.ROUTER)
        harness.pulls.pull(new, Pull(rollouts={"s": report(order, 5, others_in_flight=3)}))
        harness.pulls.pull(old, Pull(rollouts={"s": report(order, 5, others_in_flight=1)}))
        pool = harness.state.rollout_samples.pool("s")
        assert pool is not None
        assert pool.totals().others.in_flight == 3, "a late report on the old connection is older"
        harness.pulls.pull(new, Pull(rollouts={"s": report(later, 4, others_in_flight=3)}))
        harness.pulls.disconnected(old)
        harness.pulls.publish(2, msgspec.json.encode(document(later)).decode())
        assert (count_answers(pool.totals().target), pool.totals().others.in_flight) == (4, 3)
        harness.pulls.disconnected(new)
        assert pool.totals().others.in_flight == 0

    asyncio.run(scenario())


def test_in_flight_requests_stay_counted_when_the_old_connection_of_a_router_ends_late() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        order = rollout()
        harness.pulls.publish(1, msgspec.json.encode(document(order)).decode())
        former = harness.routers[0]
        again = RecordingConnection(former.node)
        harness.pulls.connected(again, NodeRole.ROUTER)
        harness.pulls.pull(again, Pull(rollouts={"s": report(order, 5, others_in_flight=2)}))
        harness.pulls.disconnected(former)
        pool = harness.state.rollout_samples.pool("s")
        assert pool is not None
        assert pool.totals().others.in_flight == 2
        harness.pulls.disconnected(again)
        assert pool.totals().others.in_flight == 0

    asyncio.run(scenario())


def test_controllers_are_sent_the_ages_of_running_rollouts() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        harness.pulls.publish(1, msgspec.json.encode(document()).decode())
        harness.state.rollouts.update(document(rollout()), 2, now_ms() + 2 * CATCH_UP_MS, ORDERED_UNIX_MS)
        controller = RecordingConnection("c2")
        harness.pulls.connected(controller, NodeRole.CONTROLLER)
        assert harness.answer(controller, Pull(vector={})).rollout_ages["s"].order_id == rollout().order_id
        assert harness.answer(harness.routers[0], Pull(vector={})).rollout_ages == {}

    asyncio.run(scenario())


def test_a_step_of_a_rollout_is_sent_as_a_patch_of_it_alone() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        harness.pulls.publish(1, msgspec.json.encode(document(rollout())).decode())
        advanced = document(rollout(target_weight=0.5))
        harness.pulls.publish(2, msgspec.json.encode(advanced).decode())
        update = harness.answer(harness.routers[0], Pull(1, {})).config
        assert update is not None
        assert msgspec.json.decode(update.body) == {
            "upsert": {},
            "remove": {},
            ROLLOUTS_KEY: msgspec.json.decode(msgspec.json.encode(advanced[ROLLOUTS_KEY])),
        }

    asyncio.run(scenario())


def test_routers_are_notified_at_once_that_a_controller_has_a_share_of_the_quotas() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        harness.pulls.publish(1, '{"generation":1,"tenants":[{"name":"t","rate_per_s":1000}]}')
        one, two, _ = harness.routers
        for router in (one, two):
            assert harness.answer(router, Pull(1, {})).grants_quotas is False
            router.sent.clear()
            router.has_answer.clear()
            harness.pulls.pull(router, Pull(1, vector=harness.registry.vector))
        harness.term = (1, "c")
        harness.pulls.connected(other := RecordingConnection("d"), NodeRole.CONTROLLER)
        for _ in range(2):
            harness.state.quota_shares.tick(now_ms())
            claim = ShareClaim(harness.term, 0, 0) if other.sent else ShareClaim()
            harness.pulls.pull(other, Pull(vector=harness.registry.vector, quota_claim=claim))
        harness.state.quota_shares.tick(now_ms())
        await asyncio.wait_for(two.has_answer.wait(), WAIT_S)
        assert two.sent[-1].grants_quotas is True
        assert not two.sent[-1].quotas_unknown

    asyncio.run(scenario())


def test_only_the_primary_answers_a_controller_without_a_share_at_once() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        harness.pulls.connected(other := RecordingConnection("d"), NodeRole.CONTROLLER)
        harness.pulls.pull(other, Pull(vector={}, quota_claim=ShareClaim(clients=2)))
        assert other.sent == []
        harness.term = (1, "c")
        harness.state.quota_shares.tick(now_ms())
        await asyncio.wait_for(other.has_answer.wait(), WAIT_S)
        assert other.sent[-1].quota_offer == ShareOffer((1, "c"), 0), "the primary's claim is unconfirmed"
        harness.state.quota_shares.tick(now_ms())
        other.sent.clear()
        harness.pulls.pull(other, Pull(quota_claim=ShareClaim((1, "c"), 0, 2)))
        assert other.sent[-1].quota_offer == ShareOffer((1, "c"), TOTAL_SHARE * 2 // (2 + ROUTERS))
        assert other.sent[-1].grants_quotas is None

    asyncio.run(scenario())


def test_a_claim_on_an_older_connection_of_a_controller_is_ignored() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        harness.pulls.connected(older := RecordingConnection("d"), NodeRole.CONTROLLER)
        harness.pulls.connected(newer := RecordingConnection("d"), NodeRole.CONTROLLER)
        harness.term = (1, "c")
        harness.state.quota_shares.tick(now_ms())
        leased = ShareClaim((1, "c"), TOTAL_SHARE // 2, ROUTERS)
        harness.answer(newer, Pull(vector={}, quota_claim=leased))
        harness.answer(older, Pull(vector={}, quota_claim=ShareClaim((1, "c"), 0, ROUTERS)))
        for _ in range(3):
            harness.state.quota_shares.tick(now_ms())
        assert harness.allocator.share(now_ms()) <= TOTAL_SHARE // 2, "the other half is leased"
        assert older.sent[-1].quota_offer is None

    asyncio.run(scenario())


def test_a_controller_without_a_share_reports_that_its_quotas_are_unknown() -> None:
    async def scenario() -> None:
        harness = PullServiceHarness()
        one, two, _ = harness.routers
        assert not harness.answer(one, Pull(vector={})).quotas_unknown, "the router has no configuration"
        assert harness.answer(two, Pull(7, {})).quotas_unknown
        harness.pulls.publish(1, '{"generation":1}')
        assert harness.answer(two, Pull(7, {})).quotas_unknown
        harness.allocator.set_share(TOTAL_SHARE, now_ms() + LEASE_MS, now_ms())
        assert not harness.answer(two, Pull(7, {})).quotas_unknown

    asyncio.run(scenario())
