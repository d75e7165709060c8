"""The precedence of routes, independent of their order in the file, compared with a matcher that tries all routes."""

from __future__ import annotations

from collections.abc import Iterable
from itertools import permutations
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from larkweir.routes.paths import normalize
from larkweir.routes.table import Facts, Match, Table, rank, segments_of
from tests.counting import calls_of


def facts(
    path: str = "/",
    host: str = "",
    method: str = "GET",
    cls: int = 0,
    tenant: int = 0,
    **headers: str | list[str],
) -> Facts:
    rows = {
        name.replace("_", "-").encode(): [
            item.encode() for item in ([value] if isinstance(value, str) else value)
        ]
        for name, value in headers.items()
    }
    return Facts(host.encode(), normalize(path.encode()), method.encode(), rows, cls, tenant)


ROUTES: dict[str, Match] = {
    "all": Match(),
    "root": Match(path=b"/"),
    "api": Match(path=b"/api"),
    "under-api": Match(path=b"/api/", prefix=True),
    "one": Match(path=b"/api/{name}"),
    "word": Match(path=b"/api/word"),
    "deep": Match(path=b"/api/{name}/files/{file}"),
    "under-word": Match(path=b"/api/word/", prefix=True),
    "post": Match(path=b"/api/word", methods=frozenset([b"POST"])),
    "classed": Match(path=b"/api/word", classes=frozenset([1])),
    "tenanted": Match(path=b"/api/word", tenants=frozenset([2])),
    "headed": Match(path=b"/api/word", headers=((b"x-beta", None),)),
    "valued": Match(path=b"/api/word", headers=((b"x-beta", b"2"), (b"x-more", None))),
    "hosted": Match(host=b"a.example", path=b"/api/", prefix=True),
    "star": Match(host=b"*.example"),
    "longer-star": Match(host=b"*.b.example"),
}


@pytest.mark.parametrize(
    ("request_", "name"),
    [
        (facts("/"), "root"),
        (facts("/x"), "all"),
        (facts("/api"), "api"),
        (facts("/api/"), "under-api"),
        (facts("/api/x"), "one"),
        (facts("/api/x/y"), "under-api"),
        (facts("/api/x/files/y"), "deep"),
        (facts("/api/x/files/"), "under-api"),
        (facts("/api/word"), "word"),
        (facts("/api/word/files/y"), "under-word"),
        (facts("/api/word", method="POST"), "post"),
        (facts("/api/word", method="POST", cls=1), "post"),
        (facts("/api/word", cls=1, tenant=2), "classed"),
        (facts("/api/word", tenant=2), "tenanted"),
        (facts("/api/word", method="POST", x_beta="1"), "headed"),
        (facts("/api/word", x_beta="2", x_more="1"), "valued"),
        (facts("/api/word", x_beta="3", x_more="1"), "headed"),
        (facts("/api/word", x_beta=["2", "2"], x_more="1"), "word"),  # a repeated header matches no condition
        (facts("/api/word", "a.example"), "hosted"),
        (facts("/other", "a.example"), "star"),
        (facts("/other", "x.b.example"), "longer-star"),
        (facts("/other", "b.example"), "star"),
        (facts("/other", "example"), "all"),
        (facts("/api/../api/word"), "word"),
    ],
)
def test_precedence_does_not_depend_on_the_order_in_the_file(request_: Facts, name: str) -> None:
    rng = Random(1)
    names = list(ROUTES)
    for _ in range(5):
        rng.shuffle(names)
        table = Table.of((item, ROUTES[item]) for item in names)
        assert table.find(request_) == name
        assert table.explain(request_)[0] == name


def test_ties_are_broken_by_name() -> None:
    rows = [
        ("b", Match(path=b"/x", classes=frozenset([1]))),
        ("a", Match(path=b"/x", classes=frozenset([1, 2]))),
    ]
    for order in permutations(rows):
        assert Table.of(order).find(facts("/x", cls=1)) == "a"


def test_explain_tells_why_routes_did_not_match() -> None:
    table = Table.of(ROUTES.items())
    name, rejected = table.explain(facts("/api/word"))
    assert name == "word"
    assert rejected == [
        "valued: a header is missing, has another value, or is repeated",
        "headed: a header is missing, has another value, or is repeated",
        "post: another method",
        "classed: another class",
        "tenanted: another tenant",
    ]


# ---------------------------------------------------------------- compared with a matcher that tries all routes


def _path_fits(match: Match, segments: tuple[bytes, ...]) -> tuple[tuple[int, ...], bool] | None:
    """How well a path matches, as a sort key with better matches first; None if it does not match."""
    prefix = match.prefix or not match.path
    wanted = segments_of(match.path.rstrip(b"/") if prefix else match.path)
    if len(wanted) > len(segments) or (not prefix and len(wanted) != len(segments)):
        return None
    key = []
    for mine, theirs in zip(wanted, segments, strict=False):
        if mine.startswith(b"{"):
            if not theirs:
                return None
            key.append(1)
        elif mine == theirs:
            key.append(0)
        else:
            return None
    return (*key, 2), prefix  # the end of a prefix comes after any further segment


def find_by_trying_all(routes: Iterable[tuple[str, Match]], request: Facts) -> str | None:
    best = None
    for name, match in routes:
        if not match.host:
            hosted = (2, 0)
        elif match.host.startswith(b"*."):
            if not request.host.endswith(match.host[1:]) or request.host == match.host[1:]:
                continue
            hosted = (1, -len(match.host))
        elif match.host == request.host:
            hosted = (0, 0)
        else:
            continue
        path = _path_fits(match, request.target.segments)
        entry = Table.of([(name, match)]).explain(request)[0]
        if path is None or entry is None:
            continue
        key = (hosted, path, rank(name, match))
        if best is None or key < best[0]:
            best = (key, name)
    return best[1] if best is not None else None


WORDS = ["a", "b", "{x}"]
matches = st.builds(
    Match,
    host=st.sampled_from([b"", b"a.x", b"*.x", b"*.a.x"]),
    path=st.lists(st.sampled_from(WORDS), max_size=4).map(lambda parts: ("/" + "/".join(parts)).encode()),
    prefix=st.booleans(),
    methods=st.sampled_from([frozenset(), frozenset([b"GET"]), frozenset([b"PUT"])]),
    headers=st.sampled_from([(), ((b"h", None),), ((b"h", b"1"),), ((b"h", b"2"),)]),
    classes=st.sampled_from([frozenset(), frozenset([0]), frozenset([1])]),
    tenants=st.sampled_from([frozenset(), frozenset([0])]),
)
requests = st.builds(
    facts,
    path=st.lists(st.sampled_from(["a", "b", "c"]), max_size=5).map(lambda parts: "/" + "/".join(parts)),
    host=st.sampled_from(["", "a.x", "x", "b.a.x", "c.x"]),
    method=st.sampled_from(["GET", "PUT"]),
    cls=st.integers(0, 1),
    tenant=st.integers(0, 1),
    h=st.sampled_from(["1", "2", ["1", "1"]]),
)


@settings(max_examples=300, deadline=None, derandomize=True)
@given(st.lists(matches, max_size=14), st.lists(requests, min_size=1, max_size=6))
def test_find_agrees_with_trying_all_routes(found: list[Match], asked: list[Facts]) -> None:
    rows = [(f"r{n}", match) for n, match in enumerate(found)]
    table = Table.of(rows)
    for request in asked:
        assert table.find(request) == find_by_trying_all(rows, request)


# ---------------------------------------------------------------- many routes


def test_finding_one_of_ten_thousand_routes_costs_as_much_as_one_of_ten() -> None:
    def table(count: int) -> Table:
        rows = [(f"r{n}", Match(path=f"/s{n % 100}/t{n // 100}/{{id}}".encode())) for n in range(count // 2)]
        rows += [
            (f"h{n}", Match(path=b"/by-header", headers=((b"x-shop", f"{n}".encode()),)))
            for n in range(count // 2)
        ]
        return Table.of(rows)

    small, large = table(10), table(10_000)
    assert small.find(facts("/s1/t0/x")) == large.find(facts("/s1/t0/x")) == "r1"
    assert large.find(facts("/s99/t49/x")) == "r4999"
    assert large.find(facts("/by-header", x_shop="4321")) == "h4321"
    for request in (facts("/s1/t0/x"), facts("/by-header", x_shop="3"), facts("/none")):
        assert calls_of(lambda request=request: large.find(request)) <= (  # type: ignore[misc]
            calls_of(lambda request=request: small.find(request)) + 10  # type: ignore[misc]
        )


def test_no_template_takes_exponential_time() -> None:
    """Literals and names at every level: each node is visited once, however many branches there are."""
    rows = []
    for n in range(2**10):
        parts = ["a" if n >> bit & 1 else "{x}" for bit in range(10)]
        rows.append((f"r{n}", Match(path=("/" + "/".join(parts) + "/end").encode())))
    table = Table.of(rows)
    assert calls_of(lambda: table.find(facts("/" + "a/" * 10 + "no"))) < 30 * 2**11
