"""Membership: precedence of updates, refutations, gossip, and pauses of the process itself."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_peers.addresses import pack_address
from larkweir_peers.authentication import DatagramAuthenticator
from larkweir_peers.messages import (
    MemberState,
    MemberUpdate,
    decode,
)
from larkweir_peers.protocol import PeerProtocol
from rig_peers import KEY, A, B, C, D, introduce, new_process, take_sent

# State before, update, state after. Each is a pair of state and incarnation.
S, T = MemberState, 5


CASES = [
    ((S.ALIVE, T), (S.ALIVE, T), (S.ALIVE, T)),
    ((S.ALIVE, T), (S.ALIVE, T + 1), (S.ALIVE, T + 1)),
    ((S.ALIVE, T), (S.SUSPECT, T - 1), (S.ALIVE, T)),
    ((S.ALIVE, T), (S.SUSPECT, T), (S.SUSPECT, T)),
    ((S.ALIVE, T), (S.DEAD, T - 1), (S.ALIVE, T)),
    ((S.ALIVE, T), (S.DEAD, T), (S.DEAD, T)),
    ((S.ALIVE, T), (S.LEFT, T), (S.LEFT, T)),
    ((S.ALIVE, T), (S.SUSPECT, 0), (S.SUSPECT, T)),  # 0: applies to the known incarnation
    ((S.ALIVE, T), (S.DEAD, 0), (S.ALIVE, T)),  # the report may be older than the known incarnation
    ((S.SUSPECT, T), (S.DEAD, 0), (S.SUSPECT, T)),
    ((S.SUSPECT, T), (S.ALIVE, T), (S.SUSPECT, T)),
    ((S.SUSPECT, T), (S.ALIVE, T + 1), (S.ALIVE, T + 1)),
    ((S.SUSPECT, T), (S.SUSPECT, T + 1), (S.SUSPECT, T + 1)),
    ((S.SUSPECT, T), (S.DEAD, T), (S.DEAD, T)),
    ((S.DEAD, T), (S.ALIVE, T), (S.DEAD, T)),
    ((S.DEAD, T), (S.SUSPECT, T + 1), (S.DEAD, T)),
    ((S.DEAD, T), (S.ALIVE, T + 1), (S.ALIVE, T + 1)),
    ((S.LEFT, T), (S.DEAD, T), (S.LEFT, T)),
    ((S.LEFT, T), (S.DEAD, T + 1), (S.LEFT, T + 1)),
    ((S.LEFT, T), (S.ALIVE, T + 1), (S.ALIVE, T + 1)),
]


@pytest.mark.parametrize(("before", "update", "after"), CASES)
def test_updates_are_ordered_by_incarnation_then_by_state(
    before: tuple[MemberState, int], update: tuple[MemberState, int], after: object
) -> None:
    a = new_process(A)
    for state, incarnation in (before, update):
        by = pack_address(C) if state is S.SUSPECT else b""
        a.membership.on_update(MemberUpdate(pack_address(B), state, incarnation, by), 0.0)
    member = a.membership.members[B]
    assert (member.state, member.incarnation) == after
    assert (B in a.alive()) is (member.state is S.ALIVE)
    assert (member.suspicion is not None) is (member.state is S.SUSPECT)


@pytest.mark.parametrize("state", [S.SUSPECT, S.DEAD, S.LEFT, S.ALIVE])
def test_updates_about_this_process_are_refuted_unless_outdated(state: MemberState) -> None:
    a = new_process(A)
    own = a.membership.incarnation
    a.membership.on_update(MemberUpdate(pack_address(A), state, own - 1), 0.0)
    assert a.membership.incarnation == own and a.health.score == 0
    a.membership.on_update(MemberUpdate(pack_address(A), state, own + (state is S.ALIVE)), 0.0)
    assert a.membership.incarnation > own and a.health.score == (state is not S.ALIVE)
    a.sender.ping(B, 0.0)
    message = decode(DatagramAuthenticator((KEY,)).verify(pack_address(B), take_sent(a, B)[0]) or b"")
    assert MemberUpdate(pack_address(A), S.ALIVE, a.membership.incarnation) in message.updates


def test_updates_of_unlisted_members_and_reporters_are_ignored() -> None:
    a = new_process(A)
    assert not a.membership.on_update(MemberUpdate(pack_address("127.9.9.9:9"), S.DEAD, 1), 0.0)
    a.membership.on_update(MemberUpdate(pack_address(B), S.SUSPECT, 1, pack_address("127.9.9.9:9")), 0.0)
    assert a.membership.members[B].state is S.UNHEARD and not a.membership.events


def test_a_suspect_is_notified_first_and_a_dead_member_learns_its_state() -> None:
    """The buddy system of Lifeguard (section IV-C): a ping to a suspect tells it first that it is suspect."""
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    for name in (B, C, D):  # B is the oldest update, D the newest
        a.membership.on_probe_failed(name, 0.0)
    a.sender.ping(B, 1.0)
    (data,) = take_sent(a, B)
    message = decode(DatagramAuthenticator((KEY,)).verify(pack_address(B), data) or b"")
    assert message.updates[0] == MemberUpdate(
        pack_address(B), S.SUSPECT, b.membership.incarnation, pack_address(A)
    )
    b.on_datagram(A, data, 2.0)
    a.on_datagram(B, take_sent(b, A)[0], 3.0)
    assert a.membership.members[B].state is S.ALIVE
    a.membership.on_update(MemberUpdate(pack_address(B), S.DEAD, b.membership.incarnation), 4.0)
    b.sender.ack(A, 1, 5.0)
    a.on_datagram(B, take_sent(b, A)[0], 5.0)  # B sends a message without knowing that it is DEAD here
    assert len(take_sent(a, B)) == 1
    assert a.membership.members[B].state is S.DEAD and a.post(
        B, 1, b"all the same", 6.0
    )  # membership is a hint
    b.on_datagram(A, take_sent(a, B)[-1], 6.0)
    assert [item.data for item in b.items] == [b"all the same"]


def test_the_first_reporter_is_gossiped_under_any_hash_seed() -> None:
    """The order of reporters must not depend on PYTHONHASHSEED, or seeded runs could not be repeated."""
    names = [f"127.0.0.{n}:7946" for n in range(1, 16)]
    a = PeerProtocol(names[0], tuple(names[1:]), Random(1), 0.0, 1, (KEY,))
    for at, who in enumerate(names[1:5]):
        a.membership.on_message_from(a.membership.members[who], 1, 0.0)
        for by in (names[5 + at], *reversed(names[6 + at :])):
            a.membership.on_update(
                MemberUpdate(pack_address(who), MemberState.SUSPECT, 1, pack_address(by)), 1.0
            )
    reporters = [a.membership.updates_for(a.membership.members[who], 1)[0].reporter for who in names[1:5]]
    assert reporters == [pack_address(by) for by in names[5:9]]


def test_a_pause_of_this_process_postpones_suspicions_and_suspects_nobody() -> None:
    a = new_process(A)
    a.membership.on_probe_failed(B, 0.0)
    due = a.membership.due_ms
    a.tick(a.next_ms)
    a.tick(due + 60_000.0)
    assert a.membership.members[B].state is S.SUSPECT and a.health.score >= 1 and a.pauses == 1
    assert a.membership.due_ms > due + 55_000.0
    a.membership.on_update(MemberUpdate(pack_address(B), S.ALIVE, 1), due + 60_000.0)
    assert a.membership.due_ms == float("inf")  # a due time in the past would later be taken for a pause
    a.membership.on_message_from(a.membership.members[C], T, 0.0)
    a.membership.on_update(MemberUpdate(pack_address(C), S.DEAD, 0), 0.0)
    assert MemberUpdate(pack_address(C), S.ALIVE, T) in [
        update.update for update in a.membership._updates._latest.values()
    ]  # the known incarnation is gossiped


def test_a_leaving_process_announces_it_and_refutes_nothing() -> None:
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    a.leave(1.0)
    b.on_datagram(A, take_sent(a, B)[0], 1.0)
    assert b.membership.members[A].state is S.LEFT
    b.sender.ping(A, 2.0)
    own = a.membership.incarnation
    a.on_datagram(B, take_sent(b, A)[0], 2.0)
    assert a.membership.incarnation == own
