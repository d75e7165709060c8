"""Connections that a router dials to controllers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from larkweir_balancing.rendezvous import rendezvous_weight

from larkweir.cluster.links import Connection, Link
from larkweir.cluster.messages import Message, PlacementRequest
from larkweir.cluster.settings import Settings

MAX_FAILED_DIALS = 60  # in a row, about a minute; then a node that no controller lists is dropped


class ControllerLinks:
    """A link to each node that may be a controller: the seeds of the settings, and those that controllers list."""

    def __init__(
        self,
        settings: Settings,
        on_message: Callable[[Connection, Message], None],
        on_connected: Callable[[Connection], None],
        on_disconnected: Callable[[str], None],
    ) -> None:
        """Dial nothing before `keep_alive`.

        Args:
            settings: with the seeds and the controllers' port.
            on_message: called with each message.
            on_connected: called with a new connection; it sends the first messages.
            on_disconnected: called with the node whose connection has ended.
        """
        self._settings = settings
        self._on_message = on_message
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._links: dict[str, Link] = {}
        self._listed: set[str] = set()  # by the last response that lists controllers
        self.nodes: set[str] = set(settings.seed_nodes)

    def update_settings(self, settings: Settings) -> None:
        """Dial new seeds too."""
        self._settings = settings
        self.nodes.update(settings.seed_nodes)

    def update_listed(self, nodes: Iterable[str]) -> None:
        """A controller lists these as all controllers; none: nothing new."""
        listed = set(nodes)
        self.nodes.update(listed)
        if listed:
            self._listed = listed

    def keep_alive(self) -> None:
        """Dial new and lost nodes, ping the others, drop unreachable ones; to be called several times a second."""
        for node in self.nodes:
            if node not in self._links:
                self._links[node] = self._new_link(node)
        for link in self._links.values():
            link.keep_alive()
        self._drop_unreachable()

    def _new_link(self, node: str) -> Link:
        port = self._settings.peer_port
        return Link(node, port, self._on_message, self._on_connected, self._on_disconnected)

    def _drop_unreachable(self) -> None:
        referenced = self._listed | set(self._settings.seed_nodes)
        for node in [node for node in self._links if node not in referenced]:
            link = self._links[node]
            if link.connection is None and link.failures >= MAX_FAILED_DIALS:
                link.close()
                del self._links[node]
                self.nodes.discard(node)

    def reset_idle_timeouts(self) -> None:
        """This process was paused: what it did not read meanwhile does not count as the controllers' time-out."""
        for link in self._links.values():
            if link.connection is not None:
                link.connection.reset_idle_timeout()

    def send_lookup(self, request: PlacementRequest) -> bool:
        """Send a request to the controller that places that prefix; whether any is connected.

        Routers that reach the same controllers agree on it (rendezvous hashing).
        """
        connected = [node for node, link in self._links.items() if link.connection is not None]
        if not connected:
            return False
        node = min(connected, key=lambda node: rendezvous_weight(request.prefix, node))
        return self._links[node].send(request)

    def send(self, node: str, message: Message) -> bool:
        """Send a message to one controller; whether there is a connection to it."""
        link = self._links.get(node)
        return link is not None and link.send(message)

    def broadcast(self, message: Message) -> None:
        """Send a message to every controller that is connected."""
        for link in self._links.values():
            link.send(message)

    def close(self) -> None:
        """End all connections at once."""
        for link in self._links.values():
            link.close()
