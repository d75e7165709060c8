"""Ids that other lives have taken: told once to each, held within a bound, kept when nobody is left."""

from __future__ import annotations

from larkweir.lifecycle.channel import TakenIds
from larkweir.lifecycle.peer_request_ids import PeerRequestIds

BEFORE, AFTER = 0, 7


class Peers:
    """Two other lives of one that is between them."""

    def __init__(self) -> None:
        self.now = 0.0
        self.kept: list[tuple[str, float]] = []
        self.told: dict[int, list[str]] = {BEFORE: [], AFTER: []}
        self.ids = PeerRequestIds(lambda: self.now, self.kept.extend)
        for life, told in self.told.items():
            self.ids.join(life, lambda seen, told=told: told.extend(seen.ids))  # type: ignore[misc]


def test_what_is_taken_is_told_to_all_and_what_is_heard_to_the_others() -> None:
    peers = Peers()
    peers.ids.announce(b"mine")
    peers.ids.receive(BEFORE, TakenIds(("theirs", "\xe9")))
    assert peers.told == {BEFORE: ["mine"], AFTER: ["mine", "theirs", "\xe9"]}
    assert b"theirs" in peers.ids and b"\xe9" in peers.ids and b"mine" not in peers.ids


def test_what_was_heard_is_kept_once_nobody_is_left() -> None:
    peers = Peers()
    peers.now = 5.0
    peers.ids.receive(BEFORE, TakenIds(("a",)))
    peers.ids.leave(BEFORE)
    assert peers.kept == [] and b"a" in peers.ids
    peers.ids.receive(BEFORE, TakenIds(("late",)))  # of one that has left
    peers.ids.leave(AFTER)
    peers.ids.leave(AFTER)
    assert peers.kept == [("a", 5.0)] and b"a" not in peers.ids
    peers.ids.announce(b"alone")
    assert peers.told[AFTER] == ["a"]


def test_no_more_is_held_than_the_bound_and_the_oldest_goes_first() -> None:
    peers = Peers()
    most = PeerRequestIds.MAX_IDS
    peers.ids.receive(BEFORE, TakenIds(tuple(str(n) for n in range(most + 3))))
    assert len(peers.ids.ids()) == most
    assert b"2" not in peers.ids and b"3" in peers.ids
