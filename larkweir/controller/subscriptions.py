"""The processes that pull from this controller, one subscriber for each connection, and the state each has seen."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from larkweir_registry.records import Version

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import NodeRole, Pull


@dataclass(slots=True, eq=False)
class Subscriber:
    """One process on one connection: the state in its last pull, and what it has been sent."""

    connection: Connection
    role: NodeRole
    pending_pull: Pull | None = None  # the pull that is not answered yet
    pulled_ms: float = 0.0
    vector: dict[str, int] = field(default_factory=dict)  # the registry's counters that it has seen
    # Those of the records on its disk; None for routers, and for controllers of releases that do not report it.
    durable_vector: dict[str, int] | None = None
    config_sequence: int = -1  # of the configuration in force at the process
    queued_prefill_tokens: dict[str, int] = field(default_factory=dict)  # by engine
    outcome_counts: Mapping[str, tuple[int, int]] = field(default_factory=dict)  # by upstream
    records_requested: bool = False
    encodings_requested: bool = False
    encodings: frozenset[str] | None = None  # for large configurations; None until the process has named them
    sent_ejected: frozenset[str] = frozenset()
    sent_controllers: list[str] = field(default_factory=list)
    sent_granting: bool | None = None  # whether this controller held a quota share, as last sent

    @property
    def reported_durable_vector(self) -> dict[str, int]:
        """The counters that count as durable at a controller."""
        return self.vector if self.durable_vector is None else self.durable_vector

    @property
    def is_router(self) -> bool:
        """Whether the process is a router; otherwise it is a controller."""
        return self.role is NodeRole.ROUTER


class Subscriptions:
    """All subscribers. A process is subscribed from the hello on its connection until the connection is lost."""

    def __init__(self) -> None:
        """Starts without subscribers."""
        self._by_connection: dict[Connection, Subscriber] = {}
        self._newest: dict[tuple[str, str], Connection] = {}  # by node and incarnation

    def __iter__(self) -> Iterator[Subscriber]:
        """Iterates in the order of subscription. Subscribers may be removed during the iteration."""
        return iter(list(self._by_connection.values()))

    def add(self, connection: Connection, role: NodeRole) -> None:
        """Adds a subscriber for a process that has sent its hello."""
        self._by_connection[connection] = Subscriber(connection, role)
        self._newest[connection.node, connection.incarnation] = connection

    def remove(self, connection: Connection) -> Subscriber | None:
        """Removes and returns the subscriber on a lost connection; returns None if it had sent no hello."""
        if self.is_newest(connection):
            del self._newest[connection.node, connection.incarnation]
        return self._by_connection.pop(connection, None)

    def is_newest(self, connection: Connection) -> bool:
        """Returns whether its process has no newer connection. The end of an older connection may be noticed late."""
        return self._newest.get((connection.node, connection.incarnation)) is connection

    def get(self, connection: Connection) -> Subscriber | None:
        """Returns the subscriber on a connection; None if it has sent no hello."""
        return self._by_connection.get(connection)

    @property
    def router_count(self) -> int:
        """The number of subscribers that are routers."""
        return sum(1 for subscriber in self._by_connection.values() if subscriber.is_router)

    @property
    def nodes(self) -> set[str]:
        """The nodes of all connected routers and controllers."""
        return {subscriber.connection.node for subscriber in self._by_connection.values()}

    def router_sequences(self) -> dict[str, int]:
        """Returns, by router, the sequence number of the configuration in force there at its last pull."""
        return {
            subscriber.connection.node: subscriber.config_sequence
            for subscriber in self._by_connection.values()
            if subscriber.is_router
        }

    def controllers_with_durable(self, version: Version) -> set[str]:
        """Returns the controllers that have a version of a record on disk.

        Those of releases that do not report it count if they have the version in memory.
        """
        return {
            subscriber.connection.node
            for subscriber in self._by_connection.values()
            if not subscriber.is_router and version.is_seen_by(subscriber.reported_durable_vector)
        }

    def lowest_counter(self, origin: str) -> int:
        """Returns the counter up to which all subscribers have seen the origin's records; 0 without subscribers."""
        return min(
            (subscriber.vector.get(origin, 0) for subscriber in self._by_connection.values()), default=0
        )
