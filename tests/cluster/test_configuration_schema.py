"""Valid and invalid configurations."""

from __future__ import annotations

from typing import Any

import msgspec
import pytest

from larkweir.cluster.configuration.schema import (
    MAX_ATTEMPTS,
    MAX_BYTES,
    MAX_CONNECTIONS,
    MAX_DURATION_MS,
    MAX_GENERATION,
    MAX_PRIORITY,
    MAX_UNITS,
    MAX_WEIGHT,
    first_problem,
)
from larkweir.cluster.messages import ConfigUpdate
from larkweir.router.configuration import ConfigurationStore, UnusableUpdateError
from tests.cluster.configurations import INVALID, VALID, changed, route


def test_a_valid_configuration_has_no_problem() -> None:
    assert first_problem(VALID) is None


@pytest.mark.parametrize("name", INVALID)
def test_the_problem_of_an_invalid_configuration_is_one_line(name: str) -> None:
    problem = first_problem(INVALID[name])
    assert problem
    assert "\n" not in problem


def test_routes_that_share_host_and_prefix_are_both_named() -> None:
    assert first_problem(INVALID["hosts that differ in case"]) == (
        "Value error, routes r1 and r2 share host and prefix: A.Example and a.example, /one/"
    )


ROUTE_FIELDS: dict[str, Any] = {
    "timeout_ms": MAX_DURATION_MS,
    "target_latency_ms": MAX_DURATION_MS,
    "priority": MAX_PRIORITY,
    "max_attempts": MAX_ATTEMPTS,
}
TENANT_FIELDS: dict[str, Any] = {
    "priority": MAX_PRIORITY,
    "plain_tokens": MAX_UNITS,
    "rate_per_s": MAX_UNITS,
    "burst": MAX_UNITS,
}
LIMIT_FIELDS: dict[str, Any] = {
    "max_header_bytes": MAX_BYTES,
    "max_body_bytes": MAX_BYTES,
    "header_timeout_ms": MAX_DURATION_MS,
    "idle_timeout_ms": MAX_DURATION_MS,
}


def with_number(place: str, value: object) -> dict[str, Any]:
    """Return the valid configuration with one field set to `value`."""
    owner, _, field = place.rpartition(".")
    if owner == "routes.0":
        return changed(routes=[route("r1", "/one/", **{field: value})])
    if owner == "tenants.0":
        return changed(tenants=[{"name": "x", "api_keys": ["k"], field: value}])
    if owner == "limits":
        return changed(limits={field: value})
    if owner == "services.0":
        return changed(services=[{"name": "s", field: value}, {"name": "t"}])
    if owner == "routes.0.traffic_split.0":
        split = [{"backend": "s", field: value}, {"backend": "t", "weight": 1}]
        return changed(routes=[route("r1", "/one/", traffic_split=split)])
    return changed(**{field: value})


NUMBERS: dict[str, Any] = {
    "generation": MAX_GENERATION,
    "services.0.max_conns": MAX_CONNECTIONS,
    "routes.0.traffic_split.0.weight": MAX_WEIGHT,
    **{f"routes.0.{name}": maximum for name, maximum in ROUTE_FIELDS.items()},
    **{f"tenants.0.{name}": maximum for name, maximum in TENANT_FIELDS.items()},
    **{f"limits.{name}": maximum for name, maximum in LIMIT_FIELDS.items()},
}


@pytest.mark.parametrize("place", NUMBERS)
def test_every_number_has_a_maximum_and_the_error_names_the_field(place: str) -> None:
    assert first_problem(with_number(place, NUMBERS[place])) is None
    for value in (NUMBERS[place] + 1, 12345678901234567890123, -MAX_UNITS, "7", float("inf")):
        problem = first_problem(with_number(place, value))
        assert problem is not None
        assert problem.startswith(f"{place}: ")


@pytest.mark.parametrize("name", ["a\nb", " a", "a\t", "\x00"])
def test_a_tenants_name_can_be_sent_in_a_header(name: str) -> None:
    problem = first_problem(changed(tenants=[{"name": name, "api_keys": ["k"]}]))
    assert problem is not None
    assert problem.startswith("tenants.0.name")


@pytest.mark.parametrize(
    "document",
    [
        changed(routes=[route("r1", "/one/", priority="high")]),
        changed(routes=[route("r1", "/one/", priority=None)]),
        changed(routes=[route("r1", "/one/", public="yes")]),
        changed(routes=[route("r1", "/one/", resumable=1)]),
        changed(routes=[route("r1", "/one/", target_latency_ms=None)]),
        changed(services=[{"name": "s", "engine": [1]}, {"name": "t"}]),
        changed(tenants=[{"name": "x", "api_keys": ["k"], "unit": 7}]),
        changed(tenants=[{"name": "x", "api_keys": ["k"], "plain_tokens": "1"}]),
    ],
)
def test_values_that_a_router_cannot_decode_are_rejected(document: dict[str, Any]) -> None:
    assert first_problem(document) is not None
    store = ConfigurationStore()
    with pytest.raises(UnusableUpdateError) as caught:
        store.apply(ConfigUpdate(1, -1, msgspec.Raw(msgspec.json.encode(document))))
    assert isinstance(caught.value.__cause__, msgspec.ValidationError)


@pytest.mark.parametrize("member", ["upsert", "remove"])
@pytest.mark.parametrize("value", [{}, {"routes": []}, None, 5])
def test_a_complete_configuration_has_no_members_of_a_patch(member: str, value: object) -> None:
    # Guards against acknowledging a document to whose successor no patch leads (review/5).
    problem = first_problem(changed(**{member: value}))
    assert problem is not None
    assert member in problem
    assert "PATCH" in problem


@pytest.mark.parametrize("key", ["", " ", " k", "k ", "a\r\nb", "a\x00", "\x7f"])
def test_a_key_can_be_sent_in_a_header(key: str) -> None:
    problem = first_problem(changed(tenants=[{"name": "x", "api_keys": ["k", key]}]))
    assert problem is not None
    assert problem.startswith("tenants.0.api_keys.1")
