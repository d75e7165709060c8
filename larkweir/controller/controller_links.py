"""Connections that this controller dials to the other controllers."""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable

from larkweir.cluster import log
from larkweir.cluster.links import Connection, Link
from larkweir.cluster.messages import Message

FORGET_AFTER_FAILURES = 60  # dials in a row, about a minute


class ControllerLinks:
    """A link to each node that may be a controller, kept alive until it is forgotten."""

    def __init__(
        self,
        port: Callable[[], int],
        on_message: Callable[[Connection, Message], None],
        on_connected: Callable[[Connection], None],
    ) -> None:
        """`port`: of all controllers, by the settings in force.

        `on_connected` sends the first messages of a connection.
        """
        self._port = port
        self._on_message = on_message
        self._on_connected = on_connected
        self._links: dict[str, Link] = {}

    def keep_alive(self, nodes: Iterable[str]) -> None:
        """Dials nodes that have no link yet, and redials lost ones; to be called several times a second."""
        for node in nodes:
            if node not in self._links:
                self._links[node] = self._new_link(node)
        for link in self._links.values():
            link.keep_alive()

    def _new_link(self, node: str) -> Link:
        return Link(node, self._port(), self._on_message, self._on_connected, _log_lost)

    def is_connected(self, node: str) -> bool:
        """Whether there is a connection to that node."""
        link = self._links.get(node)
        return link is not None and link.connection is not None

    def send(self, node: str, message: Message) -> None:
        """Sends it where there is a connection to that node; it is lost otherwise."""
        link = self._links.get(node)
        if link is not None:
            link.send(message)

    def broadcast(self, message: Message) -> None:
        """Sends it to every controller that is connected."""
        for link in self._links.values():
            link.send(message)

    def connected_nodes(self) -> set[str]:
        """The controllers to which there is a connection."""
        return {node for node, link in self._links.items() if link.connection is not None}

    def reset_idle_timeouts(self) -> None:
        """This process was paused: what it did not read meanwhile is not the other side's silence."""
        for link in self._links.values():
            if link.connection is not None:
                link.connection.reset_idle_timeout()

    def drop_unreachable(self, referenced: Collection[str]) -> list[str]:
        """Forgets nodes that are not `referenced` and that no dial has reached for long; returns their names."""
        dropped = [
            node
            for node, link in self._links.items()
            if node not in referenced and link.connection is None and link.failures >= FORGET_AFTER_FAILURES
        ]
        for node in dropped:
            self._links.pop(node).close()
        return dropped

    def close(self) -> None:
        """Ends all connections at once."""
        for link in self._links.values():
            link.close()


def _log_lost(node: str) -> None:
    log.debug("link_lost", to=node)
