"""How paths are normalized."""

from __future__ import annotations

from urllib.parse import quote

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkweir.cluster.configuration.paths import normalize_path


@pytest.mark.parametrize(
    ("path", "normalized"),
    [
        ("/lohu930/2f", "/lohu930/2f"),
        ("/paquetería/", "/paqueter%C3%ADa/"),
        ("/paqueter%c3%ada/", "/paqueter%C3%ADa/"),
        ("/a b/", "/a%20b/"),
        ("/%61pi/%7ex", "/api/~x"),
        ("/a%2fb/", "/a%2Fb/"),
        ("/100%/%zz/%e", "/100%/%zz/%e"),
        ("/a?b#c/", "/a%3Fb%23c/"),
        ("/a\x7f\x00/", "/a%7F%00/"),
        ("/🚚/", "/%F0%9F%9A%9A/"),
        ("/[x]|/", "/[x]|/"),
        ("", ""),
    ],
)
def test_paths_are_normalized(path: str, normalized: str) -> None:
    assert normalize_path(path) == normalized


@given(st.text(st.characters(exclude_categories=["Cs"]), max_size=20))
def test_a_path_and_its_percent_encoding_are_one(path: str) -> None:
    escaped = "".join(quote(one, safe="/%") if not "!" <= one <= "~" or one in "?#" else one for one in path)
    assert normalize_path(path) == normalize_path(escaped)
    assert normalize_path(escaped).isascii()
