"""Applying and computing patches of JSON documents."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkweir.cluster.configuration.documents import PatchError, make_patch, parse_patch
from tests.cluster.configurations import VALID


@pytest.mark.parametrize(
    "patch",
    [
        {"upsert": []},
        {"upsert": {"routes": {}}},
        {"upsert": {"routes": [1]}},
        {"remove": {"routes": [{}]}},
        {"remove": {"limits": []}},
        {"remove": 3},
    ],
)
def test_malformed_patches_are_rejected(patch: dict[str, Any]) -> None:
    with pytest.raises(PatchError):
        parse_patch(patch).apply_to(VALID)


items = st.lists(
    st.builds(lambda name, value: {"name": name, "v": value}, st.sampled_from("abcd"), st.integers(0, 2)),
    unique_by=lambda item: item["name"],
)
documents = st.builds(
    lambda routes, tenants, limits: {"routes": routes, "tenants": tenants, "limits": limits},
    items,
    items,
    st.integers(0, 2),
)


@given(documents, documents)
def test_a_made_patch_turns_the_old_document_into_the_new(old: dict[str, Any], new: dict[str, Any]) -> None:
    patch = make_patch(old, new)
    assert patch is not None
    made = parse_patch(patch.to_json()).apply_to(old)
    for key in ("routes", "tenants"):
        assert sorted(made[key], key=str) == sorted(new[key], key=str)
    assert made["limits"] == new["limits"]


members = st.one_of(st.none(), st.integers(0, 1), st.just({}), st.just({"routes": ["a"]}), st.just([]))
odd_documents = st.builds(
    lambda base, more: {**base, **more},
    documents,
    st.dictionaries(st.sampled_from(["upsert", "remove", "other"]), members),
)


def without_null(document: dict[str, Any]) -> dict[str, Any]:
    return {key: value for key, value in document.items() if value is not None}


@given(odd_documents, odd_documents)
def test_a_patch_is_made_only_if_it_expresses_the_change_completely(
    old: dict[str, Any], new: dict[str, Any]
) -> None:
    # Guards against patches whose own members a member of the document replaces (review/5).
    patch = make_patch(old, new)
    if patch is None:
        assert any(old.get(key) != new.get(key) for key in ("upsert", "remove"))
        return
    made = without_null(parse_patch(patch.to_json()).apply_to(old))
    expected = without_null(new)
    for key in ("routes", "tenants"):
        assert sorted(made.pop(key), key=str) == sorted(expected.pop(key), key=str)
    assert made == expected
