"""`python rollout_curves.py [SEEDS [FIRST [curves]]]`: checks random scenarios, and lists those that fail the checks.

With `curves`, it prints a table instead: how often versions are rolled back, by the kind of fault.
"""

from __future__ import annotations

import statistics
import sys
from collections.abc import Iterator

from larkweir_rollouts.state import RolloutState
from rollout_checks import check, check_bad
from rollout_fleet import Result
from rollout_scenarios import Scenario, Version, draw_scenario
from rollout_simulation import Simulation

CURVES = {
    "good": Version(),
    **{f"{share:.0%} fail": Version(failure_share=share) for share in (0.02, 0.05, 0.1, 0.2, 0.3, 0.5)},
    **{f"{factor} times slower": Version(slowdown=factor) for factor in (1.5, 2.0, 3.0, 4.0, 6.0, 8.0)},
    "30% fail, on one route": Version(failure_share=0.3, route="digest"),
    "6 times slower, on one route": Version(slowdown=6.0, route="digest"),
    **{
        f"30% fail, from {onset:.0%} on": Version(failure_share=0.3, onset=onset)
        for onset in (0.2, 0.4, 0.5, 0.6)
    },
    **{
        f"6 times slower, from {onset:.0%} on": Version(slowdown=6.0, onset=onset)
        for onset in (0.2, 0.4, 0.5)
    },
    "30% fail under load": Version(failure_share=0.3, is_bad_only_under_load=True),
    "6 times slower under load": Version(slowdown=6.0, is_bad_only_under_load=True),
}


def table_row(name: str, version: Version, seeds: range) -> str:
    """Simulate the seeds with a version, and summarize the results as a row of the table."""
    rolled_back, within_limits, bad_answers, sends = 0, 0, [], []
    for seed in seeds:
        drawn = draw_scenario(seed, version)
        if version.route and version.route not in drawn.routes:
            continue
        result = Simulation(drawn).run()
        is_rolled_back = result.state is RolloutState.ROLLED_BACK
        rolled_back += is_rolled_back
        within_limits += _is_exposure_allowed(drawn, result)
        bad_answers.append(result.bad_answers)
        sends.append(result.target_sends)
    count = len(sends)
    median_bad, median_sends = statistics.median(bad_answers), statistics.median(sends)
    exposure = "" if version.is_good else f"{within_limits / count:.1%}"
    shares = f"{rolled_back / count:.1%} | {exposure}"
    return f"| {name} | {count} | {shares} | {median_bad:.0f} | {median_sends:.0f} |"


def _is_exposure_allowed(drawn: Scenario, result: Result) -> bool:
    try:
        check_bad(drawn, result)
    except AssertionError as error:
        return "exposure" not in str(error) and "50th" not in str(error)
    return True


def failed_checks(seeds: range) -> Iterator[str]:
    """Check the scenario of each seed, and yield a line for each one that fails."""
    for seed in seeds:
        drawn = draw_scenario(seed)
        try:
            check(drawn)
        except AssertionError as error:
            yield f"seed {seed}: {error}; {drawn}"


def main() -> None:
    count = int(sys.argv[1]) if len(sys.argv) > 1 else 100
    first = int(sys.argv[2]) if len(sys.argv) > 2 else 0
    seeds = range(first, first + count)
    if len(sys.argv) > 3:
        print("| version | runs | rolled back | EXPOSURE holds | bad answers, median | requests, median |")
        print("| --- | --- | --- | --- | --- | --- |")
        for name, version in CURVES.items():
            print(table_row(name, version, seeds), flush=True)
        return
    good = sum(draw_scenario(seed).version.is_good for seed in seeds)
    print(f"{count} scenarios from seed {first}: {good} good versions, {count - good} bad ones", flush=True)
    for line in failed_checks(seeds):
        print(line, flush=True)


if __name__ == "__main__":
    main()
