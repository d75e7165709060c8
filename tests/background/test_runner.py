"""Steps on a real loop: one a turn, behind requests, whatever a task does."""

from __future__ import annotations

import asyncio
import time
from random import Random

from larkweir.background.rules import Outcome, Task
from larkweir.background.runner import Runner
from larkweir.core.clock import Clock
from standins.peers import PATIENCE_S


def work(test: object) -> None:
    asyncio.run(asyncio.wait_for(test(), PATIENCE_S))  # type: ignore[operator]


def test_steps_take_turns_with_everything_else() -> None:
    async def go() -> None:
        runner = Runner(Clock(asyncio.get_running_loop()), lambda: False, print, Random(1))
        done = asyncio.Event()
        left = 10
        turns = 0

        def step() -> Outcome:
            nonlocal left
            left -= 1
            if not left:
                done.set()
                return Outcome.DONE
            return Outcome.MORE

        async def others() -> None:
            nonlocal turns
            while not done.is_set():
                turns += 1
                await asyncio.sleep(0)

        runner.add(Task("ten"), step)
        await asyncio.gather(done.wait(), others())
        assert turns >= 10 and runner.facts()["background"] == 0

    work(go)


def test_a_task_that_raises_is_said_once_and_comes_again() -> None:
    async def go() -> None:
        said: list[str] = []
        runner = Runner(Clock(asyncio.get_running_loop()), lambda: False, said.append, Random(1))
        tries = 0
        enough = asyncio.Event()

        def step() -> Outcome:
            nonlocal tries
            tries += 1
            if tries == 4:
                enough.set()
            raise RuntimeError("no disk")

        runner.add(Task("bad", period_ms=5.0, back_off_ms=5.0), step)
        await enough.wait()
        assert said == ["background: bad: RuntimeError: no disk"]
        assert runner.facts()["background_failing"] == "bad"

    work(go)


def test_nothing_runs_while_requests_wait_and_all_of_it_afterwards() -> None:
    async def go() -> None:
        busy = True
        ran = asyncio.Event()

        def step() -> Outcome:
            ran.set()
            return Outcome.DONE

        runner = Runner(Clock(asyncio.get_running_loop()), lambda: busy, print, Random(1))
        runner.add(Task("look"), step)
        begun = time.monotonic()
        while time.monotonic() - begun < 0.1:
            await asyncio.sleep(0.01)
            assert not ran.is_set()
        busy = False
        await ran.wait()

    work(go)


def test_a_drain_ends_what_is_not_for_it() -> None:
    async def go() -> None:
        runner = Runner(Clock(asyncio.get_running_loop()), lambda: False, print, Random(1))
        counts = {"probe": 0, "flush": 0}

        def step_of(name: str) -> Outcome:
            counts[name] += 1
            return Outcome.DONE

        runner.add(Task("probe", period_ms=5.0), lambda: step_of("probe"))
        runner.add(Task("flush", period_ms=5.0, at_drain=True), lambda: step_of("flush"))
        while not all(counts.values()):
            await asyncio.sleep(0.005)
        runner.drain()
        before = dict(counts)
        while counts["flush"] < before["flush"] + 3:
            await asyncio.sleep(0.005)
        assert counts["probe"] == before["probe"]

    work(go)
