"""The duties' tasks at one balancer: when each is due, and its reports to the duty's owner."""

from __future__ import annotations

from collections.abc import Callable, Mapping

from larkweir_owners.duty_manager import DutyManager
from larkweir_owners.messages import Version

from larkweir.coordination.duties.messages import Report, encode_report
from larkweir.coordination.duties.ports import FleetTask


class LoggedTask:
    """A task as the manager sees it (`larkweir_owners.ports.Duty`): notable states are logged."""

    def __init__(self, task: FleetTask, log: Callable[[str, Version], None]) -> None:
        """`log` is called with the name and the version of a notable state."""
        self.task = task
        self.name = task.name
        self._log = log

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        """As the owner: the task's next state."""
        return self.task.step(state, now_ms)

    def on_committed(self, state: bytes, version: Version) -> None:
        """A majority has accepted a state."""
        self.task.on_committed(state, version)
        if state and self.task.is_notable():
            self._log(self.name, version)


class TaskRunner:
    """The tasks of this process, by name, and who gets their reports."""

    def __init__(self, tasks: Mapping[str, FleetTask], me: str, send: Callable[[str, bytes], object]) -> None:
        """`send`: to a process, the bytes of a report; it may be lost."""
        self._tasks, self._me, self._send = tasks, me, send

    @property
    def next_ms(self) -> float:
        """When the first task is due."""
        return min((task.next_ms for task in self._tasks.values()), default=float("inf"))

    def tick(self, manager: DutyManager, now_ms: float) -> None:
        """Run the tasks that are due, and send their reports to the duties' owners."""
        for name, task in self._tasks.items():
            if now_ms >= task.next_ms:
                for report in task.tick(now_ms):
                    self._report(manager, name, report, now_ms)
                manager.wake(name, now_ms)

    def _report(self, manager: DutyManager, name: str, report: Report, now_ms: float) -> None:
        record = manager.replicator.records.get(name)
        if record is None or not record.owner:
            return
        if record.owner == self._me:
            self._tasks[name].on_report(self._me, report, now_ms)
        else:
            self._send(record.owner, encode_report(report))

    def on_report(self, source: str, report: Report, now_ms: float) -> None:
        """Another process's report: each task takes those that it knows."""
        for task in self._tasks.values():
            task.on_report(source, report, now_ms)

    def leave(self) -> None:
        """This process takes no part any more."""
        for task in self._tasks.values():
            task.on_left_fleet()
