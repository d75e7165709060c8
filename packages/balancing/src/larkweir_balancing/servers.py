"""The servers that this balancer knows, and the lists that they are sampled from. Pure logic."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass, field
from heapq import heappop, heappush
from random import Random

from larkweir_balancing.events import ListUpdate
from larkweir_balancing.outcomes import ListKind, ServerState
from larkweir_balancing.restored_trust import RestoredTrust, may_become_trusted
from larkweir_balancing.settings import RequestClass


@dataclass(slots=True, eq=False, repr=False)
class Server:
    """What this balancer knows of one server."""

    id: int
    zone: int
    kind: int
    started_ms: float
    cell: int = 0
    ready: bool = False  # False: it is draining or gone
    restored_trust: RestoredTrust | None = None  # None: it is listed by discovery
    in_flight: int = 0  # own requests, including those of other balancers in this process
    other_in_flight: int = 0  # only those of other balancers in this process
    last_success_ms: float = -1.0  # when it last served a request
    list_level: int = -1  # index into `by_in_flight`; -1: in no list, its token is spent or withheld
    withheld_until_ms: float = 0.0  # its token is withheld until then, because it seemed busy or unhealthy
    consecutive_failures: int = 0
    # An attempt there timed out, lost its connection or could not connect, and none has succeeded since.
    unresponsive: bool = False
    ejections: int = 0  # since its last success
    # By class: consecutive failures, and until when the server is avoided for that class.
    ejected_for_class: dict[int, tuple[int, float]] = field(default_factory=dict)
    # Running mean of its response times, relative to the usual time for their class and size.
    slowness: float | None = None
    has_connection: bool = False  # whether this balancer believes that it has a connection to the server
    connection_used_ms: float = 0.0  # when that connection was last used


@dataclass(slots=True, eq=False, repr=False)
class SampleList:
    """Servers to sample from: an array and an index into it, so adding, removing and sampling are O(1)."""

    items: list[Server] = field(default_factory=list)
    positions: dict[int, int] = field(default_factory=dict)

    def add(self, server: Server) -> None:
        """Add a server; no effect if it is already in the list."""
        if server.id not in self.positions:
            self.positions[server.id] = len(self.items)
            self.items.append(server)

    def discard(self, server: Server) -> None:
        """Remove a server; no effect if it is not in the list."""
        at = self.positions.pop(server.id, None)
        if at is None:
            return
        last = self.items.pop()
        if last is not server:
            self.items[at] = last
            self.positions[last.id] = at


def sample(lists: Iterable[SampleList], rng: Random) -> Server | None:
    """Return a uniform sample from the union of the lists, or None if they are empty."""
    total = 0
    for part in lists:
        total += len(part.items)
    at = int(rng.random() * total) if total else 0
    for part in lists:
        if at < len(part.items):
            return part.items[at]
        at -= len(part.items)
    return None


class ServerTable:
    """The servers that discovery lists, with the ready ones and the token holders of each zone."""

    MAX_IN_FLIGHT_LEVEL = 64  # servers with this many own requests in flight, or more, share one list

    def __init__(self, zones: int) -> None:
        self.servers: dict[int, Server] = {}
        self.ready = [SampleList() for _ in range(zones)]
        # By own requests in flight, then by zone. Entry 0 is the token list, the others list servers without a token.
        self.by_in_flight = [[SampleList() for _ in range(zones)]]
        self.in_flight = 0  # own requests in flight, at all servers
        self.ready_count = self.restored_count = 0
        self.ejected: set[Server] = set()  # ejected servers; their tokens are withheld
        self._withheld: list[tuple[float, int, Server]] = []  # heap of tokens to return
        self._serial = 0

    def update(self, update: ListUpdate) -> tuple[list[Server], list[Server]]:
        """Apply an update from discovery; returns the servers whose process is new, and those that are gone."""
        fresh: list[Server] = []
        gone: list[Server] = []
        if update.kind in (ListKind.FULL, ListKind.CACHED):
            listed = {entry.server for entry in update.entries}
            gone = [self._remove(s) for s in list(self.servers.values()) if s.id not in listed]
        for entry in update.entries:
            server = self.servers.get(entry.server)
            is_gone = entry.state is ServerState.GONE
            # Guards against attributing the statistics of a process to its successor after a restart.
            if server and (is_gone or server.started_ms != entry.started_ms or server.zone != entry.zone):
                gone.append(self._remove(server))
                server = None
            if is_gone:
                continue
            if server is None:
                server = Server(entry.server, entry.zone, entry.kind, entry.started_ms)
                self.servers[server.id] = server
                fresh.append(server)
                while server.zone >= len(self.ready):  # a zone that the settings did not name
                    for lists in (self.ready, *self.by_in_flight):
                        lists.append(SampleList())
            server.ready = entry.state is ServerState.READY
            server.restored_trust = entry.restored_trust
            server.cell = entry.cell
            if server.ready:
                self.ready[server.zone].add(server)
            else:  # draining: it must not be sampled from now on
                self.ready[server.zone].discard(server)
                self.spend_token(server)
        self.ready_count = sum(len(part.items) for part in self.ready)
        if update.kind in (ListKind.CACHED, ListKind.PROOF) or self.restored_count:
            self.restored_count = sum(server.restored_trust is not None for server in self.servers.values())
        return fresh, gone

    def may_admit_restored(self, cls: RequestClass) -> bool:
        """Whether a server may serve this class now or soon, where some servers are only restored from disk."""
        found = (server.restored_trust for server in self.servers.values() if server.ready)
        return any(trust is None or may_become_trusted(cls, trust) for trust in found)

    def _remove(self, server: Server) -> Server:
        server.ready = False
        self.ejected.discard(server)
        self.ready[server.zone].discard(server)
        self.spend_token(server)
        return self.servers.pop(server.id)

    def earn_token(self, server: Server, now_ms: float) -> None:
        """Put the server on the list for its number of own requests in flight, unless its token is withheld.

        Without any in flight, it holds a token.
        """
        self.spend_token(server)
        if server.withheld_until_ms <= now_ms and server.ready:
            server.list_level = min(server.in_flight, self.MAX_IN_FLIGHT_LEVEL)
            while server.list_level >= len(self.by_in_flight):
                self.by_in_flight.append([SampleList() for _ in self.ready])
            self.by_in_flight[server.list_level][server.zone].add(server)

    def spend_token(self, server: Server) -> None:
        """Remove the server from the list that it is in."""
        if server.list_level >= 0:
            self.by_in_flight[server.list_level][server.zone].discard(server)
            server.list_level = -1

    def withhold_token(self, server: Server, until_ms: float) -> None:
        """Withhold the token until `until_ms`; `return_tokens` then returns it."""
        self.spend_token(server)
        if until_ms > server.withheld_until_ms:
            server.withheld_until_ms = until_ms
            self._serial += 1
            heappush(self._withheld, (until_ms, self._serial, server))

    def return_tokens(self, now_ms: float) -> None:
        """Put servers whose token was withheld until `now_ms` or earlier back on the lists."""
        while self._withheld and self._withheld[0][0] <= now_ms:
            server = heappop(self._withheld)[2]
            if server.withheld_until_ms <= now_ms:
                self.ejected.discard(server)
            self.earn_token(server, now_ms)
