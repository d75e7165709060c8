"""Reloads that wait, what a file says until it is durable, and how often merged tables go to the routes."""

from __future__ import annotations

from collections.abc import Callable
from types import SimpleNamespace
from typing import Any

import pytest
from larkweir_edits.merged_tables import FAULT, MergedTables
from larkweir_edits.rows import Notice

from larkweir.config.operator import decode
from larkweir.config.platform import decode as decode_platform
from larkweir.coordination.edits.reloads import FLUSH_MS, PendingReload, StatedTables
from larkweir.coordination.edits.tables_in_service import (
    APPLY_INTERVAL_FACTOR,
    MIN_APPLY_DELAY_MS,
    TablesInService,
)
from tests.fleet.services import platform

OPTIONS = decode('[pool.new]\n[route.a]\npath = "/a"\n')[0]
TABLES = StatedTables(OPTIONS).tables
MOVED = {**TABLES, "route": {"a": {"path": "/moved"}}}


class SimulatedClock:
    """Its timers come when the test moves it."""

    def __init__(self) -> None:
        self.time_ms = 0.0
        self.timers: list[tuple[float, Callable[[], None]]] = []

    def now_ms(self) -> float:
        return self.time_ms

    def at(self, due_ms: float, call: Callable[[], None]) -> Any:
        timer = (due_ms, call)
        self.timers.append(timer)
        return SimpleNamespace(cancel=lambda: timer in self.timers and self.timers.remove(timer))

    def after(self, delay_ms: float, call: Callable[[], None]) -> Any:
        return self.at(self.time_ms + delay_ms, call)

    def fire(self) -> None:
        """The one timer that is set."""
        ((self.time_ms, call),) = self.timers
        self.timers.clear()
        call()


def test_a_statement_that_is_refused_gives_way_to_the_last_durable_one() -> None:
    stated = StatedTables(OPTIONS)
    stated.replace(MOVED, frozenset(["route.a"]))
    stated.replace({}, frozenset())  # before the first one was durable
    stated.revert()
    assert (stated.tables, stated.resolved_names) == (TABLES, frozenset())
    stated.replace(MOVED, frozenset(["route.a"]))
    stated.confirm()
    stated.revert()
    assert (stated.tables, stated.resolved_names) == (MOVED, frozenset(["route.a"]))


@pytest.mark.parametrize("is_early", [True, False])
def test_a_reload_is_answered_once_and_in_time(is_early: bool) -> None:
    clock, answers = SimulatedClock(), list[str]()
    pending = PendingReload(clock, lambda: "no folder")  # type: ignore[arg-type]
    wait = (
        (lambda: pending.wait_for_folder(OPTIONS, answers.append))
        if is_early
        else (lambda: pending.wait_for_record(7, answers.append))
    )
    wait()
    assert not pending.is_durable(6)
    assert pending.is_durable(7) is not is_early
    clock.fire()
    assert clock.time_ms == FLUSH_MS
    reason = "no folder" if is_early else "the disk has not kept it yet; it counts when it has"
    assert answers == [f"edits: {reason}"]
    pending.finish("again")
    wait()
    pending.finish("")
    assert answers[1:] == [""]
    assert not clock.timers
    assert pending.pop_early() is None


def test_merged_tables_go_to_the_routes_seldom_and_only_where_they_pass() -> None:
    clock, lines, applied = SimulatedClock(), list[str](), list[Any]()
    merged = [MergedTables(TABLES, ())]

    def reconfigure(config: Any, options: Any) -> None:
        applied.append(service.over(options).routes["a"].path)
        clock.time_ms += 50.0

    host = SimpleNamespace(
        clock=clock,
        config=decode_platform(platform(), {}),
        options=OPTIONS,
        log=SimpleNamespace(write=lines.append),
        reconfigure=reconfigure,
    )
    service = TablesInService(host, TABLES, lambda: merged[-1])  # type: ignore[arg-type]
    service.update()
    service.schedule(merged[-1], 0.0)
    assert not clock.timers, "nothing has changed"
    merged.append(MergedTables(MOVED, ()))
    service.schedule(None, 0.0)
    clock.fire()
    assert (clock.time_ms, applied) == (MIN_APPLY_DELAY_MS + 50.0, ["/moved"])
    assert service.summary(TABLES)[1] == 1
    merged.append(MergedTables(TABLES, (Notice("route", "a", "", f"{FAULT}: bad"),)))
    service.schedule(None, clock.time_ms)
    clock.fire()
    assert clock.time_ms == MIN_APPLY_DELAY_MS + 50.0 + APPLY_INTERVAL_FACTOR * 50.0
    assert (applied, service.tables, len(service.notices), len(lines)) == (["/moved"], MOVED, 1, 1)
    service.schedule(None, clock.time_ms)
    service.close()
    assert not clock.timers
