"""Outgoing connections from this controller to the other controllers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from larkweir.cluster import log
from larkweir.cluster.links import Connection, Link
from larkweir.cluster.messages import Message

FORGET_AFTER_FAILURES = 60  # consecutive failed connection attempts, about one minute


class ControllerLinks:
    """Keeps a link to each node that may be a controller until the node is dropped."""

    def __init__(
        self,
        port: Callable[[], int],
        on_message: Callable[[Connection, Message], None],
        on_connected: Callable[[Connection], None],
    ) -> None:
        """`port` returns the port of all controllers according to the current settings.

        `on_connected` sends the first messages on a new connection.
        """
        self._port = port
        self._on_message = on_message
        self._on_connected = on_connected
        self._links: dict[str, Link] = {}

    def keep_alive(self, nodes: Iterable[str]) -> None:
        """Connects to nodes that have no link yet and reconnects lost links. Must be called several times a second."""
        for node in nodes:
            if node not in self._links:
                self._links[node] = self._new_link(node)
        for link in self._links.values():
            link.keep_alive()

    def _new_link(self, node: str) -> Link:
        return Link(node, self._port(), self._on_message, self._on_connected, _log_lost)

    def is_connected(self, node: str) -> bool:
        """Whether this controller is connected to the node."""
        link = self._links.get(node)
        return link is not None and link.connection is not None

    def send(self, node: str, message: Message) -> None:
        """Sends a message to a node. The message is lost if the node is not connected."""
        link = self._links.get(node)
        if link is not None:
            link.send(message)

    def broadcast(self, message: Message) -> None:
        """Sends a message to every connected controller."""
        for link in self._links.values():
            link.send(message)

    def connected_nodes(self) -> set[str]:
        """Returns the connected controllers."""
        return {node for node, link in self._links.items() if link.connection is not None}

    def reset_idle_timeouts(self) -> None:
        """Restarts the idle time-out of each connection after a pause of this process, during which it read nothing."""
        for link in self._links.values():
            if link.connection is not None:
                link.connection.reset_idle_timeout()

    def drop_unreachable(self, referenced: Collection[str]) -> list[str]:
        """Drops and returns nodes that are not `referenced` and whose last `FORGET_AFTER_FAILURES` dials failed."""
        dropped = [
            node
            for node, link in self._links.items()
            if node not in referenced and link.connection is None and link.failures >= FORGET_AFTER_FAILURES
        ]
        for node in dropped:
            self._links.pop(node).close()
        return dropped

    def close(self) -> None:
        """Closes all connections immediately."""
        for link in self._links.values():
            link.close()


def _log_lost(node: str) -> None:
    log.debug("link_lost", to=node)
