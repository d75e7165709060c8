"""The clock must not follow changes of the system time."""

from __future__ import annotations

import asyncio

import pytest

from larkweir.core import clock as module
from larkweir.core.clock import Clock


def test_a_step_of_the_system_time_neither_changes_the_clock_nor_fires_a_timer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Guards leases, suspicions and deadlines, which all use this clock."""
    mono_s = [1_000.0]
    monkeypatch.setattr(module.time, "monotonic", lambda: mono_s[0])
    monkeypatch.setattr(module.time, "time", lambda: 2_000_000.0)
    loop = asyncio.new_event_loop()
    try:
        clock = Clock(loop)
        fired: list[float] = []
        clock.after(3_000.0, lambda: fired.append(clock.now_ms()))
        for wall_s in (2_003_600.0, 1_990_000.0):
            monkeypatch.setattr(module.time, "time", lambda wall_s=wall_s: wall_s)
            assert clock.now_ms() == 2_000_000_000.0
            clock._fire()
            assert not fired
        mono_s[0] += 3.0
        clock._fire()
        assert fired == [2_000_003_000.0]
    finally:
        loop.close()
