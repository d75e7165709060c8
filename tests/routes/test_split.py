"""Splits of a route: sticky, of the configured size, and few keys move when shares change."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkweir.routes.split import Ramp, choose

KEYS = [f"k{n}".encode() for n in range(20_000)]


def share(weights: dict[str, float], pool: str, salt: bytes = b"r") -> float:
    return sum(choose(salt, key, weights) == pool for key in KEYS) / len(KEYS)


@pytest.mark.parametrize("part", [0.0, 0.01, 0.05, 0.5, 1.0])
def test_a_pool_gets_its_share_of_the_keys(part: float) -> None:
    found = share({"main": 1.0 - part, "canary": part}, "canary")
    assert found == pytest.approx(part, abs=4.0 * (part * (1.0 - part) / len(KEYS)) ** 0.5 + 1e-12)


@given(st.floats(0.0, 0.5), st.floats(0.0, 0.5))
def test_a_growing_share_loses_no_key(one: float, other: float) -> None:
    small, large = sorted((one, other))
    for key in KEYS[:300]:
        if choose(b"r", key, {"main": 1.0 - small, "canary": small}) == "canary":
            assert choose(b"r", key, {"main": 1.0 - large, "canary": large}) == "canary"


def test_a_third_pool_takes_its_share_and_moves_no_other_key() -> None:
    before = {"main": 0.9, "a": 0.1}
    after = {"main": 0.9, "a": 0.1, "b": 0.25}
    moved = [
        choose(b"r", key, after) for key in KEYS if choose(b"r", key, after) != choose(b"r", key, before)
    ]
    assert set(moved) == {"b"} and len(moved) / len(KEYS) == pytest.approx(0.2, abs=0.01)


def test_routes_draw_independently() -> None:
    weights = {"main": 0.5, "canary": 0.5}
    same = sum(choose(b"r", key, weights) == choose(b"s", key, weights) for key in KEYS) / len(KEYS)
    assert same == pytest.approx(0.5, abs=0.02)


def test_a_ramp_grows_in_steps_to_its_final_share() -> None:
    ramp = Ramp(0.4, 1_000.0)
    parts = [ramp.at(float(at)) for at in range(0, 1_500, 10)]
    assert parts == sorted(parts) and 0.0 < parts[0] <= 0.02 + 1e-9 and parts[-1] == 0.4
    assert len(set(parts)) == Ramp.STEPS
    assert Ramp(0.4, 0.0).at(0.0) == 0.4
