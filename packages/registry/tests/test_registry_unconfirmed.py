"""How a registry that lost its records handles the records that readers offer."""

from __future__ import annotations

from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams


class RegistryWithoutHistory:
    def __init__(self) -> None:
        self.registry = Registry("c/2")
        self.detector = FailureDetector(1_000.0, 0.0)
        self.unconfirmed = UnconfirmedUpstreams(self.registry, self.detector)


def upstream(id_: str, state: UpstreamState = UpstreamState.READY, sequence: int = 7) -> Upstream:
    return Upstream(id_, "s", "127.0.0.1:1", "z", sequence=sequence, state=state)


def test_an_offered_ready_upstream_is_watched_and_not_passed_on() -> None:
    fixture = RegistryWithoutHistory()
    assert not fixture.unconfirmed.add([upstream("u")], 100.0)
    assert fixture.registry.upstreams == {}
    assert fixture.unconfirmed.take_timed_out(100.0) == []
    late_ms = 100.0 + fixture.detector.timeout_ms
    assert [one.id for one in fixture.unconfirmed.take_timed_out(late_ms)] == ["u"]
    assert fixture.unconfirmed.take_timed_out(late_ms) == [], "returned only once"


def test_a_heartbeat_confirms_an_offered_upstream() -> None:
    fixture = RegistryWithoutHistory()
    fixture.unconfirmed.add([upstream("u")], 100.0)
    fixture.detector.record_heartbeat("u", 8, 2_000.0)
    fixture.registry.update(upstream("u", sequence=8), 2_000.0)
    assert fixture.unconfirmed.take_timed_out(100.0 + fixture.detector.timeout_ms) == []
    assert fixture.unconfirmed.take_timed_out(1e9) == [], "the registry's own failure detection applies now"


def test_a_repeated_offer_does_not_extend_the_time_out() -> None:
    fixture = RegistryWithoutHistory()
    fixture.unconfirmed.add([upstream("u")], 0.0)
    fixture.unconfirmed.add([upstream("u")], 3_000.0)
    assert fixture.unconfirmed.take_timed_out(fixture.detector.timeout_ms)


def test_the_offer_with_the_highest_sequence_is_used() -> None:
    fixture = RegistryWithoutHistory()
    fixture.unconfirmed.add([upstream("u", sequence=7)], 0.0)
    fixture.unconfirmed.add([upstream("u", sequence=9)], 0.0)
    assert [one.sequence for one in fixture.unconfirmed.take_timed_out(1e9)] == [9]


def test_draining_gone_and_timed_out_upstreams_are_merged_at_once() -> None:
    fixture = RegistryWithoutHistory()
    timed_out = Upstream("t", "s", "127.0.0.1:1", "z", sequence=4, timed_out_sequence=4)
    offered = [upstream("g", UpstreamState.GONE), upstream("d", UpstreamState.DRAINING), timed_out]
    assert fixture.unconfirmed.add(offered, 0.0)
    assert set(fixture.registry.upstreams) == {"g", "d", "t"}
    assert fixture.registry.ready_ids("s") == []


def test_an_upstream_that_the_registry_knows_is_not_watched() -> None:
    fixture = RegistryWithoutHistory()
    fixture.registry.update(upstream("u", UpstreamState.GONE), 0.0)
    fixture.unconfirmed.add([upstream("u")], 0.0)
    assert fixture.unconfirmed.take_timed_out(1e9) == []
