"""Validation of routes and pools, and what the command line reports about requests and changes."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

from larkweir.config.operator import decode
from larkweir.config.options import Operator, Pool, Route, Storms
from larkweir.config.platform import Config
from larkweir.config.platform import decode as decode_platform
from larkweir.config.routing import inherited, routing_objections
from larkweir.routes.explain import RouteExplainer, SampleRequest, moved, parse
from larkweir.routes.pools import settings_of
from tests.fakes import config_data

ROOT = Path(__file__).parents[2]


def platform() -> Config:
    return decode_platform(json.dumps(config_data([], 1)), {})


@pytest.mark.parametrize(
    ("route", "key"),
    [
        (Route(host="A.example"), "host"),
        (Route(host="*"), "host"),
        (Route(host="a*.example"), "host"),
        (Route(path="api"), "path"),
        (Route(path="/a//b"), "path"),
        (Route(path="/a/../b"), "path"),
        (Route(path="/a/*/b"), "path"),
        (Route(path="/a/{b"), "path"),
        (Route(path="/a/(b|c)+"), "path"),  # no regular expressions, whose matching could take long
        (Route(path="/a%2g"), "path"),
        (Route(path="/a%c3"), "path"),
        (Route(path="/a" * 65), "path"),
        (Route(methods=("get",)), "methods"),
        (Route(headers=("no name: x",)), "headers"),
        (Route(headers=("X-A: 1", "x-a: 2")), "headers"),
        (Route(split=("canary",)), "split"),
        (Route(split=("canary 5%", "canary 6%")), "split"),
        (Route(split=("default 5%",)), "split"),
        (Route(split=("a 60%", "b 50%")), "split"),
        (Route(split=("a 120%",)), "split"),
        (Route(split=("a -5%",)), "split"),
        (Route(sticky="cookie x"), "sticky"),
        (Route(pool="a", fallback=("b", "a")), "fallback"),
    ],
)
def test_an_invalid_route_reports_the_faulty_key(route: Route, key: str) -> None:
    assert list(route.faults()) == [key]


@pytest.mark.parametrize(
    "path", ["", "/", "/a", "/a/", "/a/{b}/c", "/a/*", "/*", "/a/%C3%BC", "/@s/n", "/a/{b}/*"]
)
def test_valid_paths_have_no_faults(path: str) -> None:
    assert not Route(path=path).faults()


A = Pool(zones=("north",))


@pytest.mark.parametrize(
    ("options", "code", "key"),
    [
        (Operator(routes={"r": Route(pool="x")}), "LW511", "route.r.pool"),
        (Operator(routes={"r": Route(split=("x 5%",))}), "LW511", "route.r.split"),
        (Operator(routes={"r": Route(mirror="x")}), "LW511", "route.r.mirror"),
        (Operator(routes={"r": Route(fallback=("x",))}), "LW511", "route.r.fallback"),
        (Operator(pools={"a": Pool(parent="x")}, routes={"r": Route(pool="a")}), "LW511", "pool.a.parent"),
        (
            Operator(pools={"a": Pool(parent="b"), "b": Pool(parent="a")}, routes={"r": Route(pool="a")}),
            "LW512",
            "pool.a.parent",
        ),
        (Operator(routes={"a": Route(path="/x"), "b": Route(path="/x")}), "LW513", "route.b"),
        (
            Operator(routes={"a": Route(path="/x/{y}"), "b": Route(path="/x/{z}", pool="default")}),
            "LW513",
            "route.b",
        ),
        (
            Operator(
                routes={
                    "a": Route(path="/x", classes=("look", "post")),
                    "b": Route(path="/x", classes=("look",)),
                }
            ),
            "LW513",
            "route.b",
        ),
        (Operator(routes={"r": Route(classes=("move",), mirror="default")}), "LW515", "route.r.mirror"),
        (Operator(routes={"r": Route(classes=("nope",))}), "LW501", "route.r.classes"),
        (Operator(routes={"r": Route(tenants=("nope",))}), "LW502", "route.r.tenants"),
        (
            Operator(pools={"a": Pool(zones=("moon",))}, routes={"r": Route(pool="a")}),
            "LW517",
            "pool.a.zones",
        ),
        (
            Operator(pools={"a": Pool(kinds=("moon",))}, routes={"r": Route(pool="a")}),
            "LW517",
            "pool.a.kinds",
        ),
        (Operator(pools={"a": Pool(cells=("x",))}, routes={"r": Route(pool="a")}), "LW517", "pool.a.cells"),
        (
            Operator(pools={"a": Pool(fixed=("host:1",))}, routes={"r": Route(pool="a")}),
            "LW517",
            "pool.a.fixed",
        ),
        (
            Operator(pools={"a": Pool(fixed=("10.0.0.1:1 moon",))}, routes={"r": Route(pool="a")}),
            "LW517",
            "pool.a.fixed",
        ),
        (
            Operator(pools={"a": Pool(fixed=("10.0.0.1:1",), cells=("1",))}, routes={"r": Route(pool="a")}),
            "LW518",
            "pool.a.fixed",
        ),
        (Operator(routes={"r": Route()}, storms=Storms(on=True)), "LW519", "storms.on"),
    ],
)
def test_objections_have_a_code_a_key_and_a_remedy(options: Operator, code: str, key: str) -> None:
    found = [item for item in routing_objections(options, platform()) if item.grave]
    assert [(item.code, item.key) for item in found][:1] == [(code, key)]
    assert found[0].text and found[0].mend


@pytest.mark.parametrize(
    "options",
    [
        Operator(pools={"a": A}),
        Operator(pools={"a": A, "b": A}, routes={"r": Route(pool="b")}),
    ],
)
def test_probable_mistakes_are_warnings(options: Operator) -> None:
    found = list(routing_objections(options, platform()))
    assert found and not any(item.grave for item in found)


def test_routes_with_different_conditions_are_reachable() -> None:
    options = Operator(
        routes={
            "a": Route(path="/x", classes=("look",)),
            "b": Route(path="/x", tenants=("acme",)),
            "c": Route(path="/x", methods=("GET",)),
            "d": Route(path="/x", headers=("X-A",)),
            "e": Route(path="/x", headers=("X-A: 1",)),
            "f": Route(path="/x"),
            "g": Route(path="/x/*"),
            "h": Route(host="a.b", path="/x"),
        }
    )
    # `d` precedes `e` only by its name, and matches all requests that `e` does.
    assert [item.key for item in routing_objections(options, platform()) if item.grave] == ["route.e"]


def test_a_pool_is_never_looser_than_the_platform() -> None:
    settings = platform().settings
    found = settings_of(Pool(attempts=99, pace=0.33), settings, True)
    assert found.max_attempts == settings.max_attempts
    assert found.tuning.cold_pace * settings.fall_multiple <= 1.0 + 1e-9


def test_a_pool_inherits_settings_from_its_parents() -> None:
    pools = {
        "a": Pool(zones=("north",), attempts=2),
        "b": Pool(parent="a", attempts=3),
        "c": Pool(parent="b", subset=5),
    }
    found = inherited("c", pools)
    assert (found.zones, found.attempts, found.subset) == (("north",), 3, 5)


FILE = """
[pool.blue]
zones = ["north"]

[pool.green]
parent = "blue"
subset = 10

[route.api]
path = "/api"
pool = "blue"
split = ["green 5%"]

[route.publish]
path = "/p/{name}"
methods = ["PUT"]
headers = ["X-Beta: 1"]
pool = "green"
fallback = ["blue"]
"""


def test_routes_and_pools_are_read_from_toml() -> None:
    options, faults = decode(FILE)
    assert not faults
    assert options.routes["api"].split == ("green 5%",) and options.pools["green"].subset == 10
    _, faults = decode(FILE.replace('pool = "green"', 'pool = "red"'))
    assert faults == ["route.publish.pool: there is no pool 'red'; there are blue, default, green"]


def larkweir(*arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", "larkweir", *arguments], capture_output=True, text=True, cwd=ROOT, check=False
    )


def test_the_command_explains_where_a_request_goes(tmp_path: Path) -> None:
    path = tmp_path / "op.toml"
    path.write_text(FILE)
    found = larkweir("routes", str(path), "--try", "GET /x/../api")
    assert found.returncode == 0
    assert found.stdout.splitlines()[1:] == [
        "    route api",
        "    pool blue, 0.95 of its requests",
        "    pool green, 0.05 of its requests",
    ]
    found = larkweir("routes", str(path), "--try", "PUT /p/x x-beta=1")
    assert "then blue, with what never ran" in found.stdout and found.returncode == 0
    found = larkweir("routes", str(path), "--try", "PUT /p/x", "--try", "GET /p/x")
    assert found.returncode == 1 and "not publish: a header is missing" in found.stdout
    assert "405: PUT" in found.stdout
    assert larkweir("routes", str(path), "--try", "nonsense").returncode == 2
    listed = larkweir("routes", str(path)).stdout
    assert "publish: any host, /p/{name}, PUT, X-Beta: 1 -> green, then blue" in listed


def test_a_diff_lists_the_requests_that_go_elsewhere(tmp_path: Path) -> None:
    old, new = tmp_path / "old.toml", tmp_path / "new.toml"
    old.write_text(FILE)
    new.write_text(FILE.replace("green 5%", "green 10%").replace('path = "/p/{name}"', 'path = "/q/{name}"'))
    found = larkweir("check", "--diff", str(old), str(new))
    assert "GET /api: blue 95% green 5% -> blue 90% green 10%" in found.stdout
    assert "PUT /p/some x-beta=1: green, then blue -> 404: no route" in found.stdout
    assert "PUT /q/some x-beta=1: 404: no route -> green, then blue" in found.stdout


def test_adding_the_first_route_moves_all_other_requests() -> None:
    found = moved(Operator(), Operator(routes={"x": Route(path="/x")}))
    assert [(str(item.sample), item.before, item.after) for item in found] == [
        ("GET /api", "default", "404: no route"),
        ("GET /x", "404: no route", "default"),
        ("POST /x", "404: no route", "default"),
    ]


@pytest.mark.parametrize("text", ["", "GET", "get /x", "GET x", "GET /x host", "GET /x =a"])
def test_malformed_sample_requests_are_rejected(text: str) -> None:
    with pytest.raises(ValueError):
        parse(text)


def test_a_sample_request_is_parsed_back_from_its_text() -> None:
    sample = SampleRequest("POST", "/x", "a.b", "look", "acme", (("x-a", "1"),))
    assert parse(str(sample)) == sample
    assert RouteExplainer(Operator(routes={"r": Route(host="a.b")})).explain(sample).route == "r"
