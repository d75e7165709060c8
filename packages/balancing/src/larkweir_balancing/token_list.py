"""The upstreams of one service in one router, and which of them hold a token. Pure logic.

A token says that this router believes the upstream idle. For an ordinary service that is: none of this router's
requests is in flight there. A model engine runs many requests at once and is held up by the prompts it prefills: it
keeps its token while few of this router's requests wait for their first event.

The registry's ids are strings; here each listed upstream has a number, which `Server.id` and sets of excluded upstreams
use. An upstream that is listed again after it was gone gets a new one.
"""

from __future__ import annotations

from collections.abc import Callable, Collection, Iterable, Mapping
from dataclasses import dataclass
from random import Random

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.events import ListUpdate, ServerEntry
from larkweir_balancing.outcomes import ListKind, ServerState
from larkweir_balancing.servers import SampleList, Server, ServerTable, sample

MAX_AWAITING_FIRST_EVENT = 4  # own requests that wait for one, from which an engine is not believed idle
MAX_SAMPLES = 8  # random samples before all are looked at


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream as the registry lists it."""

    is_ready: bool
    is_unresponsive: bool = False  # its heartbeats have stopped


class TokenList:
    """PULL's token list (Stolyar) of one service. Times are milliseconds that only rise."""

    def __init__(self, rng: Random, *, is_engine: bool, has_idle_connection: Callable[[str], bool]) -> None:
        """`is_engine`: the upstreams are model engines. `has_idle_connection`: whether one to an id is open."""
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
        """Take the whole list: what it lacks is gone. Returns the numbers of those gone.

        An upstream that drains or is gone is not sampled from now on. `has_tracks`: one that is ready again, as it has
        moved here from another track of a roll-out, earns its token like a new one.
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
        """The number of a listed upstream."""
        return self._numbers.get(id_)

    def numbers(self, ids: Iterable[str]) -> set[int]:
        """Those of the listed ones among these."""
        return {self._numbers[id_] for id_ in ids if id_ in self._numbers}

    def name(self, server: Server) -> str:
        """The registry's id."""
        return self._ids[server.id]

    def name_of(self, number: int) -> str:
        """The registry's id."""
        return self._ids[number]

    def server(self, id_: str) -> Server | None:
        """What is known of that upstream; None where it is not listed."""
        number = self._numbers.get(id_)
        return None if number is None else self._servers.servers.get(number)

    def ready_servers(self) -> list[Server]:
        """All that take requests, in the order of the list."""
        return [server for server in self._servers.servers.values() if server.ready]

    @property
    def ready_count(self) -> int:
        """Upstreams that are ready, with those that are unresponsive."""
        return self._servers.ready_count

    # Ejection

    def set_ejected(self, ids: Collection[str]) -> None:
        """The upstreams that the fleet ejects; ids of other services are ignored."""
        self._ejected = frozenset(ids) if OPTIONS.fleet_ejection else frozenset()

    @property
    def ejected(self) -> set[int]:
        """Listed upstreams that are ejected."""
        return self.numbers(self._ejected)

    def is_available(self, id_: str) -> bool:
        """Whether that upstream is ready, responsive and not ejected."""
        server = self.server(id_)
        if server is None or id_ in self._ejected:
            return False
        return server.ready and server.id not in self.unresponsive

    # Tokens

    def return_tokens(self, now_ms: float) -> None:
        """Give back the tokens whose backoff is over."""
        self._servers.return_tokens(now_ms)

    def withhold_token(self, server: Server, until_ms: float) -> None:
        """Keep the token back until then."""
        self._servers.withhold_token(server, until_ms)

    def add_in_flight(self, server: Server, count: int, now_ms: float) -> None:
        """So many more of this router's requests, or fewer, count there; with none a token is earned."""
        server.other_in_flight = max(0, server.other_in_flight + count)
        if self._is_engine and OPTIONS.tokens_by_first_event:
            server.in_flight = max(0, server.other_in_flight - (MAX_AWAITING_FIRST_EVENT - 1))
        else:
            server.in_flight = server.other_in_flight
        self._servers.earn_token(server, now_ms)

    # Sampling: uniform, without the excluded ones

    def sample_holder(self, excluded: Collection[int]) -> Server | None:
        """A token holder."""
        return self._sample(self._servers.by_in_flight[0], excluded)

    def sample_connected_holder(self, excluded: Collection[int]) -> Server | None:
        """A token holder with an idle connection, as far as a few samples find one."""
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
        """A ready one; those whose token is withheld only where there is no other."""
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
