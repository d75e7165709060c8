"""The processes that pull from this controller, one subscriber for each connection, and what each has seen."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import dataclass, field

from larkweir.cluster.links import Connection
from larkweir.cluster.messages import NodeRole, Pull


@dataclass(slots=True, eq=False)
class Subscriber:
    """One process on one connection, by its last pull and what it was sent."""

    connection: Connection
    role: NodeRole
    pending_pull: Pull | None = None  # until it is answered
    pulled_ms: float = 0.0
    vector: dict[str, int] = field(default_factory=dict)  # the registry's counters that it had seen
    config_sequence: int = -1  # of the configuration that it had in force
    queued_prefill_tokens: dict[str, int] = field(default_factory=dict)  # by engine
    outcome_counts: Mapping[str, tuple[int, int]] = field(default_factory=dict)  # by upstream
    records_requested: bool = False
    encodings_requested: bool = False
    encodings: frozenset[str] | None = None  # of large configurations; None until it has named them
    sent_ejected: frozenset[str] = frozenset()
    sent_controllers: list[str] = field(default_factory=list)
    sent_granting: bool | None = None  # whether this controller holds a share of the quotas

    @property
    def is_router(self) -> bool:
        """Whether it is a router; the others are controllers."""
        return self.role is NodeRole.ROUTER


class Subscriptions:
    """All subscribers. A connection subscribes with its hello and until it is lost."""

    def __init__(self) -> None:
        """No process is connected."""
        self._by_connection: dict[Connection, Subscriber] = {}
        self._newest: dict[tuple[str, str], Connection] = {}  # by node and incarnation

    def __iter__(self) -> Iterator[Subscriber]:
        """In the order in which they subscribed; a subscriber may be removed during the iteration."""
        return iter(list(self._by_connection.values()))

    def add(self, connection: Connection, role: NodeRole) -> None:
        """A process has introduced itself."""
        self._by_connection[connection] = Subscriber(connection, role)
        self._newest[connection.node, connection.incarnation] = connection

    def remove(self, connection: Connection) -> Subscriber | None:
        """Its connection was lost; None where it had not introduced itself."""
        if self.is_newest(connection):
            del self._newest[connection.node, connection.incarnation]
        return self._by_connection.pop(connection, None)

    def is_newest(self, connection: Connection) -> bool:
        """Whether its process has not connected again since; the end of an older connection may be noticed late."""
        return self._newest.get((connection.node, connection.incarnation)) is connection

    def get(self, connection: Connection) -> Subscriber | None:
        """The subscriber on this connection; None where it has not introduced itself."""
        return self._by_connection.get(connection)

    @property
    def router_count(self) -> int:
        """Routers that are connected."""
        return sum(1 for one in self._by_connection.values() if one.is_router)

    @property
    def nodes(self) -> set[str]:
        """Routers and controllers that are connected."""
        return {one.connection.node for one in self._by_connection.values()}

    def router_sequences(self) -> dict[str, int]:
        """By router, the sequence number of the configuration that it had in force at its last pull."""
        return {
            one.connection.node: one.config_sequence for one in self._by_connection.values() if one.is_router
        }

    def controllers_that_have(self, origin: str, counter: int) -> set[str]:
        """The controllers that have seen that origin's records up to this counter."""
        return {
            one.connection.node
            for one in self._by_connection.values()
            if one.role is NodeRole.CONTROLLER and one.vector.get(origin, 0) >= counter
        }

    def lowest_counter(self, origin: str) -> int:
        """Up to which counter all subscribers have seen that origin's records; 0 where there is no subscriber."""
        return min((one.vector.get(origin, 0) for one in self._by_connection.values()), default=0)
