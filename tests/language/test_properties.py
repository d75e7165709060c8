"""What holds of any file: the layout changes no meaning, nothing crashes the reader, and a diff tells just what
differs.
"""

from __future__ import annotations

import string
import tempfile
from dataclasses import fields
from pathlib import Path
from typing import Any

from hypothesis import given, settings
from hypothesis import strategies as st
from larkweir_balancing.interface import Effect, RequestClass, Settings, Tenant

from larkweir.config.keys import Unit
from larkweir.config.options import NAMED, TABLES, Operator, changed
from larkweir.config.policies import objections, overlaid
from larkweir.language import amounts
from larkweir.language.behaviour import as_language, sentences
from larkweir.language.faults import Faults
from larkweir.language.files import Disk
from larkweir.language.format import formatted, words
from larkweir.language.grammar import decoded, parse
from larkweir.language.model import Key, Model, keys_of
from larkweir.language.reading import read
from tests.counting import calls_of

SPACES = st.sampled_from([" ", "  ", "\n", "\t", "\n\n\n", " # why\n", "\r\n", "\n# a line\n\n"])
NAMES = st.text(string.ascii_lowercase + "_", min_size=1, max_size=6).filter(
    lambda name: name not in ("let", "include", "template")
)
TEXTS = st.text(string.printable.replace("\x0b", "").replace("\x0c", ""), max_size=8).map(
    lambda text: '"'
    + "".join({"\\": "\\\\", '"': '\\"', "\n": "\\n", "\r": ""}.get(c, c) for c in text)
    + '"'
)
AMOUNTS = st.sampled_from(
    ["5ms", "1.5s", "20/s", "25%", "4x", "7", "0.25", "127.0.0.1:80", "10.0.0.0/8", "-3"]
)


@st.composite
def files(draw: st.DrawFn) -> str:
    """Any file without faults of form, spaced anyhow."""
    out: list[str] = []

    def put(*parts: str) -> None:
        for part in parts:
            out.append(part)
            out.append(draw(SPACES))

    def value(depth: int = 0) -> None:
        kind = draw(st.integers(0, 4 if depth < 3 else 3))
        if kind == 4:
            put("[")
            count = draw(st.integers(0, 3))
            for n in range(count):
                value(depth + 1)
                if n + 1 < count or draw(st.booleans()):
                    put(",")
            put("]")
        else:
            put(draw([NAMES, TEXTS, AMOUNTS, NAMES.map(lambda name: f"${name}")][kind]))

    def setting() -> None:
        put(draw(NAMES), "=")
        value()
        put(";")

    for _ in range(draw(st.integers(0, 5))):
        kind = draw(st.integers(0, 4))
        if kind == 0:
            setting()
        elif kind == 1:
            put("let", draw(NAMES), "=")
            value()
            put(";")
        elif kind == 2:
            put("include", draw(TEXTS), ";")
        else:
            if kind == 3:
                put("template", draw(NAMES))
            else:
                put(draw(NAMES))
                if draw(st.booleans()):
                    put(draw(TEXTS))
            if draw(st.booleans()):
                put(":", draw(NAMES))
                if draw(st.booleans()):
                    put(",", draw(NAMES))
            put("{")
            for _ in range(draw(st.integers(0, 3))):
                setting()
            put("}")
    return "".join(out)


def meaning(text: str) -> str:
    """The statements, without their places."""
    import re

    faults = Faults()
    file = parse(text, "f", faults)
    assert not faults.fatal, [str(fault) for fault in faults.sorted()]
    return re.sub(r"Place\([^)]*\)", "", repr(file.statements))


@given(files())
@settings(max_examples=120, deadline=None)
def test_the_layout_changes_no_meaning_keeps_comments_and_is_its_own(text: str) -> None:
    after = formatted(text)
    assert after is not None
    assert meaning(after) == meaning(text)
    assert formatted(after) == after
    comments = sorted(word.text.lstrip("# ") for word in words(text) if word.kind == "comment")
    assert sorted(word.text.lstrip("# ") for word in words(after) if word.kind == "comment") == comments


ODD = st.lists(
    st.sampled_from(
        [*'{}[]=;:,"#$%\\/.-+ \n\t', "let ", "include ", "template ", "class ", "5ms", "a", "é", "'"],
    ),
    max_size=60,
).map("".join)


@given(st.one_of(ODD, st.text(max_size=80), files().map(lambda text: text.replace(";", "", 1))))
@settings(max_examples=200, deadline=None)
def test_no_text_crashes_the_reader_and_every_fault_has_a_place_in_it(text: str) -> None:
    faults = Faults()
    parse(text, "f", faults)
    lines = text.split("\n")
    for fault in faults.sorted():
        assert 1 <= fault.place.line <= len(lines) + 1
        assert fault.place.column >= 1
    if not faults.fatal:
        assert formatted(text) is not None


@given(st.binary(max_size=200))
@settings(max_examples=120, deadline=None)
def test_no_bytes_crash_the_reader(raw: bytes) -> None:
    faults = Faults()
    text = decoded(raw, "f", faults)
    if text is None:
        assert len(faults.sorted()) == 1
    else:
        parse(text, "f", faults)


def test_work_grows_with_the_text_whatever_is_in_it() -> None:
    """The same kind of text, four times as long, must not take sixteen times the calls."""
    kinds = (
        "a = ;\n",
        '"',
        "{",
        "}",
        "[",
        "x { y = [1, 2; ",
        "$",
        "let let = 5;\n",
        'class "a" : b, c { d = 1; }\n',
    )
    for kind in kinds:
        calls = []
        for size in (1_500, 6_000):
            text = kind * (size // len(kind))
            calls.append(calls_of(lambda text=text: parse(text, "f", Faults())))  # type: ignore[misc]
        assert calls[1] < 6.0 * calls[0] + 500, kind


# ---------------------------------------------------------------- models


def values(key: Key) -> st.SearchStrategy[Any]:
    if key.kind is bool:
        return st.booleans()
    if isinstance(key.kind, tuple):
        return st.sampled_from(key.kind)
    if key.kind is str:
        return st.text(string.ascii_letters + string.digits + "-_.", min_size=1, max_size=8)
    if key.kind == tuple[str, ...]:
        return st.lists(st.sampled_from(["unix", "10.0.0.0/8"]), max_size=2).map(tuple)
    low, high = key.low or 0.0, key.high if key.high is not None else 100.0
    if key.kind is int:
        return st.integers(int(low), int(high))
    return (
        st.floats(low, min(high, 1e9), allow_subnormal=False)
        .map(lambda value: float(f"{value:.6g}"))
        .filter(lambda value: low <= value <= high)
    )


def row(kind: type[Any]) -> st.SearchStrategy[Any]:
    return (
        st.fixed_dictionaries({}, optional={key.name: values(key) for key in keys_of(kind).values()})
        .map(lambda given_: kind(**given_))
        .filter(lambda made: not hasattr(made, "faults") or not made.faults())
    )


LABELS = st.text(string.ascii_letters + ' ."\\-', min_size=1, max_size=6)
MODELS = st.fixed_dictionaries(
    {},
    optional={name: row(kind) for name, kind in TABLES.items() if name != "fastcgi"}
    | {
        "classes": st.dictionaries(LABELS, row(NAMED["class"][0]), max_size=3),
        "tenants": st.dictionaries(LABELS, st.just(NAMED["tenant"][0](share=0.25)), max_size=3),
    },
).map(lambda tables: Operator(**tables))


def load_text(text: str) -> Model:
    with tempfile.TemporaryDirectory() as name:
        path = Path(name) / "root.lw"
        path.write_text(text)
        disk, faults = Disk(str(path)), Faults()
        model = read(disk.root, disk, faults)
        assert not faults.fatal, [str(fault) for fault in faults.sorted()]
        return model


@given(MODELS)
@settings(max_examples=150, deadline=None)
def test_a_model_written_in_the_language_reads_back_as_itself(options: Operator) -> None:
    text = as_language(options)
    again = load_text(text).options
    assert changed(options, again) == {}
    assert formatted(text) == text


@given(MODELS, MODELS)
@settings(max_examples=150, deadline=None)
def test_a_diff_has_one_sentence_for_each_key_that_differs_and_none_where_nothing_does(
    old: Operator, new: Operator
) -> None:
    found = sentences(old, new)
    assert len(found) == len(changed(old, new))
    assert sentences(old, old) == []
    for item in found:
        assert (
            item.old != item.new
            and item.text
            and "{" not in item.text.replace(item.new, "").replace(item.old, "")
        )
    assert [item.key for item in found] == [item.key for item in sentences(new, old)] or len(found) > 1


@given(MODELS)
@settings(max_examples=100, deadline=None)
def test_the_fingerprint_is_of_the_meaning(options: Operator) -> None:
    text = as_language(options)
    one = load_text(text).options.fingerprint
    assert load_text("# another comment\n\n" + text.replace("\n", "\n\n")).options.fingerprint == one
    other = load_text(
        text + '\ntenant "one more" { }\n' if "one more" not in text else ""
    ).options.fingerprint
    assert other != one or not text


@given(st.floats(0.0, 1e12, allow_subnormal=False), st.sampled_from(list(Unit)))
def test_an_amount_reads_back_as_it_was(value: float, unit: Unit) -> None:
    assert amounts.READERS[unit](amounts.written(value, unit)) == value or unit is Unit.TIME
    if unit is Unit.TIME:
        assert abs(amounts.time_ms(amounts.written(value, unit)) - value) <= 1e-9 * value


# ---------------------------------------------------------------- policies and the four rules

CLASSES = [
    RequestClass(400.0, 1000.0, Effect.SAFE, worth=1.0, name="look"),
    RequestClass(400.0, 1000.0, Effect.KEYED, worth=8.0, memory_ms=4000.0, name="post"),
    RequestClass(500.0, 2000.0, Effect.UNSAFE, worth=8.0, name="move"),
]
FIGURES = Settings(
    classes=CLASSES,
    tenants=[Tenant(10.0, 0.5, "a"), Tenant(30.0, 0.5, "b")],
    max_attempts=4,
    max_retry_after_ms=2000.0,
    fall_multiple=3.0,
)
POLICIES = st.fixed_dictionaries(
    {},
    optional={
        "classes": st.dictionaries(
            st.sampled_from(["look", "post", "move", "*"]), row(NAMED["class"][0]), max_size=4
        ),
        "tenants": st.dictionaries(
            st.sampled_from(["a", "b"]),
            st.floats(0.0, 0.5).map(lambda s: NAMED["tenant"][0](share=s)),
            max_size=2,
        ),
        "drain": row(TABLES["drain"]),
        "advice": row(TABLES["advice"]),
        "cold": row(TABLES["cold"]),
        "retries": row(TABLES["retries"]),
    },
).map(lambda tables: Operator(**tables))
STRICT = {Effect.SAFE: 0, Effect.KEYED: 1, Effect.UNSAFE: 2}


@given(POLICIES)
@settings(max_examples=120, deadline=None)
def test_policies_that_nothing_objects_to_are_never_looser_than_the_platform(options: Operator) -> None:
    grave = [item for item in objections(FIGURES, 500.0, options) if item.grave]
    new = overlaid(FIGURES, options)
    for before, after in zip(FIGURES.classes, new.classes, strict=True):
        # Whatever was said, what is in force can't be looser: the checker is not the only guard.
        assert STRICT[after.effect] >= STRICT[before.effect]
        assert after.deadline_ms <= before.deadline_ms
        assert after.aim_ms <= after.deadline_ms
        if not grave:
            assert after.attempts <= FIGURES.max_attempts
    assert new.max_retry_after_ms <= FIGURES.max_retry_after_ms
    if not grave:
        assert new.tuning.cold_pace * FIGURES.fall_multiple <= 1.0
    whole = sum(tenant.quota_per_s for tenant in FIGURES.tenants)
    assert sum(tenant.quota_per_s for tenant in new.tenants) <= whole * (1 + 1e-9)
    for name in fields(Settings):
        if name.name not in ("classes", "tenants", "max_retry_after_ms", "tuning"):
            assert getattr(new, name.name) == getattr(FIGURES, name.name)


def test_what_nobody_has_said_leaves_the_settings_as_they_are() -> None:
    assert overlaid(FIGURES, Operator()) is FIGURES
