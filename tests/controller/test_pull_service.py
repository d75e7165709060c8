"""What routers tell of prompts that wait at engines, and what a controller tells the others of it."""

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
WAIT_S = 10.0  # for what comes within milliseconds


class Recorded(Connection):
    """A connection of which the test sees what is sent."""

    def __init__(self, node: str) -> None:
        super().__init__(lambda connection, message: None, lambda connection: None)
        self.node = self.incarnation = node
        self.sent: list[Delta] = []
        self.has_answer = asyncio.Event()

    def send(self, message: Message) -> None:
        if isinstance(message, Delta):
            self.sent.append(message)
            self.has_answer.set()


class Scene:
    """A controller's pulls and some routers. To be made inside a loop."""

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
        confirmation = DeliveryConfirmation(self.registry, subscriptions)
        self.pulls = PullService(state, subscriptions, confirmation, lambda: ["c"])
        self.routers = [Recorded(f"r{n}") for n in range(ROUTERS)]
        for router in self.routers:
            self.pulls.connected(router, NodeRole.ROUTER)

    def _group(self) -> QuotaGroup:
        return QuotaGroup(
            "c", term=lambda present_ms: self.term, members=lambda: ["c", "d"], clients=lambda: ROUTERS
        )

    def answer(self, router: Recorded, pull: Pull) -> Delta:
        """What a pull is answered that lacks the list of upstreams."""
        self.registry.update(Upstream(f"u{random.random()}", "other", "127.0.0.1:1", "z"), 0.0)
        router.sent.clear()
        self.pulls.pull(router, pull)
        return router.sent[-1]


def test_prefill_load_is_summed_over_routers_and_sent_to_the_others_at_once() -> None:
    async def scene() -> None:
        made = Scene()
        one, two, three = made.routers
        made.pulls.report_prefill(one, {"e": MIN_REPORTED_TOKENS, "f": 10})
        made.pulls.report_prefill(two, {"e": 500})
        assert made.prefill_load.tokens_by_engine == {"e": MIN_REPORTED_TOKENS + 500, "f": 10}
        assert made.answer(three, Pull(vector={})).queued_prefill_tokens == {"e": MIN_REPORTED_TOKENS + 500}
        assert made.answer(
            one, Pull(vector={}, queued_prefill_tokens={"e": MIN_REPORTED_TOKENS})
        ).queued_prefill_tokens == {"e": 500}
        made.pulls.report_prefill(one, {})
        assert made.prefill_load.tokens_by_engine == {"e": 500}
        assert made.answer(three, Pull(vector={})).queued_prefill_tokens == {}

    asyncio.run(scene())


def test_the_prefill_load_of_a_lost_router_counts_no_longer() -> None:
    async def scene() -> None:
        made = Scene()
        made.pulls.report_prefill(made.routers[0], {"e": 9_000})
        made.pulls.disconnected(made.routers[0])
        assert made.prefill_load.tokens_by_engine == {}
        made.pulls.report_prefill(made.routers[0], {"e": 9_000})
        assert made.prefill_load.tokens_by_engine == {}

    asyncio.run(scene())


def test_any_order_of_reports_leaves_the_sum_of_the_last_ones() -> None:
    async def scene() -> None:
        rng = random.Random(5)
        made = Scene()
        last: dict[str, dict[str, int]] = {}
        for _ in range(500):
            router = rng.choice(made.routers)
            reported = {engine: rng.randrange(1, 9_000) for engine in "efgh" if rng.random() < 0.5}
            made.pulls.report_prefill(router, reported)
            last[router.node] = reported
            total = {engine: sum(one.get(engine, 0) for one in last.values()) for engine in "efgh"}
            assert made.prefill_load.tokens_by_engine == {
                engine: tokens for engine, tokens in total.items() if tokens
            }

    asyncio.run(scene())


def test_an_upstream_that_fails_calls_of_several_routers_is_ejected_for_all_routers() -> None:
    async def scene() -> None:
        made = Scene()
        for number in range(8):
            made.registry.update(Upstream(f"s{number}", "s", f"127.0.0.1:{number}", "z"), 0.0)
        made.registry.update(Upstream("bad", "s", "127.0.0.1:9", "z"), 0.0)
        for router in made.routers:
            made.answer(router, Pull(vector={}, outcomes={"bad": OutcomeCounts(0, MIN_FAILURES)}))
        made.pulls.tick()
        assert made.ejection.ejected == {"bad"}
        assert made.answer(made.routers[0], Pull(vector={})).ejected == ["bad"]
        assert made.answer(made.routers[0], Pull(vector={})).ejected is None, "told once"

    asyncio.run(scene())


def test_a_controller_without_history_asks_each_router_once_and_watches_what_it_is_offered() -> None:
    async def scene() -> None:
        made = Scene()
        made.pulls.requests_records = True
        first, second, _ = made.routers
        assert made.answer(first, Pull(vector={})).wants_records
        assert not made.answer(first, Pull(vector={})).wants_records
        assert made.answer(second, Pull(vector={})).wants_records
        known = set(made.registry.upstreams)
        offered = [Record(Upstream("old", "s", "127.0.0.1:1", "z", sequence=3), "c/0", 1)]
        made.pulls.pull(first, Pull(vector={}, records=offered))
        assert set(made.registry.upstreams) == known, "other routers do not learn of it"
        assert made.failure_detector.last_sequence("old") == 3

    asyncio.run(scene())


def test_a_controller_with_history_asks_nobody() -> None:
    async def scene() -> None:
        made = Scene()
        assert not made.answer(made.routers[0], Pull(vector={})).wants_records

    asyncio.run(scene())


def test_reports_of_a_rollout_are_pooled_until_the_router_is_lost() -> None:
    async def scene() -> None:
        made = Scene()
        order = rollout()
        made.pulls.publish(1, msgspec.json.encode(document(order)).decode())
        pool = made.state.rollout_samples.pool("s")
        assert pool is not None
        for router in made.routers:
            made.pulls.pull(router, Pull(rollouts={"s": report(order, 5, others_in_flight=2)}))
            made.pulls.pull(router, Pull())
        assert count_answers(pool.totals().target) == 15
        assert pool.totals().others.in_flight == 6
        made.pulls.disconnected(made.routers[0])
        assert count_answers(pool.totals().target) == 15
        assert pool.totals().others.in_flight == 4

    asyncio.run(scene())


def test_a_router_that_is_back_before_its_old_connection_ends_keeps_its_report() -> None:
    async def scene() -> None:
        made = Scene()
        order, later = rollout(), rollout(target_version="v3")
        made.pulls.publish(1, msgspec.json.encode(document(order)).decode())
        old, new = made.routers[0], Recorded(made.routers[0].node)
        made.pulls.pull(old, Pull(rollouts={"s": report(order, 5, others_in_flight=2)}))
        made.pulls.connected(new, NodeRole.ROUTER)
        made.pulls.pull(new, Pull(rollouts={"s": report(order, 5, others_in_flight=3)}))
        made.pulls.pull(old, Pull(rollouts={"s": report(order, 5, others_in_flight=1)}))
        pool = made.state.rollout_samples.pool("s")
        assert pool is not None
        assert pool.totals().others.in_flight == 3, "what is read late of the old connection is older"
        made.pulls.pull(new, Pull(rollouts={"s": report(later, 4, others_in_flight=3)}))
        made.pulls.disconnected(old)
        made.pulls.publish(2, msgspec.json.encode(document(later)).decode())
        assert (count_answers(pool.totals().target), pool.totals().others.in_flight) == (4, 3)
        made.pulls.disconnected(new)
        assert pool.totals().others.in_flight == 0

    asyncio.run(scene())


def test_what_is_under_way_stays_counted_when_the_former_connection_of_a_router_ends_late() -> None:
    async def scene() -> None:
        made = Scene()
        order = rollout()
        made.pulls.publish(1, msgspec.json.encode(document(order)).decode())
        former = made.routers[0]
        again = Recorded(former.node)
        made.pulls.connected(again, NodeRole.ROUTER)
        made.pulls.pull(again, Pull(rollouts={"s": report(order, 5, others_in_flight=2)}))
        made.pulls.disconnected(former)
        pool = made.state.rollout_samples.pool("s")
        assert pool is not None
        assert pool.totals().others.in_flight == 2
        made.pulls.disconnected(again)
        assert pool.totals().others.in_flight == 0

    asyncio.run(scene())


def test_controllers_are_told_the_ages_of_running_rollouts() -> None:
    async def scene() -> None:
        made = Scene()
        made.pulls.publish(1, msgspec.json.encode(document()).decode())
        made.state.rollouts.update(document(rollout()), 2, now_ms() + 2 * CATCH_UP_MS, ORDERED_UNIX_MS)
        controller = Recorded("c2")
        made.pulls.connected(controller, NodeRole.CONTROLLER)
        assert made.answer(controller, Pull(vector={})).rollout_ages["s"].order_id == rollout().order_id
        assert made.answer(made.routers[0], Pull(vector={})).rollout_ages == {}

    asyncio.run(scene())


def test_a_step_of_a_rollout_is_sent_as_a_patch_of_it_alone() -> None:
    async def scene() -> None:
        made = Scene()
        made.pulls.publish(1, msgspec.json.encode(document(rollout())).decode())
        advanced = document(rollout(target_weight=0.5))
        made.pulls.publish(2, msgspec.json.encode(advanced).decode())
        update = made.answer(made.routers[0], Pull(1, {})).config
        assert update is not None
        assert msgspec.json.decode(update.body) == {
            "upsert": {},
            "remove": {},
            ROLLOUTS_KEY: msgspec.json.decode(msgspec.json.encode(advanced[ROLLOUTS_KEY])),
        }

    asyncio.run(scene())


def test_routers_are_notified_at_once_that_a_controller_has_a_share_of_the_quotas() -> None:
    async def scene() -> None:
        made = Scene()
        made.pulls.publish(1, '{"generation":1,"tenants":[{"name":"t","rate_per_s":1000}]}')
        one, two, _ = made.routers
        for router in (one, two):
            assert made.answer(router, Pull(1, {})).grants_quotas is False
            router.sent.clear()
            router.has_answer.clear()
            made.pulls.pull(router, Pull(1, vector=made.registry.vector))
        made.term = (1, "c")
        made.pulls.connected(other := Recorded("d"), NodeRole.CONTROLLER)
        for _ in range(2):
            made.state.quota_shares.tick(now_ms())
            claim = ShareClaim(made.term, 0, 0) if other.sent else ShareClaim()
            made.pulls.pull(other, Pull(vector=made.registry.vector, quota_claim=claim))
        made.state.quota_shares.tick(now_ms())
        await asyncio.wait_for(two.has_answer.wait(), WAIT_S)
        assert two.sent[-1].grants_quotas is True
        assert not two.sent[-1].quotas_unknown

    asyncio.run(scene())


def test_the_primary_answers_a_controller_without_a_share_at_once_and_others_do_not() -> None:
    async def scene() -> None:
        made = Scene()
        made.pulls.connected(other := Recorded("d"), NodeRole.CONTROLLER)
        made.pulls.pull(other, Pull(vector={}, quota_claim=ShareClaim(clients=2)))
        assert other.sent == []
        made.term = (1, "c")
        made.state.quota_shares.tick(now_ms())
        await asyncio.wait_for(other.has_answer.wait(), WAIT_S)
        assert other.sent[-1].quota_offer == ShareOffer((1, "c"), 0), "the own claim is not confirmed yet"
        made.state.quota_shares.tick(now_ms())
        other.sent.clear()
        made.pulls.pull(other, Pull(quota_claim=ShareClaim((1, "c"), 0, 2)))
        assert other.sent[-1].quota_offer == ShareOffer((1, "c"), TOTAL_SHARE * 2 // (2 + ROUTERS))
        assert other.sent[-1].grants_quotas is None

    asyncio.run(scene())


def test_a_claim_on_an_older_connection_of_a_controller_is_not_believed() -> None:
    async def scene() -> None:
        made = Scene()
        made.pulls.connected(older := Recorded("d"), NodeRole.CONTROLLER)
        made.pulls.connected(newer := Recorded("d"), NodeRole.CONTROLLER)
        made.term = (1, "c")
        made.state.quota_shares.tick(now_ms())
        leased = ShareClaim((1, "c"), TOTAL_SHARE // 2, ROUTERS)
        made.answer(newer, Pull(vector={}, quota_claim=leased))
        made.answer(older, Pull(vector={}, quota_claim=ShareClaim((1, "c"), 0, ROUTERS)))
        for _ in range(3):
            made.state.quota_shares.tick(now_ms())
        assert made.allocator.share(now_ms()) <= TOTAL_SHARE // 2, "the other half is leased"
        assert older.sent[-1].quota_offer is None

    asyncio.run(scene())


def test_a_controller_without_a_share_reports_that_its_quotas_are_unknown() -> None:
    async def scene() -> None:
        made = Scene()
        one, two, _ = made.routers
        assert not made.answer(one, Pull(vector={})).quotas_unknown, "the router has no configuration"
        assert made.answer(two, Pull(7, {})).quotas_unknown
        made.pulls.publish(1, '{"generation":1}')
        assert made.answer(two, Pull(7, {})).quotas_unknown
        made.allocator.set_share(TOTAL_SHARE, now_ms() + LEASE_MS, now_ms())
        assert not made.answer(two, Pull(7, {})).quotas_unknown

    asyncio.run(scene())
