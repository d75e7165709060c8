"""Two or three processes, step by step: invalid, replayed and outdated datagrams, and items from end to end."""

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
from rig_peers import KEY, A, B, C, introduce, new_process, take_sent


def test_an_item_is_received_complete_and_once() -> None:
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    for item in (
        b"",
        b"x",
        b"y" * MAX_FRAGMENT_BYTES,
        b"z" * (MAX_FRAGMENT_BYTES + 1),
        bytes(range(256)) * 32,
    ):
        assert a.post(B, 2, item, 0.0)
        for data in take_sent(a, B):
            b.on_datagram(A, data, 0.0)
        assert [tuple(received) for received in b.items] == [(A, 2, item)]
        b.items.clear()
    assert not any(b.dropped.values())


def test_an_invalid_item_raises() -> None:
    for channel, item in ((1, b"x" * (MAX_ITEM_BYTES + 1)), (0, b""), (256, b"")):
        with pytest.raises(ValueError):
            new_process(A).post(B, channel, item, 0.0)
    assert not new_process(A).post("127.0.0.1:9", 1, b"", 0.0)


def _modified(data: bytes) -> bytes:
    return data[:9] + bytes((data[9] ^ 1,)) + data[10:]


def _signed(message: bytes, to: str = B) -> bytes:
    return DatagramAuthenticator((KEY,)).sign(pack_address(to), message)


PING = encode(Ping(pack_address(A), 1_000 << REFUTATION_BITS, 0, 9, []))


UNUSABLE: dict[str, tuple[Callable[[bytes], bytes], str, str]] = {
    "too long": (lambda data: data + bytes(257 - len(data)), A, "too_long"),
    "from an unlisted address": (lambda data: data, "127.0.0.1:9999", "stranger"),
    "from the receiver's own address": (lambda data: data, B, "stranger"),
    "from an address other than its sender": (lambda data: data, C, "not_itself"),
    "modified in transit": (_modified, A, "forged"),
    "signed with another key": (
        lambda data: DatagramAuthenticator((b"o" * 16,)).sign(pack_address(B), PING),
        A,
        "forged",
    ),
    "without a tag": (lambda data: PING, A, "forged"),
    "signed for another receiver": (lambda data: _signed(PING, C), A, "forged"),
    "truncated": (lambda data: data[:-3], A, "forged"),
    "truncated before its tag": (lambda data: _signed(PING[:-1]), A, "malformed"),
    "empty": (lambda data: b"", A, "forged"),
    "of an unknown version": (lambda data: _signed(b"\x07" + PING[1:]), A, "version"),
    "of an unknown type": (lambda data: _signed(PING[:1] + b"\x63" + PING[2:]), A, "kind"),
}


@pytest.mark.parametrize("case", UNUSABLE)
def test_an_unusable_datagram_is_counted_and_changes_nothing(case: str) -> None:
    change, source, reason = UNUSABLE[case]
    b = new_process(B)
    b.on_datagram(source, change(_signed(PING)), 0.0)
    assert {name: n for name, n in b.dropped.items() if n} == {reason: 1}
    assert not b.datagrams and not b.items and b.membership.counts_by_state()[MemberState.UNHEARD] == 3
    b.on_datagram(A, _signed(PING), 0.0)  # the unmodified datagram
    assert b.membership.members[A].state is MemberState.ALIVE and len(take_sent(b, A)) == 1


def test_duplicated_and_replayed_datagrams_are_dropped_and_reordered_ones_are_not() -> None:
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    for n in range(3):
        a.post(B, 1, bytes((n,)), 0.0)
    first, second, third = take_sent(a, B)
    for data in (third, first, first, second, third):
        b.on_datagram(A, data, 0.0)
    assert [item.data for item in b.items] == [b"\2", b"\0", b"\1"] and b.dropped["again"] == 2
    a.sender._last_sequence_number += 2 * ReplayWindow.SIZE
    a.sender.ping(B, 0.0)
    b.on_datagram(A, take_sent(a, B)[0], 0.0)
    b.on_datagram(A, second, 0.0)
    assert b.dropped["late"] == 1 and len(b.items) == 3


def test_datagrams_of_the_senders_former_process_are_dropped() -> None:
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    a.post(B, 1, b"old", 0.0)
    (old,) = take_sent(a, B)
    introduce(new_process(A, process_start_ms=2_000), b)
    b.on_datagram(A, old, 1.0)
    assert b.dropped["former_life"] == 1 and not b.items
    assert b.membership.members[A].incarnation == 2_000 << REFUTATION_BITS
    c = new_process(C)
    c.membership.on_update(MemberUpdate(pack_address(A), MemberState.ALIVE, 2_000 << REFUTATION_BITS), 0.0)
    # This ping is from the former process. C knows the new one only from the update.
    c.on_datagram(A, _signed(PING, C), 1.0)
    assert c.dropped["former_life"] == 1


def test_an_item_for_the_receivers_former_process_is_dropped_and_the_sender_is_informed() -> None:
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    a.post(B, 1, b"for the old one", 0.0)
    (old,) = take_sent(a, B)
    new = new_process(B, process_start_ms=2_000)
    new.on_datagram(A, old, 1.0)
    assert new.dropped["not_this_life"] == 1 and not new.items
    (hint,) = take_sent(new, A)
    a.on_datagram(B, hint, 2.0)
    assert a.post(B, 1, b"for the new one", 3.0)
    new.on_datagram(A, take_sent(a, B)[-1], 4.0)
    assert [item.data for item in new.items] == [b"for the new one"]


def test_a_new_process_whose_clock_is_behind_raises_its_incarnation() -> None:
    a, b = new_process(A, process_start_ms=9_000), new_process(B)
    introduce(a, b)
    behind = new_process(A, process_start_ms=10)
    behind.sender.ping(B, 500.0)
    b.on_datagram(A, take_sent(behind, B)[0], 500.0)
    assert b.dropped["former_life"] == 1
    behind.on_datagram(B, take_sent(b, A)[0], 501.0)
    assert behind.membership.incarnation > 9_000 << REFUTATION_BITS
    introduce(behind, b, now=502.0)
    assert b.membership.members[A].incarnation == behind.membership.incarnation


def test_incomplete_items_expire() -> None:
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    a.post(B, 1, b"x" * 1_000, 0.0)
    for data in take_sent(a, B)[1:]:
        b.on_datagram(A, data, 0.0)
    b.tick(b.next_ms)
    b.tick(6_000.0)
    assert not b.items and b.counters()["unfinished"] == 1 and not len(b._reassembler)


def test_fragments_of_two_processes_are_not_combined() -> None:
    """Each process numbers its items from 1. Old fragments must not complete an item of a later process."""
    b = new_process(B)
    for process_start_ms, text, indices in ((1_000, b"o", (0,)), (2_000, b"n", (1, 0))):
        a = new_process(A, process_start_ms=process_start_ms)
        introduce(a, b)
        a.post(B, 1, text * (MAX_FRAGMENT_BYTES + 1), 0.0)
        fragments = take_sent(a, B)
        for index in indices:
            b.on_datagram(A, fragments[index], 0.0)
    assert [item.data for item in b.items] == [b"n" * (MAX_FRAGMENT_BYTES + 1)]


def test_the_queue_of_received_items_is_bounded() -> None:
    a, b = new_process(A, config=ProtocolConfig(datagrams_per_s=1e6, burst_datagrams=1e5)), new_process(B)
    introduce(a, b)
    for _ in range(PeerProtocol.MAX_QUEUED_ITEMS + 5):
        a.post(B, 1, b"", 0.0)
    for data in take_sent(a, B):
        b.on_datagram(A, data, 0.0)
    assert len(b.items) == PeerProtocol.MAX_QUEUED_ITEMS and b.dropped["full"] == 5


def test_an_unexpected_reply_is_counted() -> None:
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    a.sender.ack(B, 77, 0.0)
    a.sender.nack(B, 77, 0.0)
    for data in take_sent(a, B):
        b.on_datagram(A, data, 0.0)
    assert b.dropped["unasked"] == 2


def test_without_a_key_only_loopback_is_allowed() -> None:
    for me, others in (("10.3.0.1:1", [A]), (A, [B, "10.3.0.2:1"])):
        with pytest.raises(PeersError, match="so a key is required"):
            PeerProtocol(me, others, Random(1), 0.0, 1)
        PeerProtocol(me, others, Random(1), 0.0, 1, (KEY,))
    for bad in (
        lambda: PeerProtocol("here", [A], Random(1), 0.0, 1),
        lambda: PeerProtocol(A, [B], Random(1), 0.0, 1, (b"short",)),
    ):
        with pytest.raises(PeersError):
            bad()
    a, b = new_process(A, ()), new_process(B, ())
    introduce(a, b)
    assert a.membership.members[B].state is b.membership.members[A].state is MemberState.ALIVE
