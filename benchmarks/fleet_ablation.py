"""`python -m benchmarks.fleet_ablation BENCH SITE DAY... --copies DIR`: what each mechanism of deciding is worth.

For each switch of `larkweir_balancing.decision_options` a copy of the committed text is made below DIR with that one
off (`--only NAME` for some of them), and all play the days with each of `--seeds` as `benchmarks.fleet_pairs` does. A
negative difference is what the mechanism gains. DIR must lie outside of /tmp, where the bench's processes have
folders of their own.
"""

from __future__ import annotations

import shutil
import subprocess
from dataclasses import fields
from pathlib import Path

from larkweir_balancing.decision_options import DecisionOptions

from benchmarks import fleet_pairs

ROOT = Path(__file__).parent.parent
SWITCHES = ROOT / "packages/balancing/src/larkweir_balancing/decision_options.py"
WHOLE = "whole"


def switched_off(text: str, name: str) -> str:
    """The source of the switches with that one off."""
    on, off = f"    {name}: bool = True", f"    {name}: bool = False"
    if on not in text:
        raise ValueError(f"{name} is no switch that is on")
    return text.replace(on, off)


def make_copy(folder: Path, name: str) -> Path:
    """A copy of the committed text, with that mechanism off; what `build` has made is taken along."""
    copy = folder / name
    if copy.exists():
        return copy
    subprocess.run(["git", "clone", "-q", str(ROOT), str(copy)], check=True)
    if (ROOT / "target").exists():
        shutil.copytree(ROOT / "target", copy / "target")
    if name != WHOLE:
        switches = copy / SWITCHES.relative_to(ROOT)
        switches.write_text(switched_off(switches.read_text(), name))
    return copy


def main() -> int:
    """The command."""
    parser = fleet_pairs.argument_parser(__doc__)
    parser.add_argument("--copies", type=Path, required=True)
    parser.add_argument("--only", action="append", default=[], metavar="NAME")
    asked = parser.parse_args()
    names = asked.only or [field.name for field in fields(DecisionOptions)]
    asked.copies.mkdir(parents=True, exist_ok=True)
    copies = {name: str(make_copy(asked.copies.absolute(), name)) for name in [WHOLE, *names]}
    return fleet_pairs.run_arguments(asked, copies, asked.copies)


if __name__ == "__main__":
    raise SystemExit(main())
