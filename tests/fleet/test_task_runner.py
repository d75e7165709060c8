"""When a balancer's tasks run, and where their reports go."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from larkweir_owners.messages import Record, Version

from larkweir.coordination.duties.messages import RampReport, Report, decode_report
from larkweir.coordination.task_runner import LoggedTask, TaskRunner

OTHER = "127.0.0.1:7002"
REPORT = RampReport(1, ())


class Task:
    """A task that reports each time it is due, every 100 ms."""

    name = "ramps"

    def __init__(self, is_notable: bool = True) -> None:
        self.next_ms = 100.0
        self.received: list[tuple[str, Report]] = []
        self.committed: list[Version] = []
        self.left = False
        self._is_notable = is_notable

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        return state + b"+"

    def on_committed(self, state: bytes, version: Version) -> None:
        self.committed.append(version)

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        self.received.append((source, report))

    def tick(self, now_ms: float) -> list[Report]:
        self.next_ms = now_ms + 100.0
        return [REPORT]

    def on_left_fleet(self) -> None:
        self.left = True

    def is_notable(self) -> bool:
        return self._is_notable


class Manager:
    """As much of a DutyManager as the runner needs."""

    def __init__(self, record: Record | None) -> None:
        self.replicator = SimpleNamespace(records={} if record is None else {"ramps": record})
        self.woken: list[str] = []

    def wake(self, name: str, now_ms: float) -> None:
        self.woken.append(name)


@pytest.mark.parametrize(
    ("record", "sent", "received"),
    [
        (Record(1, 1, OTHER, 5), [OTHER], []),
        (Record(1, 1, "me", 5), [], ["me"]),
        (Record(1, 2, "", 0), [], []),
        (None, [], []),
    ],
)
def test_a_report_goes_to_the_owner(record: Record | None, sent: list[str], received: list[str]) -> None:
    task, manager = Task(), Manager(record)
    posted: list[tuple[str, Any]] = []
    runner = TaskRunner({"ramps": task}, "me", lambda to, item: posted.append((to, decode_report(item))))
    runner.tick(manager, 100.0)  # type: ignore[arg-type]
    assert posted == [(to, REPORT) for to in sent]
    assert task.received == [(source, REPORT) for source in received]
    assert manager.woken == ["ramps"]


def test_a_task_runs_when_it_is_due() -> None:
    task, manager = Task(), Manager(None)
    runner = TaskRunner({"ramps": task}, "me", lambda to, item: None)
    for now_ms, woken in ((99.0, 0), (100.0, 1), (150.0, 1), (200.0, 2)):
        runner.tick(manager, now_ms)  # type: ignore[arg-type]
        assert len(manager.woken) == woken
    assert runner.next_ms == 300.0
    assert TaskRunner({}, "me", lambda to, item: None).next_ms == float("inf")


def test_each_task_gets_the_reports_of_others_and_is_notified_when_the_process_leaves() -> None:
    tasks = {"ramps": Task(), "verdicts": Task()}
    runner = TaskRunner(tasks, "me", lambda to, item: None)
    runner.on_report(OTHER, REPORT, 0.0)
    runner.leave()
    assert [task.received for task in tasks.values()] == [[(OTHER, REPORT)]] * 2
    assert all(task.left for task in tasks.values())


@pytest.mark.parametrize(
    ("state", "is_notable", "logged"), [(b"x", True, 1), (b"x", False, 0), (b"", True, 0)]
)
def test_only_notable_states_are_logged(state: bytes, is_notable: bool, logged: int) -> None:
    lines: list[tuple[str, Version]] = []
    task = Task(is_notable)
    duty = LoggedTask(task, lambda name, version: lines.append((name, version)))
    duty.on_committed(state, (2, 9))
    assert task.committed == [(2, 9)] and lines == [("ramps", (2, 9))] * logged
    assert duty.name == "ramps" and duty.step(b"a", 0.0) == b"a+"
