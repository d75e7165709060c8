"""Changes of the list of peers at run time: removed and added peers, and processes whose lists differ."""

from __future__ import annotations

from random import Random

import pytest
from fleet_peers import NAMES as FLEET
from fleet_peers import Fleet
from larkweir_peers.addresses import pack_address
from larkweir_peers.errors import PeersError
from larkweir_peers.messages import (
    MAX_FRAGMENT_BYTES,
    REFUTATION_BITS,
    MemberState,
    MemberUpdate,
)
from larkweir_peers.protocol import PeerProtocol
from larkweir_peers.protocol_config import ProtocolConfig
from rig_peers import KEY, A, B, C, D, introduce, new_process, take_sent

S = MemberState


def processes_with_state_of_b() -> tuple[PeerProtocol, PeerProtocol]:
    """Return A and B, where A holds items, fragments, datagrams, suspicions and a probe that involve B."""
    a, b, c = new_process(A, config=ProtocolConfig(suspicion_confirmations=2)), new_process(B), new_process(C)
    introduce(a, b, c)
    b.post(A, 1, b"whole", 0.0)
    b.post(A, 1, b"x" * (2 * MAX_FRAGMENT_BYTES), 0.0)
    for data in take_sent(b, A)[:2]:
        a.on_datagram(B, data, 0.0)
    a.post(B, 1, b"on its way", 0.0)
    a.membership.on_probe_failed(B, 0.0)
    a.membership.on_update(
        MemberUpdate(pack_address(D), S.SUSPECT, 0, pack_address(B)), 0.0
    )  # B alone suspects D
    a.membership.on_update(
        MemberUpdate(pack_address(C), S.SUSPECT, 1_000 << REFUTATION_BITS, pack_address(B)), 0.0
    )
    a.membership.on_update(
        MemberUpdate(pack_address(C), S.SUSPECT, 1_000 << REFUTATION_BITS, pack_address(D)), 0.0
    )
    a._failure_detector.tick(a._failure_detector._next_probe_ms)
    assert a.items and a.datagrams and len(a._reassembler) and a.membership.counts_by_state()[S.SUSPECT] == 3
    return a, b


def test_all_state_of_a_removed_peer_is_dropped_and_the_others_are_unchanged() -> None:
    a, b = processes_with_state_of_b()
    assert a.replace_peers((A, C, D), 1.0) == ([], [B])
    assert not a.items and not len(a._reassembler) and not a._reassembler._keys_by_peer
    assert all(item.to != B for item in a.datagrams) and not a.post(B, 1, b"", 1.0)
    for table in (
        a.membership.members,
        a._windows,
        a.sender._hinted_ms,
        a.membership._suspects,
        a.membership._unhealthy,
    ):
        assert B not in table
    assert pack_address(B) not in a.membership._updates and pack_address(B) not in a.membership._by_address
    state = {name: member.state for name, member in a.membership.members.items()}
    assert state == {C: S.SUSPECT, D: S.UNHEARD}  # only B had suspected D
    assert a.membership.members[C].incarnation == 1_000 << REFUTATION_BITS
    assert a.membership.members[C].suspicion.reporters.keys() == {pack_address(D)}  # type: ignore[union-attr]
    for data in take_sent(b, A):
        a.on_datagram(B, data, 1.0)
    a.membership.on_update(MemberUpdate(pack_address(D), S.SUSPECT, 0, pack_address(B)), 1.0)
    assert not a.items and a.membership.members[D].state is S.UNHEARD
    a.replace_peers((C,), 2.0)
    assert (
        a.membership.live_count == 2 and a.membership.members[C].state is S.ALIVE
    )  # the last process that suspected C is removed
    a.membership.on_update(MemberUpdate(pack_address(C), S.DEAD, 1_000 << REFUTATION_BITS), 2.0)
    assert a.membership.live_count == 1
    assert a.replace_peers((B,), 3.0) == ([B], [C])
    assert a.membership.live_count == 2 and a.membership.due_ms == float("inf") and a.alive() == (B,)


def test_old_datagrams_of_a_peer_that_is_listed_again_are_dropped() -> None:
    a, b = new_process(A), new_process(B)
    introduce(a, b)
    b.post(A, 1, b"once", 0.0)
    b.post(A, 1, b"late", 0.0)
    once, late = take_sent(b, A)
    a.on_datagram(B, once, 0.0)
    a.items.clear()
    a.replace_peers((C,), 1.0)
    a.on_datagram(B, late, 1.0)
    assert a.dropped["stranger"] == 1
    a.replace_peers((B, C), 2.0)
    a.on_datagram(B, once, 2.0)
    assert a.dropped["again"] == 1 and not a.items
    b.post(A, 1, b"more", 3.0)
    a.on_datagram(B, take_sent(b, A)[-1], 3.0)
    assert [item.data for item in a.items] == [b"more"] and a.membership.members[B].state is S.ALIVE


def test_replay_windows_of_removed_peers_are_bounded() -> None:
    a, random = new_process(A), Random(1)
    b = new_process(B)
    introduce(a, b)
    names = [f"127.1.{n // 200}.{n % 200 + 1}:9" for n in range(3_000)]
    for n in range(0, 3_000, 500):
        a.replace_peers(names[n : n + 500], float(n))
        for name in names[n : n + 500]:
            a._windows[name] = a._windows.get(name) or type(b._windows[A])()
            a.membership.on_update(
                MemberUpdate(
                    pack_address(name), random.choice((S.SUSPECT, S.DEAD)), 5, pack_address(names[n])
                ),
                float(n),
            )
    a.replace_peers((C,), 9_000.0)
    assert (
        len(a._removed_windows) == PeerProtocol.MAX_REMOVED_WINDOWS
        and not a._windows
        and list(a.membership.members) == [C]
    )
    assert (
        not a.membership._updates._latest
        and not a.membership._unhealthy
        and not a.membership._suspects
        and a.membership.gone_count == 0
    )
    a.sender.ping(C, 9_001.0)
    assert not a.membership._updates._heap  # the entries of removed peers were skipped


@pytest.mark.parametrize(
    ("others", "keys", "expected"),
    [
        ((B, "there"), (KEY,), "not an IPv4"),
        ((B, "10.0.0.1:1"), (), "so a key is required"),
        ([f"127.{n >> 8}.{n & 255}.1:9" for n in range(4_097)], (KEY,), "the maximum is 4096"),
    ],
)
def test_an_invalid_list_changes_nothing(
    others: tuple[str, ...], keys: tuple[bytes, ...], expected: str
) -> None:
    a = new_process(A, keys)
    with pytest.raises(PeersError, match=expected):
        a.replace_peers(others, 1.0)
    assert tuple(a.membership.members) == (B, C, D)


@pytest.mark.parametrize("seed", range(3))
def test_a_fleet_whose_lists_change_process_by_process(seed: int) -> None:
    """Four peers are replaced by four others. For seconds the lists differ, and 5 % of the datagrams are lost."""
    fleet = Fleet(seed, loss_rate=0.05, names=list(FLEET[:24]))
    fleet.run(10_000.0)
    fleet.names = FLEET[4:28]
    for name in FLEET[24:28]:
        fleet.start(name)
    at = fleet.net.now_ms
    for name in FLEET[4:24]:
        fleet.processes[name].replace_peers(fleet.names, fleet.net.now_ms)
        fleet.run(200.0)
    fleet.kill(*FLEET[:4])
    fleet.run(15_000.0)
    assert fleet.has_one_view()
    assert not {found for found in fleet.wrong_reports(S.DEAD, set(FLEET[:4])) if found[0] in fleet.names}
    crashed = FLEET[25]
    fleet.kill(crashed)
    fleet.run(12_000.0)
    assert len(fleet.reported(S.DEAD, crashed, at)) == 23  # added process are probed like the others


@pytest.mark.parametrize("seed", range(4))
def test_random_list_changes_keep_invariants_and_a_common_list_ends_in_one_view(seed: int) -> None:
    fleet, random = Fleet(seed, loss_rate=0.1, duplicate_rate=0.1, names=list(FLEET[:10])), Random(seed)
    for _ in range(150):
        name = random.choice(FLEET[:10])
        process = fleet.processes[name]
        listed = random.sample(FLEET[:14], random.randrange(1, 14))
        process.replace_peers(listed, fleet.net.now_ms)
        fleet._drain(name)  # as the transport does after each call
        to = random.choice(FLEET[:14])
        fleet.post(name, to, random.randbytes(random.choice((3, 700))))
        fleet.run(random.choice((0.0, 30.0, 300.0)))
        members = process.membership
        assert set(members.members) == set(listed) - {name} == {m.name for m in members._by_address.values()}
        assert members.gone_count == sum(m.state in (S.DEAD, S.LEFT) for m in members.members.values())
        assert set(members._suspects) == {n for n, m in members.members.items() if m.state is S.SUSPECT}
        assert all(m.suspicion is not None and m.suspicion.reporters for m in members._suspects.values())
        assert set(process._windows) <= set(members.members) and not set(process._removed_windows) & set(
            members.members
        )
    for name in FLEET[:10]:
        fleet.processes[name].replace_peers(FLEET[:10], fleet.net.now_ms)
        fleet._drain(name)
    fleet.run(30_000.0)
    assert fleet.has_one_view()
    received = [(item.source, to, item.data) for to, item in fleet.items]
    assert len(received) == len(set(received)) and received
