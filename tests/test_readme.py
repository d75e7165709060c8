"""The README's library snippet runs as printed."""

import re
from pathlib import Path


def test_the_quick_start_runs() -> None:
    text = (Path(__file__).parent.parent / "README.md").read_text()
    (snippet,) = re.findall(r"```python\n(.*?)```", text, re.S)
    exec(compile(snippet, "README.md", "exec"), {})
