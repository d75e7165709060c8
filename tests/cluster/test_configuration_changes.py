"""Changes of the configuration by operators: versions, patches and identities."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from larkweir.cluster.configuration.changes import (
    ConfigurationChange,
    Rejection,
    RejectionReason,
    apply_change,
)
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
