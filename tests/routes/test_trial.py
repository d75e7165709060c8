"""Canary trials: few false alarms however long a trial runs, and worse canaries are found."""

from __future__ import annotations

from random import Random

import pytest

from larkweir.config.options import Route
from larkweir.routes.router import Router
from larkweir.routes.trial import FACTORS, Trial


def run_trial(
    seed: int,
    count: int,
    part: float,
    main: float,
    canary: float,
    slower: float = 1.0,
    outage: tuple[int, int] = (0, 0),
    ramp: bool = False,
) -> tuple[Trial, int]:
    """Run a trial of `count` requests. Returns it, and the number of the request that ended it or `count`. `main` and
    `canary` are the failure rates."""
    rng = Random(seed)
    trial = Trial(0.05)
    for at in range(count):
        mine = part * (at / count if ramp else 1.0)
        to = rng.random() < mine
        rate = canary if to else main
        if outage[0] <= at < outage[1]:
            rate = 0.7  # an outage of something that both depend on
        spent = rng.lognormvariate(3.0, 0.5) * (slower if to else 1.0)
        if trial.record(to, rng.random() < rate, spent):
            return trial, at
    return trial, count


@pytest.mark.parametrize("ramp", [False, True], ids=["steady", "ramp"])
def test_a_canary_that_is_no_worse_is_rarely_ended(ramp: bool) -> None:
    """Checked at every request, through an outage that affects both: at most a fraction of alpha is ended.
    `benchmarks.routes` runs 200 seeds."""
    ended = sum(
        run_trial(seed, 1_200, 0.2, 0.01, 0.01, outage=(500, 700), ramp=ramp)[1] < 1_200 for seed in range(60)
    )
    assert ended <= 0.05 * 60 + 2.0 * (60 * 0.05 * 0.95) ** 0.5


def test_an_added_error_rate_of_5_percent_is_found_soon() -> None:
    found = [run_trial(seed, 20_000, 0.05, 0.005, 0.055) for seed in range(20)]
    assert all(at < 20_000 for _, at in found)
    assert sorted(at for _, at in found)[10] < 5_000
    assert (
        sum("fails more" in trial.verdict for trial, _ in found) >= 18
    )  # in the others the test for slow requests ended the trial first


def test_a_slower_canary_is_found() -> None:
    found = [run_trial(seed, 20_000, 0.1, 0.01, 0.01, slower=1.5) for seed in range(8)]
    assert all("slow" in trial.verdict for trial, _ in found)


def test_a_better_canary_is_never_ended() -> None:
    assert all(run_trial(seed, 5_000, 0.1, 0.05, 0.0, slower=0.5)[1] == 5_000 for seed in range(8))


def test_a_trial_ends_once_and_its_verdict_gives_the_rates() -> None:
    trial = Trial(0.05)
    ends = []
    rng = Random(1)
    for _ in range(4_000):
        to = rng.random() < 0.3
        ends.append(trial.record(to, to and rng.random() < 0.5, 10.0))
    assert sum(ends) == 1 and "beside 0.0% of" in trial.verdict


def test_without_requests_to_both_sides_a_trial_never_ends() -> None:
    for to in (True, False):
        trial = Trial(0.05)
        assert not any(trial.record(to, True, 10.0) for _ in range(2_000))


def test_outcomes_of_different_ramp_steps_are_not_compared() -> None:
    """While a share grows, the later of two outcomes is more likely the canary's, however good the canary is."""
    route = Route(pool="main", split=("new 40%",), sticky="request", ramp_ms=1000.0)
    router = Router({"r": route}, {}, {}, 0.0)
    versions = [
        router.choose("r", b"k", b"", True, now).split_version for now in (0.0, 49.0, 51.0, 999.0, 1001.0)
    ]
    assert versions[0] == versions[1] < versions[2] < versions[3] == versions[4]
    router.set_step("r", 20)
    assert router.choose("r", b"k", b"", True, 0.0).split_version == versions[4]
    trials = router.choose("r", b"k", b"", True, 0.0).trial
    assert trials is not None
    trial = trials.by_pool["new"]
    for _ in range(10):
        trials.record("main", "main", False, 5.0, 0, versions[0])
    trials.record("new", "main", True, 5.0, 0, versions[2])
    assert trial.logs == (0.0,) * 2 * len(FACTORS)
    for _ in range(10):
        trials.record("main", "main", False, 5.0, 0, versions[2])
    trials.record("new", "main", True, 5.0, 0, versions[0])  # late, from an earlier step
    assert trial.logs == (0.0,) * 2 * len(FACTORS)
    trials.record("new", "main", True, 5.0, 0, versions[2])
    assert trial.logs[0] > 0.0
