"""Thirty processes on a simulated network, with crashes, partitions, packet loss, pauses and new incarnations."""

from __future__ import annotations

from random import Random

import pytest
from fleet_peers import NAMES, Fleet
from larkweir_peers.messages import MemberState


@pytest.mark.parametrize("seed", range(4))
@pytest.mark.parametrize("loss_rate", [0.0, 0.1])
def test_a_crash_is_detected_by_all_and_nobody_else_is_declared_dead(seed: int, loss_rate: float) -> None:
    fleet = Fleet(seed, loss_rate=loss_rate, duplicate_rate=loss_rate)
    fleet.run(20_000.0)
    assert fleet.has_one_view()
    crashed, at = NAMES[seed], fleet.net.now_ms
    fleet.kill(crashed)
    fleet.run(12_000.0)
    found = fleet.reported(MemberState.DEAD, crashed, at)
    assert len(found) == 29 and min(found.values()) > 2_950.0 and max(found.values()) < 10_000.0
    assert not fleet.wrong_reports(MemberState.DEAD, {crashed}) and fleet.has_one_view({crashed})


@pytest.mark.parametrize("seed", range(3))
def test_a_partition_splits_the_fleet_and_heals(seed: int) -> None:
    fleet = Fleet(seed, loss_rate=0.02)
    fleet.run(15_000.0)
    fleet.net.split([NAMES[:12], NAMES[12:]])
    fleet.run(60_000.0)
    for name, process in fleet.processes.items():
        side = NAMES[:12] if name in NAMES[:12] else NAMES[12:]
        assert set(process.alive()) == set(side) - {name}
    fleet.net.heal()
    fleet.run(15_000.0)
    assert fleet.has_one_view()


@pytest.mark.parametrize("seed", range(3))
def test_a_paused_process_suspects_nobody_and_is_alive_again(seed: int) -> None:
    """Simulates SIGSTOP and SIGCONT. The timeouts of the process expire while it is paused."""
    fleet = Fleet(seed)
    stopped = set(NAMES[:3])
    for length in (700.0, 2_500.0, 30_000.0):
        fleet.run(10_000.0)
        for name in stopped:
            fleet.net.pause(name)
        fleet.run(length)
        for name in stopped:
            fleet.net.resume(name)
        fleet.run(15_000.0)
        assert fleet.has_one_view()
    assert not fleet.wrong_reports(MemberState.DEAD, stopped) and not fleet.wrong_reports(
        MemberState.SUSPECT, stopped
    )
    assert fleet.reported(MemberState.DEAD, NAMES[0])  # 30 s are longer than the timeout of any suspicion


@pytest.mark.parametrize("seed", range(3))
def test_slow_processes_lower_their_local_health_before_they_suspect_others(seed: int) -> None:
    """Lifeguard: a slow process handles each datagram only after the probe interval has passed."""
    fleet = Fleet(seed)
    fleet.run(10_000.0)
    slow = set(NAMES[:3])
    fleet.slow = dict.fromkeys(slow, 600.0)
    fleet.run(60_000.0)
    assert not fleet.wrong_reports(MemberState.DEAD, set()) and not fleet.wrong_reports(
        MemberState.SUSPECT, slow
    )
    assert all(fleet.processes[name].health.score >= 5 for name in slow)
    assert sum(fleet.processes[name].health.score for name in NAMES[3:]) <= 5
    fleet.slow.clear()
    fleet.run(30_000.0)
    assert fleet.has_one_view() and not any(process.health.score for process in fleet.processes.values())


def test_a_new_process_replaces_the_former_one_even_with_its_clock_behind() -> None:
    fleet = Fleet(5)
    fleet.run(10_000.0)
    for clock_ms in (0.0, -500_000.0):
        name = NAMES[7]
        before = fleet.processes[name].membership.incarnation
        fleet.kill(name)
        fleet.run(300.0)
        fleet.start(name, clock_ms)
        fleet.run(10_000.0)
        assert fleet.processes[name].membership.incarnation > before
        assert {
            process.membership.members[name].incarnation
            for n, process in fleet.processes.items()
            if n != name
        } == {fleet.processes[name].membership.incarnation}
        assert fleet.has_one_view() and not fleet.reported(MemberState.DEAD, name)


def test_a_listed_peer_that_never_runs_is_dead_until_it_does() -> None:
    fleet = Fleet(6)
    fleet.kill(NAMES[0], NAMES[1])
    fleet.run(40_000.0)
    assert fleet.has_one_view({NAMES[0], NAMES[1]})
    fleet.start(NAMES[0])
    fleet.run(10_000.0)
    assert fleet.has_one_view({NAMES[1]})


def test_items_are_never_delivered_twice_or_incomplete() -> None:
    fleet = Fleet(7, loss_rate=0.05, duplicate_rate=0.2)
    fleet.run(5_000.0)
    posted: dict[tuple[str, str], list[bytes]] = {}
    random = Random(7)
    for n in range(300):
        source, to = random.sample(NAMES, 2)
        item = n.to_bytes(2, "big") + random.randbytes(random.choice((0, 10, 300, 3_000)))
        if fleet.post(source, to, item):
            posted.setdefault((source, to), []).append(item)
        fleet.run(100.0)
    received = [(item.source, to, item.data) for to, item in fleet.items]
    assert len(received) == len(set(received)) and all(
        data in posted[source, to] for source, to, data in received
    )
    assert len(received) > 200


def test_the_send_rate_of_an_idle_process_does_not_depend_on_fleet_size() -> None:
    """Sends are counted after the updates caused by the start have been gossiped."""
    sends = {}
    for number in (10, 60):
        fleet = Fleet(8, names=[f"127.0.1.{n}:1" for n in range(1, number + 1)])
        fleet.run(20_000.0)
        before = fleet.net.sent
        fleet.run(20_000.0)
        sends[number] = (fleet.net.sent - before) / 20.0 / number
    assert 3.9 < sends[10] < 4.1 and 3.9 < sends[60] < 4.1


def test_the_same_seed_gives_the_same_run() -> None:
    def run() -> object:
        fleet = Fleet(9, loss_rate=0.1, duplicate_rate=0.1)
        fleet.run(5_000.0)
        fleet.kill(NAMES[3])
        fleet.run(10_000.0)
        return fleet.events, fleet.net.sent, fleet.net.sent_bytes

    assert run() == run()
