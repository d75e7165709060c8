"""When the placements file is written, and what is restored from it."""

from __future__ import annotations

import pytest

from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.recovery_hints import PLACEMENTS_FILE, RecoveryHints
from tests.controller.fake_disk import FakeDisk


class Incarnation:
    """One incarnation of a controller on a disk."""

    def __init__(self, disk: FakeDisk) -> None:
        self.placement = PrefixPlacement()
        self.hints = RecoveryHints(disk, self.placement)  # type: ignore[arg-type]

    def change(self) -> None:
        self.placement.place("p", 1_000.0, ["u"], None, 0.0)


@pytest.fixture
def disk() -> FakeDisk:
    return FakeDisk()


def test_nothing_is_written_without_a_change(disk: FakeDisk) -> None:
    Incarnation(disk).hints.write_placements()
    assert disk.written == []


def test_a_change_is_written_once(disk: FakeDisk) -> None:
    started = Incarnation(disk)
    started.change()
    started.hints.write_placements()
    started.hints.write_placements()
    assert disk.written == [PLACEMENTS_FILE]


def test_a_later_incarnation_restores_the_placements(disk: FakeDisk) -> None:
    first = Incarnation(disk)
    first.change()
    first.hints.write_placements()
    second = Incarnation(disk)
    assert second.placement.place("p", 1_000.0, ["u", "v"], "v", 0.0) == ("u", True)


def test_restored_placements_are_not_written_again(disk: FakeDisk) -> None:
    first = Incarnation(disk)
    first.change()
    first.hints.write_placements()
    disk.written.clear()
    Incarnation(disk).hints.write_placements()
    assert disk.written == []


@pytest.mark.parametrize(("placements", "period_ticks"), [(0, 25), (2_500, 25), (2_700, 27)])
def test_many_placements_are_written_less_often(placements: int, period_ticks: int, disk: FakeDisk) -> None:
    started = Incarnation(disk)
    for number in range(placements):
        started.placement.place(f"p{number}", 0.0, ["u"], "u", float(number) * 1_000.0)
    assert started.hints.placements_period_ticks() == period_ticks
