"""`lab`: experiments with whole fleets in simulated time. Needs the extra `lab`."""

from __future__ import annotations

import os
import sys

GOOD, SOME, BAD = 0, 1, 2


def _missing() -> str:
    try:
        import hdrh.histogram  # noqa: F401
    except ImportError:
        return "lab: needs more than the balancer does; install larkweir[lab]"
    return ""


def _beside(path: str, name: str) -> tuple[str, str]:
    whole = os.path.abspath(os.path.join(os.path.dirname(path), name))
    with open(whole, encoding="utf-8") as file:
        return whole, file.read()


def replay(logs: list[str], target: str, part: float, slots: int) -> int:
    """Write `target`.toml and `target`.arrivals; 0, or 2 where the logs make no scenario."""
    from contextlib import ExitStack

    from larkweir.lab.replay import ReplayError
    from larkweir.lab.replay import replay as make

    if not 0.0 < part <= 1.0 or slots < 1:
        print("lab replay: --part is above 0 and up to 1, and --slots from 1 on", file=sys.stderr)
        return BAD
    try:
        with ExitStack() as stack:
            files = [stack.enter_context(open(name, encoding="utf-8", errors="replace")) for name in logs]
            made = make(files, part, slots, os.path.basename(target))
        for end, text in ((".arrivals", made.arrivals), (".toml", made.scenario)):
            with open(target + end, "w", encoding="utf-8") as file:
                file.write(text)
    except (OSError, ReplayError) as problem:
        print(f"lab replay: {problem}", file=sys.stderr)
        return BAD
    for line in made.said:
        print(line, file=sys.stderr)
    print(f"{target}.toml: python -m larkweir lab run {target}.toml")
    return GOOD


def load(
    path: str,
    store: str,
    to: list[str],
    protocol: str,
    cls: str,
    target: str,
    seeds: int,
) -> int:
    """Play a scenario in real time and keep what came of it beside the model's plays; 0, 1 where the generator was
    late, 2 where nothing could be played.
    """
    missing = _missing()
    if missing:
        print(missing, file=sys.stderr)
        return BAD
    from larkweir.lab.emulate import EmulationError
    from larkweir.lab.load import Target
    from larkweir.lab.load import load as play
    from larkweir.lab.report import summary
    from larkweir.lab.results import Cell, Results, StoreError
    from larkweir.lab.runner import code_version
    from larkweir.lab.scenario import ScenarioError, arrivals_of, fingerprint, read

    try:
        with open(path, encoding="utf-8") as file:
            scenario = read(file.read(), lambda name: _beside(path, name))
        if scenario.sweep:
            raise ScenarioError("sweep: a loopback run plays one point; leave the sweep out")
        recorded = arrivals_of(_beside(path, scenario.recorded)[1]) if scenario.recorded else None
        targets = []
        for item in to:
            host, _, port = item.rpartition(":")
            if not host or not port.isdecimal() or not 0 < int(port) < 65536:
                raise ScenarioError(f"--to: {item!r:.60} is no address; write 127.0.0.1:8080")
            targets.append(Target(host, int(port)))
        results = Results(store)
    except (OSError, UnicodeDecodeError, ScenarioError, StoreError) as problem:
        print(f"{path}: {problem}", file=sys.stderr)
        return BAD
    late = False
    cells = []
    try:
        for seed in range(1, seeds + 1):
            result = play(scenario, seed, targets, protocol, cls, target, recorded)
            late = late or bool(result["unstable"])
            cell = Cell(
                scenario.name,
                {"run": "loopback"},
                f"{fingerprint(scenario)}-real",
                code_version(),
                seed,
                result,
            )
            if not results.add(cell):
                print(f"seed {seed}: an earlier run of it was there, and stays", file=sys.stderr)
            cells.append(cell)
        print(summary(cells))
    except (EmulationError, StoreError, OSError) as problem:
        print(f"{path}: {problem}", file=sys.stderr)
        return BAD
    except KeyboardInterrupt:
        return SOME
    finally:
        results.close()
    return SOME if late else GOOD


def run(path: str, store: str, processes: int, narrow: float) -> int:
    """Play what is missing of a scenario; 0, 1 where a cell has failed, 2 where nothing could be played."""
    missing = _missing()
    if missing:
        print(missing, file=sys.stderr)
        return BAD
    from larkweir.lab.report import summary
    from larkweir.lab.results import Results, StoreError
    from larkweir.lab.runner import code_version
    from larkweir.lab.runner import run as play
    from larkweir.lab.scenario import ScenarioError, read

    try:
        with open(path, encoding="utf-8") as file:
            scenario = read(file.read(), lambda name: _beside(path, name))
        results = Results(store)
    except (OSError, UnicodeDecodeError, ScenarioError, StoreError) as problem:
        print(f"{path}: {problem}", file=sys.stderr)
        return BAD
    try:
        done = play(
            scenario,
            results,
            processes or os.cpu_count() or 1,
            lambda line: print(line, file=sys.stderr),
            narrow,
        )
        print(f"{done.played} played, {done.known} were there")
        print(summary(list(results.cells(scenario.name, code_version()))))
    except StoreError as problem:
        print(f"{store}: {problem}", file=sys.stderr)
        return BAD
    except KeyboardInterrupt:
        print("stopped; what was played is kept: the same command goes on", file=sys.stderr)
        return SOME
    finally:
        results.close()
    return SOME if done.failed else GOOD


def report(store: str, page: str | None, table: str | None, scenario: str, against: str) -> int:
    missing = _missing()
    if missing:
        print(missing, file=sys.stderr)
        return BAD
    from larkweir.lab.report import page as make_page
    from larkweir.lab.report import summary
    from larkweir.lab.report import table as make_table
    from larkweir.lab.results import Results, StoreError

    if not os.path.exists(store):
        print(f"{store}: there is no such file", file=sys.stderr)
        return BAD
    try:
        results = Results(store)
        cells = list(results.cells(scenario))
        results.close()
        if page:
            with open(page, "w", encoding="utf-8") as file:
                file.write(make_page(cells, against))
        if table:
            with open(table, "w", encoding="utf-8") as file:
                file.write(make_table(cells))
    except (OSError, StoreError) as problem:
        print(f"{store}: {problem}", file=sys.stderr)
        return BAD
    if not page and not table:
        print(summary(cells))
    return GOOD if cells else SOME
