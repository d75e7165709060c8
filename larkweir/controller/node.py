"""The composition root of a controller: creates, connects, starts and stops its parts."""

from __future__ import annotations

import asyncio
import contextlib
import secrets
import signal

from larkweir_quotas.limits import Tolerance
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_registry.failure_detector import FailureDetector
from larkweir_registry.registry import Registry
from larkweir_registry.unconfirmed import UnconfirmedUpstreams
from larkweir_replication.messages import Message as ReplicationMessage
from larkweir_replication.messages import Snapshot
from larkweir_rollouts.exposure import ExposureBounds

from larkweir.cluster import log, settings_watcher
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import HeartbeatReport, Hello, Message, NodeRole, Replication
from larkweir.cluster.periodic_tasks import PeriodicTask, TickLoop
from larkweir.cluster.settings import Settings, parse_address
from larkweir.cluster.tasks import wait_unless_failed
from larkweir.controller.background_tasks import BackgroundTasks
from larkweir.controller.clock import now_ms
from larkweir.controller.configuration_history import ConfigurationHistory
from larkweir.controller.control_api import MAX_BODY_BYTES, ControlApi
from larkweir.controller.controller_links import ControllerLinks
from larkweir.controller.delivery_confirmation import DeliveryConfirmation
from larkweir.controller.heartbeat_monitor import HeartbeatMonitor
from larkweir.controller.inspection import Inspection
from larkweir.controller.instances_api import InstancesApi
from larkweir.controller.known_controllers import KnownControllers
from larkweir.controller.listeners import Listeners
from larkweir.controller.message_dispatch import MessageDispatch
from larkweir.controller.operator_api import OperatorApi
from larkweir.controller.placement_requests import PlacementRequests
from larkweir.controller.prefill_load import PrefillLoad
from larkweir.controller.prefix_placement import PrefixPlacement
from larkweir.controller.primary_client import PrimaryClient
from larkweir.controller.pull_service import PublishedState, PullService
from larkweir.controller.quorum_contact import QuorumContact
from larkweir.controller.quota_accounting import QuotaAccounting
from larkweir.controller.quota_shares import QuotaGroup, QuotaShares
from larkweir.controller.recovery_hints import RecoveryHints
from larkweir.controller.registry_sync import RegistrySync
from larkweir.controller.replica_driver import ReplicaDriver
from larkweir.controller.rollout_driver import RolloutDriver, RolloutInputs
from larkweir.controller.rollouts_api import RolloutsApi
from larkweir.controller.subscriptions import Subscriptions
from larkweir.controller.upstream_ejection import UpstreamEjection
from larkweir.controller.upstream_store import UpstreamStore

TICK_S = 0.04
HEARTBEATS_EVERY_TICKS = 8
ROLLOUTS_EVERY_TICKS = 5
CLEAN_UP_EVERY_TICKS = 250


class Controller:
    """One controller process."""

    def __init__(self, settings: Settings) -> None:
        """Creates the parts and opens the data folder; sockets are opened by `run`.

        Raises:
            OSError: the data folder can't be read.
        """
        self.settings = settings
        self._incarnation = secrets.token_hex(6)
        self._stopping = asyncio.Event()
        self._tasks = BackgroundTasks()
        self._listeners = Listeners()
        self._links = ControllerLinks(lambda: self.settings.peer_port, self._received, self._link_connected)
        self._make_published_state()
        self._make_replica()
        self._make_interfaces()
        self._make_rollout_driver()
        self._closers = contextlib.ExitStack()  # callbacks run in reverse order
        self._closers.callback(self._driver.close)
        self._closers.callback(self._tasks.close)
        self._closers.callback(self._listeners.close_connections)
        self._closers.callback(self._links.close)
        self._closers.callback(self._listeners.stop_accepting)

    def _make_published_state(self) -> None:
        """Creates the state that routers and other controllers pull."""
        settings = self.settings
        self._registry = Registry(f"{settings.ip}/{self._incarnation}")
        self._failure_detector = FailureDetector(settings.heartbeat_ms, now_ms())
        unconfirmed = UnconfirmedUpstreams(self._registry, self._failure_detector)
        self._subscriptions = Subscriptions()
        self._make_quotas()
        self._state = PublishedState(
            registry=self._registry,
            configuration=ConfigurationHistory(),
            quotas=self._quotas,
            quota_shares=self._quota_shares,
            prefill_load=PrefillLoad(),
            ejection=UpstreamEjection(self._registry, self._subscriptions),
            unconfirmed=unconfirmed,
        )
        self._confirmation = DeliveryConfirmation(
            self._subscriptions,
            is_on_disk=lambda version: self._store.has(version),
            has_quorum=lambda others, includes_own: self._contact.is_quorum(others, includes_own),
        )
        self._pulls = PullService(
            self._state, self._subscriptions, self._confirmation, lambda: self._known_controllers.nodes()
        )

    def _make_quotas(self) -> None:
        """Creates the parts that grant quotas to routers. They call the replica driver, which is created later."""
        bounds = self.settings.bounds
        allocator = QuotaAllocator(Tolerance(bounds.quota_window_s, bounds.quota_over, bounds.quota_slack))
        self._quotas = QuotaAccounting(allocator)
        group = QuotaGroup(
            self.settings.ip,
            term=lambda present_ms: self._driver.leased_term(present_ms),
            members=lambda: self._driver.members(),
            clients=lambda: self._subscriptions.router_count,
        )
        self._quota_shares = QuotaShares(allocator, group, lambda: self._pulls.wake())

    def _make_replica(self) -> None:
        """Creates the replicated configuration and restores the recovery hints from disk."""
        self._driver = ReplicaDriver(self.settings, self._send_replication, self._committed)
        self._quotas.is_first_start = self._driver.is_first_start
        self._known_controllers = KnownControllers(self.settings, self._driver.replica)
        self._placement = PrefixPlacement()
        self._contact = QuorumContact(
            self._known_controllers, self._driver.replica, self._links, self._placement.mark_outdated
        )
        self._hints = RecoveryHints(self._driver.disk, self._placement)
        self._store = UpstreamStore(self._driver.disk, self._registry, self._upstreams_durable)
        self._pulls.requests_records = not (self._store.has_upstreams or self._driver.is_first_start)

    def _make_interfaces(self) -> None:
        """Creates the parts that serve other processes, operators and upstreams."""
        registry, failure_detector, state = self._registry, self._failure_detector, self._state
        wake = self._pulls.wake
        self._heartbeats = HeartbeatMonitor(
            registry, failure_detector, state.unconfirmed, self._links, self._contact, wake
        )
        self._registry_sync = RegistrySync(
            registry, failure_detector, self._quota_shares, wake, self._store.write
        )
        primary = PrimaryClient(self._driver, self._links)
        self._dispatch = MessageDispatch(
            known_controllers=self._known_controllers,
            pulls=self._pulls,
            registry_sync=self._registry_sync,
            failure_detector=failure_detector,
            driver=self._driver,
            placements=PlacementRequests(registry, state.ejection, self._placement, state.rollouts),
            quotas=self._quotas,
            primary=primary,
            tasks=self._tasks,
            rollouts=state.rollouts,
        )
        self._control_api = ControlApi(
            OperatorApi(primary.call),
            InstancesApi(
                registry, failure_detector, self._pulls, self._confirmation, self._store, self._contact
            ),
            Inspection(self.settings.ip, self._driver.replica, state, self._subscriptions),
            self._links,
            RolloutsApi(primary.call),
        )

    def _make_rollout_driver(self) -> None:
        state, registry = self._state, self._registry
        inputs = RolloutInputs(state.rollouts, state.rollout_samples, registry, self._subscriptions)
        bounds = self.settings.bounds
        self._rollout_driver = RolloutDriver(
            inputs,
            self._driver.call,
            self._driver.is_primary,
            self._contact.is_connected,
            self._tasks,
            ExposureBounds(bounds.expose_share, bounds.expose_slack),
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT.

        Raises:
            OSError: listening on an address failed.
            EssentialTaskError: the replica raised an unexpected exception; its durable state is sound.
        """
        loop = asyncio.get_running_loop()
        for number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(number, self._stopping.set)
        watch = settings_watcher.SettingsWatcher(self.settings, self._settings_changed)
        loop.add_signal_handler(signal.SIGHUP, watch.reload)
        settings = self.settings
        assert settings.listen.control is not None
        host, port = parse_address(settings.listen.control)
        await self._listeners.listen_to_processes(
            settings.ip, settings.peer_port, self._received, self._pulls.disconnected
        )
        await self._listeners.listen_to_http(host, port, self._control_api.handle, MAX_BODY_BYTES)
        log.event("controller_started", control=settings.listen.control)
        periodic = [*self._periodic_tasks(), PeriodicTask("settings", lambda: watch.tick(now_ms()))]
        ticks = TickLoop(periodic, self._process_paused, TICK_S, now_ms)
        try:
            await wait_unless_failed(self._stopping, self._tasks.start("ticks", ticks.run()))
            log.event("controller_stopping")
            await self._driver.leave()
        finally:
            self.close()

    def close(self) -> None:
        """Stops all parts immediately, like a kill. Everything that was acknowledged is already on disk."""
        self._closers.close()

    def _periodic_tasks(self) -> list[PeriodicTask]:
        """Returns the periodic tasks in the order in which a tick runs them."""
        load = self._state.prefill_load.tokens_by_engine
        return [
            PeriodicTask(
                "partial_messages",
                lambda: self._driver.on_partial_messages(self._listeners.receiving_nodes()),
            ),
            PeriodicTask("replica", self._driver.tick, is_essential=True),
            PeriodicTask("links", lambda: self._links.keep_alive(self._known_controllers.others())),
            PeriodicTask("quota_shares", lambda: self._quota_shares.tick(now_ms())),
            PeriodicTask("pulls", self._pulls.tick),
            PeriodicTask("heartbeat_reports", self._heartbeats.share, HEARTBEATS_EVERY_TICKS),
            PeriodicTask("quorum_contact", self._contact.update, HEARTBEATS_EVERY_TICKS),
            PeriodicTask("heartbeats", self._heartbeats.evaluate, HEARTBEATS_EVERY_TICKS),
            PeriodicTask("rollouts", self._rollout_driver.evaluate, ROLLOUTS_EVERY_TICKS),
            PeriodicTask("registry", lambda: self._registry.prune(now_ms()), CLEAN_UP_EVERY_TICKS),
            PeriodicTask(
                "known_controllers",
                lambda: self._known_controllers.forget_unreachable(self._links),
                CLEAN_UP_EVERY_TICKS,
            ),
            PeriodicTask("upstream_store", self._store.write),
            PeriodicTask(
                "placement_hints", self._hints.write_placements, self._hints.placements_period_ticks
            ),
            PeriodicTask("placement_load", lambda: self._placement.update_load(load)),
        ]

    def _process_paused(self) -> None:
        """Discards observations after a pause: heartbeats and messages that were missed during it prove nothing."""
        self._failure_detector.reset_observation(now_ms())
        self._placement.mark_outdated()
        self._state.rollouts.mark_outdated(now_ms())
        self._links.reset_idle_timeouts()

    def _settings_changed(self, settings: Settings) -> None:
        self.settings = settings
        self._known_controllers.update_settings(settings)

    def _received(self, connection: Connection, message: Message) -> None:
        self._dispatch.receive(connection, message)

    def _upstreams_durable(self) -> None:
        """Tells the other controllers, and the calls that wait for it, what is on disk."""
        self._links.broadcast(HeartbeatReport({}, self._store.durable_vector))
        self._confirmation.check()

    def _link_connected(self, connection: Connection) -> None:
        connection.send(Hello(self._known_controllers.own_node, NodeRole.CONTROLLER, self._incarnation))
        # Before the first pull, whose vector would count as durable without it.
        connection.send(HeartbeatReport({}, self._store.durable_vector))
        self._registry_sync.begin(connection)
        self._driver.replica.on_reconnected(connection.node)

    def _send_replication(self, node: str, message: ReplicationMessage) -> None:
        self._links.send(node, Replication(message))

    def _committed(self, snapshot: Snapshot) -> None:
        log.event(
            "committed", sequence=snapshot.sequence, epoch=snapshot.epoch.number, members=snapshot.members
        )
        self._pulls.publish(snapshot.sequence, snapshot.value, len(snapshot.members))
