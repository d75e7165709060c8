"""Changes of the configuration by operators: versions, patches and identities."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st

from larkweir.cluster.configuration.changes import (
    ConfigurationChange,
    Rejection,
    RejectionReason,
    apply_change,
    configuration_version,
)
from larkweir.cluster.configuration.documents import ROLLOUTS_KEY
from tests.cluster.configurations import INVALID, VALID, changed, route


def put(document: object, base: int) -> ConfigurationChange:
    return ConfigurationChange(False, base, msgspec.json.encode(document).decode())


def apply(value: str, change: ConfigurationChange) -> Any:
    return apply_change(value, change.encode())


def rejection_reason(value: str, change: ConfigurationChange) -> RejectionReason:
    rejection = apply(value, change).err()
    assert isinstance(rejection, Rejection)
    return rejection.reason


def test_a_change_builds_on_the_version_in_place() -> None:
    value = apply("", put(VALID, 0)).ok()
    assert msgspec.json.decode(value) == VALID
    assert rejection_reason(value, put(changed(generation=4), 2)) is RejectionReason.STALE
    assert rejection_reason(value, put(changed(generation=3), 3)) is RejectionReason.INVALID
    assert rejection_reason(value, put(changed(generation=2), 3)) is RejectionReason.INVALID
    assert (
        rejection_reason(value, ConfigurationChange(False, 3, '{"generation": 4, "rou'))
        is RejectionReason.INVALID
    )
    assert rejection_reason(value, ConfigurationChange(False, 3, "[]")) is RejectionReason.INVALID
    for document in INVALID.values():
        candidate = document | {"generation": 9} if "generation" in document else document
        assert rejection_reason(value, put(candidate, 3)) is RejectionReason.INVALID
    assert apply(value, put(changed(generation=9), 3)).is_ok()


def test_a_patch_changes_what_it_names() -> None:
    value = apply("", put(VALID, 0)).ok()
    patch = {
        "generation": 5,
        "upsert": {"routes": [route("r1", "/one/", timeout_ms=7), route("r9", "/nine/")]},
        "remove": {"routes": ["r2"], "tenants": ["y"]},
    }
    found = msgspec.json.decode(
        apply(value, ConfigurationChange(True, 3, msgspec.json.encode(patch).decode())).ok()
    )
    assert [one["name"] for one in found["routes"]] == ["r1", "r9"]
    assert found["routes"][0]["timeout_ms"] == 7
    assert [one["name"] for one in found["tenants"]] == ["x"]
    assert found["generation"] == 5
    bad = {"generation": 6, "remove": {"services": ["s"]}}
    assert (
        rejection_reason(value, ConfigurationChange(True, 3, msgspec.json.encode(bad).decode()))
        is RejectionReason.INVALID
    )
    assert (
        rejection_reason("", ConfigurationChange(True, 0, msgspec.json.encode(patch).decode()))
        is RejectionReason.INVALID
    )


def test_only_equal_changes_have_equal_identities() -> None:
    assert put(VALID, 0).identity == put(VALID, 0).identity
    assert (
        len(
            {
                put(VALID, 0).identity,
                put(VALID, 1).identity,
                ConfigurationChange(True, 0, put(VALID, 0).body).identity,
            }
        )
        == 3
    )


@pytest.mark.parametrize("patch", [False, True])
def test_a_body_that_is_nested_too_deeply_is_invalid(patch: bool) -> None:
    value = apply("", put(VALID, 0)).ok()
    for depth in (500, 2_000, 100_000):
        nested = "[" * depth + "]" * depth
        for body in (nested, f'{{"generation":4,"odd":{nested}}}', f'{{"generation":4,"routes":{nested}}}'):
            outcome = apply(value, ConfigurationChange(patch, 3, body))
            assert outcome.is_ok() or isinstance(outcome.err(), Rejection)


@pytest.mark.parametrize(
    "patch",
    [
        {"routes": 5, "upsert": {"routes": [route("r9", "/nine/")]}},
        {"routes": ["x"], "upsert": {"routes": [route("r9", "/nine/")]}},
        {"routes": [{}], "remove": {"routes": ["r1"]}},
        {"tenants": None, "remove": {"tenants": ["x"]}},
    ],
)
def test_a_patch_with_a_malformed_collection_is_invalid(patch: dict[str, Any]) -> None:
    value = apply("", put(VALID, 0)).ok()
    body = msgspec.json.encode({"generation": 4, **patch}).decode()
    assert rejection_reason(value, ConfigurationChange(True, 3, body)) is RejectionReason.INVALID


@pytest.mark.parametrize(
    "stored", [{"upsert": {}, "remove": {}}, {"upsert": None}, {"remove": {"routes": []}}]
)
def test_a_stored_document_with_members_of_a_patch_is_changed_and_loses_them(stored: dict[str, Any]) -> None:
    # Releases before review/5 accepted such documents.
    value = msgspec.json.encode(changed(**stored)).decode()
    patch = ConfigurationChange(True, 3, '{"generation":4,"remove":{"routes":["r2"]}}')
    for change in (patch, put(changed(generation=4), 3)):
        document = msgspec.json.decode(apply(value, change).unwrap())
        assert document["generation"] == 4
        assert not {"upsert", "remove"} & set(document)


def patch_of(**members: Any) -> ConfigurationChange:
    return ConfigurationChange(True, 3, msgspec.json.encode({"generation": 40, **members}).decode())


@pytest.mark.parametrize("member", ["generation", "limits", "upsert", "remove", ROLLOUTS_KEY])
@pytest.mark.parametrize("value", [2, 10, 1_000_000, [], [{"name": "a"}], {}, None])
def test_upsert_names_lists_of_items_only(member: str, value: object) -> None:
    # Guards against a PATCH that is acknowledged as one version and stored as another (review/6).
    document = apply("", put(VALID, 0)).unwrap()
    rejected = apply(document, patch_of(upsert={member: value})).err()
    assert isinstance(rejected, Rejection)
    assert rejected.reason is RejectionReason.INVALID
    assert member in rejected.detail


@pytest.mark.parametrize("member", ["routes", "services", "tenants"])
def test_a_complete_list_in_a_patch_replaces_the_list(member: str) -> None:
    document = apply("", put(VALID, 0)).unwrap()
    items = [{**item, "note": "changed"} for item in VALID[member]]
    found = msgspec.json.decode(apply(document, patch_of(**{member: items})).unwrap())
    assert found == changed(generation=40, **{member: items})


def test_members_that_no_form_defines_stay() -> None:
    document = apply("", put(changed(owner="team"), 0)).unwrap()
    change = patch_of(upsert={"notes": [1, "two"]}, limits={"max_body_bytes": 5}, other=None)
    found = msgspec.json.decode(apply(document, change).unwrap())
    assert found == changed(
        generation=40, owner="team", notes=[1, "two"], limits={"max_body_bytes": 5}, other=None
    )


json_values = st.recursive(
    st.one_of(st.none(), st.booleans(), st.integers(-1, 2**60), st.text(max_size=3)),
    lambda inner: st.one_of(
        st.lists(inner, max_size=2), st.dictionaries(st.sampled_from(["name", "generation", "routes"]), inner)
    ),
    max_leaves=4,
)
member_names = st.sampled_from(
    ["generation", "routes", "services", "tenants", "limits", "upsert", "remove", ROLLOUTS_KEY, "other"]
)
forms = st.builds(
    lambda is_patch, body, more, upsert: (
        is_patch,
        {**body, **more, **({"upsert": upsert} if upsert else {})},
    ),
    st.booleans(),
    st.sampled_from([VALID, {}]),
    st.dictionaries(member_names, json_values, max_size=1),
    st.dictionaries(member_names, st.one_of(st.integers(1, 60), json_values), max_size=1),
)


@given(st.lists(st.tuples(forms, st.integers(1, 3)), max_size=8))
def test_an_acknowledged_change_sets_the_version_that_it_names(
    steps: list[tuple[tuple[bool, dict[str, Any]], int]],
) -> None:
    # Guards against versions that go back or jump, whichever form and members a change has (review/6).
    value, version = apply("", put(VALID, 0)).unwrap(), 3
    for (is_patch, body), rise in steps:
        document = {**body, "generation": version + rise}
        change = ConfigurationChange(is_patch, version, msgspec.json.encode(document).decode())
        result = apply(value, change)
        if result.is_ok():
            value, version = result.unwrap(), version + rise
            assert configuration_version(value) == version
            stored = msgspec.json.decode(value)
            assert not {"upsert", "remove", ROLLOUTS_KEY} & set(stored)
