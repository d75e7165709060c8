"""Routes and pools as tables that merge: there and back, what a fault rests on, what is told."""

from __future__ import annotations

from dataclasses import fields
from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_edits.differences import differences
from larkweir_edits.rows import Notice
from larkweir_edits.state import State

from larkweir.cli.check import check
from larkweir.config.operator import decode
from larkweir.config.options import NAMED, Operator, Pool, Route, changed
from larkweir.config.platform import decode as decode_platform
from larkweir.config.routing import routing_objections
from larkweir.coordination.edits.notice_log import MAX_LINES, NoticeLog, fingerprint_of, names_of
from larkweir.coordination.edits.tables import ALL, ResolutionTarget, TableCheck, differs, schema, tables_of
from tests.fleet.services import platform
from tests.fleet.test_owners import PEERS

NAMES = st.sampled_from(["a", "b", "c"])
POOLS = st.builds(
    Pool,
    parent=st.sampled_from(["", "a", "b", "c", "gone"]),
    kinds=st.sampled_from([None, (), ("m1",)]),
    cells=st.sampled_from([None, ("1",), ("x",)]),
    fixed=st.sampled_from([None, ("127.0.0.1:80",), ("here",)]),
    attempts=st.sampled_from([None, 2]),
)
ROUTES = st.builds(
    Route,
    pool=st.sampled_from(["default", "a", "gone"]),
    path=st.sampled_from(["", "/x", "/x/*"]),
    methods=st.sampled_from([(), ("GET",), ("GET", "POST")]),
    headers=st.sampled_from([(), ("V: 1",)]),
    split=st.sampled_from([(), ("b 5%",), ("b 5%", "gone 10%")]),
    fallback=st.sampled_from([(), ("c",)]),
    mirror=st.sampled_from(["", "c"]),
    alarm=st.sampled_from([0.0, 0.01, 0.1]),
)
WHOLES = st.builds(
    Operator,
    pools=st.dictionaries(NAMES, POOLS, max_size=3),
    routes=st.dictionaries(NAMES, ROUTES, max_size=3),
)


def graves(options: Operator) -> dict[tuple[str, str, str], tuple[tuple[str, str, str], ...]]:
    return {
        (item.key, item.code, item.text): item.rests for item in routing_objections(options) if item.grave
    }


def only(options: Operator, rests: tuple[tuple[str, str, str], ...]) -> Operator:
    """What these name, and nothing else."""
    kept: dict[str, dict[str, Any]] = {"pools": {}, "routes": {}}
    for table in ("pool", "route"):
        kind, held = NAMED[table]
        for name, row in getattr(options, held).items():
            keys = {key for t, n, key in rests if (t, n) == (table, name)}
            if "" in keys:
                kept[held][name] = kind(
                    **{item.name: getattr(row, item.name) for item in fields(kind) if item.name in keys}
                )
    return Operator(**kept)


@given(WHOLES)
def test_a_fault_names_all_that_it_rests_on(options: Operator) -> None:
    for (key, code, _), rests in graves(options).items():
        assert (key, code) in {(other, found) for other, found, _ in graves(only(options, rests))}


@given(WHOLES)
def test_what_goes_to_the_merge_and_back_is_what_the_file_said(options: Operator) -> None:
    tables = tables_of(options)
    back = TableCheck().over(Operator(), tables)
    if options.routes:
        assert not changed(options, back)
    else:
        assert list(back.routes) == [ALL] and not differs(tables, tables_of(options))
    assert fingerprint_of(tables) == fingerprint_of(tables_of(options))


@given(WHOLES, WHOLES)
def test_where_two_files_differ_is_counted_field_by_field(one: Operator, other: Operator) -> None:
    count = differs(tables_of(one), tables_of(other))
    assert count == differs(tables_of(other), tables_of(one))
    same = not changed(one, other) and one.routes.keys() == other.routes.keys()
    assert (count == 0) == (same and one.pools.keys() == other.pools.keys())


def test_every_key_of_routes_and_pools_is_in_the_schema_by_its_own_rule() -> None:
    for table in ("pool", "route"):
        kind = NAMED[table][0]
        assert schema().rules[table] == {item.name: item.metadata["merge"].value for item in fields(kind)}


def test_a_check_finds_what_two_files_did_together_and_the_newest_goes_back() -> None:
    """Two parts that are each well are more than all together: the newer of the two is put back at each copy."""
    base = decode('[pool.a]\n[pool.b]\n[route.r]\npath = "/x"\n')[0]
    marks = set()
    for order in ((0, 1), (1, 0)):
        edits: list[tuple[str, list[bytes]]] = []
        for n, split in enumerate(("a 60%", "b 70%")):
            edge = State(schema(), b"", tables_of(base))
            new = tables_of(decode(f'[pool.a]\n[pool.b]\n[route.r]\npath = "/x"\nsplit = ["{split}"]\n')[0])
            made = edge.make(f"w{n}", differences(schema(), tables_of(base), new, edge.now))
            edits.append((f"w{n}", made))
        state = State(schema(), b"", tables_of(base))
        for at in order:
            for data in edits[at][1]:
                state.take(edits[at][0], data)
        merged = state.merged(TableCheck())
        marks.add(fingerprint_of(merged.tables))
        assert merged.tables["route"]["r"]["split"] == ("a 60%",)
        assert [item.why for item in merged.notices] == ["put back: with it the whole does not pass"]
    assert len(marks) == 1


def test_rows_from_outside_that_no_file_may_say_are_faults_and_never_raise() -> None:
    tables = {
        "pool": {"p": {"subset": -1, "fixed": "127.0.0.1:1"}},
        "route": {"r": {"path": "x", "split": ("p 50%", "q 60%"), "sticky": "name", "alarm": "loud"}},
    }
    found = {fault.fields for fault in TableCheck()(tables)}
    assert {key for rests in found for _, name, key in rests if name == "r"} >= {"path", "split", "sticky"}
    assert ("route", "r", "pool") in {item for rests in found for item in rests}


def test_what_this_platform_does_not_know_is_told_and_put_back_by_nobody() -> None:
    """Each copy's own file would make another whole of the same edits."""
    check_ = TableCheck(decode_platform(platform(), {}))
    text = '[pool.p]\nkinds = ["x9"]\n[route.r]\npath = "/x"\npool = "p"\nclasses = ["nobody"]\n'
    assert check_(tables_of(decode(text)[0])) == [] and len(check_.foreign) == 2
    assert TableCheck()(tables_of(decode(text)[0])) == []
    check_(tables_of(decode('[route.r]\npath = "/x"\n')[0]))
    assert check_.foreign == ()


@pytest.mark.parametrize(
    ("text", "expected"),
    [
        ("route.a.path", ("route", "a", "path")),
        ("route.a", ("route", "a", "")),
        ("route.a.b", ("route", "a.b", "")),
        ("pool.a.b.zones", ("pool", "a.b", "zones")),
        ("class.a", None),
        ("route.", None),
    ],
)
def test_what_is_to_be_settled_is_a_row_or_a_field(text: str, expected: tuple[str, str, str] | None) -> None:
    if expected is None:
        with pytest.raises(ValueError, match=text):
            ResolutionTarget(text)
    else:
        what = ResolutionTarget(text)
        assert (what.table, what.name, what.key) == expected


def test_a_field_is_settled_with_its_unit_and_a_row_with_all_it_has() -> None:
    tables = tables_of(decode('[route.a]\npath = "/a"\nhost = "h.example"\n')[0])
    assert ResolutionTarget("route.a.path").stated_fields(tables) == {
        "host": "h.example",
        "path": "/a",
        "methods": (),
        "headers": (),
        "classes": (),
        "tenants": (),
    }
    assert ResolutionTarget("route.a.alarm").stated_fields(tables) == {"alarm": 0.01}
    merged = ResolutionTarget("route.a").stated_fields(tables)
    assert merged is not None and set(merged) == {item.name for item in fields(Route)}
    assert ResolutionTarget("route.b").stated_fields(tables) is None


def test_lines_are_new_ones_and_bounded() -> None:
    lines = NoticeLog()
    notices = [Notice("route", f"r{n}", "path", "conflict", (("w", "x" * 500), ("v", 1))) for n in range(30)]
    logged = lines.new_lines(notices, 1.0)
    assert len(logged) == MAX_LINES + 1 and "22 more" in logged[-1] and max(map(len, logged)) < 250
    assert lines.new_lines(notices, 2.0) == []
    assert lines.new_lines(notices[1:], 3.0) == ["edits: route.r0.path: settled"]
    for n in range(100):
        lines.new_lines(notices[n % 30 :], 4.0 + n)
    assert lines.new_lines([], 60.0) == [] and lines.new_lines(notices, 60_002.0)
    assert len(names_of(notices)) <= 160 and names_of(notices).startswith("route.r0.path,route.r1.path")


def test_a_line_says_who_has_a_row_and_who_deleted_it() -> None:
    notices = Notice("route", "r", "", "it stays", (("north", False), ("south", True)))
    assert NoticeLog().new_lines([notices], 1.0) == [
        "edits: route.r: it stays (north deleted it; south has it)"
    ]


ON = f'{PEERS}[edits]\non = true\nfolder = "/x"\n'


@pytest.mark.parametrize(
    ("text", "limits", "said"),
    [
        (ON, True, ""),
        (ON, False, "PolicyLimits.Peers"),
        ('[edits]\non = true\nfolder = "/x"\n', True, "edits.on: it needs peers"),
        (f"{PEERS}[edits]\non = true\n", True, "edits.folder"),
        (f'{ON}settle = ["class.a"]\n', True, "edits.settle"),
        (f'{ON}settle = ["route.a.path"]\n', True, "no [route.a] to go by"),
        (f'{ON}settle = ["route.a"]\n', True, ""),
        (f"{ON}[storms]\non = true\n", True, "storms"),
    ],
)
def test_check_says_where_edits_can_not_be_switched_on(
    tmp_path: Any, capsys: pytest.CaptureFixture[str], text: str, limits: bool, said: str
) -> None:
    operator, config = tmp_path / "o.toml", tmp_path / "c.json"
    operator.write_text(text)
    config.write_text(platform(limits_of_policy={"Peers": limits}))
    assert check([str(operator), str(config)]) == (2 if said else 0)
    assert said in capsys.readouterr().out
