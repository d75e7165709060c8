"""Applying and computing patches of JSON documents."""

from __future__ import annotations

from typing import Any

import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkweir.cluster.configuration.documents import PatchError, apply_patch, make_patch
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
        apply_patch(VALID, patch)


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
    made = apply_patch(old, make_patch(old, new))
    for key in ("routes", "tenants"):
        assert sorted(made[key], key=str) == sorted(new[key], key=str)
    assert made["limits"] == new["limits"]
