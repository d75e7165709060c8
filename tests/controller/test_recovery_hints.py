"""When hint files are written, and what is restored from them."""

from __future__ import annotations

import asyncio

import pytest
from larkweir_registry.records import Upstream
from larkweir_registry.registry import Registry

from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.recovery_hints import PLACEMENTS_FILE, UPSTREAMS_FILE, RecoveryHints


class FakeDisk:
    """Hint files in memory, and the order in which they were written."""

    def __init__(self) -> None:
        self.files: dict[str, bytes] = {}
        self.written: list[str] = []

    def read_hint(self, name: str) -> bytes | None:
        return self.files.get(name)

    def write_hint(self, name: str, data: bytes) -> None:
        self.files[name] = data
        self.written.append(name)


class Incarnation:
    """One incarnation of a controller on a disk."""

    def __init__(self, disk: FakeDisk, number: int = 1) -> None:
        self.registry = Registry(f"c/{number}")
        self.placement = PrefixPlacement()
        self.hints = asyncio.run(self._make(disk))

    async def _make(self, disk: FakeDisk) -> RecoveryHints:
        return RecoveryHints(disk, self.registry, self.placement)  # type: ignore[arg-type]

    def change(self) -> None:
        self.registry.update(Upstream("u", "s", "127.0.0.1:1", "z"), 0.0)
        self.placement.place("p", 1_000.0, ["u"], None, 0.0)

    def write(self) -> None:
        self.hints.write_upstreams()
        self.hints.write_placements()


@pytest.fixture
def disk() -> FakeDisk:
    return FakeDisk()


def test_nothing_is_written_without_a_change(disk: FakeDisk) -> None:
    started = Incarnation(disk)
    started.write()
    assert disk.written == []


def test_a_change_is_written_once(disk: FakeDisk) -> None:
    started = Incarnation(disk)
    started.change()
    started.write()
    started.write()
    assert disk.written == [UPSTREAMS_FILE, PLACEMENTS_FILE]


def test_a_later_incarnation_restores_the_hints(disk: FakeDisk) -> None:
    first = Incarnation(disk)
    first.change()
    first.write()
    second = Incarnation(disk, 2)
    assert second.registry.upstreams == first.registry.upstreams
    assert second.placement.place("p", 1_000.0, ["u", "v"], "v", 0.0) == ("u", True)


def test_restored_hints_are_not_written_again(disk: FakeDisk) -> None:
    first = Incarnation(disk)
    first.change()
    first.write()
    disk.written.clear()
    Incarnation(disk, 2).write()
    assert disk.written == []


@pytest.mark.parametrize(("placements", "period_ticks"), [(0, 25), (2_500, 25), (2_700, 27)])
def test_many_placements_are_written_less_often(placements: int, period_ticks: int, disk: FakeDisk) -> None:
    started = Incarnation(disk)
    for number in range(placements):
        started.placement.place(f"p{number}", 0.0, ["u"], "u", float(number) * 1_000.0)
    assert started.hints.placements_period_ticks() == period_ticks
