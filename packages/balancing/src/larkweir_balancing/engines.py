"""Rules: to which upstream of a service a router of the fleet sends a request.

PULL with the token list of `servers`: a request goes to an upstream drawn uniformly from the token holders, and where
none holds a token to a uniformly random ready one. A token says that this router believes the upstream idle. For an
ordinary service that is: none of this router's calls is outstanding there. A model engine runs many requests at once
and is held up by the prompts it reads: there it is that few of this router's calls wait for their first event, and
that the prompts which wait there, peers' included, are read in a moment.

Among holders of a model's service, the one that keeps the head of the prompt comes first: reading it again elsewhere
costs more than waiting. What an engine keeps is told by nobody; the fleet remembers where a head was placed (`keeper`),
and where it does not, each head has an order of upstreams of its own (highest random weight), the same in all routers.
Otherwise holders with an open connection come first, since new ones are dear.
"""

from __future__ import annotations

import math
from collections import OrderedDict
from collections.abc import Callable, Collection, Iterator, Mapping
from dataclasses import dataclass
from enum import StrEnum
from hashlib import blake2b
from random import Random

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.interface import ListKind, ListUpdate, Outcome, ServerEntry, ServerState
from larkweir_balancing.reading_time import ReadingTime
from larkweir_balancing.servers import DrawList, Fleet, Server, draw

AWAITING_MOST = 4  # own calls before their first event, from which an engine is not believed idle
IN_TIME_PART = 1.2  # of what is left of its aim: a head whose first event is expected later leaves its keeper
BUSY_PARTS = (
    0.05,
    0.25,
)  # of the aim, that prompts at an engine take to be read: from each, others come first
DEFAULT_AIM_MS = 500.0
PATIENCE_TIMES = 4.0  # the time that its first event is expected to take, after which a call is overdue
KEEPERS = 2  # upstreams that keep one head, as far as tokens allow; further ones would read it again
HEADS_MOST = 4_096  # of which the order is remembered
KEPT_MOST = 16_384  # pairs of a head and an upstream that was sent it
SMALL_HEAD_TOKENS = 1_024.0  # a shorter head is sooner read again than a connection is opened
DRAWS = 8  # random draws before all are looked at
PAUSE_MS = 250.0  # after a failed connection or call; doubles with each in a row
PAUSE_MOST_MS = 4_000.0
FULL_PAUSE_MS = 150.0  # after an upstream turned a call away

NOT_THE_SERVERS_FAULT = frozenset(
    (Outcome.OK, Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED, Outcome.ERROR)
)


class Reason(StrEnum):
    """Why an upstream was drawn."""

    KEEPER = "keeper"  # it keeps the head of the prompt
    LATE_KEEPER = "late_keeper"  # it keeps the head, and no other engine is idle
    LINKED = "linked"  # a token holder with an open connection, where little waits
    IDLE = "idle"  # a token holder where little waits
    HOLDER = "holder"  # a token holder
    READY = "ready"  # nobody holds a token
    EJECTED = "ejected"  # nobody else is left, but for silent ones
    SILENT = "silent"  # nobody else is left


@dataclass(frozen=True, slots=True)
class Listed:
    """An upstream as the registry has it. `silent`: its heartbeats have stopped."""

    ready: bool
    silent: bool = False


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks an engine to read: tokens in all, those of the head that it shares with others."""

    head: str = ""
    tokens: float = 0.0
    head_tokens: float = 0.0
    aim_ms: float = DEFAULT_AIM_MS  # from its arrival to its first event

    @property
    def is_shared(self) -> bool:
        """Whether its head is worth being read at one place only."""
        return bool(self.head) and self.head_tokens >= SMALL_HEAD_TOKENS


@dataclass(slots=True)
class _Waiting:
    """Prompts that wait to be read at one engine: this router's, and its peers' as last told."""

    tokens: float = 0.0
    peers_tokens: float = 0.0

    @property
    def total(self) -> float:
        """Of all routers, as far as is known."""
        return self.tokens + self.peers_tokens


class EngineBalancer:
    """The token list of one service in one router. Ids are the registry's; times are milliseconds that only rise."""

    def __init__(self, rng: Random, *, engine: bool, linked: Callable[[str], bool]) -> None:
        """`engine`: whether the upstreams are model engines. `linked`: whether a connection to an id is idle."""
        self._rng = rng
        self._engine = engine
        self._linked = linked
        self._fleet = Fleet(zones=1)
        self._silent: set[int] = set()
        self._ejected: frozenset[str] = frozenset()
        self._numbers: dict[str, int] = {}
        self._ids: dict[int, str] = {}
        self._next_number = 0
        self._heads: OrderedDict[str, list[Server]] = OrderedDict()
        self._kept: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._waiting: dict[int, _Waiting] = {}
        self.reason = Reason.READY  # why the last upstream was chosen
        self.reading = ReadingTime()

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
            self._waiting.pop(server.id, None)
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

    def eject(self, ids: Collection[str]) -> None:
        """These are drawn only where no other is left; ids of other services are passed over."""
        self._ejected = frozenset(ids) if OPTIONS.ejection else frozenset()

    @property
    def ready_count(self) -> int:
        """Upstreams that are ready, heard of late or not."""
        return self._fleet.ready_count

    def _server(self, id_: str) -> Server | None:
        number = self._numbers.get(id_)
        return None if number is None else self._fleet.servers.get(number)

    # The draw

    def choose(
        self,
        prompt: Prompt,
        excluded: Collection[str],
        now_ms: float,
        keeper: str | None = None,
        *,
        kept: bool = True,
        left_ms: float | None = None,
    ) -> str | None:
        """The upstream for a request, or None where none is ready.

        `excluded`: those that it has been sent to. `keeper`: where the fleet has placed the head of its prompt;
        `kept`: whether it was sent there before. `left_ms`: of its aim; None for all.
        """
        self._fleet.give_back(now_ms)
        tried = {self._numbers[id_] for id_ in excluded if id_ in self._numbers}
        ejected = {self._numbers[id_] for id_ in self._ejected if id_ in self._numbers}
        barred = tried | self._silent | ejected
        limit_ms = IN_TIME_PART * (prompt.aim_ms if left_ms is None else left_ms)
        holders = self._fleet.levels[0]
        keeper_in_time, late_keeper = self._find_keeper(prompt, barred, keeper, limit_ms, kept=kept)
        server = (
            self._because(Reason.KEEPER, keeper_in_time)
            or self._draw_idle(prompt, barred)
            or self._because(Reason.LATE_KEEPER, late_keeper)
            or self._because(Reason.HOLDER, self._draw(holders, barred))
            or self._because(Reason.READY, self._draw_ready(barred, now_ms))
        )
        if server is None and ejected:
            server = self._because(Reason.EJECTED, self._draw_ready(tried | self._silent, now_ms))
        if server is None and self._silent:
            server = self._because(Reason.SILENT, self._draw_ready(tried, now_ms))
        return None if server is None else self._ids[server.id]

    def _draw_idle(self, prompt: Prompt, barred: set[int]) -> Server | None:
        """Among token holders where little waits, those with an open connection first."""
        holders = self._fleet.levels[0]
        for part in BUSY_PARTS:
            busy = self._busy(part * prompt.aim_ms)
            server = self._because(Reason.LINKED, self._draw_linked(holders, barred | busy))
            server = server or self._because(Reason.IDLE, self._draw(holders, barred | busy))
            if server is not None or not busy:
                return server
        return None

    def _busy(self, most_ms: float) -> set[int]:
        """Engines whose waiting prompts take longer to be read."""
        if not OPTIONS.busy_avoided:
            return set()
        most = most_ms / self.reading.ms_per_token
        return {number for number, waiting in self._waiting.items() if waiting.total > most}

    def _because(self, reason: Reason, server: Server | None) -> Server | None:
        if server is not None:
            self.reason = reason
        return server

    def waiting_at(self, id_: str) -> float:
        """The prompt tokens that are believed to wait to be read there, of all routers."""
        number = self._numbers.get(id_)
        waiting = self._waiting.get(number) if number is not None else None
        return waiting.total if waiting is not None else 0.0

    def _find_keeper(
        self, prompt: Prompt, barred: Collection[int], keeper: str | None, limit_ms: float, *, kept: bool
    ) -> tuple[Server | None, Server | None]:
        """Among token holders, one that keeps the head of the prompt, or is to keep it: to be taken at once, or late.

        The first is one where the first event is expected in time, or where it would be late at any other engine too.
        The second is to be taken only where no other engine is idle: reading a head twice costs less than a late
        answer, but not behind other prompts, where it would make those late as well.
        """
        if not prompt.is_shared:
            return None, None
        if not OPTIONS.late_keepers_left:
            limit_ms = math.inf
        best: Server | None = None
        best_ms = 0.0
        known = self._server(keeper) if keeper is not None else None
        for server in self._keepers(prompt.head, known):
            if server.level != 0 or server.id in barred:
                continue
            is_kept = (kept and server is known) or (prompt.head, server.id) in self._kept
            expected_ms = self._expected_ms(server, prompt, kept=is_kept)
            if expected_ms <= limit_ms:
                return server, None
            if best is None or (is_kept and expected_ms < best_ms):
                best, best_ms = server, expected_ms
        if self.reading.expected_ms(prompt.tokens) <= min(limit_ms, best_ms):
            return None, best
        return best, None

    def _keepers(self, head: str, known: Server | None) -> Iterator[Server]:
        """Where a head is to be looked for: its order is worked out only where the known one is of no use."""
        if known is not None:
            yield known
        yield from self._order(head)

    def _expected_ms(self, server: Server, prompt: Prompt, *, kept: bool) -> float:
        """To the first event of that prompt there, behind what waits."""
        tokens = prompt.tokens - (prompt.head_tokens if kept else 0.0)
        waiting = self._waiting.get(server.id)
        return self.reading.expected_ms(tokens + (waiting.total if waiting is not None else 0.0))

    def patience_ms(self, prompt: Prompt, tokens: float) -> float:
        """After how long without an answer a call is overdue, with so many tokens to be read before its first event."""
        return max(prompt.aim_ms, PATIENCE_TIMES * self.reading.expected_ms(tokens))

    def is_ready(self, id_: str) -> bool:
        """Whether that upstream is ready, heard of and not ejected."""
        server = self._server(id_)
        if server is None or id_ in self._ejected:
            return False
        return server.ready and server.id not in self._silent

    def _order(self, head: str) -> list[Server]:
        order = self._heads.get(head)
        if order is None:
            ready = [server for server in self._fleet.servers.values() if server.ready]
            order = sorted(ready, key=lambda server: weight(head, self._ids[server.id]))[:KEEPERS]
            self._heads[head] = order
            if len(self._heads) > HEADS_MOST:
                self._heads.popitem(last=False)
        else:
            self._heads.move_to_end(head)
        return order

    def _draw_linked(self, lists: list[DrawList], barred: Collection[int]) -> Server | None:
        """Uniform over those with an idle connection, as far as a few draws find one."""
        if not OPTIONS.linked_first:
            return None
        for _ in range(DRAWS):
            server = draw(lists, self._rng)
            if server is None:
                return None
            if server.id not in barred and self._linked(self._ids[server.id]):
                return server
        return None

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

    # Own calls and what peers tell of theirs

    def started(self, id_: str, prompt: Prompt, now_ms: float, *, kept: bool = False) -> float:
        """A call is sent there: that spends a token. The tokens to be read for it, which `returned` wants back.

        `kept`: the fleet has sent the head of its prompt there before.
        """
        server = self._server(id_)
        if server is None:
            return 0.0
        tokens = prompt.tokens
        if prompt.head:
            if kept or (prompt.head, server.id) in self._kept:
                tokens = max(0.0, tokens - prompt.head_tokens)
            self._remember(prompt.head, server, now_ms)
        self._count(server, 1, tokens, now_ms)
        return tokens

    def _remember(self, head: str, server: Server, now_ms: float) -> None:
        if not OPTIONS.remembered_heads:
            return
        self._kept[(head, server.id)] = now_ms
        self._kept.move_to_end((head, server.id))
        if len(self._kept) > KEPT_MOST:
            self._kept.popitem(last=False)

    def returned(self, id_: str, tokens: float, now_ms: float) -> None:
        """A call counts no longer: it has ended, or its first event has come from an engine."""
        server = self._server(id_)
        if server is not None:
            self._count(server, -1, -tokens, now_ms)

    def waiting(self) -> dict[str, int]:
        """By engine, the tokens of this router's calls that wait to be read there, to be told to peers."""
        return {
            self._ids[number]: round(waiting.tokens)
            for number, waiting in self._waiting.items()
            if waiting.tokens >= 1.0 and number in self._ids
        }

    def peers_waiting(self, tokens: Mapping[str, float]) -> None:
        """By engine, the same of all peers together, as last told; of those not named: nothing."""
        for waiting in self._waiting.values():
            waiting.peers_tokens = 0.0
        if not OPTIONS.peers_waiting:
            return
        for id_, told in tokens.items():
            number = self._numbers.get(id_)
            if number is not None:
                self._waiting.setdefault(number, _Waiting()).peers_tokens = told

    def _count(self, server: Server, calls: int, tokens: float, now_ms: float) -> None:
        server.others = max(0, server.others + calls)
        if self._engine:
            waiting = self._waiting.setdefault(server.id, _Waiting())
            waiting.tokens = max(0.0, waiting.tokens + tokens) if server.others else 0.0
        self._rate(server, now_ms)

    def _rate(self, server: Server, now_ms: float) -> None:
        """Finds how far the upstream is from idle: 0 earns a token."""
        if self._engine and OPTIONS.waiting_tokens:
            server.outstanding = max(0, server.others - (AWAITING_MOST - 1))
        else:
            server.outstanding = server.others
        self._fleet.earn_token(server, now_ms)

    def outcome(self, id_: str, outcome: Outcome, now_ms: float) -> None:
        """How a call there ended. Evidence that it is unwell or full keeps its token back for a while."""
        server = self._server(id_)
        if server is None:
            return
        if outcome is Outcome.FULL:
            if not OPTIONS.full_pauses:
                return
            self._fleet.withhold(server, now_ms + FULL_PAUSE_MS)
        elif outcome in NOT_THE_SERVERS_FAULT:
            server.strikes = 0
        elif OPTIONS.failure_pauses:
            pause_ms = min(PAUSE_MOST_MS, PAUSE_MS * 2**server.strikes)
            server.strikes = min(server.strikes + 1, 8)
            self._fleet.withhold(server, now_ms + pause_ms)


def weight(head: str, id_: str) -> bytes:
    """The place of an upstream in the order of a head: the lowest comes first (highest random weight hashing)."""
    return blake2b(f"{head}/{id_}".encode(), digest_size=8).digest()
