"""Background tasks are kept alive until they end, and cancelled on close."""

from __future__ import annotations

import asyncio
import gc

import pytest

from larkweir.cluster import log
from larkweir.controller.background_tasks import BackgroundTasks


def test_a_task_without_another_reference_runs_to_its_end() -> None:
    async def scenario() -> None:
        ended = asyncio.Event()

        async def work() -> None:
            await asyncio.sleep(0.01)
            ended.set()

        tasks = BackgroundTasks()
        tasks.start("work", work())
        gc.collect()
        async with asyncio.timeout(5.0):
            await ended.wait()

    asyncio.run(scenario())


def test_close_cancels_tasks_that_have_not_ended() -> None:
    async def scenario() -> None:
        begun, cancelled = asyncio.Event(), asyncio.Event()

        async def work() -> None:
            begun.set()
            try:
                await asyncio.Event().wait()
            except asyncio.CancelledError:
                cancelled.set()
                raise

        tasks = BackgroundTasks()
        tasks.start("work", work())
        await begun.wait()
        tasks.close()
        async with asyncio.timeout(5.0):
            await cancelled.wait()

    asyncio.run(scenario())


def test_a_failing_task_is_logged_and_does_not_affect_other_tasks(monkeypatch: pytest.MonkeyPatch) -> None:
    logged: list[dict[str, object]] = []
    monkeypatch.setattr(log, "event", lambda name, **fields: logged.append({"event": name, **fields}))

    async def scenario() -> None:
        ended = asyncio.Event()

        async def fail() -> None:
            raise ValueError("as planned")

        async def work() -> None:
            await asyncio.sleep(0.01)
            ended.set()

        tasks = BackgroundTasks()
        tasks.start("fail", fail())
        tasks.start("work", work())
        async with asyncio.timeout(5.0):
            await ended.wait()
        assert [(entry["event"], entry["task"], entry["error"]) for entry in logged] == [
            ("task_failed", "fail", "ValueError('as planned')")
        ]

    asyncio.run(scenario())
