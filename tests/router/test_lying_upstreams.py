"""Upstreams that falsely report to be ready, request priorities, and traffic splits, tested with whole exchanges."""

from __future__ import annotations

import asyncio
from collections import Counter
from collections.abc import Iterator
from itertools import count
from typing import Any

import msgspec
import pytest
from larkweir_balancing.fleet_outlier_detection import FIRST_EJECTION_MS, FleetOutlierDetector, sum_outcomes
from larkweir_registry.records import Upstream, UpstreamState

from larkweir.cluster.messages import ConfigUpdate
from tests.router.router_model import FakeClient, FakeUpstream, RouterHarness, SentRequest

UPSTREAMS = [f"u{number}" for number in range(10)]
REQUESTS = 60


class FleetHarness:
    """Upstreams that are listed as ready. Those in `failing` respond to every request with status 500."""

    def __init__(self, harness: RouterHarness) -> None:
        self.harness = harness
        self.failing: set[str] = set()
        self.runs: list[dict[str, str]] = []  # the headers of each request that reached an upstream
        self.plane = harness.model.plane
        gone = [Upstream(name, "s", "", "z", state=UpstreamState.GONE) for name in harness.model.instances]
        self.harness.do(lambda: self.plane.upstreams.update(gone, 0.0))
        self.list_upstreams("s", UPSTREAMS)

    def list_upstreams(self, service: str, names: list[str]) -> None:
        """Adds upstreams of a service, all of which report that they are ready."""
        listed = [Upstream(name, service, f"{name}:1", "z") for name in names]
        self.harness.model.instances.update(names)
        self.harness.do(lambda: self.plane.upstreams.update(listed, 0.0))

    def configure(self, route: dict[str, Any], **fields: Any) -> None:
        """Replaces the routes of the model by one route, at the path of its `safe` requests."""
        common = {"name": "r", "host": "a", "path_prefix": "/safe/", "kind": "idempotent", "max_attempts": 3}
        document = {"generation": 2, "routes": [{**common, **route}], "services": [], **fields}
        update = ConfigUpdate(2, -1, msgspec.Raw(msgspec.json.encode(document)))
        self.harness.do(lambda: self.plane.configuration.apply(update))

    def request(self, headers: str = "") -> SentRequest:
        """Sends one request, and lets each upstream that receives it respond."""
        return self.requests(1, headers)[0]

    def requests(self, count: int, headers: str = "") -> list[SentRequest]:
        """Sends `count` requests at the same time, as routers prefer upstreams with an idle connection."""
        batch = [self._send(headers) for _ in range(count)]
        while not all(sent.ended for sent in batch):
            for upstream in self.harness.waiting():
                self._answer(upstream)
        return batch

    def _send(self, headers: str) -> SentRequest:
        client = self.harness.do(lambda: FakeClient(self.harness.model))
        sent = SentRequest(f"r{len(self.harness.model.sent)}", "safe")
        self.harness.model.sent[sent.id] = sent
        client.queue(sent, b"", headers)
        self.harness.do(lambda: client.send(len(client.unsent)))
        return sent

    def _answer(self, upstream: FakeUpstream) -> None:
        assert upstream.run is not None
        headers = upstream.run.headers
        self.runs.append(headers)
        is_failing = headers["x-target-instance"] in self.failing
        self.harness.answer(upstream, status=500 if is_failing else 200)

    def take_counts(self) -> Counter[str]:
        """Returns the number of requests that each upstream received since the last call."""
        counts = Counter(headers["x-target-instance"] for headers in self.runs)
        self.runs.clear()
        return counts


@pytest.fixture
def fleet() -> Iterator[FleetHarness]:
    harness = RouterHarness()
    yield FleetHarness(harness)
    harness.close()


def test_an_upstream_that_reports_ready_but_fails_is_ejected(fleet: FleetHarness) -> None:
    fleet.failing = {"u3"}
    detector = FleetOutlierDetector()
    assert all(
        sent.status == 200 for sent in fleet.requests(REQUESTS)
    ), "requests that fail at u3 are retried at other upstreams"
    counts = fleet.take_counts()
    assert counts["u3"] >= 3
    now_ms = fleet.harness.loop.time() * 1000.0
    report = fleet.harness.do(lambda: fleet.plane.outcomes.failing_upstreams(now_ms))
    assert detector.evaluate([UPSTREAMS], sum_outcomes([report]), now_ms)
    assert detector.ejected == {"u3"}
    fleet.harness.do(lambda: fleet.plane.upstreams.set_ejected(detector.ejected))
    # u3 still reports that it is ready.
    fleet.harness.do(
        lambda: fleet.plane.upstreams.update([Upstream("u3", "s", "u3:1", "z", sequence=9)], now_ms)
    )
    assert all(sent.status == 200 for sent in fleet.requests(REQUESTS))
    assert fleet.take_counts()["u3"] == 0
    assert detector.evaluate([UPSTREAMS], {}, now_ms + FIRST_EJECTION_MS)
    fleet.failing = set()
    fleet.harness.do(lambda: fleet.plane.upstreams.set_ejected(detector.ejected))
    fleet.requests(4 * REQUESTS)
    assert fleet.take_counts()["u3"] > 0, "after its recovery it is used again"


def test_healthy_upstreams_are_used_without_requests_to_a_health_address(fleet: FleetHarness) -> None:
    """The model fails on any request that no client has sent, so a health check by a router would be detected."""
    assert all(sent.status == 200 for sent in fleet.requests(4 * REQUESTS))
    counts = fleet.take_counts()
    assert sum(counts.values()) == 4 * REQUESTS
    assert set(counts) == set(UPSTREAMS)
    assert min(counts.values()) >= 0.3 * 4 * REQUESTS / len(UPSTREAMS)


def test_the_clock_of_the_harness_stands_still(monkeypatch: pytest.MonkeyPatch) -> None:
    """No timer of the router retries or aborts a request, however slow the machine is."""
    # Each reading of the real clock advances it by 30 s; a request times out after 60 s.
    clock = count(step=30)
    monkeypatch.setattr(asyncio.BaseEventLoop, "time", lambda loop: float(next(clock)))
    harness = RouterHarness()
    sent = harness.request(harness.client(), "safe")
    (upstream,) = harness.waiting()
    assert not sent.ended
    harness.answer(upstream)
    assert sent.status == 200
    harness.close()


@pytest.mark.parametrize(
    ("route", "tenant", "forwarded"),
    [(0, None, "0"), (9, None, "9"), (12, None, "9"), (-3, None, "0"), (7, 2, "2"), (2, 7, "7"), (5, 0, "0")],
)
def test_the_priority_that_is_forwarded_to_upstreams(
    fleet: FleetHarness, route: int, tenant: int | None, forwarded: str
) -> None:
    """The tenant's priority overrides the route's, and the client's header is ignored. 0 is the most urgent."""
    tenants = [{"name": "t", "api_keys": ["k"], "priority": tenant}]
    fleet.configure({"priority": route, "backend": "s"}, tenants=tenants)
    assert fleet.request("X-Api-Key: k\r\nPriority: 1\r\n").status == 200
    assert [headers["priority"] for headers in fleet.runs] == [forwarded]


def test_a_retry_keeps_its_priority(fleet: FleetHarness) -> None:
    fleet.failing = set(UPSTREAMS)
    fleet.configure({"priority": 3, "backend": "s"})
    fleet.request()
    assert [headers["priority"] for headers in fleet.runs] == ["3"] * 3


def test_a_traffic_split_follows_its_weights_and_retries_stay_at_the_drawn_service(
    fleet: FleetHarness,
) -> None:
    small_service = [f"few{number}" for number in range(10)]
    fleet.list_upstreams("t", small_service)
    fleet.failing = {"u1", "few1"}
    split = [{"backend": "s", "weight": 80}, {"backend": "t", "weight": 20}]
    fleet.configure({"traffic_split": split})
    services: Counter[bool] = Counter()
    for _ in range(1_000):
        fleet.runs.clear()
        assert fleet.request().status == 200
        drawn = {headers["x-target-instance"] in small_service for headers in fleet.runs}
        assert len(drawn) == 1, "a retry was sent to the other service"
        services[drawn.pop()] += 1
    assert 160 <= services[True] <= 240  # the mean of 1,000 draws plus or minus three standard deviations
