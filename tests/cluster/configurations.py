"""A valid configuration and several invalid ones, shared by tests."""

from __future__ import annotations

import copy
from typing import Any


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


INVALID = {
    "unknown service": changed(routes=[route("r1", "/one/", backend="nobody")]),
    "unknown service in a split": changed(
        routes=[route("r1", "/one/", backend=None, traffic_split=[{"backend": "nobody", "weight": 1}])]
    ),
    "unknown service beside a split": changed(
        routes=[route("r1", "/one/", backend="nobody", traffic_split=[{"backend": "s", "weight": 1}])]
    ),
    "duplicate host and path prefix": changed(routes=[route("r1", "/one/"), route("r2", "/one/")]),
    "hosts that differ in case": changed(
        routes=[route("r1", "/one/", host="A.Example"), route("r2", "/one/", host="a.example")]
    ),
    "prefixes that differ in their encoding": changed(
        routes=[route("r1", "/paquetería/"), route("r2", "/paqueter%c3%ada/")]
    ),
    "a host that no request can name": changed(routes=[route("r1", "/one/", host="🚚.example")]),
    "hosts that differ in their labels": changed(
        routes=[
            route("r1", "/one/", host="paquetería.example"),
            route("r2", "/one/", host="xn--paquetera-n5a.example"),
        ]
    ),
    "hosts that differ in a port": changed(
        routes=[route("r1", "/one/", host="a.example:80"), route("r2", "/one/", host="a.example")]
    ),
    "weights sum to 0": changed(routes=[route("r1", "/", traffic_split=[{"backend": "s", "weight": 0}])]),
    "no timeout": changed(routes=[route("r1", "/one/", timeout_ms=0)]),
    "no generation": {key: value for key, value in VALID.items() if key != "generation"},
    "duplicate API key": changed(
        tenants=[{"name": "x", "api_keys": ["k"]}, {"name": "y", "api_keys": ["k"]}]
    ),
    "duplicate service": changed(services=[{"name": "s"}, {"name": "s"}]),
    "routes not a list": changed(routes={}),
    "no service": changed(routes=[route("r1", "/one/", backend=None)]),
}
