"""Which states a process applies, passes on and fetches, by hand."""

from hypothesis import given
from hypothesis import strategies as st
from larkweir_owners.messages import Digest, Record, StateUpdates
from larkweir_owners.ports import Outcome, Result
from larkweir_owners.proposer import Proposer
from larkweir_owners.state_replicator import StateReplicator
from owners_cases import SET, Post, Registers, record


@given(st.lists(st.tuples(st.integers(1, 4), st.integers(1, 9)), max_size=30))
def test_a_follower_takes_what_is_above_what_it_holds_and_nothing_else(
    versions: list[tuple[int, int]],
) -> None:
    taken: list[tuple[int, int]] = []
    followers = StateReplicator(
        "p0", Post(), Registers(), lambda names, most: names[:most], lambda key, r: taken.append(r.version)
    )
    for version in versions:
        followers.on_updates("p1", StateUpdates((("d", record(*version)),)), 0.0)
    expected: list[tuple[int, int]] = []
    late = 0
    for version in versions:
        if not expected or version > expected[-1]:
            expected.append(version)
        elif version != expected[-1]:
            late += 1
    assert (taken, followers.stale) == (expected, late)


def test_what_a_peer_has_and_does_not_send_is_read_from_the_keepers() -> None:
    mail, registers = Post(), Registers()
    followers = StateReplicator("p0", mail, registers, lambda names, most: names[:most], lambda key, r: None)
    followers.on_updates("p1", StateUpdates((("d", record(1, 1)),)), 0.0)
    followers.tick(0.0)
    mail.sent.clear()
    followers.on_digest("p2", Digest((("d", 1, 4), ("e", 0, 0))), 100.0)
    assert mail.sent == [("p2", Digest((("d", 1, 1),)))]
    followers.tick(1000.0)
    assert registers.reads == []
    followers.tick(2000.0)
    ((key, then),) = registers.reads
    then(Result(Outcome.DONE, record(1, 4)))
    assert (key, followers.version("d"), followers.skipped) == ("d", (1, 4), 2)
    followers.on_digest("p3", Digest((("d", 1, 2),)), 3000.0)
    assert mail.sent[-1] == ("p3", StateUpdates((("d", record(1, 4)),)))


def test_a_version_that_is_held_is_not_applied_again() -> None:
    applied: list[tuple[int, int]] = []
    followers = StateReplicator(
        "p0", Post(), Registers(), lambda names, most: names[:most], lambda key, r: applied.append(r.version)
    )
    assert followers.apply("d", record(1, 2))
    assert not followers.apply("d", record(1, 2))
    assert (applied, followers.applied, followers.stale) == ([(1, 2)], 1, 0)


def test_the_heir_hears_first_and_news_is_passed_on_once() -> None:
    mail = Post()
    followers = StateReplicator(
        "p0", mail, Registers(), lambda names, most: names[-most:], lambda key, r: None
    )
    followers.announce("d", record(1, 2, preferred_owner="p7"))
    assert [to for to, _ in mail.sent] == ["p7", "p18", "p19"]
    mail.sent.clear()
    followers.on_updates("p1", StateUpdates((("d", record(1, 3)),)), 0.0)
    followers.on_updates("p2", StateUpdates((("d", record(1, 3)),)), 0.0)
    assert len(mail.sent) == 2


def test_a_renewed_lease_is_told_to_those_that_watch_and_is_no_effect() -> None:
    mail, told = Post(), []
    followers = StateReplicator(
        "me",
        mail,
        Proposer("me", 1, SET, mail, lambda: 0.0),
        lambda names, most: names[:most],
        lambda k, r: told.append(r),
    )
    first = Record(1, 5, "p1", 1, "", 3, b"x")
    followers.on_updates("p1", StateUpdates((("d", first),)), 0.0)
    mail.sent.clear()
    followers.on_updates("p1", StateUpdates((("d", Record(1, 6, "p1", 1, "", 3, b"x")),)), 10.0)
    assert told == [first] and mail.sent == [] and followers.version("d") == (1, 5) and followers.stale == 0
    followers.on_updates("p1", StateUpdates((("d", Record(1, 7, "", 1, "p2", 3, b"x")),)), 20.0)  # given up
    assert followers.version("d") == (1, 7)
