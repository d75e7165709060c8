"""The time-out for new connections to upstreams."""

from __future__ import annotations

import pytest

from larkweir.router.connect_timeout import MAX_CONNECT_TIMEOUT_S, MIN_CONNECT_TIMEOUT_S, ConnectTimeout


def test_the_timeout_starts_at_the_maximum() -> None:
    assert ConnectTimeout().seconds == MAX_CONNECT_TIMEOUT_S


@pytest.mark.parametrize("connect_s", [0.001, 0.01])
def test_fast_connects_shorten_the_timeout_to_the_minimum(connect_s: float) -> None:
    timeout = ConnectTimeout()
    for _ in range(20):
        timeout.observe(connect_s)
    assert timeout.seconds == MIN_CONNECT_TIMEOUT_S


def test_the_timeout_stays_above_the_connect_time_of_distant_upstreams() -> None:
    timeout = ConnectTimeout()
    for _ in range(50):
        timeout.observe(0.150)
        timeout.observe(0.170)
    assert 0.170 < timeout.seconds <= MAX_CONNECT_TIMEOUT_S


def test_the_timeout_never_exceeds_the_maximum() -> None:
    timeout = ConnectTimeout()
    timeout.observe(10.0)
    assert timeout.seconds == MAX_CONNECT_TIMEOUT_S
