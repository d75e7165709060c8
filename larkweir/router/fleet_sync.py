"""Synchronisation with the controllers: pulls their updates into the data plane, and reports this router's usage."""

from __future__ import annotations

import asyncio
import secrets
from enum import Flag, auto
from time import perf_counter

from larkweir_quotas.limits import QuotaSnapshot
from larkweir_registry.records import VersionVector
from larkweir_registry.registry import Registry

from larkweir.cluster import log
from larkweir.cluster.configuration.compression import DEFLATE, CompressionError, decompress
from larkweir.cluster.links import Connection
from larkweir.cluster.messages import (
    ConfigUpdate,
    Delta,
    Hello,
    Message,
    NodeRole,
    PlacementResponse,
    PrefillQueueUpdate,
    Pull,
    QuotaResponse,
)
from larkweir.cluster.settings import Settings
from larkweir.router.configuration_sync import ConfigurationSync
from larkweir.router.controller_links import ControllerLinks
from larkweir.router.controller_reports import ControllerReports
from larkweir.router.data_plane import DataPlane
from larkweir.router.router_count import RouterCount

# How long the router waits, after its first configuration, for other controllers, which may have a newer one.
INITIAL_SYNC_TIMEOUT_MS = 400.0


class PullExtras(Flag):
    """The parts of a pull that are sent only on request, or only in the first pull on a connection."""

    NONE = 0
    QUOTA_SNAPSHOT = auto()  # in the first pull on a connection
    RECORDS = auto()  # for a controller that has lost its own records
    ENCODINGS = auto()  # for a controller that has a large configuration to send

    @classmethod
    def wanted_by(cls, delta: Delta) -> PullExtras:
        """Return the extras that the last delta on a connection requests for the next pull."""
        records = cls.RECORDS if delta.wants_records else cls.NONE
        return records | cls.ENCODINGS if delta.wants_encodings else records


class FleetSync:
    """Pulls updates from all controllers.

    Each connected controller always has one outstanding pull of this router. Its response triggers the next pull.
    """

    def __init__(self, settings: Settings, plane: DataPlane) -> None:
        """Create the object without dialing.

        The data plane is updated from the responses. It sends prefix lookups, backlog announcements and quota messages
        through this object.
        """
        self._ip = settings.ip
        self._plane = plane
        self._loop = asyncio.get_running_loop()
        self._incarnation = secrets.token_hex(6)
        self._registry = Registry("")
        self._links = ControllerLinks(settings, self._on_message, self._on_connected, self._on_disconnected)
        self._sent_vectors: dict[str, VersionVector] = {}  # by controller node: the vector of the last pull
        self._reported_revisions: dict[str, int] = {}  # by controller node: the revision of the last pull
        self._configuration_sync = ConfigurationSync(plane.configuration)
        self._reports = ControllerReports()
        self._router_count = RouterCount()
        # Controllers that have sent everything they know since this process started.
        self._responded: set[str] = set()
        self._configured_ms: float | None = None
        self.is_leaving = False  # this router is shutting down
        plane.prefix_affinity.send_lookup = self._links.send_lookup
        plane.announce_backlog = self._announce_backlog
        plane.quotas.send = self._links.send

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def tick(self) -> None:
        """Maintain the connections and the upstream directory. Call this several times a second."""
        self._links.keep_alive()
        self._plane.upstreams.tick(self._now_ms())

    def close(self) -> None:
        """Close all connections immediately."""
        self._links.close()

    def update_settings(self, settings: Settings) -> None:
        """Apply a changed settings file: pull from new seeds too."""
        self._ip = settings.ip
        self._links.update_settings(settings)

    def on_process_paused(self) -> None:
        """Handle a pause of this process: the time paused does not count towards the controllers' time-outs."""
        self._links.reset_idle_timeouts()

    @property
    def is_synced(self) -> bool:
        """Whether a configuration is in force, and a majority of controllers has responded or had time to respond."""
        if self._configured_ms is None:
            return False
        controllers = self._links.nodes
        has_majority = 2 * len(self._responded & controllers) > len(controllers)
        return has_majority or self._now_ms() >= self._configured_ms + INITIAL_SYNC_TIMEOUT_MS

    def _announce_backlog(self) -> None:
        """Report this router's prefill backlog to every controller without waiting for the next pull."""
        self._links.broadcast(PrefillQueueUpdate(self._plane.upstreams.own_prefill_backlog()))

    def _on_connected(self, connection: Connection) -> None:
        connection.send(Hello(self._ip, NodeRole.ROUTER, self._incarnation))
        self._sent_vectors.pop(connection.node, None)
        self._reported_revisions.pop(connection.node, None)
        self._pull(connection, PullExtras.QUOTA_SNAPSHOT)

    def _on_disconnected(self, node: str) -> None:
        self._plane.quotas.on_disconnected(node)
        if self._reports.remove(node):
            self._plane.upstreams.set_ejected(self._reports.ejected())
        log.debug("link_lost", to=node)

    def _pull(self, connection: Connection, extras: PullExtras) -> None:
        plane, now_ms = self._plane, self._now_ms()
        usage = plane.quotas.usage(connection.node)
        vector = dict(self._registry.vector)
        is_unchanged = self._sent_vectors.get(connection.node) == vector
        self._sent_vectors[connection.node] = vector
        rollouts = plane.rollout_samples.changed_since(self._reported_revisions.get(connection.node, 0))
        self._reported_revisions[connection.node] = plane.rollout_samples.revision
        self._configuration_sync.record_pull(connection.node)
        pull = Pull(
            config_sequence=self._configuration_sync.known_sequence,
            unusable_config_sequence=self._configuration_sync.unusable_sequence,
            vector=None if is_unchanged else vector,
            usage=usage,
            sent_ms=round(now_ms),
            queued_prefill_tokens=plane.upstreams.own_prefill_backlog(),
            outcomes=plane.outcomes.failing_upstreams(now_ms),
            records=self._registry.delta({}) if PullExtras.RECORDS in extras else [],
            rollouts=rollouts,
            encodings=[DEFLATE] if PullExtras.ENCODINGS in extras else [],
            is_leaving=self.is_leaving,
            quota_snapshot=self._quota_snapshot() if PullExtras.QUOTA_SNAPSHOT in extras else None,
        )
        connection.send(pull)

    def _quota_snapshot(self) -> QuotaSnapshot | None:
        """Return the router count for a controller that has just started; None if the count is not reliable yet."""
        if not self._router_count.is_reliable(self._now_ms()):
            return None
        return QuotaSnapshot(process_count=self._router_count.routers)

    def _on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, PlacementResponse):
            self._plane.prefix_affinity.on_placed(message, self._now_ms())
        elif isinstance(message, QuotaResponse):
            self._plane.quotas.on_response(connection, message)
        elif isinstance(message, Delta):
            self._on_delta(connection, message)

    def _on_delta(self, connection: Connection, delta: Delta) -> None:
        """Apply the updates in a controller's response, and pull again."""
        plane, node, now_ms = self._plane, connection.node, self._now_ms()
        update = delta.config
        if update is not None:
            self._receive_configuration(node, update, len(bytes(update.body)))
        elif delta.compressed_config is not None:
            try:
                update = decompress(delta.compressed_config)
            except CompressionError:
                connection.close()
                return
            self._receive_configuration(node, update, len(delta.compressed_config.body))
        changed = self._registry.merge(delta.records, delta.vector, now_ms)
        if changed:
            plane.upstreams.update(changed, now_ms)
        self._links.update_listed(delta.controllers)
        self._reports.update(node, delta)
        may_lower = delta.grants_quotas is not False
        routers = self._router_count.report(self._reports.max_router_count(), now_ms, may_lower=may_lower)
        plane.set_router_count(routers, is_reliable=self._router_count.is_reliable(now_ms))
        statuses = None if delta.quotas_unknown else delta.quotas
        plane.quotas.on_delta(node, grants_quotas=delta.grants_quotas, statuses=statuses)
        plane.upstreams.set_peer_prefill_backlog(self._reports.max_queued_tokens())
        if delta.ejected is not None:
            plane.upstreams.set_ejected(self._reports.ejected())
        if not delta.wants_encodings:  # otherwise its configuration, maybe the newest, is still to come
            self._responded.add(node)
        if update is not None and self._configuration_sync.is_unwanted(node, update):
            connection.close()  # asking again at once would bring the same answer: the reconnect delay paces it
            return
        self._pull(connection, PullExtras.wanted_by(delta))

    def _receive_configuration(self, node: str, update: ConfigUpdate, received_bytes: int) -> None:
        """Apply and log an update. `received_bytes` is the size of its body as sent, compressed or not."""
        store, started_s = self._plane.configuration, perf_counter()
        if not self._configuration_sync.apply(update, node):
            log.debug("configuration_ignored", sequence=update.sequence, bytes=received_bytes, sender=node)
            return
        table = store.table
        assert table is not None
        self._plane.quotas.set_limits(table.quotas, store.sequence)
        now_ms = self._now_ms()
        if self._configured_ms is None:
            self._configured_ms = now_ms
        log.event(
            "configuration",
            version=table.version,
            sequence=store.sequence,
            base=update.base_sequence,
            bytes=received_bytes,
            sender=node,
            applied_ms=round(1000.0 * (perf_counter() - started_s), 1),
        )
        for rollout in self._plane.apply_rollouts(now_ms):
            log.event(
                "rollout",
                service=rollout.service,
                target_version=rollout.target_version,
                state=rollout.state,
                target_weight=rollout.target_weight,
            )
