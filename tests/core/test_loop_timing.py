"""How the time of a call is divided between this process and the upstream, from the iterations of the event loop."""

from __future__ import annotations

import asyncio
import time
from math import inf

from larkweir.core.clock import Clock
from larkweir.core.loop_timing import LoopTiming


def test_after_a_poll_that_waited_all_time_until_its_end_is_remote() -> None:
    timing = LoopTiming(0.0)
    timing.poll_began(10.0)
    timing.poll_ended(60.0, inf)
    assert timing.remote_ms(8.0) == 52.0


def test_after_a_poll_that_returned_at_once_the_previous_iteration_is_local_time() -> None:
    timing = LoopTiming(0.0)
    timing.poll_began(1.0)
    timing.poll_ended(50.0, inf)  # an iteration that takes 80 ms
    timing.poll_began(130.0)
    timing.poll_ended(130.1, inf)
    assert timing.remote_ms(60.0) == 0.0  # written during that iteration: no time is certainly remote
    assert timing.remote_ms(20.0) == 30.0  # written before: the time up to the start of the iteration is


def test_time_in_which_the_process_was_stopped_is_local_time() -> None:
    timing = LoopTiming(0.0)
    timing.poll_began(10.0)
    timing.poll_ended(2_010.0, 30.0)  # the poll took 2 s, and a timer was due after 20 ms
    assert timing.since_ms == 30.0


def test_the_duration_of_a_handler_is_not_counted_as_remote_time() -> None:
    async def run() -> tuple[float, float]:
        loop = asyncio.get_running_loop()
        clock = Clock(loop)
        begun = clock.now_ms()
        found: asyncio.Future[tuple[float, float]] = loop.create_future()

        def busy() -> None:
            clock.loop_iteration()
            entered = clock.now_ms() - begun
            time.sleep(0.05)
            found.set_result((entered, clock.loop_iteration().remote_ms(begun)))

        loop.call_later(0.02, busy)
        return await found

    entered, spent = asyncio.run(run())
    assert 0.0 < spent <= entered


def test_late_ms_is_how_long_events_may_have_waited_unread() -> None:
    """A stop of the process during the poll and one in the middle of an iteration are detected in different ways."""
    timing = LoopTiming(0.0)
    timing.poll_ended(10.0, inf)
    timing.poll_began(11.0)
    timing.poll_ended(1_800.0, 100.0)  # the poll ended long after a timer was due
    assert timing.late_ms == 1_700.0
    timing.poll_began(1_801.0)
    timing.poll_ended(1_850.0, 1_900.0)  # the poll waited for an event, which arrived
    assert timing.late_ms == 0.0
    timing.poll_began(3_600.0)  # stopped during this iteration, or busy for that long
    timing.poll_ended(3_600.1, 1_900.0)
    assert timing.late_ms == 1_750.0
