"""`python -m benchmarks.fleet_sites SITE FOLDER`: other deployments, made from one by a few changes each.

They are for measuring only, never for tuning: what holds on the deployments that the operators gave has to hold there
too. SITE is a site file of the platform's bench; the copies, and what stands beside it, go to FOLDER, outside of the
repository. Play them as any site, for instance with `benchmarks.fleet_pairs`.
"""

from __future__ import annotations

import argparse
import re
import shutil
from collections.abc import Callable
from pathlib import Path

SLOWER, QUICKER = 0.4, 3.0
FEWER_ENGINES = 3
WIDER_BATCH = 4
NARROW_BATCH = 8
FAR_ZONES_MS = 3.0

Change = Callable[[str], str]


def scaled(text: str, name: str, factor: float) -> str:
    """All figures of that name, times a factor; whole numbers stay whole."""

    def replaced(match: re.Match[str]) -> str:
        value = match.group(2)
        new = float(value) * factor
        return f"{match.group(1)}{new if '.' in value else max(1, round(new))}"

    return re.sub(rf"(\b{name} = )(\d+(?:\.\d+)?)", replaced, text)


def of_engines(change: Change) -> Change:
    """The change, made in the lines of services that are model engines."""
    return lambda text: "\n".join(change(line) if " llm = {" in line else line for line in text.split("\n"))


def without_load(text: str) -> str:
    """Upstreams do not tell their load."""
    return text.replace("load_header = true", "load_header = false")


def slow_engines(text: str) -> str:
    """Prompts are read at two fifths of the speed, and no load is told."""
    return without_load(scaled(text, "prefill_tokens_per_ms", SLOWER))


def quick_narrow_engines(text: str) -> str:
    """Prompts are read at three times the speed, in small batches."""
    return re.sub(
        r"\b(slots|batch) = \d+", rf"\1 = {NARROW_BATCH}", scaled(text, "prefill_tokens_per_ms", QUICKER)
    )


def few_wide_engines(text: str) -> str:
    """A third of the engines, each with a batch four times as wide."""
    fewer = scaled(text, "count", 1.0 / FEWER_ENGINES)
    return scaled(scaled(fewer, "slots", WIDER_BATCH), "batch", WIDER_BATCH)


def far_zones(text: str) -> str:
    """Zones stand several times as far apart."""
    return re.sub(r"(\bcross_zone_ms = )[\d.]+", rf"\g<1>{FAR_ZONES_MS}", text)


DEPLOYMENTS: dict[str, Change] = {
    "slow-engines": of_engines(slow_engines),
    "quick-narrow-engines": of_engines(quick_narrow_engines),
    "few-wide-engines": of_engines(few_wide_engines),
    "far-zones": far_zones,
}


def make(site: Path, folder: Path) -> list[Path]:
    """Writes them; their paths."""
    folder.mkdir(parents=True, exist_ok=True)
    for beside in site.parent.iterdir():
        if beside.is_file() and beside.suffix not in (".toml", ".days"):
            shutil.copy(beside, folder / beside.name)
    written = []
    for name, change in DEPLOYMENTS.items():
        path = folder / f"{site.stem}-{name}.toml"
        path.write_text(change(site.read_text()))
        written.append(path)
    return written


def main() -> int:
    """The command."""
    parser = argparse.ArgumentParser(
        description=__doc__, formatter_class=argparse.RawDescriptionHelpFormatter
    )
    parser.add_argument("site", type=Path)
    parser.add_argument("folder", type=Path)
    asked = parser.parse_args()
    for path in make(asked.site, asked.folder):
        print(path)
    return 0


if __name__ == "__main__":
    raise SystemExit(main())
