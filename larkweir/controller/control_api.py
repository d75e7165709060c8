"""The HTTP interface at the control address: dispatches requests to the parts of the controller."""

from __future__ import annotations

from urllib.parse import unquote

from larkweir.cluster.http_server import Request, Response
from larkweir.controller.controller_links import ControllerLinks
from larkweir.controller.inspection import Inspection
from larkweir.controller.instances_api import PATH_PREFIX as INSTANCES_PREFIX
from larkweir.controller.instances_api import InstancesApi
from larkweir.controller.operator_api import OperatorApi
from larkweir.controller.rollouts_api import PATH as ROLLOUTS_PATH
from larkweir.controller.rollouts_api import RolloutsApi

MAX_BODY_BYTES = 8 * 1024 * 1024
METHOD_NOT_ALLOWED = Response(405)
NOT_FOUND = Response(404)


class ControlApi:
    """Dispatches requests by path and method."""

    def __init__(
        self,
        operator: OperatorApi,
        instances: InstancesApi,
        inspection: Inspection,
        links: ControllerLinks,
        rollouts: RolloutsApi,
    ) -> None:
        """All arguments belong to the same controller."""
        self._operator = operator
        self._instances = instances
        self._inspection = inspection
        self._links = links
        self._rollouts = rollouts

    async def handle(self, request: Request) -> Response:
        """Returns the response of the responsible part; 404 or 405 if no part handles the request."""
        path = request.target.partition("?")[0]
        if path.startswith(INSTANCES_PREFIX) and len(path) > len(INSTANCES_PREFIX):
            return await self._handle_instance(request)
        if path == "/config":
            return await self._handle_configuration(request)
        if path == ROLLOUTS_PATH:
            return await self._handle_rollouts(request)
        if path.startswith(f"{ROLLOUTS_PATH}/") and len(path) > len(ROLLOUTS_PATH) + 1:
            return await self._handle_rollout(request.method, unquote(path.removeprefix(f"{ROLLOUTS_PATH}/")))
        if request.method == "GET":
            return self._inspect(path)
        return NOT_FOUND

    async def _handle_instance(self, request: Request) -> Response:
        match request.method:
            case "PUT":
                return await self._instances.put(request)
            case "DELETE":
                return await self._instances.delete(request)
            case _:
                return METHOD_NOT_ALLOWED

    async def _handle_configuration(self, request: Request) -> Response:
        match request.method:
            case "GET":
                return await self._operator.get()
            case "PUT" | "PATCH":
                return await self._operator.change(request)
            case _:
                return METHOD_NOT_ALLOWED

    async def _handle_rollouts(self, request: Request) -> Response:
        match request.method:
            case "GET":
                return await self._rollouts.list()
            case "POST":
                return await self._rollouts.order(request)
            case _:
                return METHOD_NOT_ALLOWED

    async def _handle_rollout(self, method: str, service: str) -> Response:
        match method:
            case "GET":
                return await self._rollouts.get(service)
            case "DELETE":
                return await self._rollouts.abort(service)
            case _:
                return METHOD_NOT_ALLOWED

    def _inspect(self, path: str) -> Response:
        match path:
            case "/status":
                return self._inspection.answer_status(sorted(self._links.connected_nodes()))
            case "/upstreams":
                return self._inspection.answer_upstreams()
            case "/metrics":
                return self._inspection.answer_metrics(sorted(self._links.connected_nodes()))
            case _:
                return NOT_FOUND
