"""When periodic tasks run, and how a pause of the process is detected."""

from __future__ import annotations

import asyncio

import pytest

from larkweir.cluster import log
from larkweir.cluster.periodic_tasks import MAX_RETRY_MS, PAUSE_MS, PeriodicTask, TickLoop


class EnoughError(Exception):
    """Ends the loop after the last tick of a test."""


class Recorder:
    """Runs a loop with a simulated clock and sleep; `gaps_ms` are the times between ticks."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch, gaps_ms: list[float]) -> None:
        self.calls: list[str] = []
        self.present_ms = 0.0
        self._gaps_ms = iter(gaps_ms)
        monkeypatch.setattr(asyncio, "sleep", self._sleep)

    async def _sleep(self, delay_s: float) -> None:
        try:
            self.present_ms += next(self._gaps_ms)
        except StopIteration:
            raise EnoughError from None

    def task(self, name: str, period_ticks: int = 1) -> PeriodicTask:
        return PeriodicTask(name, lambda: self.calls.append(name), period_ticks)

    def loop(self, *tasks: PeriodicTask) -> TickLoop:
        return TickLoop(tasks, lambda: self.calls.append("paused"), 0.04, lambda: self.present_ms)

    def run(self, *tasks: PeriodicTask) -> list[str]:
        with pytest.raises(EnoughError):
            asyncio.run(self.loop(*tasks).run())
        return self.calls


def test_tasks_run_in_their_order_at_multiples_of_their_period(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch, [40.0] * 4)
    calls = recorder.run(recorder.task("a"), recorder.task("b", 3), recorder.task("c"))
    assert "".join(calls) == "abcacacabc"


def test_a_period_may_vary(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch, [40.0] * 6)
    periods = iter([1, 2, 2, 5, 5, 5])
    task = PeriodicTask("a", lambda: recorder.calls.append("a"), lambda: next(periods))
    assert recorder.run(task, recorder.task("-")) == ["a", "-", "-", "a", "-", "-", "-", "a", "-"]


def test_a_pause_is_noticed_before_the_tasks_of_the_late_tick(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch, [40.0, PAUSE_MS, 40.0])
    assert recorder.run(recorder.task("a")) == ["a", "paused", "a", "a"]


def test_a_tick_that_is_a_little_late_is_no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    recorder = Recorder(monkeypatch, [40.0, PAUSE_MS - 1.0])
    assert recorder.run(recorder.task("a")) == ["a", "a"]


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(log, "event", lambda name, **fields: lines.append({"event": name, **fields}))
    return lines


def test_a_task_that_raises_is_logged_and_tried_again_later(
    monkeypatch: pytest.MonkeyPatch, logged: list[dict[str, object]]
) -> None:
    recorder = Recorder(monkeypatch, [500.0] * 8)
    outcomes = iter([False, False, True, True])

    def run() -> None:
        recorder.calls.append("tried")
        if not next(outcomes):
            raise ValueError("as planned")

    calls = recorder.run(PeriodicTask("odd", run), recorder.task("-"))
    # It is retried after 1 s, then after 2 s, then runs at each tick. The other task runs at every tick.
    assert calls == ["tried", "-", "-", "tried", "-", "-", "-", "-", "tried", "-", "tried", "-"]
    assert [(line["event"], line["task"], line["retry_s"]) for line in logged] == [
        ("periodic_task_failed", "odd", 1.0),
        ("periodic_task_failed", "odd", 2.0),
    ]
    assert "as planned" in str(logged[0]["error"])
    assert str(logged[0]["at"]).startswith("test_periodic_tasks.py")


def test_the_retry_delay_of_a_failing_task_is_capped(
    monkeypatch: pytest.MonkeyPatch, logged: list[dict[str, object]]
) -> None:
    def fail() -> None:
        raise ValueError

    Recorder(monkeypatch, [600.0] * 200).run(PeriodicTask("odd", fail))
    assert logged[-1]["retry_s"] == MAX_RETRY_MS / 1000.0


def test_an_essential_task_that_raises_ends_the_loop(monkeypatch: pytest.MonkeyPatch) -> None:
    def fail() -> None:
        raise ValueError("as planned")

    recorder = Recorder(monkeypatch, [40.0] * 3)
    loop = recorder.loop(PeriodicTask("replica", fail, is_essential=True), recorder.task("-"))
    with pytest.raises(ValueError, match="as planned"):
        asyncio.run(loop.run())
    assert recorder.calls == []


def test_tasks_run_after_a_pause_handler_raises(
    monkeypatch: pytest.MonkeyPatch, logged: list[dict[str, object]]
) -> None:
    def fail() -> None:
        raise ValueError("as planned")

    recorder = Recorder(monkeypatch, [PAUSE_MS, 40.0])
    loop = TickLoop([recorder.task("a")], fail, 0.04, lambda: recorder.present_ms)
    with pytest.raises(EnoughError):
        asyncio.run(loop.run())
    assert recorder.calls == ["a", "a"]
    assert [line["event"] for line in logged] == ["process_paused", "periodic_task_failed"]
