"""The update queue: least-sent updates first, then the newest; one update per member; limited size."""

from __future__ import annotations

from larkweir_peers.messages import MemberState, MemberUpdate
from larkweir_peers.update_queue import UpdateQueue


def update(member: int, incarnation: int = 1) -> MemberUpdate:
    return MemberUpdate(bytes((member,)) * 6, MemberState.ALIVE, incarnation)


def taken(queue: UpdateQueue, limit: int, max_sends: int) -> list[MemberUpdate]:
    out: dict[bytes, MemberUpdate] = {}
    queue.take_into(out, limit, max_sends)
    return list(out.values())


def test_the_least_sent_updates_are_first_then_the_newest_and_sends_are_limited() -> None:
    queue = UpdateQueue()
    queue.add(update(1))
    queue.add(update(2))
    assert taken(queue, 1, 2) == [update(2)]
    queue.add(update(3))
    assert taken(queue, 2, 2) == [update(3), update(1)]
    assert taken(queue, 9, 2) == [update(3), update(2), update(1)]
    assert taken(queue, 9, 2) == [] and update(1).member not in queue


def test_a_newer_update_replaces_the_last_one_and_its_sends_are_counted_anew() -> None:
    queue = UpdateQueue()
    queue.add(update(1))
    assert taken(queue, 9, 2) == [update(1)]
    queue.add(update(1, 2))
    assert [taken(queue, 9, 2) for _ in range(3)] == [[update(1, 2)], [update(1, 2)], []]


def test_a_discarded_update_is_not_sent_and_updates_already_in_the_message_are_kept() -> None:
    queue = UpdateQueue()
    queue.add(update(1))
    queue.add(update(2))
    queue.discard(update(1).member)
    queue.discard(update(9).member)
    out = {update(2).member: update(2, 7)}
    queue.take_into(out, 9, 1)
    assert list(out.values()) == [update(2, 7)] and update(2).member not in queue


def test_replaced_entries_are_bounded() -> None:
    queue = UpdateQueue()
    for number in range(10_000):
        queue.add(update(number % 5, number))
        assert len(queue._heap) <= 2 * 5 + 65
    assert [one.incarnation for one in taken(queue, 9, 1)] == [9_999, 9_998, 9_997, 9_996, 9_995]
