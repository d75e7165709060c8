"""Targets and hosts are normalized or refused."""

from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkweir.core.message import FramingError
from larkweir.routes.paths import normalize, normalize_host


@pytest.mark.parametrize(
    ("target", "path"),
    [
        (b"/", b"/"),
        (b"/a/b", b"/a/b"),
        (b"/a/b/", b"/a/b/"),
        (b"/a//b", b"/a/b"),
        (b"//a", b"/a"),
        (b"/a/./b", b"/a/b"),
        (b"/a/.", b"/a/"),
        (b"/a/../b", b"/b"),
        (b"/a/b/..", b"/a/"),
        (b"/a/%2e%2E/b", b"/b"),
        (b"/%61%2d%7E", b"/a-~"),
        (b"/%c3%bc", b"/%C3%BC"),
        (b"/a;v=1/b,c", b"/a;v=1/b,c"),
        (b"/@scope/name@1.2.3+x", b"/@scope/name@1.2.3+x"),
        (b"/a%20b", b"/a%20b"),
        (b"/a%25b", b"/a%25b"),
    ],
)
def test_normal_form(target: bytes, path: bytes) -> None:
    assert normalize(target).path == path
    assert normalize(target + b"?q=%2F..").query == b"?q=%2F.."


@pytest.mark.parametrize(
    "target",
    [
        b"",
        b"a",
        b"*",
        b"/..",
        b"/a/../..",
        b"/%2e%2e/a",
        b"/a%2Fb",
        b"/a%2fb",
        b"/a%5Cb",
        b"/a\\b",
        b"/a%00",
        b"/a%0A",
        b"/a%7f",
        b"/a%252Fb",
        b"/a%252e%252e/b",
        b"/a%",
        b"/a%2",
        b"/a%zz",
        b"/a b",
        b"/a\xffb",
        b"/a#b",
        b"/a\x00",
        b"/a" * 65,
    ],
)
def test_ambiguous_targets_are_refused(target: bytes) -> None:
    with pytest.raises(FramingError) as caught:
        normalize(target)
    assert caught.value.status == 400


paths = st.lists(
    st.sampled_from([b"a", b"..", b".", b"", b"%2e", b"%2E%2e", b"%41", b"b%20", b"%C3", b"...", b"c~"]),
    max_size=8,
).map(lambda parts: b"/" + b"/".join(parts))


@given(paths | st.binary(max_size=30).map(lambda data: b"/" + data))
def test_normalizing_is_idempotent_and_leaves_no_dot_segments(target: bytes) -> None:
    try:
        found = normalize(target)
    except FramingError as problem:
        assert problem.status == 400
        return
    again = normalize(found.path + found.query)
    assert again == found
    assert b"//" not in found.path and not {b".", b".."} & set(found.segments)
    assert found.path == b"/" + b"/".join(found.segments)
    assert b"" not in found.segments[:-1]


@pytest.mark.parametrize(
    ("value", "name"),
    [
        (b"", b""),
        (b"Registry.Example", b"registry.example"),
        (b"registry.example:8080", b"registry.example"),
        (b"registry.example.", b"registry.example"),
        (b"10.0.0.1:80", b"10.0.0.1"),
        (b"[::1]:80", b"[::1]"),
    ],
)
def test_host(value: bytes, name: bytes) -> None:
    assert normalize_host(value) == name


@pytest.mark.parametrize(
    "value", [b"a b", b"a/b", b"a:b", b"a@b", b"a:1:2", b"[::1", b"a:999999", b"a,b", b"..", b".a"]
)
def test_invalid_hosts_are_refused(value: bytes) -> None:
    with pytest.raises(FramingError):
        normalize_host(value)
