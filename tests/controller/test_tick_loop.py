"""When periodic tasks run, and how a pause of the process is noticed."""

from __future__ import annotations

import asyncio

import pytest

from larkweir.controller import tick_loop
from larkweir.controller.tick_loop import PAUSE_MS, PeriodicTask, TickLoop


class EnoughError(Exception):
    """The test has seen enough ticks."""


class Recorder:
    """Runs a loop whose clock and sleep are the test's; each tick comes after the next of `gaps_ms`."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, gaps_ms: list[float]) -> None:
        self.calls: list[str] = []
        self.present_ms = 0.0
        self._gaps_ms = iter(gaps_ms)
        monkeypatch.setattr(tick_loop, "now_ms", lambda: self.present_ms)
        monkeypatch.setattr(asyncio, "sleep", self._sleep)

    async def _sleep(self, delay_s: float) -> None:
        try:
            self.present_ms += next(self._gaps_ms)
        except StopIteration:
            raise EnoughError from None

    def task(self, name: str, period_ticks: int = 1) -> PeriodicTask:
        return PeriodicTask(lambda: self.calls.append(name), period_ticks)

    def run(self, *tasks: PeriodicTask) -> list[str]:
        with pytest.raises(EnoughError):
            asyncio.run(TickLoop(tasks, lambda: self.calls.append("paused")).run())
        return self.calls


def test_tasks_run_in_their_order_at_multiples_of_their_period(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch, [40.0] * 4)
    calls = recorder.run(recorder.task("a"), recorder.task("b", 3), recorder.task("c"))
    assert "".join(calls) == "abcacacabc"


def test_a_period_may_vary(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch, [40.0] * 6)
    periods = iter([1, 2, 2, 5, 5, 5])
    task = PeriodicTask(lambda: recorder.calls.append("a"), lambda: next(periods))
    assert recorder.run(task, recorder.task("-")) == ["a", "-", "-", "a", "-", "-", "-", "a", "-"]


def test_a_pause_is_noticed_before_the_tasks_of_the_late_tick(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch, [40.0, PAUSE_MS, 40.0])
    assert recorder.run(recorder.task("a")) == ["a", "paused", "a", "a"]


def test_a_tick_that_is_a_little_late_is_no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch, [40.0, PAUSE_MS - 1.0])
    assert recorder.run(recorder.task("a")) == ["a", "a"]
