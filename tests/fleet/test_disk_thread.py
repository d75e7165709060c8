"""Blocking calls run one after another, off the loop; their results come back in its turns."""

from __future__ import annotations

import asyncio
import threading

from larkweir.coordination.disk_thread import DiskThread


def test_calls_run_in_order_on_a_thread_of_their_own_and_answer_on_the_loop() -> None:
    async def play() -> None:
        here = threading.get_ident()
        thread = DiskThread()
        done: list[tuple[int, int, bool]] = []
        threads: list[int] = []
        finished = asyncio.Event()

        def call(number: int) -> int:
            threads.append(threading.get_ident())
            return number

        def on_done(number: int, result: int) -> None:
            done.append((number, result, threading.get_ident() == here))
            if number == 9:
                finished.set()

        for number in range(10):
            thread.run(
                lambda number=number: call(number),  # type: ignore[misc]
                lambda result, number=number: on_done(number, result),  # type: ignore[misc]
            )
        await asyncio.wait_for(finished.wait(), 30.0)
        thread.close()
        assert done == [(number, number, True) for number in range(10)]
        assert len(set(threads)) == 1 and here not in threads

    asyncio.run(play())


def test_a_call_that_ends_after_the_loop_answers_nobody() -> None:
    go_on, ended = threading.Event(), threading.Event()
    answers: list[bool] = []

    async def play() -> DiskThread:
        thread = DiskThread()
        thread.run(lambda: go_on.wait(30.0), answers.append)
        thread.run(ended.set)
        return thread

    thread = asyncio.run(play())
    go_on.set()
    thread.close()
    assert ended.wait(30.0) and answers == []


def test_a_thread_that_was_never_used_is_closed() -> None:
    async def play() -> None:
        DiskThread().close()

    asyncio.run(play())
