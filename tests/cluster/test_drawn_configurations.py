"""Drawn changes of both forms: whatever is acknowledged is in force alike at all routers, and serves what it promises.

`CONFIGURATION_EXAMPLES=N` plays N sequences of changes.
"""

from __future__ import annotations

import os
from itertools import chain
from typing import Any
from urllib.parse import quote

import h11
import msgspec
from hypothesis import given, settings
from hypothesis import strategies as st

from larkweir.cluster.configuration.changes import (
    ConfigurationChange,
    Rejection,
    apply_change,
    configuration_version,
)
from larkweir.cluster.configuration.documents import ROLLOUTS_KEY
from larkweir.controller.configuration_history import ConfigurationHistory
from larkweir.router.client_request import ClientRequest, RoutingHeaders
from larkweir.router.configuration import Configuration, ConfigurationStore, Route, RoutingTable
from tests.cluster.configurations import VALID, route

EXAMPLES = int(os.environ.get("CONFIGURATION_EXAMPLES", "150"))
TEN_VERSIONS = 10

texts = st.text(st.characters(exclude_categories=["Cs"]), max_size=6)
names = st.one_of(st.sampled_from(["a", "b", "ሰላም", "é", "ключ"]), texts)
hosts = st.one_of(
    st.sampled_from(["a.example", "Paquetería.example"]), texts.map(lambda text: f"{text}.example")
)
prefixes = st.one_of(st.sampled_from(["/one/", "/paquetería/", "/%7e/"]), texts.map(lambda text: f"/{text}/"))
values = st.one_of(st.none(), st.integers(0, 60), st.just({}), st.just([]), st.just({"routes": []}), names)
routes = st.builds(
    lambda name, host, prefix, more: route(name, prefix, host=host, **more),
    st.sampled_from(["r1", "r2", "r3"]),
    hosts,
    prefixes,
    st.sampled_from([{}, {"public": True}, {"backend": "t"}, {"priority": None}, {"extra": {"é": None}}]),
)
tenants = st.builds(
    lambda name, keys: {"name": name, "api_keys": keys}, names, st.lists(names, min_size=1, max_size=2)
)
members = st.one_of(
    st.just({}),
    st.builds(lambda generation: {"generation": generation}, st.integers(1, 60)),
    st.dictionaries(
        st.sampled_from(["upsert", "remove", "limits", "routes", ROLLOUTS_KEY, "owner"]), values, max_size=1
    ),
)
unique_routes = st.lists(routes, max_size=3, unique_by=lambda item: item["name"])
unique_tenants = st.lists(tenants, max_size=2, unique_by=lambda item: item["name"])
complete = st.builds(
    lambda routes, tenants, more: (False, {**VALID, "routes": routes, "tenants": tenants, **more}),
    unique_routes,
    unique_tenants,
    members,
)
patches = st.builds(
    lambda routes, tenants, removed, odd, more: (
        True,
        {"upsert": {"routes": routes, "tenants": tenants, **odd}, "remove": {"routes": removed}, **more},
    ),
    unique_routes,
    unique_tenants,
    st.lists(st.sampled_from(["r1", "r2", "r3", "é"]), max_size=2),
    members,
    members,
)
changes = st.lists(st.one_of(complete, patches), min_size=1, max_size=14)


def table_of(store: ConfigurationStore) -> RoutingTable:
    assert store.table is not None
    return store.table


def routes_of(table: RoutingTable) -> list[Route]:
    return [indexed.route for indexed in chain.from_iterable(table._routes.values())]


def follow(store: ConfigurationStore, history: ConfigurationHistory) -> None:
    """Brings a router up to date, as a controller's answer to its pull does."""
    update = history.update_from(store.sequence)
    assert update is None or store.apply(update)


def request_of(host: str, prefix: str, key: str) -> ClientRequest:
    """A request as a client makes it by the RFCs, received from the wire."""
    path = "".join(one if "!" <= one <= "~" and one not in "?#" else quote(one, safe="") for one in prefix)
    headers = [("Host", a_labels(host)), ("X-Api-Key", key.encode())]
    sent = h11.Connection(h11.CLIENT).send(h11.Request(method="GET", target=f"{path}x", headers=headers))
    server = h11.Connection(h11.SERVER)
    server.receive_data(sent or b"")
    head = server.next_event()
    assert isinstance(head, h11.Request)
    return ClientRequest(head.method, head.target, list(head.headers), b"", 0.0)


def a_labels(host: str) -> str:
    import idna

    name = host.partition(":")[0].strip().rstrip(".")
    return name if name.isascii() else idna.encode(name.lower(), uts46=True).decode()


def check_routes_and_keys(table: RoutingTable, document: dict[str, Any]) -> None:
    """Checks that each route and key of an acknowledged document is found by the request that names it."""
    for item in document["routes"]:
        if not item["host"].isascii() or not item["path_prefix"].isascii():
            request = request_of(item["host"], item["path_prefix"], "k")
            found = table.find_route(request.host, request.path)
            assert found is not None, item
    for tenant in document["tenants"]:
        for key in tenant["api_keys"]:
            request = request_of("a.example", "/", key)
            found_tenant = table.find_tenant(request.header(b"x-api-key"))
            assert found_tenant is not None and found_tenant.name == tenant["name"], key
        routing = RoutingHeaders(1, "i-1", tenant["name"], 5, None)
        head = request_of("a.example", "/", "k").upstream_request(routing)
        assert dict(head.headers)[b"x-tenant"].decode() == tenant["name"]


@settings(max_examples=EXAMPLES, deadline=None)
@given(changes)
def test_what_is_acknowledged_is_in_force_alike_everywhere(drawn: list[tuple[bool, dict[str, Any]]]) -> None:
    # Guards against what is accepted by one model and acted by another (review/5, 6 and 7).
    value = msgspec.json.encode(VALID).decode()
    history = ConfigurationHistory()
    history.add(0, value)
    in_touch, cut_off = ConfigurationStore(), ConfigurationStore()
    follow(in_touch, history)
    follow(cut_off, history)
    version = configuration_version(value)
    for sequence, (is_patch, body) in enumerate(drawn, start=1):
        text = msgspec.json.encode({**body, "generation": version + 1}).decode()
        result = apply_change(value, ConfigurationChange(is_patch, version, text).encode())
        if result.is_err():
            assert isinstance(result.err(), Rejection)
            continue
        value, version = result.unwrap(), version + 1
        assert configuration_version(value) == version
        history.add(sequence, value)
        follow(in_touch, history)
        if sequence % TEN_VERSIONS == 0:
            follow(cut_off, history)
        check_routes_and_keys(table_of(in_touch), msgspec.json.decode(value))
    follow(cut_off, history)
    started = ConfigurationStore()
    follow(started, history)
    expected = msgspec.json.decode(value, type=Configuration)
    for store in (in_touch, cut_off, started):
        assert store.sequence == history.sequence
        assert table_of(store).version == expected.generation
        assert sorted(routes_of(table_of(store)), key=str) == sorted(expected.routes, key=str)
        assert table_of(store)._tenants == RoutingTable(expected)._tenants
