"""The HTTP interface through which upstreams report heartbeats and departures."""

from __future__ import annotations

from enum import StrEnum
from typing import Annotated
from urllib.parse import unquote

import msgspec
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.records import Counter, Slots, Upstream, UpstreamState
from larkweir_registry.registry import Registry

from larkweir.cluster.configuration.header_values import is_header_value
from larkweir.cluster.http_server import Request, Response
from larkweir.cluster.settings import SettingsError, parse_address
from larkweir.controller.clock import now_ms
from larkweir.controller.delivery_confirmation import DeliveryConfirmation
from larkweir.controller.pull_service import PullService
from larkweir.controller.quorum_contact import QuorumContact
from larkweir.controller.upstream_store import UpstreamStore

PATH_PREFIX = "/instances/"
MAX_HEARTBEAT_BYTES = 256 * 1024  # an engine lists its models and their adapters
MAX_NAME_CHARS = 4_096
CONFIRM_TIMEOUT_S = 0.4  # a departing upstream waits one second for its acknowledgement
MAX_ID_CHARS = 512
MAX_VERSION_CHARS = 128
ID_TOO_LONG = Response(400, b'{"error":"the id of the instance is too long"}')
INVALID_ID = Response(
    400, b'{"error":"the id of the instance is no UTF-8, or can\'t be the value of a header"}'
)
ACKNOWLEDGED = Response(200, b"{}")
NO_MAJORITY = Response(503, b'{"error":"no majority of controllers is in reach"}')
NOT_DURABLE = Response(503, b'{"error":"no majority of controllers has the departure on disk"}')


Name = Annotated[str, msgspec.Meta(max_length=MAX_NAME_CHARS)]


class ReportedState(StrEnum):
    """The states that an upstream can report for itself."""

    READY = "ready"
    DRAINING = "draining"


class Heartbeat(msgspec.Struct, frozen=True):
    """The body of `PUT /instances/ID`. Unknown fields are ignored. `version`: version of the upstream's software."""

    service: Name = msgspec.field(name="backend")
    address: Name
    zone: Name
    sequence: Counter
    state: ReportedState = ReportedState.READY
    slots: Slots = 1
    version: Annotated[str, msgspec.Meta(max_length=MAX_VERSION_CHARS)] = msgspec.field(
        default="", name="generation"
    )

    def upstream(self, id_: str) -> Upstream:
        """Returns a record of the upstream with this id from the heartbeat."""
        return Upstream(
            id=id_,
            service=self.service,
            address=self.address,
            zone=self.zone,
            slots=self.slots,
            sequence=self.sequence,
            state=UpstreamState.READY if self.state is ReportedState.READY else UpstreamState.DRAINING,
            reported_version=self.version or msgspec.UNSET,
        )


class InstancesApi:
    """The `/instances/` paths of a controller.

    Reports of upstreams are always recorded, but acknowledged only while this controller is in contact with a majority.
    After an acknowledgement an upstream informs no other controller, so this one must get the report to the routers. A
    departure may never be reported again, so it is acknowledged only once a majority of controllers has it on disk.
    """

    def __init__(
        self,
        registry: Registry,
        failure_detector: FailureDetector,
        pulls: PullService,
        confirmation: DeliveryConfirmation,
        store: UpstreamStore,
        contact: QuorumContact,
    ) -> None:
        """All arguments belong to the same controller."""
        self._registry = registry
        self._failure_detector = failure_detector
        self._pulls = pulls
        self._confirmation = confirmation
        self._store = store
        self._contact = contact

    async def put(self, request: Request) -> Response:
        """Records a heartbeat. The heartbeat of a draining upstream is acknowledged once the routers have it."""
        if len(request.body) > MAX_HEARTBEAT_BYTES:
            return Response(413)
        try:
            heartbeat: Heartbeat = msgspec.json.decode(request.body, type=Heartbeat)
            parse_address(heartbeat.address)
        except (msgspec.DecodeError, SettingsError) as error:  # the error message names the field
            return Response(400, msgspec.json.encode({"error": str(error)}))
        id_ = _instance_id(request)
        if isinstance(id_, Response):
            return id_
        upstream = heartbeat.upstream(id_)
        present_ms = now_ms()
        self._failure_detector.record_heartbeat(upstream.id, upstream.sequence, present_ms)
        self._registry.update(upstream, present_ms)
        if upstream.state is UpstreamState.READY:
            self._pulls.wake()
            return ACKNOWLEDGED if self._contact.is_connected() else NO_MAJORITY
        return await self._acknowledge_departure(upstream.id)

    async def delete(self, request: Request) -> Response:
        """Records that an upstream has ended or is about to end."""
        id_ = _instance_id(request)
        if isinstance(id_, Response):
            return id_
        known = self._registry.upstreams.get(id_)
        gone = (
            msgspec.structs.replace(known, state=UpstreamState.GONE)
            if known is not None
            else Upstream(id=id_, service="", address="", zone="", state=UpstreamState.GONE)
        )
        self._failure_detector.forget(id_)
        self._registry.update(gone, now_ms())
        return await self._acknowledge_departure(id_)

    async def _acknowledge_departure(self, id_: str) -> Response:
        """Waits until the fleet knows that an upstream is draining or gone, and responds to the upstream.

        `drain_ms` starts with the acknowledgement, for all routers that are in contact with a majority.
        """
        version = self._registry.version(id_)
        assert version is not None
        self._store.write()
        self._pulls.wake()
        if await self._confirmation.wait(version, CONFIRM_TIMEOUT_S):
            return ACKNOWLEDGED
        return NOT_DURABLE if self._contact.is_connected() else NO_MAJORITY


def _instance_id(request: Request) -> str | Response:
    """Returns the id in the path of a request, decoded (RFC 3986, 2.1), or the response if it is invalid.

    Routers name the upstream by its id in a header.
    """
    encoded = request.target.partition("?")[0].removeprefix(PATH_PREFIX)
    if len(encoded) > MAX_ID_CHARS:
        return ID_TOO_LONG
    try:
        id_ = unquote(encoded, errors="strict")
    except UnicodeDecodeError:
        return INVALID_ID
    return id_ if is_header_value(id_) else INVALID_ID
