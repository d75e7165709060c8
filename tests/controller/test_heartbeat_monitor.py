"""Which upstreams are marked as timed out, and which heartbeats are sent to the other controllers."""

from __future__ import annotations

import pytest
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams

from larkweir.cluster.messages import HeartbeatReport
from larkweir.controller import heartbeat_monitor
from larkweir.controller.heartbeat_monitor import HeartbeatMonitor
from tests.controller.conftest import FakeLinks

HEARTBEAT_MS = 1_000.0


class FakeContact:
    """A contact whose `was_connected` the test sets."""

    was_connected = True


class MonitorHarness:
    """Two upstreams that sent one heartbeat each at the start, and a clock that the test sets."""

    def __init__(self, links: FakeLinks) -> None:
        self.present_ms = 0.0
        self.updates = 0
        self.registry = Registry("c/1")
        self.failure_detector = FailureDetector(HEARTBEAT_MS, 0.0)
        self.unconfirmed = UnconfirmedUpstreams(self.registry, self.failure_detector)
        self.contact = FakeContact()
        self.monitor = HeartbeatMonitor(
            self.registry,
            self.failure_detector,
            self.unconfirmed,
            links,  # type: ignore[arg-type]
            self.contact,  # type: ignore[arg-type]
            self._updated,
        )
        for id_, state in (("u", UpstreamState.READY), ("gone", UpstreamState.GONE)):
            self.registry.update(Upstream(id_, "s", "127.0.0.1:1", "z", sequence=7, state=state), 0.0)
            self.failure_detector.record_heartbeat(id_, 7, 0.0)

    def _updated(self) -> None:
        self.updates += 1

    @property
    def timed_out(self) -> list[str]:
        return [upstream.id for upstream in self.registry.upstreams.values() if upstream.has_timed_out]


@pytest.fixture
def harness(links: FakeLinks, monkeypatch: pytest.MonkeyPatch) -> MonitorHarness:
    harness = MonitorHarness(links)
    monkeypatch.setattr(heartbeat_monitor, "now_ms", lambda: harness.present_ms)
    return harness


def test_received_heartbeats_are_sent_to_the_other_controllers_once(
    harness: MonitorHarness, links: FakeLinks
) -> None:
    links.connected = {"d", "e"}
    harness.monitor.share()
    harness.monitor.share()
    assert links.sent == [
        ("d", HeartbeatReport({"u": 7, "gone": 7})),
        ("e", HeartbeatReport({"u": 7, "gone": 7})),
    ]


def test_an_upstream_whose_heartbeats_have_stopped_is_marked_once(harness: MonitorHarness) -> None:
    harness.present_ms = harness.failure_detector.timeout_ms
    harness.monitor.evaluate()
    harness.monitor.evaluate()
    assert harness.timed_out == ["u"]
    assert harness.updates == 1


def test_an_upstream_is_not_marked_before_the_timeout(harness: MonitorHarness) -> None:
    harness.present_ms = harness.failure_detector.timeout_ms - 1.0
    harness.monitor.evaluate()
    assert harness.timed_out == []
    assert harness.updates == 0


def test_no_upstream_is_marked_without_contact_or_within_the_timeout_after_it_is_regained(
    harness: MonitorHarness,
) -> None:
    harness.contact.was_connected = False
    harness.present_ms = 2.0 * harness.failure_detector.timeout_ms
    harness.monitor.evaluate()
    harness.contact.was_connected = True
    harness.present_ms = 3.0 * harness.failure_detector.timeout_ms - 1.0
    harness.monitor.evaluate()
    assert harness.timed_out == []
    harness.present_ms = 3.0 * harness.failure_detector.timeout_ms
    harness.monitor.evaluate()
    assert harness.timed_out == ["u"]


def test_an_offered_upstream_that_sends_no_heartbeat_is_marked(harness: MonitorHarness) -> None:
    harness.unconfirmed.add([Upstream("old", "s", "127.0.0.1:1", "z", sequence=3)], 0.0)
    harness.present_ms = harness.failure_detector.timeout_ms
    harness.monitor.evaluate()
    assert "old" in harness.timed_out
    assert harness.updates >= 1
