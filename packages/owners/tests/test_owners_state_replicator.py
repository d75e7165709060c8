"""Which states a process applies, forwards and fetches."""

from hypothesis import given
from hypothesis import strategies as st
from larkweir_owners.messages import Digest, Record, StateUpdates
from larkweir_owners.ports import Outcome, Result
from larkweir_owners.proposer import Proposer
from larkweir_owners.state_replicator import StateReplicator
from owners_cases import SET, RecordingTransport, Registers, record


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 9)), max_size=30))
def test_replicator_applies_only_versions_above_the_one_it_holds(
    versions: list[tuple[int, int]],
) -> None:
    applied_versions: list[tuple[int, int]] = []
    replicator = StateReplicator(
        "p0",
        RecordingTransport(),
        Registers(),
        lambda names, count: names[:count],
        lambda key, r: applied_versions.append(r.version),
    )
    for version in versions:
        replicator.on_updates("p1", StateUpdates((("d", record(*version)),)), 0.0)
    expected: list[tuple[int, int]] = []
    stale = 0
    for version in versions:
        if not expected or version > expected[-1]:
            expected.append(version)
        elif version != expected[-1]:
            stale += 1
    assert (applied_versions, replicator.stale) == (expected, stale)


def test_updates_that_a_peer_does_not_send_are_read_from_the_replicas() -> None:
    transport, registers = RecordingTransport(), Registers()
    replicator = StateReplicator(
        "p0", transport, registers, lambda names, count: names[:count], lambda key, r: None
    )
    replicator.on_updates("p1", StateUpdates((("d", record(1, 1)),)), 0.0)
    replicator.tick(0.0)
    transport.sent.clear()
    replicator.on_digest("p2", Digest((("d", 1, 4), ("e", 0, 0))), 100.0)
    assert transport.sent == [("p2", Digest((("d", 1, 1),)))]
    replicator.tick(1000.0)
    assert registers.reads == []
    replicator.tick(2000.0)
    ((key, on_result),) = registers.reads
    on_result(Result(Outcome.DONE, record(1, 4)))
    assert (key, replicator.version("d"), replicator.skipped) == ("d", (1, 4), 2)
    replicator.on_digest("p3", Digest((("d", 1, 2),)), 3000.0)
    assert transport.sent[-1] == ("p3", StateUpdates((("d", record(1, 4)),)))


def test_held_version_is_not_applied_again() -> None:
    applied: list[tuple[int, int]] = []
    replicator = StateReplicator(
        "p0",
        RecordingTransport(),
        Registers(),
        lambda names, count: names[:count],
        lambda key, r: applied.append(r.version),
    )
    assert replicator.apply("d", record(1, 2))
    assert not replicator.apply("d", record(1, 2))
    assert (applied, replicator.applied, replicator.stale) == ([(1, 2)], 1, 0)


def test_preferred_owner_is_notified_first_and_updates_are_forwarded_once() -> None:
    transport = RecordingTransport()
    replicator = StateReplicator(
        "p0", transport, Registers(), lambda names, count: names[-count:], lambda key, r: None
    )
    replicator.announce("d", record(1, 2, preferred_owner="p7"))
    assert [to for to, _ in transport.sent] == ["p7", "p18", "p19"]
    transport.sent.clear()
    replicator.on_updates("p1", StateUpdates((("d", record(1, 3)),)), 0.0)
    replicator.on_updates("p2", StateUpdates((("d", record(1, 3)),)), 0.0)
    assert len(transport.sent) == 2


def test_renewed_lease_is_neither_applied_nor_forwarded() -> None:
    transport, applied_records = RecordingTransport(), []
    replicator = StateReplicator(
        "me",
        transport,
        Proposer("me", 1, SET, transport, lambda: 0.0),
        lambda names, count: names[:count],
        lambda key, r: applied_records.append(r),
    )
    first = Record(1, 5, "p1", 1, "", 3, b"x")
    replicator.on_updates("p1", StateUpdates((("d", first),)), 0.0)
    transport.sent.clear()
    replicator.on_updates("p1", StateUpdates((("d", Record(1, 6, "p1", 1, "", 3, b"x")),)), 10.0)
    assert (
        applied_records == [first]
        and transport.sent == []
        and replicator.version("d") == (1, 5)
        and replicator.stale == 0
    )
    replicator.on_updates("p1", StateUpdates((("d", Record(1, 7, "", 1, "p2", 3, b"x")),)), 20.0)  # released
    assert replicator.version("d") == (1, 7)
