"""The composition root of a controller."""

from __future__ import annotations

import asyncio
import itertools
import secrets
import signal
from collections.abc import Callable, Coroutine
from weakref import WeakSet

from larkweir_quotas.ledger import Ledger
from larkweir_registry.liveness import Liveness
from larkweir_registry.registry import Registry
from larkweir_replication.messages import Message as ReplicationMessage
from larkweir_replication.messages import Snapshot

from larkweir.cluster import log, settings_watch
from larkweir.cluster.http_server import HttpServerConnection, Request, Response
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import (
    Delta,
    Forward,
    Forwarded,
    Heard,
    Hello,
    Kind,
    Message,
    Place,
    Pull,
    Replication,
    Waiting,
)
from larkweir.cluster.settings import Settings, split_address
from larkweir.controller.configuration_history import ConfigurationHistory
from larkweir.controller.controller_links import ControllerLinks
from larkweir.controller.delivery_confirmation import DeliveryConfirmation
from larkweir.controller.heartbeat_monitor import HeartbeatMonitor
from larkweir.controller.inspection import Inspection
from larkweir.controller.instances_api import PATH_PREFIX, InstancesApi
from larkweir.controller.known_controllers import KnownControllers
from larkweir.controller.operator_api import OperatorApi
from larkweir.controller.placement_requests import PlacementRequests
from larkweir.controller.prefill_load import PrefillLoad
from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.primary_client import PrimaryClient
from larkweir.controller.pull_service import PublishedState, PullService
from larkweir.controller.quorum_contact import QuorumContact
from larkweir.controller.quota_accounting import QuotaAccounting
from larkweir.controller.recovery_hints import RecoveryHints
from larkweir.controller.registry_sync import RegistrySync
from larkweir.controller.replica_driver import ReplicaDriver
from larkweir.controller.subscriptions import Subscriptions
from larkweir.controller.upstream_ejection import UpstreamEjection

TICK_S = 0.04
PAUSE_MS = 700.0  # a tick so late means that this process stood still
HEARTBEATS_EVERY_TICKS = 8
CLEAN_UP_EVERY_TICKS = 250
MAX_BODY_BYTES = 8 * 1024 * 1024
BACKLOG = 1_024


class Controller:
    """One controller process."""

    def __init__(self, settings: Settings) -> None:
        """Opens nothing yet but the data folder. OSError where that can't be read."""
        self.settings = settings
        self._loop = asyncio.get_running_loop()
        self._incarnation = secrets.token_hex(6)
        self._registry = Registry(f"{settings.ip}/{self._incarnation}")
        self._liveness = Liveness(settings.heartbeat_ms, self._now_ms())
        self._links = ControllerLinks(lambda: self.settings.peer_port, self._received, self._link_connected)
        self._subscriptions = Subscriptions()
        self._state = PublishedState(
            registry=self._registry,
            configuration=ConfigurationHistory(),
            quotas=QuotaAccounting(Ledger(), overuse_fraction=settings.bounds.quota_over),
            prefill_load=PrefillLoad(),
            ejection=UpstreamEjection(self._registry, self._subscriptions),
        )
        self._confirmation = DeliveryConfirmation(self._registry, self._subscriptions)
        self._pulls = PullService(
            self._state, self._subscriptions, self._confirmation, lambda: self._known_controllers.nodes()
        )
        self._driver = ReplicaDriver(settings, self._send_replication, self._committed)
        self._known_controllers = KnownControllers(settings, self._driver.replica)
        self._placement = PrefixPlacement()
        self._contact = QuorumContact(
            self._known_controllers, self._driver.replica, self._links, self._placement.mark_outdated
        )
        self._primary = PrimaryClient(self._driver, self._links)
        self._operator = OperatorApi(self._primary.call)
        self._heartbeats = HeartbeatMonitor(
            self._registry, self._liveness, self._links, self._contact, self._pulls.wake
        )
        self._registry_sync = RegistrySync(self._registry, self._liveness, self._pulls.wake)
        self._instances = InstancesApi(
            self._registry, self._liveness, self._pulls, self._confirmation, self._contact
        )
        self._placements = PlacementRequests(self._registry, self._state.ejection, self._placement)
        replica = self._driver.replica
        self._inspection = Inspection(settings.ip, replica, self._state, self._subscriptions)
        self._hints = RecoveryHints(self._driver.disk, self._registry, self._placement)
        self._stopping = asyncio.Event()
        self._tasks: set[asyncio.Task[None]] = set()
        self._servers: list[asyncio.Server] = []
        self._accepted: WeakSet[Connection | HttpServerConnection] = WeakSet()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    async def run(self) -> None:
        """Serves until SIGTERM."""
        for number in (signal.SIGTERM, signal.SIGINT):
            self._loop.add_signal_handler(number, self._stopping.set)
        watch = settings_watch.Watch(self.settings, self._settings_changed)
        self._loop.add_signal_handler(signal.SIGHUP, watch.read)
        assert self.settings.listen.control is not None
        control = split_address(self.settings.listen.control)
        await self._listen(self._accept_peer, self.settings.ip, self.settings.peer_port)
        await self._listen(self._accept_http, *control)
        log.event("controller_started", control=self.settings.listen.control)
        self._start(self._tick_forever(watch))
        await self._stopping.wait()
        log.event("controller_stopping")
        await self._driver.leave()
        self.close()

    async def _listen(self, accept: Callable[[], asyncio.Protocol], host: str, port: int) -> None:
        self._servers.append(await self._loop.create_server(accept, host, port, backlog=BACKLOG))

    def _accept_peer(self) -> Connection:
        connection = Connection(self._received, self._pulls.disconnected)
        self._accepted.add(connection)
        return connection

    def _accept_http(self) -> HttpServerConnection:
        connection = HttpServerConnection(self._handle, MAX_BODY_BYTES)
        self._accepted.add(connection)
        return connection

    def close(self) -> None:
        """Ends all at once, as a kill would; what was acknowledged is on disk."""
        for server in self._servers:
            server.close()
        self._links.close()
        for connection in list(self._accepted):
            connection.close()
        for task in list(self._tasks):
            task.cancel()
        self._driver.close()

    async def _tick_forever(self, watch: settings_watch.Watch) -> None:
        last_ms = self._now_ms()
        for count in itertools.count():
            await asyncio.sleep(TICK_S)
            now_ms = self._now_ms()
            if now_ms >= last_ms + PAUSE_MS:
                self._process_paused(now_ms)
            last_ms = now_ms
            self._tick(count)
            watch.tick(now_ms)

    def _process_paused(self, now_ms: float) -> None:
        """After a standstill: nobody's silence in that time means anything."""
        log.event("process_paused")
        self._liveness.blinded(now_ms)
        self._placement.mark_outdated()
        self._links.excuse_silence()

    def _tick(self, count: int) -> None:
        self._notice_large_messages()
        self._driver.tick()
        self._links.keep_alive(self._known_controllers.others())
        self._pulls.tick()
        if count % HEARTBEATS_EVERY_TICKS == 0:
            self._heartbeats.share()
            self._contact.update()
            self._heartbeats.evaluate()
        if count % CLEAN_UP_EVERY_TICKS == 0:
            self._registry.prune(self._now_ms())
            self._known_controllers.forget_unreachable(self._links)
        self._hints.write_upstreams()
        if count % self._hints.placements_period_ticks() == 0:
            self._hints.write_placements()
        self._placement.update_load(self._state.prefill_load.tokens_by_engine)

    def _notice_large_messages(self) -> None:
        """Heartbeats wait behind a large state on a slow link: whoever sends that is alive."""
        for connection in self._accepted:
            if isinstance(connection, Connection) and connection.is_receiving:
                self._driver.replica.receiving(connection.node, self._now_ms())

    def _settings_changed(self, settings: Settings) -> None:
        self.settings = settings
        self._known_controllers.update_settings(settings)

    # Other processes

    def _link_connected(self, connection: Connection) -> None:
        connection.send(Hello(self._known_controllers.own_node, Kind.CONTROLLER, self._incarnation))
        self._registry_sync.begin(connection)
        self._driver.replica.reconnected(connection.node)

    def _send_replication(self, node: str, message: ReplicationMessage) -> None:
        self._links.send(node, Replication(message))

    def _received(self, connection: Connection, message: Message) -> None:
        match message:
            case Hello():
                connection.node, connection.life = message.node, message.life
                self._pulls.connected(connection, message.kind)
                if message.kind is Kind.CONTROLLER:
                    self._known_controllers.add(message.node)
            case Pull():
                self._pulls.pull(connection, message)
            case Waiting():
                self._pulls.report_prefill(connection, message.tokens)
            case Delta():
                self._registry_sync.received(connection, message)
            case Replication():
                if connection.node:
                    self._driver.receive(connection.node, message.message)
            case Place():
                connection.send(self._placements.answer(message))
            case Heard():
                self._liveness.heard_elsewhere(message.sequences, self._now_ms())
            case Forward():
                self._start(self._primary.serve(connection, message))
            case Forwarded():
                self._primary.answered(message)

    def _start(self, coroutine: Coroutine[None, None, None]) -> None:
        task = self._loop.create_task(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    # The configuration

    def _committed(self, snapshot: Snapshot) -> None:
        log.event(
            "committed", sequence=snapshot.sequence, epoch=snapshot.epoch.number, members=snapshot.members
        )
        self._pulls.publish(snapshot.sequence, snapshot.value)

    # The control interface

    async def _handle(self, request: Request) -> Response:
        path = request.target.partition("?")[0]
        if path.startswith(PATH_PREFIX) and len(path) > len(PATH_PREFIX):
            if request.method == "PUT":
                return await self._instances.put(request)
            if request.method == "DELETE":
                return await self._instances.delete(request)
            return Response(405)
        if path == "/config":
            if request.method == "GET":
                return await self._operator.get()
            if request.method in ("PUT", "PATCH"):
                return await self._operator.change(request)
            return Response(405)
        if request.method == "GET" and path in ("/status", "/upstreams", "/metrics"):
            return self._inspect(path)
        return Response(404)

    def _inspect(self, path: str) -> Response:
        linked = sorted(self._links.connected_nodes())
        if path == "/status":
            return self._inspection.answer_status(linked)
        if path == "/upstreams":
            return self._inspection.answer_upstreams()
        return self._inspection.answer_metrics(linked)
