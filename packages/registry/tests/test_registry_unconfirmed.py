"""What a registry without history makes of the records that readers offer."""

from __future__ import annotations

from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Upstream, UpstreamState
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams


class Scene:
    def __init__(self) -> None:
        self.registry = Registry("c/2")
        self.detector = FailureDetector(1_000.0, 0.0)
        self.unconfirmed = UnconfirmedUpstreams(self.registry, self.detector)


def upstream(id_: str, state: UpstreamState = UpstreamState.READY, sequence: int = 7) -> Upstream:
    return Upstream(id_, "s", "127.0.0.1:1", "z", sequence=sequence, state=state)


def test_a_ready_one_is_watched_and_not_passed_on() -> None:
    scene = Scene()
    assert not scene.unconfirmed.add([upstream("u")], 100.0)
    assert scene.registry.upstreams == {}
    assert scene.unconfirmed.take_timed_out(100.0) == []
    late_ms = 100.0 + scene.detector.timeout_ms
    assert [one.id for one in scene.unconfirmed.take_timed_out(late_ms)] == ["u"]
    assert scene.unconfirmed.take_timed_out(late_ms) == [], "once"


def test_a_heartbeat_confirms_it() -> None:
    scene = Scene()
    scene.unconfirmed.add([upstream("u")], 100.0)
    scene.detector.record_heartbeat("u", 8, 2_000.0)
    scene.registry.update(upstream("u", sequence=8), 2_000.0)
    assert scene.unconfirmed.take_timed_out(100.0 + scene.detector.timeout_ms) == []
    assert scene.unconfirmed.take_timed_out(1e9) == [], "from now on the registry's own watch counts"


def test_a_later_offer_vouches_no_longer() -> None:
    scene = Scene()
    scene.unconfirmed.add([upstream("u")], 0.0)
    scene.unconfirmed.add([upstream("u")], 3_000.0)
    assert scene.unconfirmed.take_timed_out(scene.detector.timeout_ms)


def test_the_newest_offer_counts() -> None:
    scene = Scene()
    scene.unconfirmed.add([upstream("u", sequence=7)], 0.0)
    scene.unconfirmed.add([upstream("u", sequence=9)], 0.0)
    assert [one.sequence for one in scene.unconfirmed.take_timed_out(1e9)] == [9]


def test_what_is_final_is_taken_over_at_once() -> None:
    scene = Scene()
    timed_out = Upstream("t", "s", "127.0.0.1:1", "z", sequence=4, timed_out_sequence=4)
    offered = [upstream("g", UpstreamState.GONE), upstream("d", UpstreamState.DRAINING), timed_out]
    assert scene.unconfirmed.add(offered, 0.0)
    assert set(scene.registry.upstreams) == {"g", "d", "t"}
    assert scene.registry.ready_ids("s") == []


def test_what_the_registry_knows_is_not_watched_twice() -> None:
    scene = Scene()
    scene.registry.update(upstream("u", UpstreamState.GONE), 0.0)
    scene.unconfirmed.add([upstream("u")], 0.0)
    assert scene.unconfirmed.take_timed_out(1e9) == []
