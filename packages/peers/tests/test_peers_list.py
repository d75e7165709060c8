"""A list of peers that changes while they run: what is left of who went, who came, and lists that differ meanwhile."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_peers.frames import DATA, LIFE_BITS, Ask, Nack, News, State, decode, encode
from larkweir_peers.names import packed
from larkweir_peers.pace import Pace
from larkweir_peers.peers import Peers, PeersError
from larkweir_peers.seal import Seal
from test_peers_fleet import NAMES as FLEET
from test_peers_fleet import Fleet
from test_peers_rules import KEY, NAMES, A, B, C, D, met, one, sent

S = State


def frames(peers: Peers, to: str) -> list[object]:
    return [decode(Seal((KEY,)).open(packed(to), data) or b"") for data in sent(peers, to)]


def test_of_who_went_nothing_is_left_and_who_stays_keeps_what_is_known_of_it() -> None:
    a, b, c = one(A, pace=Pace(confirmations=2)), one(B), one(C)
    met(a, b, c)
    b.post(A, 1, b"whole", 0.0)
    b.post(A, 1, b"x" * (2 * DATA), 0.0)
    for data in sent(b, A)[:2]:
        a.came(B, data, 0.0)
    a.post(B, 1, b"on its way", 0.0)
    a.members.failed(B, 0.0)
    a.members.told(News(packed(D), S.SUSPECT, 0, packed(B)), 0.0)  # B alone suspects D
    a.members.told(News(packed(C), S.SUSPECT, 1_000 << LIFE_BITS, packed(B)), 0.0)
    a.members.told(News(packed(C), S.SUSPECT, 1_000 << LIFE_BITS, packed(D)), 0.0)
    a._probes.tick(a._probes._next_ms)
    assert a.items and a.datagrams and len(a._pieces) and a.members.counts()[S.SUSPECT] == 3
    assert a.relist((A, C, D), 1.0) == ([], [B])
    assert not a.items and not len(a._pieces) and not a._pieces._of
    assert all(item.to != B for item in a.datagrams) and not a.post(B, 1, b"", 1.0)
    for held in (a.members.table, a._windows, a._nudged, a.members._suspects, a.members._off):
        assert B not in held
    assert packed(B) not in a.members._rumours and packed(B) not in a.members._by_bytes
    state = {name: member.state for name, member in a.members.table.items()}
    assert state == {C: S.SUSPECT, D: S.UNHEARD}  # D was suspected by none but B
    assert a.members.table[C].incarnation == 1_000 << LIFE_BITS
    assert a.members.table[C].suspicion.by.keys() == {packed(D)}  # type: ignore[union-attr]
    for data in sent(b, A):
        a.came(B, data, 1.0)
    a.members.told(News(packed(D), S.SUSPECT, 0, packed(B)), 1.0)
    assert not a.items and a.members.table[D].state is S.UNHEARD
    a.relist((C,), 2.0)
    assert a.members.fleet == 2 and a.members.table[C].state is S.ALIVE  # nor C now
    a.members.told(News(packed(C), S.DEAD, 1_000 << LIFE_BITS), 2.0)
    assert a.members.fleet == 1
    assert a.relist((B,), 3.0) == ([B], [C])
    assert a.members.fleet == 2 and a.members.due_ms == float("inf") and a.alive() == (B,)


def test_who_went_and_came_back_is_believed_nothing_that_it_said_before() -> None:
    a, b = one(A), one(B)
    met(a, b)
    b.post(A, 1, b"once", 0.0)
    b.post(A, 1, b"late", 0.0)
    once, late = sent(b, A)
    a.came(B, once, 0.0)
    a.items.clear()
    a.relist((C,), 1.0)
    a.came(B, late, 1.0)
    assert a.dropped["stranger"] == 1
    a.relist((B, C), 2.0)
    a.came(B, once, 2.0)
    assert a.dropped["again"] == 1 and not a.items
    b.post(A, 1, b"more", 3.0)
    a.came(B, sent(b, A)[-1], 3.0)
    assert [item.data for item in a.items] == [b"more"] and a.members.table[B].state is S.ALIVE


def test_what_is_kept_of_those_that_went_is_bounded() -> None:
    a, random = one(A), Random(1)
    b = one(B)
    met(a, b)
    names = [f"127.1.{n // 200}.{n % 200 + 1}:9" for n in range(3_000)]
    for n in range(0, 3_000, 500):
        a.relist(names[n : n + 500], float(n))
        for name in names[n : n + 500]:
            a._windows[name] = a._windows.get(name) or type(b._windows[A])()
            a.members.told(
                News(packed(name), random.choice((S.SUSPECT, S.DEAD)), 5, packed(names[n])), float(n)
            )
    a.relist((C,), 9_000.0)
    assert len(a._past) == Peers.PAST_MOST and not a._windows and list(a.members.table) == [C]
    assert not a.members._rumours and not a.members._off and not a.members._suspects and a.members.gone == 0
    a.ping(C, 9_001.0)
    assert not a.members._queue  # what was to be told of them is passed over, once


@pytest.mark.parametrize(
    ("others", "keys", "words"),
    [
        ((B, "there"), (KEY,), "not an IPv4"),
        ((B, "10.0.0.1:1"), (), "takes a key"),
        ([f"127.{n >> 8}.{n & 255}.1:9" for n in range(4_097)], (KEY,), "4096 at the most"),
    ],
)
def test_a_list_that_does_not_do_changes_nothing(
    others: tuple[str, ...], keys: tuple[bytes, ...], words: str
) -> None:
    a = one(A, keys)
    with pytest.raises(PeersError, match=words):
        a.relist(others, 1.0)
    assert tuple(a.members.table) == (B, C, D)


def test_who_is_asked_about_one_that_it_does_not_list_says_that_it_is_here() -> None:
    """The asker's own health goes by such answers."""
    a, b = one(A), one(B)
    met(a, b)
    b.relist((A, C), 1.0)
    a._number += 1
    ask = Ask(packed(A), a.members.incarnation, 0, a._number, [], packed(D))
    b.came(A, Seal((KEY,)).close(packed(B), encode(ask)), 1.0)
    (answer,) = frames(b, A)
    assert isinstance(answer, Nack) and answer.of == a._number


def test_a_probe_of_who_went_accuses_nobody() -> None:
    a = one(A)
    met(a, one(B), one(C), one(D))
    a.tick(a.next_ms)
    probe = a._probes._probe
    assert probe is not None
    a._probes.asked(C if probe.target != C else B, probe.target, 7, a.next_ms)
    a.relist([name for name in NAMES if name != probe.target], a.next_ms)
    assert a._probes._probe is None and not a._probes._favours and not a._probes._nacks
    score = a.health.score
    for _ in range(40):
        a.tick(a.next_ms)
        a.datagrams.clear()
    assert probe.target not in a.members.table and a.health.score >= score


@pytest.mark.parametrize("seed", range(3))
def test_a_fleet_whose_lists_change_one_process_after_the_other(seed: int) -> None:
    """Four go, for good, and four others come; for seconds the lists differ, a twentieth is lost."""
    fleet = Fleet(seed, lost=0.05, names=list(FLEET[:24]))
    fleet.run(10_000.0)
    fleet.names = FLEET[4:28]
    for name in FLEET[24:28]:
        fleet.start(name)
    at = fleet.net.now_ms
    for name in FLEET[4:24]:
        fleet.members[name].relist(fleet.names, fleet.net.now_ms)
        fleet.run(200.0)
    fleet.kill(*FLEET[:4])
    fleet.run(15_000.0)
    assert fleet.agree()
    assert not {found for found in fleet.wrongly(S.DEAD, set(FLEET[:4])) if found[0] in fleet.names}
    crashed = FLEET[25]
    fleet.kill(crashed)
    fleet.run(12_000.0)
    assert len(fleet.said(S.DEAD, crashed, at)) == 23  # who came is watched as the others are


@pytest.mark.parametrize("seed", range(4))
def test_lists_that_change_at_random_break_nothing_and_one_list_at_last_is_one_view(seed: int) -> None:
    fleet, random = Fleet(seed, lost=0.1, doubled=0.1, names=list(FLEET[:10])), Random(seed)
    for _ in range(150):
        name = random.choice(FLEET[:10])
        peers = fleet.members[name]
        listed = random.sample(FLEET[:14], random.randrange(1, 14))
        peers.relist(listed, fleet.net.now_ms)
        fleet._out(name)  # as the hands do after each call
        to = random.choice(FLEET[:14])
        fleet.post(name, to, random.randbytes(random.choice((3, 700))))
        fleet.run(random.choice((0.0, 30.0, 300.0)))
        members = peers.members
        assert set(members.table) == set(listed) - {name} == {m.name for m in members._by_bytes.values()}
        assert members.gone == sum(m.state in (S.DEAD, S.LEFT) for m in members.table.values())
        assert set(members._suspects) == {n for n, m in members.table.items() if m.state is S.SUSPECT}
        assert all(m.suspicion is not None and m.suspicion.by for m in members._suspects.values())
        assert set(peers._windows) <= set(members.table) and not set(peers._past) & set(members.table)
    for name in FLEET[:10]:
        fleet.members[name].relist(FLEET[:10], fleet.net.now_ms)
        fleet._out(name)
    fleet.run(30_000.0)
    assert fleet.agree()
    came = [(item.source, to, item.data) for to, item in fleet.items]
    assert len(came) == len(set(came)) and came
