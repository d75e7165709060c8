"""Planted faults: each still has its place and its check, and the command tells what is found from what is not."""

from __future__ import annotations

import re
import shutil
from pathlib import Path

import pytest

from benchmarks.planted import Fault, Planted, lists, play

LISTS = list(lists())


@pytest.mark.parametrize(
    ("of", "fault"), [(of, fault) for of in LISTS for fault in of.faults], ids=lambda item: item.name
)
def test_each_fault_has_one_place_and_its_check(tmp_path: Path, of: Planted, fault: Fault) -> None:
    copy = tmp_path / fault.file
    copy.parent.mkdir(parents=True)
    shutil.copy(of.folder / fault.file, copy)
    fault.put(tmp_path)  # ValueError where its text is not there just once, or what it leaves is no Python
    assert fault.old != fault.new
    for run in of.runs(fault.by).split():
        path, *names = run.split("::")
        text = (of.folder / path).read_text()
        for name in names:
            assert re.search(
                rf"^(?:def {name}\(|class {name}\b|{name} = )", text, re.M
            ), f"{path} has no {name}"


def test_the_lists_are_whole() -> None:
    names = [(of.name, fault.name) for of in LISTS for fault in of.faults]
    assert {name for name, _ in names} >= {"peers", "owners", "edits", "captures", "larkweir"}
    assert len(set(names)) == len(names) >= 15


CODE = "def more(a: int) -> int:\n    return a + 1\n"
TEST = "from {0} import more\n\n\ndef test_{1}() -> None:\n    assert more({2}) == {3}\n"


@pytest.mark.parametrize(
    ("new", "by", "good", "words"),
    [
        ("a + 2", "tests/test_ones.py", True, "test_ones.py::test_ones: assert"),
        ("abs(a) + 1", "ones", False, "NOT FOUND by ones, but by test_below.py::test_below"),
        ("a +", "ones", False, "NO FAULT"),
    ],
)
def test_a_fault_counts_as_found_by_its_own_check_alone(
    tmp_path: Path, new: str, by: str, good: bool, words: str
) -> None:
    module = "planted_here"  # of a package of its own, whose copy Python must find first
    (tmp_path / "src").mkdir()
    (tmp_path / "tests").mkdir()
    (tmp_path / "src" / f"{module}.py").write_text(CODE)
    for name, given, wanted in (("ones", 1, 2), ("below", -3, -2)):
        (tmp_path / "tests" / f"test_{name}.py").write_text(TEST.format(module, name, given, wanted))
    checks = {"ones": "tests/test_ones.py", "below": "tests/test_below.py"}
    of = Planted("here", tmp_path, checks, [])
    found = play(of, Fault("it", f"src/{module}.py", "a + 1", new, by), list(checks))
    assert found.good is good and found.words.startswith(words)


def test_a_fault_that_nothing_finds_and_a_check_that_fails_without_one_are_told(tmp_path: Path) -> None:
    (tmp_path / "tests").mkdir()
    (tmp_path / "a.py").write_text(CODE)
    for name, given, wanted in (("well", 1, 1), ("wrong", 1, 2)):
        (tmp_path / "tests" / f"test_{name}.py").write_text(
            f"def test_it() -> None:\n    assert {given} == {wanted}\n"
        )
    of = Planted("here", tmp_path, {}, [])
    found = play(of, Fault("it", "a.py", "a + 1", "a + 2", "tests/test_well.py"), [])
    assert found[:2] == (False, "NOT FOUND by tests/test_well.py nor by another")
    assert not play(of, None, ["tests/test_well.py", "tests/test_wrong.py"]).good


def test_a_text_that_stands_twice_is_no_fault(tmp_path: Path) -> None:
    (tmp_path / "a.py").write_text("x = 1\nx = 1\n")
    with pytest.raises(ValueError, match="2 times"):
        Fault("it", "a.py", "x = 1", "x = 2", "").put(tmp_path)
