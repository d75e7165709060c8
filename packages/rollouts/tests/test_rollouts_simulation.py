"""Simulated roll-outs: good versions are completed in time, bad ones get few requests.

The environment variable ROLLOUT_SEEDS sets the number of seeds.
"""

from __future__ import annotations

import os
from dataclasses import replace

import pytest
from rollout_checks import check, check_both
from rollout_scenarios import Disturbance, Version, draw_partly_bad_scenario, draw_scenario

SEEDS = int(os.environ.get("ROLLOUT_SEEDS", "16"))
GOOD = Version()
FAILING = Version(failure_share=0.3)
SLOW = Version(slowdown=6.0)
PARTLY_SLOW = Version(slowdown=8.0, slow_share=0.4)


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_drawn_scenario(seed: int) -> None:
    check(draw_scenario(seed))


@pytest.mark.parametrize("disturbance", list(Disturbance))
def test_a_good_version_is_completed_despite_any_disturbance(disturbance: Disturbance) -> None:
    check(replace(draw_scenario(1, GOOD), disturbance=disturbance))


@pytest.mark.parametrize("seed", range(SEEDS))
def test_a_drawn_version_of_which_a_part_of_the_answers_is_bad(seed: int) -> None:
    check(draw_partly_bad_scenario(seed))


@pytest.mark.parametrize("version", [FAILING, SLOW, PARTLY_SLOW], ids=["failing", "slow", "partly slow"])
@pytest.mark.parametrize("disturbance", list(Disturbance))
def test_a_bad_version_is_rolled_back_despite_any_disturbance(
    disturbance: Disturbance, version: Version
) -> None:
    check(replace(draw_scenario(2, version), disturbance=disturbance))


@pytest.mark.parametrize("versions", [(GOOD, FAILING), (SLOW, GOOD), (FAILING, SLOW)])
def test_roll_outs_of_two_services_do_not_affect_each_other(versions: tuple[Version, Version]) -> None:
    check_both(draw_scenario(4, versions[0]), draw_scenario(5, versions[1]))


def test_the_same_seed_gives_the_same_result() -> None:
    assert check(draw_scenario(3)) == check(draw_scenario(3))
