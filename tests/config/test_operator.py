"""The operator file: faults named, one line each; defaults off; what a change comes to."""

from __future__ import annotations

from dataclasses import fields
from pathlib import Path

import pytest

from larkweir.config.keys import Change
from larkweir.config.operator import decode, load
from larkweir.config.options import TABLES, Lifecycle, Operator, changed, keep_fixed
from larkweir.config.platform import ConfigError

ROOT = Path(__file__).parents[2]

FAULTS = [
    ("[lifecycle]\nnotfy = true", ["lifecycle.notfy", "did you mean 'notify'?"]),
    ("[lifecycle]\nx = 1", ["lifecycle.x", "known here: notify"]),
    ("[lifecicle]\n", ["lifecicle", "did you mean 'lifecycle'?"]),
    ("lifecycle = 3", ["lifecycle", "3", "[lifecycle]"]),
    ('[lifecycle]\nnotify = "yes"', ["lifecycle.notify", "'yes'", "true or false"]),
    ('[lifecycle]\nhandover = "maybe"', ["lifecycle.handover", "'maybe'", '"off"', '"signal"', '"reload"']),
    ("[lifecycle]\naccept_ms = -1", ["lifecycle.accept_ms", "-1", "from 0 to 60000"]),
    ("[lifecycle]\naccept_ms = nan", ["lifecycle.accept_ms", "nan"]),
    ("[lifecycle]\naccept_ms = true", ["lifecycle.accept_ms", "True", "a number"]),
    ("[lifecycle", ["TOML"]),
]


@pytest.mark.parametrize(("text", "words"), FAULTS)
def test_a_fault_names_key_value_and_what_would_do(text: str, words: list[str]) -> None:
    _, (fault,) = decode(text)
    assert fault.startswith(words[0] + ":")
    assert all(word in fault for word in words)


def test_every_fault_is_named_at_once() -> None:
    _, faults = decode('[lifecycle]\nnotify = 1\nreload = "x"\nq = 2\n[other]\n')
    assert [fault.partition(":")[0] for fault in faults] == [
        "lifecycle.notify",
        "lifecycle.reload",
        "lifecycle.q",
        "other",
    ]


def test_the_file_that_is_shipped_states_every_key_with_its_default() -> None:
    """Guards the page that operators copy from: it is whole, right, and changes nothing."""
    options, faults = decode((ROOT / "deploy" / "operator.toml").read_text())
    assert not faults and not changed(Operator(), options)
    text = (ROOT / "deploy" / "operator.toml").read_text()
    for table, kind in TABLES.items():
        assert f"[{table}]" in text
        for item in fields(kind):
            mark = "# " if item.default is None else ""  # nothing said can only be shown
            assert f"\n{mark}{item.name} = " in text


def test_changes_come_to_what_the_key_says() -> None:
    old = Operator()
    new = Operator(Lifecycle(notify=True, accept_ms=10.0))
    found = changed(old, new)
    assert found["lifecycle.notify"][2] is Change.START
    assert found["lifecycle.accept_ms"] == (550.0, 10.0, Change.LIVE)
    kept = keep_fixed(old, new).lifecycle
    assert (kept.notify, kept.accept_ms) == (False, 10.0)


@pytest.mark.parametrize("content", [None, b"\xff\xfe", b"[lifecycle]\nx=1\ny=2\n"])
def test_a_file_that_can_t_be_used_is_one_line(tmp_path: Path, content: bytes | None) -> None:
    path = tmp_path / "operator.toml"
    if content is not None:
        path.write_bytes(content)
    with pytest.raises(ConfigError) as caught:
        load(str(path))
    assert str(path) in str(caught.value) and "\n" not in str(caught.value)


def test_named_tables_are_read_and_their_faults_told() -> None:
    options, faults = decode(
        '[class.publicar]\nattempts = 2\nrepeats = "never"\n[tenant."a b"]\nshare = 0.5\n'
    )
    assert not faults
    assert options.classes["publicar"].attempts == 2 and options.classes["publicar"].worth is None
    assert options.tenants["a b"].share == 0.5
    _, faults = decode('class = 3\n[tenant]\na = 1\n[retries]\nratio = "x"\n')
    assert [fault.split(":")[0] for fault in faults] == ["class", "tenant.a", "retries.ratio"]
    assert decode("[class.a]\nattempts = 0\naim_ms = 10.0\ndeadline_ms = 5.0\n")[1] == [
        "class.a.attempts: 0 is out of bounds; write a whole number from 1 to 100",
        "class.a.aim_ms: 10 ms is later than deadline, 5 ms",
    ]
