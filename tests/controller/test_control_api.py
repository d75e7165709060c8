"""Dispatch of HTTP requests to the parts of the controller."""

from __future__ import annotations

import asyncio

import pytest

from larkweir.cluster.http_server import Request, Response
from larkweir.controller.control_api import ControlApi
from tests.controller.conftest import FakeLinks


class FakeRolloutsApi:
    """Each response names the method that returned it."""

    async def list(self) -> Response:
        return Response(200, b"rollouts list")

    async def order(self, request: Request) -> Response:
        return Response(200, b"rollouts order")

    async def get(self, service: str) -> Response:
        return Response(200, f"rollout get {service}".encode())

    async def abort(self, service: str) -> Response:
        return Response(200, f"rollout abort {service}".encode())


class FakeApis:
    """Replaces `OperatorApi`, `InstancesApi` and `Inspection`. Each response names the method that returned it."""

    async def get(self) -> Response:
        return Response(200, b"operator get")

    async def change(self, request: Request) -> Response:
        return Response(200, b"operator change")

    async def put(self, request: Request) -> Response:
        return Response(200, b"instance put")

    async def delete(self, request: Request) -> Response:
        return Response(200, b"instance delete")

    def answer_status(self, linked: list[str]) -> Response:
        return Response(200, f"status {linked}".encode())

    def answer_upstreams(self) -> Response:
        return Response(200, b"upstreams")

    def answer_metrics(self, linked: list[str]) -> Response:
        return Response(200, f"metrics {linked}".encode())


@pytest.mark.parametrize(
    ("method", "target", "status", "body"),
    [
        ("GET", "/config", 200, b"operator get"),
        ("GET", "/config?x=1", 200, b"operator get"),
        ("PUT", "/config", 200, b"operator change"),
        ("PATCH", "/config", 200, b"operator change"),
        ("DELETE", "/config", 405, b""),
        ("PUT", "/instances/u", 200, b"instance put"),
        ("DELETE", "/instances/u", 200, b"instance delete"),
        ("GET", "/instances/u", 405, b""),
        ("PUT", "/instances/", 404, b""),
        ("GET", "/instances/", 404, b""),
        ("GET", "/rollouts", 200, b"rollouts list"),
        ("POST", "/rollouts", 200, b"rollouts order"),
        ("DELETE", "/rollouts", 405, b""),
        ("GET", "/rollouts/a%20b?x", 200, b"rollout get a b"),
        ("DELETE", "/rollouts/s", 200, b"rollout abort s"),
        ("POST", "/rollouts/s", 405, b""),
        ("GET", "/rollouts/", 404, b""),
        ("GET", "/status", 200, b"status ['d', 'e']"),
        ("GET", "/upstreams", 200, b"upstreams"),
        ("GET", "/metrics?x", 200, b"metrics ['d', 'e']"),
        ("POST", "/metrics", 404, b""),
        ("GET", "/", 404, b""),
    ],
)
def test_a_request_is_dispatched_by_path_and_method(
    method: str, target: str, status: int, body: bytes, links: FakeLinks
) -> None:
    links.connected = {"e", "d"}
    apis = FakeApis()
    api = ControlApi(apis, apis, apis, links, FakeRolloutsApi())  # type: ignore[arg-type]
    response = asyncio.run(api.handle(Request(method, target, {}, b"")))
    assert (response.status, response.body) == (status, body)
