"""The README's example runs unchanged."""

from __future__ import annotations

import re
from pathlib import Path

README = Path(__file__).parents[1] / "README.md"


def test_the_example_runs() -> None:
    (example,) = re.findall(r"```python\n(.*?)```", README.read_text(), re.DOTALL)
    exec(compile(example, str(README), "exec"), {})
