"""Every task has an owner, and every exception of a task is logged."""

from __future__ import annotations

import ast
import asyncio
from collections.abc import Iterator
from pathlib import Path

import pytest

from larkweir.cluster import log
from larkweir.cluster.tasks import (
    EssentialTaskError,
    location_of,
    log_callback_failure,
    start_task,
    wait_unless_failed,
)

ROOT = Path(__file__).resolve().parents[2]
STARTERS = frozenset(("create_task", "ensure_future", "start_task"))
FLEET_FOLDERS = ("cluster", "controller", "router", "system")


@pytest.fixture
def logged(monkeypatch: pytest.MonkeyPatch) -> list[dict[str, object]]:
    lines: list[dict[str, object]] = []
    monkeypatch.setattr(log, "event", lambda name, **fields: lines.append({"event": name, **fields}))
    return lines


async def fail() -> None:
    raise ValueError("as planned")


async def wait() -> None:
    await asyncio.Event().wait()


def test_the_exception_of_a_task_is_logged_with_its_name(logged: list[dict[str, object]]) -> None:
    failures: list[str] = []

    async def scenario() -> None:
        task = start_task("odd", fail(), lambda: failures.append("called"))
        await asyncio.wait((task,))
        await asyncio.sleep(0)

    asyncio.run(scenario())
    assert failures == ["called"]
    (line,) = logged
    assert (line["event"], line["task"], line["error"]) == ("task_failed", "odd", "ValueError('as planned')")
    assert str(line["at"]).startswith("test_tasks.py:")


def test_a_task_that_ends_or_is_cancelled_is_not_logged(logged: list[dict[str, object]]) -> None:
    async def scenario() -> None:
        ended, cancelled = start_task("a", asyncio.sleep(0)), start_task("b", wait())
        await ended
        cancelled.cancel()
        await asyncio.wait((cancelled,))

    asyncio.run(scenario())
    assert logged == []


def test_a_process_waits_for_its_end_while_its_essential_task_runs(logged: list[dict[str, object]]) -> None:
    async def scenario() -> None:
        event = asyncio.Event()
        task = start_task("ticks", wait())
        asyncio.get_running_loop().call_soon(event.set)
        await wait_unless_failed(event, task)
        task.cancel()
        with pytest.raises(EssentialTaskError, match="ticks"):
            await wait_unless_failed(asyncio.Event(), start_task("ticks", fail()))

    asyncio.run(scenario())
    assert [line["task"] for line in logged] == ["ticks"]


def test_an_exception_of_a_callback_is_one_line(logged: list[dict[str, object]]) -> None:
    async def scenario() -> None:
        loop = asyncio.get_running_loop()
        loop.set_exception_handler(log_callback_failure)
        loop.call_soon(lambda: 1 // 0)
        loop.call_exception_handler({"message": "without an exception"})
        await asyncio.sleep(0.0)
        await asyncio.sleep(0.0)

    asyncio.run(scenario())
    assert [(line["event"], line.get("error")) for line in logged] == [
        ("callback_failed", None),
        ("callback_failed", "ZeroDivisionError('integer division or modulo by zero')"),
    ]


def test_an_exception_that_was_not_raised_has_no_location() -> None:
    assert location_of(ValueError()) == ""


def sources() -> Iterator[tuple[Path, ast.Module]]:
    for folder in ("larkweir", "packages"):
        for path in sorted((ROOT / folder).rglob("*.py")):
            if "tests" not in path.parts and "build" not in path.parts:
                yield path.relative_to(ROOT), ast.parse(path.read_text())


def starts_task(node: ast.AST) -> bool:
    if not isinstance(node, ast.Call):
        return False
    name = node.func.attr if isinstance(node.func, ast.Attribute) else getattr(node.func, "id", "")
    return name in STARTERS


def test_no_task_is_started_without_an_owner() -> None:
    """A task without a reference may be garbage-collected while it runs, and its exception is not noticed."""
    dropped = [
        f"{path}:{node.lineno}"
        for path, tree in sources()
        for node in ast.walk(tree)
        if isinstance(node, ast.Expr) and starts_task(node.value)
    ]
    assert dropped == []


def test_in_the_fleet_every_task_logs_its_exception() -> None:
    """Only `tasks.start_task` creates tasks in the fleet's code."""
    direct = [
        f"{path}:{node.lineno}"
        for path, tree in sources()
        if path.parts[:1] == ("larkweir",) and path.parts[1] in FLEET_FOLDERS
        for node in ast.walk(tree)
        if starts_task(node) and ast.unparse(node.func).rpartition(".")[2] != "start_task"  # type: ignore[attr-defined]
    ]
    assert {line.rpartition(":")[0] for line in direct} == {"larkweir/cluster/tasks.py"}
