"""For how long a new connection to an upstream is waited for."""

from __future__ import annotations

import pytest

from larkweir.router.connect_timeout import MAX_CONNECT_TIMEOUT_S, MIN_CONNECT_TIMEOUT_S, ConnectTimeout


def test_nothing_is_known_at_first() -> None:
    assert ConnectTimeout().seconds == MAX_CONNECT_TIMEOUT_S


@pytest.mark.parametrize("connect_s", [0.001, 0.01])
def test_quick_connections_make_it_short(connect_s: float) -> None:
    timeout = ConnectTimeout()
    for _ in range(20):
        timeout.observe(connect_s)
    assert timeout.seconds == MIN_CONNECT_TIMEOUT_S


def test_far_upstreams_are_given_their_time() -> None:
    timeout = ConnectTimeout()
    for _ in range(50):
        timeout.observe(0.150)
        timeout.observe(0.170)
    assert 0.170 < timeout.seconds <= MAX_CONNECT_TIMEOUT_S


def test_it_never_grows_beyond_the_most() -> None:
    timeout = ConnectTimeout()
    timeout.observe(10.0)
    assert timeout.seconds == MAX_CONNECT_TIMEOUT_S
