"""Rules: to which upstream of a service a router of the fleet sends a request.

PULL with the token list of `servers`: a request goes to an upstream drawn uniformly from the token holders, and
where none holds a token to a uniformly random ready one. A token says that this router believes the upstream idle.
For an ordinary service that is: none of this router's calls is outstanding there. A model engine runs many requests
at once and is held up by the prompts it reads: there it is that fewer than `AWAITING_MOST` calls of this router
wait for their first event.

Among holders of a model's service, those that are believed to keep the head of the prompt come first. What an
engine keeps is told by nobody, but it follows from where requests were sent; so that routers agree without talking,
each head has an order of upstreams of its own (highest random weight), and the first holder in it is taken.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Collection, Mapping
from dataclasses import dataclass
from hashlib import blake2b
from random import Random

from mulleinhitch.interface import ListKind, ListUpdate, Outcome, ServerEntry, ServerState
from mulleinhitch.servers import DrawList, Fleet, Server, draw

AWAITING_MOST = 2  # own calls before their first event, from which an engine is not believed idle
KEEPERS = 2  # upstreams that keep one head, as far as tokens allow; further ones would read it again
HEADS_MOST = 4_096  # of which the order is remembered
DRAWS = 8  # random draws before all are looked at
PAUSE_MS = 250.0  # after a failed connection or call; doubles with each in a row
PAUSE_MOST_MS = 4_000.0
FULL_PAUSE_MS = 150.0  # after an upstream turned a call away

NOT_THE_SERVERS_FAULT = frozenset(
    (Outcome.OK, Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED, Outcome.ERROR)
)


@dataclass(frozen=True, slots=True)
class Listed:
    """An upstream as the registry has it. `silent`: its heartbeats have stopped."""

    ready: bool
    silent: bool = False


class EngineBalancer:
    """The token list of one service in one router. Ids are the registry's; times are milliseconds that only rise."""

    def __init__(self, rng: Random, *, engine: bool) -> None:
        """`engine`: whether the upstreams are model engines, whose tokens return with the first event."""
        self._rng = rng
        self._engine = engine
        self._fleet = Fleet(zones=1)
        self._silent: set[int] = set()
        self._numbers: dict[str, int] = {}
        self._ids: dict[int, str] = {}
        self._next_number = 0
        self._heads: OrderedDict[str, list[Server]] = OrderedDict()

    # The list

    def update(self, listed: Mapping[str, Listed], now_ms: float) -> None:
        """The whole list: what it lacks is gone, and nothing that drains or is gone is drawn from now on."""
        entries = []
        self._silent = set()
        for id_, upstream in listed.items():
            number = self._number(id_)
            state = ServerState.READY if upstream.ready else ServerState.DRAINING
            entries.append(ServerEntry(number, state))
            if upstream.silent:
                self._silent.add(number)
        fresh, gone = self._fleet.update(ListUpdate(ListKind.FULL, entries=entries))
        for server in gone:
            self._numbers.pop(self._ids.pop(server.id), None)
        for server in fresh:
            self._fleet.earn_token(server, now_ms)
        self._heads.clear()

    def _number(self, id_: str) -> int:
        number = self._numbers.get(id_)
        if number is None:
            self._next_number += 1
            number = self._numbers[id_] = self._next_number
            self._ids[number] = id_
        return number

    @property
    def ready_count(self) -> int:
        """Upstreams that are ready, heard of late or not."""
        return self._fleet.ready_count

    def outstanding(self, id_: str) -> int:
        """Own calls there that count against its token."""
        server = self._server(id_)
        return 0 if server is None else server.outstanding

    def _server(self, id_: str) -> Server | None:
        number = self._numbers.get(id_)
        return None if number is None else self._fleet.servers.get(number)

    # The draw

    def choose(self, head: str, excluded: Collection[str], now_ms: float) -> str | None:
        """The upstream for a request whose prompt begins with `head` ("" for none), or None where none is ready.

        `excluded`: those that it has been sent to.
        """
        self._fleet.give_back(now_ms)
        barred = {self._numbers[id_] for id_ in excluded if id_ in self._numbers} | self._silent
        holders = self._fleet.levels[0]
        server = self._keeper(head, barred) or self._draw(holders, barred) or self._draw_ready(barred, now_ms)
        if server is None and self._silent:
            server = self._draw_ready(barred - self._silent, now_ms)
        return None if server is None else self._ids[server.id]

    def _keeper(self, head: str, barred: Collection[int]) -> Server | None:
        """Among token holders, the one that keeps the head of the prompt."""
        if not head:
            return None
        for server in self._order(head):
            if server.level == 0 and server.id not in barred:
                return server
        return None

    def _order(self, head: str) -> list[Server]:
        order = self._heads.get(head)
        if order is None:
            ready = [server for server in self._fleet.servers.values() if server.ready]
            order = sorted(ready, key=lambda server: _weight(head, self._ids[server.id]))[:KEEPERS]
            self._heads[head] = order
            if len(self._heads) > HEADS_MOST:
                self._heads.popitem(last=False)
        else:
            self._heads.move_to_end(head)
        return order

    def _draw(self, lists: list[DrawList], barred: Collection[int]) -> Server | None:
        for _ in range(DRAWS):
            server = draw(lists, self._rng)
            if server is None:
                return None
            if server.id not in barred:
                return server
        left = [server for part in lists for server in part.items if server.id not in barred]
        return self._rng.choice(left) if left else None

    def _draw_ready(self, barred: Collection[int], now_ms: float) -> Server | None:
        """Uniform over the ready ones; those that failed of late only where there is no other."""
        for _ in range(DRAWS):
            server = draw(self._fleet.ready, self._rng)
            if server is None:
                return None
            if server.id not in barred and server.until_ms <= now_ms:
                return server
        return self._draw(self._fleet.ready, barred)

    # Own calls

    def started(self, id_: str, now_ms: float) -> None:
        """A call is sent there: that spends a token."""
        self._count(id_, 1, now_ms)

    def returned(self, id_: str, now_ms: float) -> None:
        """A call counts no longer: it has ended, or its first event has come from an engine."""
        self._count(id_, -1, now_ms)

    def _count(self, id_: str, by: int, now_ms: float) -> None:
        server = self._server(id_)
        if server is None:
            return
        server.others = max(0, server.others + by)
        allowed = AWAITING_MOST - 1 if self._engine else 0
        server.outstanding = max(0, server.others - allowed)
        self._fleet.earn_token(server, now_ms)

    def outcome(self, id_: str, outcome: Outcome, now_ms: float) -> None:
        """How a call there ended. Evidence that it is unwell or full keeps its token back for a while."""
        server = self._server(id_)
        if server is None:
            return
        if outcome is Outcome.FULL:
            self._fleet.withhold(server, now_ms + FULL_PAUSE_MS)
        elif outcome in NOT_THE_SERVERS_FAULT:
            server.strikes = 0
        else:
            pause_ms = min(PAUSE_MOST_MS, PAUSE_MS * 2**server.strikes)
            server.strikes = min(server.strikes + 1, 8)
            self._fleet.withhold(server, now_ms + pause_ms)


def _weight(head: str, id_: str) -> bytes:
    return blake2b(f"{head}/{id_}".encode(), digest_size=8).digest()
