"""Hands: results as a page that can be looked at, with its pictures in it, and as a table for other programs."""

from __future__ import annotations

import base64
import csv
import html
import io
from collections.abc import Sequence
from typing import Any

from hdrh.histogram import HdrHistogram

from larkweir.lab.model import BUCKET_MS
from larkweir.lab.results import Cell
from larkweir.lab.stats import interval, paired

MEASURES = ("in_time", "served", "refused", "attempts", "mean_ms", "p50", "p99", "p999", "busiest")
BETTER = {
    "in_time": 1,
    "served": 1,
    "refused": -1,
    "attempts": -1,
    "mean_ms": -1,
    "p50": -1,
    "p99": -1,
    "p999": -1,
    "busiest": -1,
}


def grouped(cells: Sequence[Cell]) -> dict[str, dict[int, Cell]]:
    """By what the sweep has set, then by seed."""
    found: dict[str, dict[int, Cell]] = {}
    for cell in cells:
        name = ", ".join(f"{key} {value}" for key, value in cell.point.items()) or cell.scenario
        found.setdefault(name, {})[cell.seed] = cell
    return found


def values(seeds: dict[int, Cell], measure: str) -> dict[int, float]:
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
    axes.legend(fontsize="small")
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
    axes.legend(fontsize="small")
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
    axes.legend(fontsize="small")
    return _picture(figure)


def _number(value: float) -> str:
    return f"{value:.4f}" if abs(value) < 10.0 else f"{value:.1f}"


def page(cells: Sequence[Cell], against: str = "", faults: Sequence[tuple[float, str]] = ()) -> str:
    """One HTML file. `against` names the point that others are compared with, by the same seeds; the first if none."""
    groups = grouped(cells)
    if not groups:
        return "<!doctype html><title>lab</title><p>No results.</p>\n"
    base = against if against in groups else next(iter(groups))
    rows = []
    for name, seeds in groups.items():
        shown = [f"<th>{html.escape(name)}</th><td>{len(seeds)}</td>"]
        for measure in MEASURES:
            mine = values(seeds, measure)
            if not mine:
                shown.append("<td>none</td>")
                continue
            mean = interval(list(mine.values()))
            told = f"{_number(mean.mean)} <small>&plusmn; {_number(mean.half) if mean.seeds > 1 else '?'}</small>"
            mark = ""
            if name != base:
                apart = paired(values(groups[base], measure), mine)
                if apart.seeds > 1 and apart.tells:
                    good = (apart.mean > 0.0) == (BETTER[measure] > 0)
                    mark = f' class="{"better" if good else "worse"}"'
                    told += f"<br><small>{apart.mean:+.4g} &plusmn; {apart.half:.2g}</small>"
            shown.append(f"<td{mark}>{told}</td>")
        unstable = sorted({cell.result["unstable"] for cell in seeds.values()} - {""})
        shown.append(f"<td>{html.escape('; '.join(unstable))}</td>")
        rows.append("<tr>" + "".join(shown) + "</tr>")
    names = ", ".join(sorted({cell.scenario for cell in cells}))
    codes = ", ".join(sorted({cell.code for cell in cells}))
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
<h2>Latency</h2>{_latencies(groups)}
<h2>Served within the aim, over time</h2>{_lines(groups, faults)}
<h2>Calls by server</h2>{_loads(groups)}
"""


def summary(cells: Sequence[Cell]) -> str:
    """For a terminal: a line for each point."""
    lines = []
    for name, seeds in grouped(cells).items():
        parts = []
        for measure in ("in_time", "refused", "attempts", "mean_ms", "p99"):
            mine = list(values(seeds, measure).values())
            if mine:
                mean = interval(mine)
                parts.append(
                    f"{measure} {_number(mean.mean)}" + (f"±{mean.half:.2g}" if mean.seeds > 1 else "")
                )
        unstable = any(cell.result["unstable"] for cell in seeds.values())
        lines.append(f"{name}: {', '.join(parts)}{', unstable' if unstable else ''}")
    return "\n".join(lines)
