"""The connections that a router opens to controllers."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from larkweir_balancing.rendezvous import rendezvous_weight

from larkweir.cluster.links import Connection, Link
from larkweir.cluster.messages import Message, PlacementRequest
from larkweir.cluster.settings import Settings

# Consecutive failed dials (in less than a minute) after which a node is dropped, unless it is a seed or is listed by a
# controller.
MAX_FAILED_DIALS = 60


class ControllerLinks:
    """Owns a link to each node that may be a controller: the seeds, and the nodes that controllers list."""

    def __init__(
        self,
        settings: Settings,
        on_message: Callable[[Connection, Message], None],
        on_connected: Callable[[Connection], None],
        on_disconnected: Callable[[str], None],
    ) -> None:
        """Create the object without dialing. `keep_alive` dials.

        Args:
            settings: the settings, with the seeds and the controllers' port.
            on_message: called with each message received.
            on_connected: called with each new connection, to send the first messages on it.
            on_disconnected: called with the node whose connection has ended.
        """
        self._settings = settings
        self._on_message = on_message
        self._on_connected = on_connected
        self._on_disconnected = on_disconnected
        self._links: dict[str, Link] = {}
        self._listed: set[str] = set()  # from the last response that listed controllers
        self.nodes: set[str] = set(settings.seed_nodes)

    def update_settings(self, settings: Settings) -> None:
        """Apply new settings: new seeds are dialed too."""
        self._settings = settings
        self.nodes.update(settings.seed_nodes)

    def update_listed(self, nodes: Iterable[str]) -> None:
        """Handle a controller's list of all controllers. An empty list means that it has not changed."""
        listed = set(nodes)
        self.nodes.update(listed)
        if listed:
            self._listed = listed

    def keep_alive(self) -> None:
        """Dial disconnected nodes, ping connected ones and drop unreachable ones. Call this several times a second."""
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
        """Restart the idle time-outs of all connections.

        Call this after the process was paused: it could not read what the controllers sent meanwhile.
        """
        for link in self._links.values():
            if link.connection is not None:
                link.connection.reset_idle_timeout()

    def send_lookup(self, request: PlacementRequest) -> bool:
        """Send a request to the controller that is responsible for its prefix. Returns False if none is connected.

        The controller is selected by rendezvous hashing, so routers that are connected to the same controllers agree on
        it.
        """
        connected = [node for node, link in self._links.items() if link.connection is not None]
        if not connected:
            return False
        node = min(connected, key=lambda node: rendezvous_weight(request.prefix, node))
        return self._links[node].send(request)

    def send(self, node: str, message: Message) -> bool:
        """Send a message to one controller. Returns whether there is a connection to it."""
        link = self._links.get(node)
        return link is not None and link.send(message)

    def broadcast(self, message: Message) -> None:
        """Send a message to every connected controller."""
        for link in self._links.values():
            link.send(message)

    def close(self) -> None:
        """Close all connections immediately."""
        for link in self._links.values():
            link.close()
