"""The requests of a run: when each arrives, at which balancer, of which class and tenant. Pure logic.

Arrivals are a Poisson process, thinned where the load follows a profile, or as they were recorded.
"""

from __future__ import annotations

from collections.abc import Callable, Iterator, Sequence
from random import Random
from typing import TYPE_CHECKING

from larkweir.lab.scenario import Class, Scenario, time_ms

if TYPE_CHECKING:
    from larkweir.lab.model import World

Arrivals = Sequence[tuple[float, int]]  # milliseconds and the balancer


class Traffic:
    """Calls `ask` with the balancer of each request, when it arrives. Each kind of draw has a generator of its own,
    so that two policies under one seed meet the same arrivals.
    """

    def __init__(
        self,
        world: World,
        classes: Sequence[Class],
        capacity: float,
        recorded: Arrivals | None,
        ask: Callable[[int], None],
    ) -> None:
        """`capacity`: requests of mean work 1 a millisecond that the tightest tier can do. `recorded`: else drawn."""
        scenario = world.scenario
        self._world, self._ask = world, ask
        self._recorded = None if recorded is None else iter(recorded)
        self._arrival_rng = Random(f"{world.seed} arrivals")
        self._kind_rng = Random(f"{world.seed} traffic")
        self._class_parts = [(row.share, n) for n, row in enumerate(classes)]
        self._tenant_parts = [(row.asks or row.share, n) for n, row in enumerate(scenario.tenants)]
        self._profile = [(time_ms(at, "profile"), times) for at, times in scenario.profile]
        self._peak_factor = max((times for _, times in self._profile), default=1.0)
        self._rate = _rate(scenario, classes, capacity, self._peak_factor)

    def begin(self) -> None:
        """Schedule the first arrival; each schedules the next."""
        if self._recorded is not None:
            self._schedule_recorded(self._recorded)
        elif self._rate > 0.0:
            self._world.after(self._arrival_rng.expovariate(self._rate), self._arrive)

    def draw_kind(self) -> tuple[int, int]:
        """The class and the tenant of the next request, by their places."""
        cls = self._draw(self._class_parts) if len(self._class_parts) > 1 else 0
        return cls, self._draw(self._tenant_parts) if self._tenant_parts else 0

    def _arrive(self) -> None:
        world = self._world
        if world.now >= world.span_ms:
            return
        world.after(self._arrival_rng.expovariate(self._rate), self._arrive)
        balancer = int(self._arrival_rng.random() * len(world.balancers))
        if not self._profile or self._kind_rng.random() * self._peak_factor < self._load_factor():
            self._ask(balancer)

    def _load_factor(self) -> float:
        """The factor of the load now, by the profile: straight lines between its points."""
        before = self._profile[0]
        for after in self._profile:
            if after[0] > self._world.now:
                part = (self._world.now - before[0]) / max(1e-9, after[0] - before[0])
                return before[1] + (after[1] - before[1]) * max(0.0, part)
            before = after
        return before[1]

    def _draw(self, rows: Sequence[tuple[float, int]]) -> int:
        """A place, drawn by the rows' parts."""
        at = self._kind_rng.random() * sum(part for part, _ in rows)
        for part, place in rows:
            at -= part
            if at < 0.0:
                return place
        return rows[-1][1]

    def _schedule_recorded(self, recorded: Iterator[tuple[float, int]]) -> None:
        """Schedule the next recorded arrival."""
        world, found = self._world, next(recorded, None)
        if found is not None and found[0] < world.span_ms:
            world.after(max(0.0, found[0] - world.now), lambda: self._replay(recorded, found[1]))

    def _replay(self, recorded: Iterator[tuple[float, int]], balancer: int) -> None:
        self._ask(balancer % len(self._world.balancers))
        self._schedule_recorded(recorded)


def _rate(scenario: Scenario, classes: Sequence[Class], capacity: float, most: float) -> float:
    """Arrivals a millisecond at the profile's highest point."""
    parts = sum(row.share for row in classes)
    mean_work = sum(row.share * row.work for row in classes) / parts
    return most * scenario.load / mean_work * capacity
