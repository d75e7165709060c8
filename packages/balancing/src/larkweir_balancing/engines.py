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
from larkweir_balancing.prefill_time import PrefillTime
from larkweir_balancing.servers import DrawList, Fleet, Server, draw

MAX_AWAITING_FIRST_EVENT = 4  # own calls before their first event, from which an engine is not believed idle
IN_TIME_FACTOR = (
    1.2  # of what is left of its aim: a head whose first event is expected later leaves its keeper
)
PREFILL_BACKLOG_FRACTIONS = (
    0.05,
    0.25,
)  # of the aim, that prompts at an engine take to be read: from each, others come first
DEFAULT_LATENCY_TARGET_MS = 500.0
OVERDUE_FACTOR = 4.0  # the time that its first event is expected to take, after which a call is overdue
OWNERS_PER_PREFIX = (
    2  # upstreams that keep one head, as far as tokens allow; further ones would read it again
)
MAX_PREFERENCE_ORDERS = 4_096  # of which the order is remembered
MAX_CACHED_PREFIXES = 16_384  # pairs of a head and an upstream that was sent it
MIN_SHARED_PREFIX_TOKENS = 1_024.0  # a shorter head is sooner read again than a connection is opened
MAX_SAMPLES = 8  # random draws before all are looked at
INITIAL_BACKOFF_MS = 250.0  # after a failed connection or call; doubles with each in a row
MAX_BACKOFF_MS = 4_000.0
FULL_BACKOFF_MS = 150.0  # after an upstream turned a call away

NOT_UPSTREAM_FAULTS = frozenset(
    (Outcome.OK, Outcome.CANCELLED, Outcome.MOOT, Outcome.REJECTED, Outcome.ERROR)
)


class SelectionReason(StrEnum):
    """Why an upstream was drawn."""

    PREFIX_OWNER = "keeper"  # it keeps the head of the prompt
    LATE_PREFIX_OWNER = "late_keeper"  # it keeps the head, and no other engine is idle
    OPEN_CONNECTION = "linked"  # a token holder with an open connection, where little waits
    IDLE = "idle"  # a token holder where little waits
    TOKEN_HOLDER = "holder"  # a token holder
    READY = "ready"  # nobody holds a token
    EJECTED = "ejected"  # nobody else is left, but for silent ones
    UNRESPONSIVE = "silent"  # nobody else is left


@dataclass(frozen=True, slots=True)
class UpstreamStatus:
    """An upstream as the registry has it. `silent`: its heartbeats have stopped."""

    is_ready: bool
    is_unresponsive: bool = False


@dataclass(frozen=True, slots=True)
class Prompt:
    """What a request asks an engine to read: tokens in all, those of the head that it shares with others."""

    prefix: str = ""
    tokens: float = 0.0
    prefix_tokens: float = 0.0
    latency_target_ms: float = DEFAULT_LATENCY_TARGET_MS  # from its arrival to its first event

    @property
    def is_shared(self) -> bool:
        """Whether its head is worth being read at one place only."""
        return bool(self.prefix) and self.prefix_tokens >= MIN_SHARED_PREFIX_TOKENS


@dataclass(slots=True)
class EngineBacklog:
    """Prompts that wait to be read at one engine: this router's, and its peers' as last told."""

    own_tokens: float = 0.0
    peer_tokens: float = 0.0

    @property
    def total_tokens(self) -> float:
        """Of all routers, as far as is known."""
        return self.own_tokens + self.peer_tokens


class UpstreamSelector:
    """The token list of one service in one router. Ids are the registry's; times are milliseconds that only rise."""

    def __init__(self, rng: Random, *, is_engine: bool, has_idle_connection: Callable[[str], bool]) -> None:
        """`engine`: whether the upstreams are model engines. `linked`: whether a connection to an id is idle."""
        self._rng = rng
        self._is_engine = is_engine
        self._has_idle_connection = has_idle_connection
        self._fleet = Fleet(zones=1)
        self._unresponsive: set[int] = set()
        self._ejected: frozenset[str] = frozenset()
        self._numbers: dict[str, int] = {}
        self._ids: dict[int, str] = {}
        self._next_number = 0
        self._preference_orders: OrderedDict[str, list[Server]] = OrderedDict()
        self._cached_prefixes: OrderedDict[tuple[str, int], float] = OrderedDict()
        self._backlogs: dict[int, EngineBacklog] = {}
        self.last_reason = SelectionReason.READY  # why the last upstream was chosen
        self.prefill_time = PrefillTime()

    # The list

    def update(self, listed: Mapping[str, UpstreamStatus], now_ms: float) -> None:
        """The whole list: what it lacks is gone, and nothing that drains or is gone is drawn from now on."""
        entries = []
        self._unresponsive = set()
        for id_, upstream in listed.items():
            number = self._number(id_)
            state = ServerState.READY if upstream.is_ready else ServerState.DRAINING
            entries.append(ServerEntry(number, state))
            if upstream.is_unresponsive:
                self._unresponsive.add(number)
        fresh, gone = self._fleet.update(ListUpdate(ListKind.FULL, entries=entries))
        for server in gone:
            self._numbers.pop(self._ids.pop(server.id), None)
            self._backlogs.pop(server.id, None)
        for server in fresh:
            self._fleet.earn_token(server, now_ms)
        self._preference_orders.clear()

    def _number(self, id_: str) -> int:
        number = self._numbers.get(id_)
        if number is None:
            self._next_number += 1
            number = self._numbers[id_] = self._next_number
            self._ids[number] = id_
        return number

    def set_ejected(self, ids: Collection[str]) -> None:
        """These are drawn only where no other is left; ids of other services are passed over."""
        self._ejected = frozenset(ids) if OPTIONS.fleet_ejection else frozenset()

    @property
    def ready_count(self) -> int:
        """Upstreams that are ready, heard of late or not."""
        return self._fleet.ready_count

    def _server(self, id_: str) -> Server | None:
        number = self._numbers.get(id_)
        return None if number is None else self._fleet.servers.get(number)

    # The draw

    def select(
        self,
        prompt: Prompt,
        excluded: Collection[str],
        now_ms: float,
        prefix_owner: str | None = None,
        *,
        is_cached: bool = True,
        remaining_ms: float | None = None,
    ) -> str | None:
        """The upstream for a request, or None where none is ready.

        `excluded`: those that it has been sent to. `keeper`: where the fleet has placed the head of its prompt;
        `kept`: whether it was sent there before. `left_ms`: of its aim; None for all.
        """
        self._fleet.give_back(now_ms)
        tried = {self._numbers[id_] for id_ in excluded if id_ in self._numbers}
        ejected = {self._numbers[id_] for id_ in self._ejected if id_ in self._numbers}
        barred = tried | self._unresponsive | ejected
        limit_ms = IN_TIME_FACTOR * (prompt.latency_target_ms if remaining_ms is None else remaining_ms)
        holders = self._fleet.levels[0]
        keeper_in_time, late_keeper = self._find_prefix_owner(
            prompt, barred, prefix_owner, limit_ms, is_cached=is_cached
        )
        server = (
            self._with_reason(SelectionReason.PREFIX_OWNER, keeper_in_time)
            or self._select_idle(prompt, barred)
            or self._with_reason(SelectionReason.LATE_PREFIX_OWNER, late_keeper)
            or self._with_reason(SelectionReason.TOKEN_HOLDER, self._sample(holders, barred))
            or self._with_reason(SelectionReason.READY, self._sample_ready(barred, now_ms))
        )
        if server is None and ejected:
            server = self._with_reason(
                SelectionReason.EJECTED, self._sample_ready(tried | self._unresponsive, now_ms)
            )
        if server is None and self._unresponsive:
            server = self._with_reason(SelectionReason.UNRESPONSIVE, self._sample_ready(tried, now_ms))
        return None if server is None else self._ids[server.id]

    def _select_idle(self, prompt: Prompt, barred: set[int]) -> Server | None:
        """Among token holders where little waits, those with an open connection first."""
        holders = self._fleet.levels[0]
        for part in PREFILL_BACKLOG_FRACTIONS:
            busy = self._backlogged(part * prompt.latency_target_ms)
            server = self._with_reason(
                SelectionReason.OPEN_CONNECTION, self._sample_connected(holders, barred | busy)
            )
            server = server or self._with_reason(SelectionReason.IDLE, self._sample(holders, barred | busy))
            if server is not None or not busy:
                return server
        return None

    def _backlogged(self, most_ms: float) -> set[int]:
        """Engines whose waiting prompts take longer to be read."""
        if not OPTIONS.avoid_prefill_backlog:
            return set()
        most = most_ms / self.prefill_time.ms_per_token
        return {number for number, waiting in self._backlogs.items() if waiting.total_tokens > most}

    def _with_reason(self, reason: SelectionReason, server: Server | None) -> Server | None:
        if server is not None:
            self.last_reason = reason
        return server

    def prefill_backlog_tokens(self, id_: str) -> float:
        """The prompt tokens that are believed to wait to be read there, of all routers."""
        number = self._numbers.get(id_)
        waiting = self._backlogs.get(number) if number is not None else None
        return waiting.total_tokens if waiting is not None else 0.0

    def _find_prefix_owner(
        self,
        prompt: Prompt,
        barred: Collection[int],
        prefix_owner: str | None,
        limit_ms: float,
        *,
        is_cached: bool,
    ) -> tuple[Server | None, Server | None]:
        """Among token holders, one that keeps the head of the prompt, or is to keep it: to be taken at once, or late.

        The first is one where the first event is expected in time, or where it would be late at any other engine too.
        The second is to be taken only where no other engine is idle: reading a head twice costs less than a late
        answer, but not behind other prompts, where it would make those late as well.
        """
        if not prompt.is_shared:
            return None, None
        if not OPTIONS.leave_late_prefix_owners:
            limit_ms = math.inf
        best: Server | None = None
        best_ms = 0.0
        known = self._server(prefix_owner) if prefix_owner is not None else None
        for server in self._prefix_owners(prompt.prefix, known):
            if server.level != 0 or server.id in barred:
                continue
            is_kept = (is_cached and server is known) or (prompt.prefix, server.id) in self._cached_prefixes
            expected_ms = self._expected_ms(server, prompt, is_cached=is_kept)
            if expected_ms <= limit_ms:
                return server, None
            if best is None or (is_kept and expected_ms < best_ms):
                best, best_ms = server, expected_ms
        if self.prefill_time.expected_ms(prompt.tokens) <= min(limit_ms, best_ms):
            return None, best
        return best, None

    def _prefix_owners(self, prefix: str, known: Server | None) -> Iterator[Server]:
        """Where a head is to be looked for: its order is worked out only where the known one is of no use."""
        if known is not None:
            yield known
        yield from self._preference_order(prefix)

    def _expected_ms(self, server: Server, prompt: Prompt, *, is_cached: bool) -> float:
        """To the first event of that prompt there, behind what waits."""
        tokens = prompt.tokens - (prompt.prefix_tokens if is_cached else 0.0)
        waiting = self._backlogs.get(server.id)
        return self.prefill_time.expected_ms(tokens + (waiting.total_tokens if waiting is not None else 0.0))

    def overdue_after_ms(self, prompt: Prompt, tokens: float) -> float:
        """After how long without an answer a call is overdue, with so many tokens to be read before its first event."""
        return max(prompt.latency_target_ms, OVERDUE_FACTOR * self.prefill_time.expected_ms(tokens))

    def is_ready(self, id_: str) -> bool:
        """Whether that upstream is ready, heard of and not ejected."""
        server = self._server(id_)
        if server is None or id_ in self._ejected:
            return False
        return server.ready and server.id not in self._unresponsive

    def _preference_order(self, prefix: str) -> list[Server]:
        order = self._preference_orders.get(prefix)
        if order is None:
            ready = [server for server in self._fleet.servers.values() if server.ready]
            order = sorted(ready, key=lambda server: rendezvous_weight(prefix, self._ids[server.id]))[
                :OWNERS_PER_PREFIX
            ]
            self._preference_orders[prefix] = order
            if len(self._preference_orders) > MAX_PREFERENCE_ORDERS:
                self._preference_orders.popitem(last=False)
        else:
            self._preference_orders.move_to_end(prefix)
        return order

    def _sample_connected(self, lists: list[DrawList], barred: Collection[int]) -> Server | None:
        """Uniform over those with an idle connection, as far as a few draws find one."""
        if not OPTIONS.prefer_open_connections:
            return None
        for _ in range(MAX_SAMPLES):
            server = draw(lists, self._rng)
            if server is None:
                return None
            if server.id not in barred and self._has_idle_connection(self._ids[server.id]):
                return server
        return None

    def _sample(self, lists: list[DrawList], barred: Collection[int]) -> Server | None:
        for _ in range(MAX_SAMPLES):
            server = draw(lists, self._rng)
            if server is None:
                return None
            if server.id not in barred:
                return server
        left = [server for part in lists for server in part.items if server.id not in barred]
        return self._rng.choice(left) if left else None

    def _sample_ready(self, barred: Collection[int], now_ms: float) -> Server | None:
        """Uniform over the ready ones; those that failed of late only where there is no other."""
        for _ in range(MAX_SAMPLES):
            server = draw(self._fleet.ready, self._rng)
            if server is None:
                return None
            if server.id not in barred and server.until_ms <= now_ms:
                return server
        return self._sample(self._fleet.ready, barred)

    # Own calls and what peers tell of theirs

    def on_attempt_started(
        self, id_: str, prompt: Prompt, now_ms: float, *, is_cached: bool = False
    ) -> float:
        """A call is sent there: that spends a token. The tokens to be read for it, which `returned` wants back.

        `kept`: the fleet has sent the head of its prompt there before.
        """
        server = self._server(id_)
        if server is None:
            return 0.0
        tokens = prompt.tokens
        if prompt.prefix:
            if is_cached or (prompt.prefix, server.id) in self._cached_prefixes:
                tokens = max(0.0, tokens - prompt.prefix_tokens)
            self._record_prefix(prompt.prefix, server, now_ms)
        self._adjust(server, 1, tokens, now_ms)
        return tokens

    def _record_prefix(self, prefix: str, server: Server, now_ms: float) -> None:
        if not OPTIONS.remembered_prefixes:
            return
        self._cached_prefixes[(prefix, server.id)] = now_ms
        self._cached_prefixes.move_to_end((prefix, server.id))
        if len(self._cached_prefixes) > MAX_CACHED_PREFIXES:
            self._cached_prefixes.popitem(last=False)

    def on_attempt_released(self, id_: str, tokens: float, now_ms: float) -> None:
        """A call counts no longer: it has ended, or its first event has come from an engine."""
        server = self._server(id_)
        if server is not None:
            self._adjust(server, -1, -tokens, now_ms)

    def own_prefill_backlog(self) -> dict[str, int]:
        """By engine, the tokens of this router's calls that wait to be read there, to be told to peers."""
        return {
            self._ids[number]: round(waiting.own_tokens)
            for number, waiting in self._backlogs.items()
            if waiting.own_tokens >= 1.0 and number in self._ids
        }

    def set_peer_prefill_backlog(self, tokens: Mapping[str, float]) -> None:
        """By engine, the same of all peers together, as last told; of those not named: nothing."""
        for waiting in self._backlogs.values():
            waiting.peer_tokens = 0.0
        if not OPTIONS.peer_prefill_backlog:
            return
        for id_, told in tokens.items():
            number = self._numbers.get(id_)
            if number is not None:
                self._backlogs.setdefault(number, EngineBacklog()).peer_tokens = told

    def _adjust(self, server: Server, calls: int, tokens: float, now_ms: float) -> None:
        server.others = max(0, server.others + calls)
        if self._is_engine:
            waiting = self._backlogs.setdefault(server.id, EngineBacklog())
            waiting.own_tokens = max(0.0, waiting.own_tokens + tokens) if server.others else 0.0
        self._update_token(server, now_ms)

    def _update_token(self, server: Server, now_ms: float) -> None:
        """Finds how far the upstream is from idle: 0 earns a token."""
        if self._is_engine and OPTIONS.tokens_by_first_event:
            server.outstanding = max(0, server.others - (MAX_AWAITING_FIRST_EVENT - 1))
        else:
            server.outstanding = server.others
        self._fleet.earn_token(server, now_ms)

    def on_outcome(self, id_: str, outcome: Outcome, now_ms: float) -> None:
        """How a call there ended. Evidence that it is unwell or full keeps its token back for a while."""
        server = self._server(id_)
        if server is None:
            return
        if outcome is Outcome.FULL:
            if not OPTIONS.full_backoff:
                return
            self._fleet.withhold(server, now_ms + FULL_BACKOFF_MS)
        elif outcome in NOT_UPSTREAM_FAULTS:
            server.strikes = 0
        elif OPTIONS.failure_backoff:
            pause_ms = min(MAX_BACKOFF_MS, INITIAL_BACKOFF_MS * 2**server.strikes)
            server.strikes = min(server.strikes + 1, 8)
            self._fleet.withhold(server, now_ms + pause_ms)


def rendezvous_weight(key: str, id_: str) -> bytes:
    """The place of an upstream in the order of a head: the lowest comes first (highest random weight hashing)."""
    return blake2b(f"{key}/{id_}".encode(), digest_size=8).digest()
