"""Two or three processes by hand: each hard case of a datagram, and items from end to end."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import pytest
from larkweir_peers.addresses import pack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.errors import PeersError
from larkweir_peers.messages import (
    MAX_FRAGMENT_BYTES,
    MAX_ITEM_BYTES,
    REFUTATION_BITS,
    MemberState,
    MemberUpdate,
    Ping,
    encode,
)
from larkweir_peers.protocol import PeerProtocol
from larkweir_peers.protocol_config import ProtocolConfig
from larkweir_peers.replay_window import ReplayWindow
from rig_peers import KEY, A, B, C, met, one, sent


def test_an_item_comes_whole_and_once() -> None:
    a, b = one(A), one(B)
    met(a, b)
    for item in (
        b"",
        b"x",
        b"y" * MAX_FRAGMENT_BYTES,
        b"z" * (MAX_FRAGMENT_BYTES + 1),
        bytes(range(256)) * 32,
    ):
        assert a.post(B, 2, item, 0.0)
        for data in sent(a, B):
            b.on_datagram(A, data, 0.0)
        assert [tuple(came) for came in b.items] == [(A, 2, item)]
        b.items.clear()
    assert not any(b.dropped.values())


def test_an_item_out_of_bounds_is_the_callers_mistake() -> None:
    for channel, item in ((1, b"x" * (MAX_ITEM_BYTES + 1)), (0, b""), (256, b"")):
        with pytest.raises(ValueError):
            one(A).post(B, channel, item, 0.0)
    assert not one(A).post("127.0.0.1:9", 1, b"", 0.0)


def _changed(data: bytes) -> bytes:
    return data[:9] + bytes((data[9] ^ 1,)) + data[10:]


def _sealed(frame: bytes, to: str = B) -> bytes:
    return DatagramAuthenticator((KEY,)).sign(pack_address(to), frame)


PING = encode(Ping(pack_address(A), 1_000 << REFUTATION_BITS, 0, 9, []))


HARD: dict[str, tuple[Callable[[bytes], bytes], str, str]] = {
    "too long": (lambda data: data + bytes(257 - len(data)), A, "too_long"),
    "from an address not in the list": (lambda data: data, "127.0.0.1:9999", "stranger"),
    "from its own address": (lambda data: data, B, "stranger"),
    "in another's name": (lambda data: data, C, "not_itself"),
    "changed on its way": (_changed, A, "forged"),
    "by another key": (
        lambda data: DatagramAuthenticator((b"o" * 16,)).sign(pack_address(B), PING),
        A,
        "forged",
    ),
    "without a tag": (lambda data: PING, A, "forged"),
    "meant for another": (lambda data: _sealed(PING, C), A, "forged"),
    "truncated": (lambda data: data[:-3], A, "forged"),
    "truncated before its tag": (lambda data: _sealed(PING[:-1]), A, "malformed"),
    "empty": (lambda data: b"", A, "forged"),
    "of an unknown version": (lambda data: _sealed(b"\x07" + PING[1:]), A, "version"),
    "of an unknown kind": (lambda data: _sealed(PING[:1] + b"\x63" + PING[2:]), A, "kind"),
}


@pytest.mark.parametrize("case", HARD)
def test_what_can_not_be_used_is_counted_and_changes_nothing(case: str) -> None:
    change, source, cause = HARD[case]
    b = one(B)
    b.on_datagram(source, change(_sealed(PING)), 0.0)
    assert {name: n for name, n in b.dropped.items() if n} == {cause: 1}
    assert not b.datagrams and not b.items and b.membership.counts_by_state()[MemberState.UNHEARD] == 3
    b.on_datagram(A, _sealed(PING), 0.0)  # the true one
    assert b.membership.members[A].state is MemberState.ALIVE and len(sent(b, A)) == 1


def test_doubled_and_replayed_datagrams_are_dropped_and_reordered_ones_are_not() -> None:
    a, b = one(A), one(B)
    met(a, b)
    for n in range(3):
        a.post(B, 1, bytes((n,)), 0.0)
    first, second, third = sent(a, B)
    for data in (third, first, first, second, third):
        b.on_datagram(A, data, 0.0)
    assert [item.data for item in b.items] == [b"\2", b"\0", b"\1"] and b.dropped["again"] == 2
    a.sender._last_sequence_number += 2 * ReplayWindow.SIZE
    a.sender.ping(B, 0.0)
    b.on_datagram(A, sent(a, B)[0], 0.0)
    b.on_datagram(A, second, 0.0)
    assert b.dropped["late"] == 1 and len(b.items) == 3


def test_what_a_former_life_of_the_sender_sent_comes_too_late() -> None:
    a, b = one(A), one(B)
    met(a, b)
    a.post(B, 1, b"old", 0.0)
    (old,) = sent(a, B)
    met(one(A, life=2_000), b)
    b.on_datagram(A, old, 1.0)
    assert b.dropped["former_life"] == 1 and not b.items
    assert b.membership.members[A].incarnation == 2_000 << REFUTATION_BITS
    c = one(C)
    c.membership.on_update(MemberUpdate(pack_address(A), MemberState.ALIVE, 2_000 << REFUTATION_BITS), 0.0)
    c.on_datagram(A, _sealed(PING, C), 1.0)  # of the former life, and only a rumour has told of the new one
    assert c.dropped["former_life"] == 1


def test_an_item_for_a_former_life_of_the_receiver_is_dropped_and_the_sender_learns() -> None:
    a, b = one(A), one(B)
    met(a, b)
    a.post(B, 1, b"for the old one", 0.0)
    (old,) = sent(a, B)
    new = one(B, life=2_000)
    new.on_datagram(A, old, 1.0)
    assert new.dropped["not_this_life"] == 1 and not new.items
    (hint,) = sent(new, A)
    a.on_datagram(B, hint, 2.0)
    assert a.post(B, 1, b"for the new one", 3.0)
    new.on_datagram(A, sent(a, B)[-1], 4.0)
    assert [item.data for item in new.items] == [b"for the new one"]


def test_a_new_life_whose_clock_is_behind_lifts_itself_above_the_former_one() -> None:
    a, b = one(A, life=9_000), one(B)
    met(a, b)
    behind = one(A, life=10)
    behind.sender.ping(B, 500.0)
    b.on_datagram(A, sent(behind, B)[0], 500.0)
    assert b.dropped["former_life"] == 1
    behind.on_datagram(B, sent(b, A)[0], 501.0)
    assert behind.membership.incarnation > 9_000 << REFUTATION_BITS
    met(behind, b, now=502.0)
    assert b.membership.members[A].incarnation == behind.membership.incarnation


def test_pieces_that_never_complete_are_given_up() -> None:
    a, b = one(A), one(B)
    met(a, b)
    a.post(B, 1, b"x" * 1_000, 0.0)
    for data in sent(a, B)[1:]:
        b.on_datagram(A, data, 0.0)
    b.tick(b.next_ms)
    b.tick(6_000.0)
    assert not b.items and b.counters()["unfinished"] == 1 and not len(b._reassembler)


def test_pieces_of_two_lives_make_no_item() -> None:
    """Each life counts its items from 1; what is left of the former one's must not end the later one's."""
    b = one(B)
    for life, text, places in ((1_000, b"o", (0,)), (2_000, b"n", (1, 0))):
        a = one(A, life=life)
        met(a, b)
        a.post(B, 1, text * (MAX_FRAGMENT_BYTES + 1), 0.0)
        pieces = sent(a, B)
        for place in places:
            b.on_datagram(A, pieces[place], 0.0)
    assert [item.data for item in b.items] == [b"n" * (MAX_FRAGMENT_BYTES + 1)]


def test_items_that_nobody_fetches_are_bounded() -> None:
    a, b = one(A, config=ProtocolConfig(datagrams_per_s=1e6, burst_datagrams=1e5)), one(B)
    met(a, b)
    for _ in range(PeerProtocol.MAX_QUEUED_ITEMS + 5):
        a.post(B, 1, b"", 0.0)
    for data in sent(a, B):
        b.on_datagram(A, data, 0.0)
    assert len(b.items) == PeerProtocol.MAX_QUEUED_ITEMS and b.dropped["full"] == 5


def test_an_answer_that_nothing_waited_for_is_counted() -> None:
    a, b = one(A), one(B)
    met(a, b)
    a.sender.ack(B, 77, 0.0)
    a.sender.nack(B, 77, 0.0)
    for data in sent(a, B):
        b.on_datagram(A, data, 0.0)
    assert b.dropped["unasked"] == 2


def test_without_a_key_there_is_loopback_alone() -> None:
    for me, others in (("10.3.0.1:1", [A]), (A, [B, "10.3.0.2:1"])):
        with pytest.raises(PeersError, match="takes a key"):
            PeerProtocol(me, others, Random(1), 0.0, 1)
        PeerProtocol(me, others, Random(1), 0.0, 1, (KEY,))
    for bad in (
        lambda: PeerProtocol("here", [A], Random(1), 0.0, 1),
        lambda: PeerProtocol(A, [B], Random(1), 0.0, 1, (b"short",)),
    ):
        with pytest.raises(PeersError):
            bad()
    a, b = one(A, ()), one(B, ())
    met(a, b)
    assert a.membership.members[B].state is b.membership.members[A].state is MemberState.ALIVE
