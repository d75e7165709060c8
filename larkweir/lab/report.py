"""Reports of results: an HTML page with its charts embedded, a text summary, and a CSV table."""

from __future__ import annotations

import base64
import csv
import html
import io
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from larkweir.lab.measures import BUCKET_MS
from larkweir.lab.results import Cell
from larkweir.lab.stats import interval, paired

MEASURES = (
    "in_time",
    "served",
    "refused",
    "attempts",
    "last_calls",
    "worth",
    "crossed",
    "mean_ms",
    "p50",
    "p99",
    "p999",
    "busiest",
)
BETTER = {
    "worth": 1,
    "crossed": -1,
    "in_time": 1,
    "served": 1,
    "refused": -1,
    "attempts": -1,
    "last_calls": -1,
    "mean_ms": -1,
    "p50": -1,
    "p99": -1,
    "p999": -1,
    "busiest": -1,
}


MOST_LINES = 10  # in one picture: more can't be told apart


def _in_order(point: dict[str, Any]) -> list[tuple[str, float, str]]:
    """Numbers by their size, words by their letters."""
    return [
        (key, float(value), "") if isinstance(value, int | float) else (key, 0.0, str(value))
        for key, value in sorted(point.items())
    ]


def grouped(cells: Sequence[Cell]) -> dict[str, dict[int, Cell]]:
    """By what the sweep has set, then by seed."""
    found: dict[str, dict[int, Cell]] = {}
    for cell in sorted(cells, key=lambda cell: _in_order(cell.point)):
        name = ", ".join(f"{key} {value}" for key, value in cell.point.items()) or cell.scenario
        found.setdefault(name, {})[cell.seed] = cell
    return found


def values(seeds: dict[int, Cell], measure: str) -> dict[int, float]:
    """One measure by seed, where it was measured."""
    return {
        seed: cell.result[measure] for seed, cell in seeds.items() if cell.result.get(measure) is not None
    }


def table(cells: Sequence[Cell]) -> str:
    """CSV: a line for each cell."""
    out = io.StringIO()
    keys = sorted({key for cell in cells for key in cell.point})
    writer = csv.writer(out, lineterminator="\n")
    writer.writerow(["scenario", *keys, "seed", "code", *MEASURES, "unstable"])
    for cell in cells:
        row = [cell.result.get(name) for name in MEASURES]
        writer.writerow(
            [
                cell.scenario,
                *(cell.point.get(key, "") for key in keys),
                cell.seed,
                cell.code,
                *row,
                cell.result["unstable"],
            ]
        )
    return out.getvalue()


def _picture(figure: Any) -> str:
    out = io.BytesIO()
    figure.savefig(out, format="png", dpi=110, bbox_inches="tight", metadata={"Software": None})
    return f'<img alt="" src="data:image/png;base64,{base64.b64encode(out.getvalue()).decode()}">'


def _legend(axes: Any) -> None:
    """Beside the picture, so that it hides nothing."""
    axes.legend(fontsize="small", loc="center left", bbox_to_anchor=(1.01, 0.5), frameon=False)


def _latencies(groups: dict[str, dict[int, Cell]]) -> str:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 4.5))
    axes = figure.subplots()
    marks = [0.1, 0.5, 0.75, 0.9, 0.95, 0.99, 0.995, 0.999, 0.9995, 0.9999]
    for name, seeds in groups.items():
        whole = HdrHistogram(1, 100_000_000, 3)
        for cell in seeds.values():
            whole.decode_and_add(cell.result["latency"])
        if whole.get_total_count():
            axes.plot(
                range(len(marks)),
                [whole.get_value_at_percentile(100.0 * mark) / 1000.0 for mark in marks],
                marker=".",
                label=name,
            )
    axes.set_xticks(range(len(marks)), [f"{100 * mark:g}" for mark in marks], rotation=45)
    axes.set_yscale("log")
    axes.set_xlabel("percentile of what was served")
    axes.set_ylabel("ms")
    axes.grid(alpha=0.3)
    _legend(axes)
    return _picture(figure)


def _lines(groups: dict[str, dict[int, Cell]], faults: Sequence[tuple[float, str]]) -> str:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 3.5))
    axes = figure.subplots()
    for name, seeds in groups.items():
        rows = [cell.result["line"] for cell in seeds.values()]
        shares: list[float] = []
        for at in range(len(rows[0]) - 1):
            asked = sum(row[at][0] for row in rows)
            shares.append(sum(row[at][1] for row in rows) / asked if asked else float("nan"))
        axes.plot([at * BUCKET_MS / 1000.0 for at in range(len(shares))], shares, label=name, linewidth=1.2)
    for when, what in faults:
        axes.axvline(when / 1000.0, color="0.5", linestyle=":")
        axes.text(when / 1000.0, 0.02, f" {what}", rotation=90, fontsize="x-small", color="0.4")
    axes.set_ylim(0.0, 1.02)
    axes.set_xlabel("s")
    axes.set_ylabel("served within the aim")
    axes.grid(alpha=0.3)
    _legend(axes)
    return _picture(figure)


def _loads(groups: dict[str, dict[int, Cell]]) -> str:
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 3))
    axes = figure.subplots()
    for name, seeds in groups.items():
        sums = [
            sum(column) for column in zip(*(cell.result["calls"] for cell in seeds.values()), strict=True)
        ]
        usual = sum(sums) / len(sums) if sums else 0.0
        if usual:
            axes.plot([value / usual for value in sorted(sums)], label=name, linewidth=1.2)
    axes.set_xlabel("servers, by their calls")
    axes.set_ylabel("calls, of the mean")
    axes.grid(alpha=0.3)
    _legend(axes)
    return _picture(figure)


def _swept(cells: Sequence[Cell]) -> str:
    """A picture for each key that was swept over three numbers or more: what is measured, by that, a line for each
    point of the other keys.
    """
    from matplotlib.figure import Figure

    shown = ""
    for key in sorted({key for cell in cells for key in cell.point}):
        numbers = {cell.point[key] for cell in cells if isinstance(cell.point.get(key), int | float)}
        if len(numbers) < 3:
            continue
        lines: dict[str, dict[float, dict[int, Cell]]] = {}
        for cell in cells:
            name = ", ".join(f"{other} {value}" for other, value in cell.point.items() if other != key)
            lines.setdefault(name, {}).setdefault(cell.point[key], {})[cell.seed] = cell
        figure = Figure(figsize=(11, 4))
        for axes, measure in zip(figure.subplots(1, 2), ("in_time", "mean_ms"), strict=True):
            for name, points in lines.items():
                rows = []
                for value, seeds in sorted(points.items()):
                    found = list(values(seeds, measure).values())
                    if found:
                        rows.append((value, interval(found)))
                halves = [each.half if each.seeds > 1 else 0.0 for _, each in rows]
                axes.errorbar(
                    [value for value, _ in rows],
                    [each.mean for _, each in rows],
                    halves,
                    marker=".",
                    label=name,
                )
            if min(numbers) > 0 and max(numbers) >= 10 * min(numbers):
                axes.set_xscale("log")
            axes.set_xlabel(key)
            axes.set_ylabel(measure)
            axes.grid(alpha=0.3)
        _legend(axes)
        shown += f"<h2>By {html.escape(key)}</h2>{_picture(figure)}"
    return shown


def _number(value: float) -> str:
    return f"{value:.4f}" if abs(value) < 10.0 else f"{value:.1f}"


def _row(name: str, seeds: dict[int, Cell], base: dict[int, Cell] | None) -> str:
    """One point's row of the table; `base`: the point that it is compared with."""
    shown = [f"<th>{html.escape(name)}</th><td>{len(seeds)}</td>"]
    shown += [_measured(seeds, base, measure) for measure in MEASURES]
    unstable = sorted({cell.result["unstable"] for cell in seeds.values()} - {""})
    shown.append(f"<td>{html.escape('; '.join(unstable))}</td>")
    return "<tr>" + "".join(shown) + "</tr>"


def _measured(seeds: dict[int, Cell], base: dict[int, Cell] | None, measure: str) -> str:
    """One measure's field of a row."""
    mine = values(seeds, measure)
    if not mine:
        return "<td>none</td>"
    mean = interval(list(mine.values()))
    text = f"{_number(mean.mean)} <small>&plusmn; {_number(mean.half) if mean.seeds > 1 else '?'}</small>"
    mark = ""
    if base is not None:
        apart = paired(values(base, measure), mine)
        if apart.seeds > 1 and apart.tells:
            good = (apart.mean > 0.0) == (BETTER[measure] > 0)
            mark = f' class="{"better" if good else "worse"}"'
            text += f"<br><small>{apart.mean:+.4g} &plusmn; {apart.half:.2g}</small>"
    return f"<td{mark}>{text}</td>"


def page(cells: Sequence[Cell], against: str = "", faults: Sequence[tuple[float, str]] = ()) -> str:
    """One HTML file. `against` names the point that others are compared with, by the same seeds; the first if none."""
    groups = grouped(cells)
    if not groups:
        return "<!doctype html><title>lab</title><p>No results.</p>\n"
    base = against if against in groups else next(iter(groups))
    rows = [_row(name, seeds, None if name == base else groups[base]) for name, seeds in groups.items()]
    names = ", ".join(sorted({cell.scenario for cell in cells}))
    codes = ", ".join(sorted({cell.code for cell in cells}))
    order = list(groups)
    split = [
        {name: groups[name] for name in order[at : at + MOST_LINES]}
        for at in range(0, len(order), MOST_LINES)
    ]
    heads = "".join(f"<th>{name}</th>" for name in ("", "seeds", *MEASURES, "unstable"))
    return f"""<!doctype html>
<meta charset="utf-8">
<title>lab: {html.escape(names)}</title>
<style>
body {{ font: 15px/1.4 sans-serif; margin: 2em auto; max-width: 72em; }}
table {{ border-collapse: collapse; }} td, th {{ padding: .3em .6em; border-bottom: 1px solid #ddd; text-align: right;
}} th:first-child {{ text-align: left; }} .better {{ background: #e3f4e1; }} .worse {{ background: #f9e2e0; }} small
{{ color: #555; }} </style>
<h1>{html.escape(names)}</h1>
<p>Means with 95% intervals over seeds. Below them, where it is more than chance: the difference from
<b>{html.escape(base)}</b> over the same seeds, green where better, red where worse. Code {html.escape(codes)}.</p>
<table><tr>{heads}</tr>{"".join(rows)}</table>
{_swept(cells)}
<h2>Latency</h2>{"".join(_latencies(some) for some in split)}
<h2>Served within the aim, over time</h2>{"".join(_lines(some, faults) for some in split)}
<h2>Calls by server</h2>{"".join(_loads(some) for some in split)}
"""


def summary(cells: Sequence[Cell]) -> str:
    """For a terminal: a line for each point."""
    lines = []
    for name, seeds in grouped(cells).items():
        parts = []
        for measure in ("in_time", "refused", "attempts", "last_calls", "mean_ms", "p99"):
            mine = list(values(seeds, measure).values())
            if mine:
                mean = interval(mine)
                parts.append(
                    f"{measure} {_number(mean.mean)}" + (f"±{mean.half:.2g}" if mean.seeds > 1 else "")
                )
        unstable = any(cell.result["unstable"] for cell in seeds.values())
        lines.append(f"{name}: {', '.join(parts)}{', unstable' if unstable else ''}")
    return "\n".join(lines)
