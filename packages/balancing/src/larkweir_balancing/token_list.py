"""The upstreams of one service in one router, and the tokens they hold. Pure logic.

An upstream holds a token while this router believes it idle. An upstream of an ordinary service is believed idle while
none of this router's requests is in flight there. A model engine runs many requests at once, and its bottleneck is
prefilling prompts: it keeps its token while few of this router's requests wait there for their first event.

The ids of the registry are strings. This module gives each listed upstream a number, which `Server.id` and sets of
excluded upstreams use. An upstream that is listed again after it was gone gets a new number.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from random import Random

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.events import ListUpdate, ServerEntry
from larkweir_balancing.outcomes import ListKind, ServerState
from larkweir_balancing.servers import SampleList, Server, ServerTable, sample

MAX_AWAITING_FIRST_EVENT = 4  # own requests awaiting their first event, from which an engine has no token
MAX_SAMPLES = 8  # random samples before all upstreams are scanned


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream as the registry lists it."""

    is_ready: bool
    is_unresponsive: bool = False  # its heartbeats have stopped


class TokenList:
    """The token list of PULL (Stolyar) for one service. Times are monotonic, in milliseconds."""

    def __init__(self, rng: Random, *, is_engine: bool, has_idle_connection: Callable[[str], bool]) -> None:
        """`is_engine`: the upstreams are model engines. `has_idle_connection`: whether an id has an idle connection."""
        self._rng = rng
        self._is_engine = is_engine
        self._has_idle_connection = has_idle_connection
        self._servers = ServerTable(zones=1)
        self._numbers: dict[str, int] = {}
        self._ids: dict[int, str] = {}
        self._next_number = 0
        self._ejected: frozenset[str] = frozenset()
        self.unresponsive: set[int] = set()

    def update(
        self, listed: Mapping[str, UpstreamStatus], now_ms: float, *, has_tracks: bool = False
    ) -> list[int]:
        """Replace the list, and return the numbers of the upstreams that are no longer listed.

        An upstream that is draining or gone is not sampled from now on. `has_tracks`: an upstream that is ready again,
        because it has moved here from another track of a roll-out, earns a token like a new one.
        """
        entries = []
        self.unresponsive = set()
        for id_, upstream in listed.items():
            number = self._assign_number(id_)
            state = ServerState.READY if upstream.is_ready else ServerState.DRAINING
            entries.append(ServerEntry(number, state))
            if upstream.is_unresponsive:
                self.unresponsive.add(number)
        known = set(self._servers.servers)
        were_ready = {server.id for server in self.ready_servers()}
        fresh, gone = self._servers.update(ListUpdate(ListKind.FULL, entries=entries))
        for server in gone:
            self._numbers.pop(self._ids.pop(server.id), None)
        ready_again = [one for one in self.ready_servers() if one.id in known and one.id not in were_ready]
        for server in (*fresh, *ready_again) if has_tracks else fresh:
            self._servers.earn_token(server, now_ms)
        return [server.id for server in gone]

    def _assign_number(self, id_: str) -> int:
        number = self._numbers.get(id_)
        if number is None:
            self._next_number += 1
            number = self._numbers[id_] = self._next_number
            self._ids[number] = id_
        return number

    # Upstreams by id

    def number(self, id_: str) -> int | None:
        """The number of an upstream; None if it is not listed."""
        return self._numbers.get(id_)

    def numbers(self, ids: Iterable[str]) -> set[int]:
        """The numbers of those upstreams that are listed."""
        return {self._numbers[id_] for id_ in ids if id_ in self._numbers}

    def name(self, server: Server) -> str:
        """The registry's id of an upstream."""
        return self._ids[server.id]

    def name_of(self, number: int) -> str:
        """The registry's id of the upstream with that number."""
        return self._ids[number]

    def server(self, id_: str) -> Server | None:
        """The state of an upstream; None if it is not listed."""
        number = self._numbers.get(id_)
        return None if number is None else self._servers.servers.get(number)

    def ready_servers(self) -> list[Server]:
        """All ready upstreams, in the order of the list."""
        return [server for server in self._servers.servers.values() if server.ready]

    @property
    def ready_count(self) -> int:
        """The number of ready upstreams, including unresponsive ones."""
        return self._servers.ready_count

    # Ejection

    def set_ejected(self, ids: Collection[str]) -> None:
        """Set the upstreams that the fleet has ejected; ids of other services are ignored."""
        self._ejected = frozenset(ids) if OPTIONS.fleet_ejection else frozenset()

    @property
    def ejected(self) -> set[int]:
        """The numbers of the listed upstreams that are ejected."""
        return self.numbers(self._ejected)

    def is_available(self, id_: str) -> bool:
        """Whether the upstream is ready, responsive and not ejected."""
        server = self.server(id_)
        if server is None or id_ in self._ejected:
            return False
        return server.ready and server.id not in self.unresponsive

    # Tokens

    def return_tokens(self, now_ms: float) -> None:
        """Return the tokens whose backoff has ended."""
        self._servers.return_tokens(now_ms)

    def withhold_token(self, server: Server, until_ms: float) -> None:
        """Withhold the token of an upstream until `until_ms`."""
        self._servers.withhold_token(server, until_ms)

    def add_in_flight(self, server: Server, count: int, now_ms: float) -> None:
        """Add `count` (negative to remove) to this router's requests in flight, and update the token."""
        server.other_in_flight = max(0, server.other_in_flight + count)
        if self._is_engine and OPTIONS.tokens_by_first_event:
            server.in_flight = max(0, server.other_in_flight - (MAX_AWAITING_FIRST_EVENT - 1))
        else:
            server.in_flight = server.other_in_flight
        self._servers.earn_token(server, now_ms)

    # Sampling: uniform among upstreams that are not excluded

    def sample_holder(self, excluded: Collection[int]) -> Server | None:
        """Sample a token holder."""
        return self._sample(self._servers.by_in_flight[0], excluded)

    def sample_connected_holder(self, excluded: Collection[int]) -> Server | None:
        """Sample a token holder with an idle connection; None if a few samples find none."""
        if not OPTIONS.prefer_open_connections:
            return None
        for _ in range(MAX_SAMPLES):
            server = sample(self._servers.by_in_flight[0], self._rng)
            if server is None:
                return None
            if server.id not in excluded and self._has_idle_connection(self._ids[server.id]):
                return server
        return None

    def sample_ready(self, excluded: Collection[int], now_ms: float) -> Server | None:
        """Sample a ready upstream; one whose token is withheld only if a few samples find no other."""
        for _ in range(MAX_SAMPLES):
            server = sample(self._servers.ready, self._rng)
            if server is None:
                return None
            if server.id not in excluded and server.withheld_until_ms <= now_ms:
                return server
        return self._sample(self._servers.ready, excluded)

    def _sample(self, lists: list[SampleList], excluded: Collection[int]) -> Server | None:
        for _ in range(MAX_SAMPLES):
            server = sample(lists, self._rng)
            if server is None:
                return None
            if server.id not in excluded:
                return server
        left = [server for part in lists for server in part.items if server.id not in excluded]
        return self._rng.choice(left) if left else None
