"""Registries that merge each other's deltas in any order."""

from __future__ import annotations

import msgspec
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, invariant, rule
from larkweir_registry.records import Upstream, UpstreamState, join
from larkweir_registry.registry import TOMBSTONE_RETENTION_MS, Registry
from registry_factories import upstream

IDS = ("u0", "u1", "u2")
NAMES = ("a", "b", "c")


def test_draining_and_gone_are_never_undone() -> None:
    registry = Registry("a")
    registry.update(upstream("u", 5, UpstreamState.DRAINING), 0.0)
    assert not registry.update(upstream("u", 9, UpstreamState.READY), 0.0)
    assert registry.upstreams["u"].state is UpstreamState.DRAINING
    assert registry.update(upstream("u", 0, UpstreamState.GONE), 0.0)
    assert not registry.update(upstream("u", 99, UpstreamState.DRAINING), 0.0)
    assert registry.upstreams["u"].state is UpstreamState.GONE


def test_a_heartbeat_alone_makes_no_version_but_the_end_of_a_time_out_does() -> None:
    registry = Registry("a")
    assert registry.update(upstream("u", 1), 0.0)
    assert not registry.update(upstream("u", 2), 0.0)
    assert registry.update(upstream("u", 2, timed_out_sequence=2), 0.0)
    assert registry.upstreams["u"].has_timed_out
    assert registry.update(upstream("u", 3), 0.0)
    assert not registry.upstreams["u"].has_timed_out


def test_a_version_of_the_software_that_becomes_known_is_passed_on() -> None:
    registry = Registry("a")
    assert registry.update(upstream("u", 1), 0.0)
    versioned = msgspec.structs.replace(upstream("u", 2), reported_version="v2")
    assert registry.update(versioned, 0.0)
    assert registry.upstreams["u"].version == "v2"
    assert not registry.update(msgspec.structs.replace(versioned, sequence=3), 0.0)


def pull(reader: Registry, source: Registry) -> None:
    delta = source.delta(reader.vector)
    reader.merge(delta, dict(source.vector), 0.0)


class Registries(RuleBasedStateMachine):
    """Three registries that receive different reports and pull from each other, and a reader that pulls from all."""

    def __init__(self) -> None:
        super().__init__()
        self.registries = {name: Registry(name) for name in NAMES}
        self.reader = Registry("")
        self.all: dict[str, Upstream] = {}
        self.drained: set[str] = set()

    @rule(
        name=st.sampled_from(NAMES),
        id_=st.sampled_from(IDS),
        sequence=st.integers(0, 9),
        state=st.sampled_from(UpstreamState),
        timed_out_sequence=st.integers(-1, 9),
    )
    def note(self, name: str, id_: str, sequence: int, state: UpstreamState, timed_out_sequence: int) -> None:
        reported = upstream(id_, sequence, state, timed_out_sequence)
        self.registries[name].update(reported, 0.0)
        known = self.all.get(id_)
        self.all[id_] = reported if known is None else join(known, reported)

    @rule(source=st.sampled_from(NAMES), reader=st.sampled_from(NAMES))
    def exchange(self, source: str, reader: str) -> None:
        if source != reader:
            pull(self.registries[reader], self.registries[source])

    @rule(source=st.sampled_from(NAMES))
    def read(self, source: str) -> None:
        pull(self.reader, self.registries[source])

    @invariant()
    def no_departure_is_undone(self) -> None:
        now = {id_ for id_, one in self.reader.upstreams.items() if one.state is not UpstreamState.READY}
        assert self.drained <= now
        self.drained = now

    def teardown(self) -> None:
        for _ in range(len(NAMES)):
            for name in NAMES:
                for other in NAMES:
                    if name != other:
                        pull(self.registries[name], self.registries[other])
        pull(self.reader, self.registries["a"])
        for id_, joined in self.all.items():
            for registry in (*self.registries.values(), self.reader):
                found = registry.upstreams[id_]
                assert (found.state, found.has_timed_out) == (joined.state, joined.has_timed_out)


TestRegistries = Registries.TestCase


def test_a_replica_that_has_merged_all_lacks_nothing() -> None:
    registry, reader = Registry("a"), Registry("")
    registry.update(upstream("u", 1), 0.0)
    assert not registry.is_covered_by(reader.vector)
    pull(reader, registry)
    assert registry.is_covered_by(reader.vector)
    assert registry.delta(reader.vector) == []


def test_ready_upstreams_by_service_follow_each_change() -> None:
    registry = Registry("a")
    assert registry.ready_ids("s") == []
    registry.update(upstream("u0", 1), 0.0)
    registry.update(upstream("u1", 1), 0.0)
    assert registry.ready_ids("s") == ["u0", "u1"]
    registry.update(upstream("u0", 2, UpstreamState.DRAINING), 0.0)
    assert registry.ready_ids("s") == ["u1"]
    registry.update(upstream("u1", 2, timed_out_sequence=2), 0.0)
    assert registry.ready_ids("s") == []
    assert registry.ready_ids("t") == []


def test_tombstones_are_dropped_after_their_retention() -> None:
    registry = Registry("a")
    registry.update(upstream("u", 1, UpstreamState.GONE), 0.0)
    registry.prune(TOMBSTONE_RETENTION_MS - 1.0)
    assert "u" in registry.upstreams
    registry.prune(TOMBSTONE_RETENTION_MS)
    assert registry.upstreams == {}
    assert registry.delta({}) == []
