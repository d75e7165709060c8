"""The snippets of the READMEs run as printed: the library's, and that of each package without a test of its own."""

import re
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
PACKAGES = sorted(page.parent.name for page in ROOT.glob("packages/*/README.md"))
OWN_TEST = [name for name in PACKAGES if (ROOT / f"packages/{name}/tests/test_{name}_readme.py").is_file()]


def run_snippet(page: Path) -> None:
    (snippet,) = re.findall(r"```python\n(.*?)```", page.read_text(), re.S)
    exec(compile(snippet, str(page), "exec"), {})


def test_the_quick_start_runs() -> None:
    run_snippet(ROOT / "README.md")


@pytest.mark.parametrize("package", [name for name in PACKAGES if name not in OWN_TEST])
def test_the_example_of_a_package_runs(package: str) -> None:
    run_snippet(ROOT / "packages" / package / "README.md")
