"""Configurations: what is valid, how changes apply, what routers make of them."""

from __future__ import annotations

import copy
from random import Random
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
)
from larkweir.cluster.configuration.documents import PatchError, apply_patch, make_patch
from larkweir.cluster.configuration.schema import first_problem
from larkweir.cluster.messages import ConfigUpdate
from larkweir.router.configuration import Configuration, ConfigurationStore, RoutingTable


def route(name: str, prefix: str, **fields: Any) -> dict[str, Any]:
    return {
        "name": name,
        "host": "a.example",
        "path_prefix": prefix,
        "kind": "idempotent",
        "timeout_ms": 1000,
        "backend": "s",
        **fields,
    }


VALID: dict[str, Any] = {
    "generation": 3,
    "routes": [route("r1", "/one/"), route("r2", "/one/two/")],
    "services": [{"name": "s", "health_path": "/health", "max_conns": 10}, {"name": "t"}],
    "limits": {"max_header_bytes": 16384, "idle_timeout_ms": 15000},
    "tenants": [
        {"name": "x", "api_keys": ["k1", "k2"], "rate_per_s": 10, "burst": 5, "unit": "token_count"},
        {"name": "y", "api_keys": ["k3"]},
    ],
}


def changed(**fields: Any) -> dict[str, Any]:
    return {**copy.deepcopy(VALID), **fields}


def test_a_valid_one_is_valid() -> None:
    assert first_problem(VALID) is None


INVALID = {
    "unknown service": changed(routes=[route("r1", "/one/", backend="nobody")]),
    "unknown service in a split": changed(
        routes=[route("r1", "/one/", backend=None, traffic_split=[{"backend": "nobody", "weight": 1}])]
    ),
    "same place": changed(routes=[route("r1", "/one/"), route("r2", "/one/")]),
    "no weight": changed(routes=[route("r1", "/", traffic_split=[{"backend": "s", "weight": 0}])]),
    "no timeout": changed(routes=[route("r1", "/one/", timeout_ms=0)]),
    "no generation": {key: value for key, value in VALID.items() if key != "generation"},
    "shared key": changed(tenants=[{"name": "x", "api_keys": ["k"]}, {"name": "y", "api_keys": ["k"]}]),
    "two of a name": changed(services=[{"name": "s"}, {"name": "s"}]),
    "no list": changed(routes={}),
    "no service": changed(routes=[route("r1", "/one/", backend=None)]),
}


@pytest.mark.parametrize("name", INVALID)
def test_invalid_ones_are_told_apart(name: str) -> None:
    problem = first_problem(INVALID[name])
    assert problem
    assert "\n" not in problem


def put(document: object, base: int) -> ConfigurationChange:
    return ConfigurationChange(False, base, msgspec.json.encode(document).decode())


def apply(value: str, change: ConfigurationChange) -> Any:
    return apply_change(value, change.encode())


def refusal(value: str, change: ConfigurationChange) -> RejectionReason:
    refused = apply(value, change).err()
    assert isinstance(refused, Rejection)
    return refused.reason


def test_a_change_builds_on_the_version_in_place() -> None:
    value = apply("", put(VALID, 0)).ok()
    assert msgspec.json.decode(value) == VALID
    assert refusal(value, put(changed(generation=4), 2)) is RejectionReason.STALE
    assert refusal(value, put(changed(generation=3), 3)) is RejectionReason.INVALID
    assert refusal(value, put(changed(generation=2), 3)) is RejectionReason.INVALID
    assert refusal(value, ConfigurationChange(False, 3, '{"generation": 4, "rou')) is RejectionReason.INVALID
    assert refusal(value, ConfigurationChange(False, 3, "[]")) is RejectionReason.INVALID
    for document in INVALID.values():
        fresh = document | {"generation": 9} if "generation" in document else document
        assert refusal(value, put(fresh, 3)) is RejectionReason.INVALID
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
        refusal(value, ConfigurationChange(True, 3, msgspec.json.encode(bad).decode()))
        is RejectionReason.INVALID
    )
    assert (
        refusal("", ConfigurationChange(True, 0, msgspec.json.encode(patch).decode()))
        is RejectionReason.INVALID
    )


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
def test_patches_of_another_form_are_refused(patch: dict[str, Any]) -> None:
    with pytest.raises(PatchError):
        apply_patch(VALID, patch)


def test_the_same_order_has_the_same_identity_and_another_has_not() -> None:
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
def test_a_difference_makes_one_of_the_other(old: dict[str, Any], new: dict[str, Any]) -> None:
    made = apply_patch(old, make_patch(old, new))
    for key in ("routes", "tenants"):
        assert sorted(made[key], key=str) == sorted(new[key], key=str)
    assert made["limits"] == new["limits"]


def table(document: dict[str, Any] = VALID) -> RoutingTable:
    return RoutingTable(msgspec.convert(document, Configuration))


def test_the_longest_prefix_of_the_host_wins() -> None:
    made = table()
    assert made.find_route("a.example", "/one/x").name == "r1"  # type: ignore[union-attr]
    assert made.find_route("a.example", "/one/two/x").name == "r2"  # type: ignore[union-attr]
    assert made.find_route("a.example", "/two/") is None
    assert made.find_route("b.example", "/one/") is None


def test_tenants_are_found_by_key_and_count_in_their_unit() -> None:
    made = table()
    tenant = made.find_tenant("k2")
    assert tenant is not None
    assert tenant.name == "x"
    assert tenant.quota_units(120.0) == 120.0
    assert made.find_tenant("nobody's") is None
    assert set(made.quotas) == {"x"}


def test_weights_are_kept() -> None:
    split = [{"backend": "s", "weight": 9}, {"backend": "t", "weight": 1}]
    made = table(changed(routes=[route("r", "/", backend=None, traffic_split=split)]))
    found = made.find_route("a.example", "/x")
    assert found is not None
    rng = Random(1)
    to_s = sum(found.service(rng) == "s" for _ in range(2_000))
    assert 1_700 < to_s < 1_900


def update(sequence: int, document: dict[str, Any], base: int = -1) -> ConfigUpdate:
    return ConfigUpdate(sequence, base, msgspec.Raw(msgspec.json.encode(document)))


def test_a_store_never_goes_back_and_passes_over_what_it_cannot_build_on() -> None:
    store = ConfigurationStore()
    assert store.apply(update(5, VALID))
    assert not store.apply(update(4, changed(generation=2)))
    assert not store.apply(update(5, changed(generation=9)))
    assert not store.apply(update(8, {"generation": 9}, base=7))
    assert store.apply(update(8, {"generation": 9, "remove": {"routes": ["r2"]}}, base=5))
    assert store.table is not None
    assert store.table.version == 9
    assert store.table.find_route("a.example", "/one/two/x").name == "r1"  # type: ignore[union-attr]
