"""Names and shape by folder: what counts as a definition, a house name, a circle, and what `--check` fails on."""

from __future__ import annotations

import subprocess
from pathlib import Path

import pytest

from benchmarks import house_names, import_circles, readability

DEFINITIONS = """
import os as system
LIMIT: int = 1
first, (second, *rest) = pair
for index in range(3): total = index
class Table:
    rows: list[int]
    size = 0
    def add(self, item, /, *more, key=None, **options):
        self.latest = item
        self.latest = more
        self.rows[0] = 1
        item.owner = 1
        local = [element for element in more]
        local = lambda value: value
        if (found := local): pass
        with found as opened: pass
        def nested(cls): ...
async def run(task): ...
"""


def test_definitions_are_classes_functions_arguments_attributes_and_assigned_names() -> None:
    names = [item.name for item in house_names.find_in_module("a.py", DEFINITIONS).definitions]
    expected = """
        LIMIT first second rest index total Table rows size add item more key options latest local element value
        found opened nested run task
    """
    assert sorted(names) == sorted(expected.split())


def test_a_name_counts_once_in_its_scope_at_its_first_line() -> None:
    found = house_names.find_in_module("a.py", "x = 1\nx = 2\ndef f():\n    x = 3\n").definitions
    assert [(item.name, item.line) for item in found] == [("x", 1), ("f", 3), ("x", 4)]


@pytest.mark.parametrize(
    ("name", "words"),
    [
        ("told_ms", ["told"]),
        ("_keeper", ["keeper"]),
        ("UsageLedger", ["ledger"]),
        ("HTTPKeeper2", ["keeper"]),
        ("MOST_LIVES", ["lives"]),
        ("threshold", []),
        ("holder", []),
        ("lifecycle", []),
        ("password", []),
    ],
)
def test_house_names_are_those_with_a_word_of_the_list(name: str, words: list[str]) -> None:
    assert house_names.HOUSE_WORDS.intersection(house_names.words_of(name)) == set(words)
    assert house_names.is_house_name(name, "a.py") == bool(words)


SETTINGS = """
done = ["packages/p"]
[[allowed]]
folder = "packages/p"
words = ["promised"]
reason = "Paxos"
[[allowed]]
names = ["keep_alive*"]
reason = "HTTP"
"""


@pytest.mark.parametrize(
    ("name", "path", "is_house"),
    [
        ("promised", "packages/p/src/a.py", False),
        ("promised", "packages/pq/src/a.py", True),
        ("promised_told", "packages/p/src/a.py", True),
        ("_keep_alive_s", "larkweir/a.py", False),
        ("keep", "larkweir/a.py", True),
    ],
)
def test_exceptions_hold_for_their_words_names_and_folder(name: str, path: str, is_house: bool) -> None:
    allowed = house_names.read_settings(SETTINGS).allowed
    assert house_names.is_house_name(name, path, allowed) == is_house


@pytest.mark.parametrize("row", ['words = ["life"]', 'reason = "x"', 'words = ["life"]\nreason = " "'])
def test_an_exception_needs_a_reason_and_something_to_allow(row: str) -> None:
    with pytest.raises(ValueError, match="needs a reason"):
        house_names.read_settings(f"[[allowed]]\n{row}\n")


@pytest.mark.parametrize(
    ("path", "folder"),
    [
        ("setup.py", "."),
        ("larkweir/__main__.py", "larkweir"),
        ("larkweir/core/net.py", "larkweir/core"),
        ("packages/p/src/larkweir_p/a.py", "packages/p"),
        ("packages/p/tests/test_a.py", "packages/p/tests"),
        ("tests/core/test_a.py", "tests"),
    ],
)
def test_modules_count_for_their_package(path: str, folder: str) -> None:
    assert house_names.folder_of(path) == folder


def test_circles_are_found_over_any_kind_of_import() -> None:
    texts = {
        "a/__init__.py": "from a.one import x",
        "a/one.py": "if TYPE_CHECKING:\n    from . import two",
        "a/two.py": "def f():\n    from .three import y",
        "a/three.py": "import a.one\nimport a.outside",
        "a/outside.py": "import os",
    }
    assert import_circles.circles_of(texts) == [["a/one.py", "a/three.py", "a/two.py"]]
    del texts["a/three.py"]
    assert import_circles.circles_of(texts) == []


def test_a_package_that_exports_its_modules_is_in_a_circle_only_where_one_imports_it() -> None:
    texts = {"packages/p/src/p/__init__.py": "from p.one import x", "packages/p/src/p/one.py": "import q"}
    assert import_circles.circles_of(texts) == []
    texts["packages/p/src/p/one.py"] = "from p import y"
    assert import_circles.circles_of(texts) == [["packages/p/src/p/__init__.py", "packages/p/src/p/one.py"]]


CLEAN = '"""Module."""\n'
LONG_FUNCTION = CLEAN + "def _f():\n" + "    x = 1\n" * 40


@pytest.mark.parametrize(
    ("text", "fault"),
    [
        (CLEAN + "told = 1\n", ":2: house name: told"),
        (LONG_FUNCTION, ":2: function over 40 lines: _f"),
        (CLEAN + "# line\n" * 400, ": module over 400 lines: 401"),
        (CLEAN + "def f(): ...\n", ":2: public item without docstring: f"),
        ('"""Rules: what holds."""\n', ":1: docstring begins with one of Rules:, Hands:: module"),
        (CLEAN + "import larkweir.b\n", ": circle of imports: larkweir/a.py, larkweir/b.py"),
    ],
)
def test_the_check_fails_on_each_kind_of_finding_where_a_folder_is_done(text: str, fault: str) -> None:
    texts = {"larkweir/a.py": text, "larkweir/b.py": CLEAN + "import larkweir.a\n"}
    done = house_names.Settings(done=("larkweir/a.py",))
    assert house_names.faults_of(house_names.find_in_tree(texts, done)) == [f"larkweir/a.py{fault}"]
    assert house_names.faults_of(house_names.find_in_tree(texts, house_names.Settings())) == []


def test_tests_need_no_docstrings() -> None:
    done = house_names.Settings(done=("tests",))
    assert (
        house_names.faults_of(house_names.find_in_tree({"tests/test_a.py": "def test_f(): ..."}, done)) == []
    )


def test_settings_that_match_nothing_are_findings() -> None:
    texts = {"packages/q/src/a.py": "keep_alive = 1"}
    found = house_names.faults_of(house_names.find_in_tree(texts, house_names.read_settings(SETTINGS)))
    assert found == [
        "readability.toml: done: there is nothing at packages/p",
        "readability.toml: allowed, but not used in packages/p: promised",
    ]


def test_the_commands_print_the_table_and_fail_where_the_check_does(
    tmp_path: Path, capsys: pytest.CaptureFixture[str]
) -> None:
    (tmp_path / "larkweir" / "core").mkdir(parents=True)
    (tmp_path / "larkweir" / "core" / "a.py").write_text(CLEAN + "told = 1\nheard = 2\n")
    (tmp_path / "tests").mkdir()
    (tmp_path / "tests" / "test_a.py").write_text("x = 1\n")
    subprocess.run(["git", "init", "-q"], cwd=tmp_path, check=True)
    subprocess.run(["git", "add", "."], cwd=tmp_path, check=True)
    assert readability.main([str(tmp_path), "--folders"]) == 0
    assert capsys.readouterr().out.splitlines()[2:] == [
        "| larkweir/core | 1 | 3 | 2 | 2 | 0 | 0 | 0 | 0 | 0 |",
        "| tests | 1 | 1 | 1 | 0 | 0 | 0 | - | 0 | 0 |",
        "| all | 2 | 4 | 3 | 2 | 0 | 0 | 0 | 0 | 0 |",
    ]
    assert readability.main([str(tmp_path), "--check"]) == 0
    assert readability.main([str(tmp_path), "--check", "--done", "larkweir/core"]) == 1
    assert capsys.readouterr().out.splitlines()[-1] == "2 findings in 1 folders and modules that are done"
