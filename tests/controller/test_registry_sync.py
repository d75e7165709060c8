"""Pulls of a controller from another one, and how it processes the answers."""

from __future__ import annotations

import asyncio
from collections.abc import Callable

import msgspec
import pytest
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.share_leases import TOTAL_SHARE, ShareClaim, ShareOffer
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Record, Upstream, UpstreamState
from larkweir_registry.registry import Registry

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import Delta, Message, Pull
from larkweir.controller.clock import now_ms
from larkweir.controller.quota_shares import QuotaGroup, QuotaShares
from larkweir.controller.registry_sync import RegistrySync

NO_CLAIM = ShareClaim(clients=3)
UPSTREAM = Upstream("u", "s", "127.0.0.1:1", "z", sequence=7)


class RecordingConnection(Connection):
    """A connection that records the sent messages."""

    def __init__(self) -> None:
        super().__init__(lambda connection, message: None, lambda connection: None)
        self.sent: list[Message] = []

    def send(self, message: Message) -> None:
        self.sent.append(message)


class RegistrySyncHarness:
    """One registry that pulls on one connection. Must be created inside an event loop."""

    def __init__(self) -> None:
        self.updates = 0
        self.departures = 0
        self.registry = Registry("c/1")
        self.failure_detector = FailureDetector(1_000.0, 0.0)
        self.connection = RecordingConnection()
        self.connection.node = "d"
        self.allocator = QuotaAllocator()
        group = QuotaGroup("c", term=lambda now_ms: None, members=lambda: ["c", "d"], clients=lambda: 3)
        shares = QuotaShares(self.allocator, group, lambda: None)
        self.sync = RegistrySync(self.registry, self.failure_detector, shares, self._updated, self._departed)

    def _updated(self) -> None:
        self.updates += 1

    def _departed(self) -> None:
        self.departures += 1


def run_scenario(scenario: Callable[[RegistrySyncHarness], None]) -> None:
    async def run() -> None:
        scenario(RegistrySyncHarness())

    asyncio.run(run())


def test_the_first_pull_has_the_vector() -> None:
    def scenario(harness: RegistrySyncHarness) -> None:
        harness.registry.update(UPSTREAM, 0.0)
        harness.sync.begin(harness.connection)
        assert harness.connection.sent == [Pull(vector={"c/1": 1}, quota_claim=NO_CLAIM)]

    run_scenario(scenario)


def test_records_are_merged_and_the_next_pull_has_the_new_vector() -> None:
    def scenario(harness: RegistrySyncHarness) -> None:
        harness.sync.received(
            harness.connection, Delta(records=[Record(UPSTREAM, "d/1", 4)], vector={"d/1": 4})
        )
        assert harness.registry.upstreams == {"u": UPSTREAM}
        assert harness.failure_detector.last_sequence("u") == 7
        assert harness.updates == 1
        assert harness.departures == 0
        assert harness.connection.sent == [Pull(vector={"d/1": 4}, quota_claim=NO_CLAIM)]

    run_scenario(scenario)


@pytest.mark.parametrize("state", [UpstreamState.DRAINING, UpstreamState.GONE])
def test_a_departure_is_notified_once(state: UpstreamState) -> None:
    def scenario(harness: RegistrySyncHarness) -> None:
        departed = Record(msgspec.structs.replace(UPSTREAM, state=state), "d/1", 4)
        for _ in range(2):
            harness.sync.received(harness.connection, Delta(records=[departed], vector={"d/1": 4}))
        assert harness.departures == 1

    run_scenario(scenario)


def test_without_an_update_the_next_pull_leaves_the_vector_out() -> None:
    def scenario(harness: RegistrySyncHarness) -> None:
        harness.sync.received(harness.connection, Delta())
        assert harness.updates == 0
        assert harness.connection.sent == [Pull(quota_claim=NO_CLAIM)]

    run_scenario(scenario)


def test_an_offer_is_a_lease_and_the_next_pull_claims_it() -> None:
    def scenario(harness: RegistrySyncHarness) -> None:
        harness.sync.begin(harness.connection)
        harness.sync.received(harness.connection, Delta(quota_offer=ShareOffer((4, "d"), TOTAL_SHARE // 2)))
        assert harness.allocator.has_share(now_ms())
        claim = ShareClaim((4, "d"), TOTAL_SHARE // 2, 3)
        assert harness.connection.sent[1:] == [Pull(quota_claim=claim)]

    run_scenario(scenario)


def test_an_offer_that_answers_no_pull_is_ignored() -> None:
    def scenario(harness: RegistrySyncHarness) -> None:
        harness.sync.received(harness.connection, Delta(quota_offer=ShareOffer((4, "d"), TOTAL_SHARE // 2)))
        assert not harness.allocator.has_share(now_ms())

    run_scenario(scenario)
