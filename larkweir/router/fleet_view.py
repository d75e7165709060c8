"""What a router knows of the fleet: pulled from every controller that it can reach."""

from __future__ import annotations

import asyncio
import secrets

from larkweir_balancing.rendezvous import rendezvous_weight
from larkweir_registry.records import VersionVector
from larkweir_registry.registry import Registry

from larkweir.cluster import log
from larkweir.cluster.links import Connection, Link
from larkweir.cluster.messages import (
    Delta,
    Hello,
    Message,
    NodeRole,
    PlacementRequest,
    PlacementResponse,
    PrefillQueueUpdate,
    Pull,
)
from larkweir.cluster.settings import Settings
from larkweir.router.data_plane import DataPlane
from larkweir.router.router_count import RouterCount

MAX_FAILED_DIALS = 60  # dials in a row, about a minute
INITIAL_SYNC_TIMEOUT_MS = 400.0  # after the first configuration, for another controller to know a newer one


class FleetView:
    """Links to controllers, and what their answers bring into the data plane."""

    def __init__(self, settings: Settings, plane: DataPlane) -> None:
        """Dials nothing yet."""
        self._settings = settings
        self._plane = plane
        self._loop = asyncio.get_running_loop()
        self._incarnation = secrets.token_hex(6)
        self._registry = Registry("")
        self._links: dict[str, Link] = {}
        self._controllers: set[str] = set(settings.seed_nodes)
        self._sent_vectors: dict[str, VersionVector] = {}  # by controller: the vector of the last pull
        self._listed_controllers: set[str] = set()  # controllers, by the last answer
        self._routers: dict[str, int] = {}
        self._router_count = RouterCount()
        self._waiting: dict[str, dict[str, int]] = {}  # by controller: what it said last
        self._ejected: dict[str, list[str]] = {}  # by controller: upstreams that it wants left out
        self._synced: set[str] = set()
        self._configured_ms: float | None = None
        plane.prefix_affinity.send_lookup = self._send_lookup
        plane.announce_backlog = self._announce_waiting

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def tick(self) -> None:
        """To be called several times a second."""
        for node in self._controllers:
            if node not in self._links:
                self._links[node] = Link(
                    node,
                    self._settings.peer_port,
                    self._on_message,
                    self._on_connected,
                    self._on_disconnected,
                )
        for link in self._links.values():
            link.keep_alive()
        self._drop_unlisted()

    def _drop_unlisted(self) -> None:
        """Gives up nodes that no controller names any more and that do not answer."""
        named = self._listed_controllers | set(self._settings.seed_nodes)
        for node in [one for one in self._links if one not in named]:
            link = self._links[node]
            if link.connection is None and link.failures >= MAX_FAILED_DIALS:
                link.close()
                del self._links[node]
                self._controllers.discard(node)

    def close(self) -> None:
        """Ends all links."""
        for link in self._links.values():
            link.close()

    def settings_changed(self, settings: Settings) -> None:
        """New seeds are asked too."""
        self._settings = settings
        self._controllers.update(settings.seed_nodes)

    def excuse_silence(self) -> None:
        """This process stood still."""
        for link in self._links.values():
            if link.connection is not None:
                link.connection.reset_idle_timeout()

    @property
    def is_settled(self) -> bool:
        """Whether a configuration is in force and a majority of controllers had their say, or had the time for it."""
        if self._configured_ms is None:
            return False
        enough = 2 * len(self._synced & self._controllers) > len(self._controllers)
        return enough or self._now_ms() >= self._configured_ms + INITIAL_SYNC_TIMEOUT_MS

    def _send_lookup(self, message: PlacementRequest) -> bool:
        """To the controller that places that head; the same for all routers that reach the same controllers."""
        up = [node for node, link in self._links.items() if link.connection is not None]
        if not up:
            return False
        return self._links[min(up, key=lambda node: rendezvous_weight(message.prefix, node))].send(message)

    def _announce_waiting(self) -> None:
        """Tells every controller what waits at engines, ahead of the next pull."""
        message = PrefillQueueUpdate(self._plane.upstreams.own_prefill_backlog())
        for link in self._links.values():
            link.send(message)

    # Pulls

    def _on_connected(self, connection: Connection) -> None:
        connection.send(Hello(self._settings.ip, NodeRole.ROUTER, self._incarnation))
        self._sent_vectors.pop(connection.node, None)
        self._pull(connection)

    def _on_disconnected(self, node: str) -> None:
        self._routers.pop(node, None)
        self._waiting.pop(node, None)
        if self._ejected.pop(node, None):
            self._apply_ejections()
        log.debug("link_lost", to=node)

    def _pull(self, connection: Connection) -> None:
        now_ms = self._now_ms()
        usage = self._plane.quotas.usage(connection.node, now_ms)
        vector = dict(self._registry.vector)
        unchanged = self._sent_vectors.get(connection.node) == vector
        self._sent_vectors[connection.node] = vector
        pull = Pull(
            config_sequence=self._plane.configuration.sequence,
            vector=None if unchanged else vector,
            usage=usage,
            sent_ms=round(now_ms),
            queued_prefill_tokens=self._plane.upstreams.own_prefill_backlog(),
            outcomes=self._plane.outcomes.failing_upstreams(now_ms),
        )
        connection.send(pull)

    def _on_message(self, connection: Connection, message: Message) -> None:
        if isinstance(message, PlacementResponse):
            self._plane.prefix_affinity.on_placed(message, self._now_ms())
        elif isinstance(message, Delta):
            self._on_delta(connection, message)

    def _on_delta(self, connection: Connection, message: Delta) -> None:
        now_ms = self._now_ms()
        plane = self._plane
        if message.config is not None and plane.configuration.apply(message.config):
            self._configuration_changed()
        changed = self._registry.merge(message.records, message.vector, now_ms)
        if changed:
            plane.upstreams.update(changed, now_ms)
        self._controllers.update(message.controllers)
        if message.controllers:
            self._listed_controllers = set(message.controllers)
        self._routers[connection.node] = message.router_count
        plane.set_router_count(self._router_count.report(max(self._routers.values()), now_ms))
        plane.quotas.receive_statuses(connection.node, message.quotas, now_ms)
        self._waiting[connection.node] = message.queued_prefill_tokens
        plane.upstreams.set_peer_prefill_backlog(self._max_waiting())
        if message.ejected is not None:
            self._ejected[connection.node] = message.ejected
            self._apply_ejections()
        self._synced.add(connection.node)
        self._pull(connection)

    def _apply_ejections(self) -> None:
        self._plane.upstreams.set_ejected({id_ for ids in self._ejected.values() for id_ in ids})

    def _max_waiting(self) -> dict[str, float]:
        """By engine the most that a controller tells: each hears only those routers that reach it."""
        most: dict[str, float] = {}
        for told in self._waiting.values():
            for engine, tokens in told.items():
                most[engine] = max(most.get(engine, 0.0), float(tokens))
        return most

    def _configuration_changed(self) -> None:
        table = self._plane.configuration.table
        assert table is not None
        self._plane.quotas.set_limits(table.quotas)
        if self._configured_ms is None:
            self._configured_ms = self._now_ms()
        log.event("configuration", version=table.version, sequence=self._plane.configuration.sequence)
