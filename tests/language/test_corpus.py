"""Broken files, each with exactly one message at its place; good files, each with what it means."""

from __future__ import annotations

import json
from pathlib import Path

import pytest

from larkweir.config.options import Operator, changed
from larkweir.config.platform import decode
from larkweir.language.faults import Fault, Faults, shown
from larkweir.language.files import Disk
from larkweir.language.format import formatted
from larkweir.language.reading import read
from tests.fakes import config_data
from tests.language.broken import BROKEN, Broken
from tests.language.disk import lay
from tests.language.good import GOOD, Good

PLATFORM = decode(json.dumps(config_data([], 9)), {})


def faults_of(root: Path, platform: bool = False) -> tuple[list[Fault], Disk]:
    disk, faults = Disk(str(root)), Faults()
    read(disk.root, disk, faults, PLATFORM if platform else None)
    return faults.sorted(), disk


@pytest.mark.parametrize("case", BROKEN, ids=lambda case: case.name)
def test_a_broken_file_has_one_message_at_its_place(case: Broken, tmp_path: Path) -> None:
    found, disk = faults_of(lay(tmp_path, case.text, case.files), case.platform)
    assert [(fault.code, str(fault.place).replace(f"{tmp_path}/", "")) for fault in found] == [
        (case.code, case.place)
    ]
    (fault,) = found
    assert fault.text and "\n" not in str(fault) and len(str(fault)) < 500
    lines = shown(fault, disk.texts).splitlines()
    assert len(lines) in (1, 3) and all(len(line) < 600 for line in lines)


def test_the_corpus_is_large_and_every_code_of_the_checker_is_in_it() -> None:
    assert len(BROKEN) >= 120 and len(GOOD) >= 40
    folder = Path(__file__).parents[2] / "larkweir"
    text = "".join(
        path.read_text() for path in [*(folder / "language").glob("*.py"), folder / "config" / "policies.py"]
    )
    import re

    codes = set(re.findall(r'"(LW[0-9]{3})"', text))
    rare = {
        "LW111",  # a file that ends in the middle, where no ; would end it
        "LW206",  # a thousand files
        "LW305",  # a hundred constants of each other
        "LW306",  # a list of ten thousand
        "LW604",  # a platform whose upstreams fall over at several times their work
        "LW703",  # a word sixty times the longest deadline
    }
    assert codes - {case.code for case in BROKEN} <= rare


@pytest.mark.parametrize("case", GOOD, ids=lambda case: case.name)
def test_a_good_file_means_what_it_says(case: Good, tmp_path: Path) -> None:
    root = lay(tmp_path, case.text, case.files)
    disk, faults = Disk(str(root)), Faults()
    model = read(disk.root, disk, faults)
    assert [str(fault) for fault in faults.sorted()] == []
    found = {key: new for key, (_, new, _) in changed(Operator(), model.options).items()}
    assert found == case.means
    after = formatted(case.text)
    assert after is not None and formatted(after) == after


@pytest.mark.parametrize(
    ("text", "code", "count"),
    [
        ("let a = 5ms", "LW108", 1),
        ("let", "LW111", 1),
        ('include "d/*.lw";', "LW206", 1),
        (
            "".join(f"let a{n} = $a{n - 1};\n" for n in range(300, 0, -1))
            + "let a0 = 1%;\nretries { ratio = $a300; }",
            "LW305",
            1,
        ),
        (
            'let a = ["x", "y"];\n'
            + "let b = ["
            + "$a, " * 200
            + "];\nlet c = ["
            + "$b, " * 200
            + "];\nfastcgi { kinds = $c; }",
            "LW306",
            1,
        ),
    ],
    ids=["a setting", "a word", "files", "constants", "a list"],
)
def test_what_is_too_much_is_told_once_and_soon(text: str, code: str, count: int, tmp_path: Path) -> None:
    files = {f"d/{n}.lw": "" for n in range(1100)} if "d/*" in text else {}
    found, _ = faults_of(lay(tmp_path, text, files))
    assert [fault.code for fault in found] == [code] * count


def test_a_cold_pace_that_the_platforms_upstreams_do_not_bear(tmp_path: Path) -> None:
    data = config_data([], 9)
    data = json.loads(json.dumps(data))
    data["settings"]["Guarantees"]["FallMultiple"] = 10
    disk, faults = Disk(str(lay(tmp_path, "cold { pace = 30%; }", {}))), Faults()
    read(disk.root, disk, faults, decode(json.dumps(data), {}))
    assert faults.codes == ["LW604"] and "rule 4" in str(faults.sorted()[0])


def test_many_faults_are_all_told_and_reading_goes_on_behind_each(tmp_path: Path) -> None:
    text = (
        "lifecycle {\n    accept = 550;\n    reload whole;\n    handover = signall;\n}\n"
        'class "a" { attempts = 2.5; }\nclass "b" { attempts = ; worth = 2; }\nlet x = $y;\n'
    )
    found, _ = faults_of(lay(tmp_path, text, {}))
    assert [(fault.code, fault.place.line) for fault in found] == [
        ("LW402", 2),
        ("LW117", 3),
        ("LW410", 4),
        ("LW408", 6),
        ("LW109", 7),
        ("LW303", 8),
    ]


def test_a_fault_is_shown_with_its_line_and_a_mark_below_it() -> None:
    from larkweir.language.faults import Place

    text = "lifecycle {\n\taccept = 550;\n}\n"
    lines = shown(
        Fault("LW402", Place("a.lw", 2, 11, 3), "550 has no unit", "write 550ms"), {"a.lw": text}
    ).split("\n")
    assert lines[0] == "a.lw:2:11: fault LW402: 550 has no unit; write 550ms"
    at = lines[1].index("550")
    assert lines[2][at : at + 3] == "^^^" and lines[2].strip(" |") == "^^^"
