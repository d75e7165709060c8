"""Plans of faults: the same by the same seed, always healed, and what each fault does to a datagram."""

from __future__ import annotations

from random import Random

import pytest

from standins.plans import PROCESSES, Air, Disk, Fault, Kind, drawn

NAMES = ("a", "b", "c", "d", "e")


def test_a_seed_gives_one_plan_which_is_healed_at_its_end_and_leaves_the_registers_their_disks() -> None:
    kinds, disks = set(), set()
    for seed in range(300):
        plan, again = (
            drawn(Random(seed), NAMES, NAMES[:3], 20_000.0, 12, 1_000.0, servers=("u0",)) for _ in range(2)
        )
        assert plan == again
        on: list[Fault] = []
        for step in plan.steps():
            assert 0.0 <= step.at_ms <= plan.length_ms - 1_000.0
            if step.saves:
                assert step.at_ms <= step.fault.begin_ms
            elif step.begins:
                others = [fault.who for fault in on if fault.kind in PROCESSES]
                assert step.fault.kind not in PROCESSES or step.fault.who not in others
                assert step.fault.kind is not Kind.DISCOVERY or all(f.kind is not Kind.DISCOVERY for f in on)
                on.append(step.fault)
            else:
                on.remove(step.fault)
        assert not on
        assert sum(f.disk is not Disk.OLD and f.who[0] in NAMES[:3] for f in plan.faults) <= 1
        kinds |= {fault.kind for fault in plan.faults}
        disks |= {fault.disk for fault in plan.faults}
    assert kinds == set(Kind) and disks == set(Disk)


def fault(kind: Kind, who: str = "a", to: str = "b", chance: float = 1.0, ms: float = 50.0) -> Fault:
    return Fault(kind, 0.0, 1.0, tuple(who), tuple(to), chance, ms)


@pytest.mark.parametrize(
    ("kind", "source", "to", "count", "low_ms", "high_ms"),
    [
        (Kind.CUT, "a", "b", 0, 0, 0),
        (Kind.CUT, "b", "a", 0, 0, 0),
        (Kind.CUT, "a", "c", 1, 0, 0),
        (Kind.ONE_WAY, "a", "b", 0, 0, 0),
        (Kind.ONE_WAY, "b", "a", 1, 0, 0),
        (Kind.GROUPS, "b", "a", 0, 0, 0),
        (Kind.DELAY, "a", "b", 1, 50, 100),
        (Kind.DROP, "a", "b", 0, 0, 0),
        (Kind.DROP, "b", "a", 1, 0, 0),
        (Kind.DOUBLE, "a", "b", 2, 0, 50),
        (Kind.REORDER, "a", "b", 1, 50, 50),
        (Kind.SLOW, "a", "b", 1, 50, 50),
        (Kind.STOP, "a", "b", 1, 0, 0),
    ],
)
def test_what_a_fault_does_to_a_datagram_and_no_more_when_it_is_over(
    kind: Kind, source: str, to: str, count: int, low_ms: float, high_ms: float
) -> None:
    air, rng = Air(), Random(1)
    air.begin(fault(kind))
    fates = air.fates(source, to, 0.0, rng)
    assert len(fates) == count and all(low_ms <= ms <= high_ms for ms in fates)
    air.end(fault(kind))
    assert air.fates(source, to, 0.0, rng) == [0.0]


def test_a_slow_way_keeps_its_order_and_loses_what_would_wait_too_long() -> None:
    air, rng = Air(), Random(1)
    air.begin(fault(Kind.SLOW, ms=300.0))
    assert [air.fates("a", "b", 0.0, rng) for _ in range(7)] == [[300.0 * n] for n in range(1, 7)] + [[]]
    assert air.fates("a", "b", 1_800.0, rng) == [300.0]


def test_a_lossy_way_loses_its_part() -> None:
    air, rng = Air(), Random(1)
    air.begin(fault(Kind.DROP, chance=0.25))
    assert 200 <= sum(not air.fates("a", "b", 0.0, rng) for _ in range(1_000)) <= 300
