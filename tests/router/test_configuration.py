"""Tests of the configuration as routers use it: lookups of routes and tenants, and updates."""

from __future__ import annotations

from random import Random
from typing import Any

import msgspec
import pytest

from larkweir.cluster.configuration.documents import ROLLOUTS_KEY
from larkweir.cluster.messages import ConfigUpdate
from larkweir.router.client_request import ClientRequest
from larkweir.router.configuration import Configuration, ConfigurationStore, Limits, RoutingTable
from tests.cluster.configurations import VALID, changed, route


def table(document: dict[str, Any] = VALID) -> RoutingTable:
    return RoutingTable(msgspec.convert(document, Configuration))


def test_the_longest_prefix_of_the_host_wins() -> None:
    routing_table = table()
    assert routing_table.find_route("a.example", "/one/x").name == "r1"  # type: ignore[union-attr]
    assert routing_table.find_route("a.example", "/one/two/x").name == "r2"  # type: ignore[union-attr]
    assert routing_table.find_route("a.example", "/two/") is None
    assert routing_table.find_route("b.example", "/one/") is None


@pytest.mark.parametrize(
    "written", ["paquetería.example", "Paquetería.example:80", "xn--paquetera-n5a.example"]
)
@pytest.mark.parametrize("asked", [b"xn--paquetera-n5a.example", b"XN--PAQUETERA-N5A.example:8080"])
def test_a_route_is_found_by_the_a_labels_of_its_host(written: str, asked: bytes) -> None:
    # Guards against hosts outside ASCII that are acknowledged and answered 404.
    request = ClientRequest(b"GET", b"/one/x", [(b"host", asked)], b"", 0.0)
    found = table(changed(routes=[route("r", "/one/", host=written)])).find_route(request.host, request.path)
    assert found is not None


@pytest.mark.parametrize("host", ["A.Example", "a.EXAMPLE.", "A.example:8080"])
def test_a_route_is_found_however_its_host_is_written(host: str) -> None:
    # Guards against routes that are acknowledged and never in force (the review's capitals).
    routing_table = table(changed(routes=[route("r", "/one/", host=host)]))
    assert routing_table.find_route("a.example", "/one/x").name == "r"  # type: ignore[union-attr]


@pytest.mark.parametrize(
    ("hosts", "serving"),
    [
        (["A.Example", "a.example"], "r1"),
        (["a.example", "A.Example"], "r0"),
        (["A.Example", "a.Example"], "r0"),
    ],
)
def test_of_two_stored_routes_whose_hosts_differ_in_case_one_serves(hosts: list[str], serving: str) -> None:
    routes = [route(f"r{number}", "/one/", host=host) for number, host in enumerate(hosts)]
    found = table(changed(routes=routes)).find_route("a.example", "/one/x")
    assert found is not None
    assert found.name == serving


def test_tenants_are_found_by_key_and_charged_in_their_unit() -> None:
    routing_table = table()
    tenant = routing_table.find_tenant(b"k2")
    assert tenant is not None
    assert tenant.name == "x"
    assert tenant.quota_units(120.0) == 120.0
    assert routing_table.find_tenant(b"nobody's") is None
    assert set(routing_table.quotas) == {"x"}


@pytest.mark.parametrize("written", ["/paquetería/", "/paqueter%C3%ADa/", "/paqueter%c3%ada/"])
@pytest.mark.parametrize("asked", [b"/paqueter%C3%ADa/x?y", b"/paqueter%c3%ada/x", b"/p%61queter%C3%ADa/"])
def test_a_route_is_found_however_its_prefix_is_encoded(written: str, asked: bytes) -> None:
    # Guards against prefixes outside ASCII that are acknowledged and answered 404.
    routes = [route("r", written), route("other", "/paqueter/")]
    request = ClientRequest(b"GET", asked, [(b"host", b"a.example")], b"", 0.0)
    found = table(changed(routes=routes)).find_route(request.host, request.path)
    assert found is not None
    assert found.name == "r"


KEYS = ("é", "Ã©", "ключ", "🔑", "plain")


@pytest.mark.parametrize("key", KEYS, ids=["Latin-1", "mojibake", "Cyrillic", "emoji", "ASCII"])
def test_a_key_is_found_as_clients_send_it(key: str) -> None:
    # Guards against keys outside ASCII that are acknowledged and answered 401.
    tenants = [{"name": one, "api_keys": [one]} for one in KEYS]
    found = table(changed(tenants=tenants)).find_tenant(key.encode())
    assert found is not None
    assert found.name == key


def test_a_key_in_iso_8859_1_is_found_unless_its_bytes_are_another_key() -> None:
    tenants = [{"name": "first", "api_keys": ["é", "ü"]}, {"name": "second", "api_keys": ["Ã©"]}]
    routing_table = table(changed(tenants=tenants))
    for key, name in ((b"\xfc", "first"), (b"\xe9", "first"), (b"\xc3\xa9", "first")):
        found = routing_table.find_tenant(key)
        assert found is not None
        assert found.name == name


def test_a_stored_empty_key_lets_no_request_without_a_key_in() -> None:
    # Releases before accepted empty keys.
    assert table(changed(tenants=[{"name": "x", "api_keys": ["", "k"]}])).find_tenant(b"") is None


def test_services_are_drawn_by_their_weights() -> None:
    split = [{"backend": "s", "weight": 9}, {"backend": "t", "weight": 1}]
    routing_table = table(changed(routes=[route("r", "/", backend=None, traffic_split=split)]))
    found = routing_table.find_route("a.example", "/x")
    assert found is not None
    rng = Random(1)
    to_s = sum(found.service(rng) == "s" for _ in range(2_000))
    assert 1_700 < to_s < 1_900


def update(sequence: int, document: dict[str, Any], base: int = -1) -> ConfigUpdate:
    return ConfigUpdate(sequence, base, msgspec.Raw(msgspec.json.encode(document)))


def test_a_store_ignores_old_versions_and_patches_with_another_base() -> None:
    store = ConfigurationStore()
    assert store.apply(update(5, VALID))
    assert not store.apply(update(4, changed(generation=2)))
    assert not store.apply(update(5, changed(generation=9)))
    assert not store.apply(update(8, {"generation": 9}, base=7))
    assert store.apply(update(8, {"generation": 9, "remove": {"routes": ["r2"]}}, base=5))
    assert store.table is not None
    assert store.table.version == 9
    assert store.table.find_route("a.example", "/one/two/x").name == "r1"  # type: ignore[union-attr]


def test_a_patch_that_removes_the_rollouts_leaves_none() -> None:
    rollout = {"service": "s", "target_version": "v2", "duration_s": 9.0, "ordered_unix_ms": 1.0}
    store = ConfigurationStore()
    assert store.apply(update(5, {**VALID, ROLLOUTS_KEY: [rollout]}))
    assert store.table is not None
    assert list(store.table.rollouts) == ["s"]
    assert store.apply(update(6, {ROLLOUTS_KEY: None}, base=5))
    assert store.table.rollouts == {}


def test_a_patch_that_removes_the_limits_restores_the_defaults() -> None:
    store = ConfigurationStore()
    assert store.apply(update(5, {**VALID, "limits": {"max_body_bytes": 7}}))
    assert store.apply(update(6, {"limits": None}, base=5))
    assert store.table is not None
    assert store.table.limits.max_body_bytes == Limits().max_body_bytes
