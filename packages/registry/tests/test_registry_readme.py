"""The example in the package's README runs as printed."""

from __future__ import annotations

from pathlib import Path

README = Path(__file__).parent.parent / "README.md"


def test_the_example_runs() -> None:
    example = README.read_text().split("```python\n")[1].split("```")[0]
    exec(compile(example, str(README), "exec"), {})
