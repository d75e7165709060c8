"""Hands: `lab`: experiments with whole fleets in simulated time. Needs the extra `lab`."""

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
            scenario = read(file.read())
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
