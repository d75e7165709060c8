"""Selection of the upstream of a service that a router of the fleet sends a request to. Pure logic.

The algorithm is PULL (`token_list`): a request goes to an upstream sampled uniformly from the token holders, or to a
uniformly random ready upstream if none holds a token. For a model's service, a token holder that has the prefix of the
prompt cached comes first (`prefix_locations`), because prefilling it again elsewhere costs more than waiting. Next come
token holders with a small prefill backlog, and among these the ones with an open connection, because opening a new
connection is slow.
"""

from __future__ import annotations

import math
from collections.abc import Callable, Collection, Mapping
from enum import StrEnum
from random import Random
from typing import NamedTuple

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.outcomes import Outcome
from larkweir_balancing.prefill_backlog import PrefillBacklog
from larkweir_balancing.prefill_time import PrefillTime
from larkweir_balancing.prefix_locations import PrefixLocations
from larkweir_balancing.prompt import Prompt
from larkweir_balancing.servers import Server
from larkweir_balancing.token_list import TokenList, UpstreamStatus
from larkweir_balancing.upstream_backoff import record_outcome

# Times the remaining latency target. A request whose first event is expected later than this at the owner of its prefix
# may go to another engine.
IN_TIME_FACTOR = 1.2
# Fractions of the latency target. Engines whose backlog takes longer than the first to prefill are avoided; if that
# leaves no token holder, only those above the second are.
PREFILL_BACKLOG_FRACTIONS = (0.05, 0.25)
OVERDUE_FACTOR = 4.0  # times the expected time to the first event, after which a request is overdue


class SelectionReason(StrEnum):
    """Why an upstream was selected. The values are published in the router's debug log."""

    PREFIX_OWNER = "keeper"  # it has the prefix cached, or was chosen to cache it
    # The same, although the answer will be late, because no other engine is idle.
    LATE_PREFIX_OWNER = "late_keeper"
    OPEN_CONNECTION = "linked"  # a token holder with a small backlog and an open connection
    IDLE = "idle"  # a token holder with a small backlog
    TOKEN_HOLDER = "holder"
    READY = "ready"  # there is no token holder
    EJECTED = "ejected"  # all others are excluded or unresponsive
    UNRESPONSIVE = "silent"  # all others are excluded


class PrefixOwners(NamedTuple):
    """A token holder that owns a prefix: `in_time` is selected first, `late` only if no other engine is idle."""

    in_time: Server | None = None
    late: Server | None = None


class UpstreamSelector:
    """Selects upstreams of one service in one router. Ids are the registry's; times are monotonic milliseconds."""

    def __init__(self, rng: Random, *, is_engine: bool, has_idle_connection: Callable[[str], bool]) -> None:
        """`is_engine`: the upstreams are model engines. `has_idle_connection`: whether an id has an idle connection."""
        self._is_engine = is_engine
        self._upstreams = TokenList(rng, is_engine=is_engine, has_idle_connection=has_idle_connection)
        self._prefixes = PrefixLocations(self._upstreams)
        self._backlog = PrefillBacklog()
        self.last_reason = SelectionReason.READY  # why the last upstream was selected
        self.prefill_time = PrefillTime()

    # The list

    def update(
        self, listed: Mapping[str, UpstreamStatus], now_ms: float, *, has_tracks: bool = False
    ) -> None:
        """Replace the list. Upstreams that are draining or no longer listed are not selected from now on.

        `has_tracks`: the service has a roll-out, whose upstreams move from one selector to another.
        """
        for number in self._upstreams.update(listed, now_ms, has_tracks=has_tracks):
            self._backlog.remove(number)
        self._prefixes.on_list_changed()

    def set_ejected(self, ids: Collection[str]) -> None:
        """Set the ejected upstreams, which are selected only if no other is left; ids of other services are ignored."""
        self._upstreams.set_ejected(ids)

    @property
    def ready_count(self) -> int:
        """The number of ready upstreams, including unresponsive ones."""
        return self._upstreams.ready_count

    def is_ready(self, id_: str) -> bool:
        """Whether the upstream is ready, responsive and not ejected."""
        return self._upstreams.is_available(id_)

    # Selection

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
        """Return the upstream for a request, or None if none is ready.

        Args:
            prompt: The prompt of the request.
            excluded: The upstreams that the request has already been sent to.
            now_ms: The current time.
            prefix_owner: The engine where the fleet has placed the prefix of the prompt.
            is_cached: Whether the prefix was sent to `prefix_owner` before.
            remaining_ms: The remaining part of the latency target; None for all of it.
        """
        upstreams = self._upstreams
        upstreams.return_tokens(now_ms)
        tried, ejected = upstreams.numbers(excluded), upstreams.ejected
        barred = tried | upstreams.unresponsive | ejected
        limit_ms = IN_TIME_FACTOR * (prompt.latency_target_ms if remaining_ms is None else remaining_ms)
        owners = self._find_prefix_owners(prompt, barred, prefix_owner, limit_ms, is_cached=is_cached)
        reason = SelectionReason
        server = (
            self._with_reason(reason.PREFIX_OWNER, owners.in_time)
            or self._select_idle(prompt, barred)
            or self._with_reason(reason.LATE_PREFIX_OWNER, owners.late)
            or self._with_reason(reason.TOKEN_HOLDER, upstreams.sample_holder(barred))
            or self._with_reason(reason.READY, upstreams.sample_ready(barred, now_ms))
        )
        if server is None and ejected:
            found = upstreams.sample_ready(tried | upstreams.unresponsive, now_ms)
            server = self._with_reason(reason.EJECTED, found)
        if server is None and upstreams.unresponsive:
            server = self._with_reason(reason.UNRESPONSIVE, upstreams.sample_ready(tried, now_ms))
        return None if server is None else upstreams.name(server)

    def _with_reason(self, reason: SelectionReason, server: Server | None) -> Server | None:
        if server is not None:
            self.last_reason = reason
        return server

    def _select_idle(self, prompt: Prompt, barred: set[int]) -> Server | None:
        """Select a token holder with a small prefill backlog, preferring one with an open connection."""
        for fraction in PREFILL_BACKLOG_FRACTIONS:
            backlogged = self._backlogged(fraction * prompt.latency_target_ms)
            server = self._with_reason(
                SelectionReason.OPEN_CONNECTION, self._upstreams.sample_connected_holder(barred | backlogged)
            ) or self._with_reason(SelectionReason.IDLE, self._upstreams.sample_holder(barred | backlogged))
            if server is not None or not backlogged:
                return server
        return None

    def _backlogged(self, max_ms: float) -> set[int]:
        """Engines whose backlog takes longer than `max_ms` to prefill."""
        if not OPTIONS.avoid_prefill_backlog:
            return set()
        return self._backlog.above(max_ms / self.prefill_time.ms_per_token)

    def _find_prefix_owners(
        self,
        prompt: Prompt,
        barred: Collection[int],
        prefix_owner: str | None,
        limit_ms: float,
        *,
        is_cached: bool,
    ) -> PrefixOwners:
        """Find a token holder that has the prefix of the prompt cached, or was chosen to cache it.

        It comes first if its first event is expected in time, or if an idle engine without the prefix would be late or
        slower. Otherwise it is selected only if no other engine is idle: prefilling a prefix again on an idle engine
        costs less than a late answer, but on a busy engine it would delay other prompts as well.
        """
        if not prompt.is_shared:
            return PrefixOwners()
        if not OPTIONS.leave_late_prefix_owners:
            limit_ms = math.inf
        best: Server | None = None
        best_ms = 0.0
        known = self._upstreams.server(prefix_owner) if prefix_owner is not None else None
        for server in self._prefixes.owners(prompt.prefix, known):
            if server.list_level != 0 or server.id in barred:
                continue
            has_prefix = (is_cached and server is known) or self._prefixes.is_cached(prompt.prefix, server)
            expected_ms = self._expected_ms(server, prompt, has_prefix=has_prefix)
            if expected_ms <= limit_ms:
                return PrefixOwners(in_time=server)
            if best is None or (has_prefix and expected_ms < best_ms):
                best, best_ms = server, expected_ms
        if self.prefill_time.expected_ms(prompt.tokens) <= min(limit_ms, best_ms):
            return PrefixOwners(late=best)
        return PrefixOwners(in_time=best)

    def _expected_ms(self, server: Server, prompt: Prompt, *, has_prefix: bool) -> float:
        """The expected time to the first event of the prompt at that engine, including its backlog."""
        tokens = prompt.tokens - (prompt.prefix_tokens if has_prefix else 0.0)
        return self.prefill_time.expected_ms(tokens + self._backlog.total_tokens(server.id))

    def overdue_after_ms(self, prompt: Prompt, tokens: float) -> float:
        """The time in ms without an answer after which a request with `tokens` to prefill is overdue."""
        return max(prompt.latency_target_ms, OVERDUE_FACTOR * self.prefill_time.expected_ms(tokens))

    # Attempts

    def on_attempt_started(
        self, id_: str, prompt: Prompt, now_ms: float, *, is_cached: bool = False
    ) -> float:
        """Record a request that is sent to an upstream, and return its tokens to prefill for `on_attempt_released`.

        `is_cached`: the fleet has sent the prefix of the prompt to this upstream before.
        """
        server = self._upstreams.server(id_)
        if server is None:
            return 0.0
        tokens = prompt.tokens
        if prompt.prefix:
            if is_cached or self._prefixes.is_cached(prompt.prefix, server):
                tokens = max(0.0, tokens - prompt.prefix_tokens)
            self._prefixes.record(prompt.prefix, server)
        self._add_attempts(server, 1, tokens, now_ms)
        return tokens

    def on_attempt_released(self, id_: str, tokens: float, now_ms: float) -> None:
        """Stop counting an attempt: it has ended, or an engine has sent its first event."""
        server = self._upstreams.server(id_)
        if server is not None:
            self._add_attempts(server, -1, -tokens, now_ms)

    def _add_attempts(self, server: Server, count: int, tokens: float, now_ms: float) -> None:
        self._upstreams.add_in_flight(server, count, now_ms)
        if self._is_engine:
            self._backlog.add_own(server.id, tokens, has_attempts=server.other_in_flight > 0)

    def on_outcome(self, id_: str, outcome: Outcome, now_ms: float) -> None:
        """Record how an attempt ended. The token of an unhealthy or full upstream is withheld for a while."""
        server = self._upstreams.server(id_)
        if server is None:
            return
        backoff_ms = record_outcome(server, outcome)
        if backoff_ms is not None:
            self._upstreams.withhold_token(server, now_ms + backoff_ms)

    # The prefill backlog

    def prefill_backlog_tokens(self, id_: str) -> float:
        """The estimated prompt tokens of all routers that wait at an engine."""
        number = self._upstreams.number(id_)
        return self._backlog.total_tokens(number) if number is not None else 0.0

    def own_prefill_backlog(self) -> dict[str, int]:
        """The waiting tokens of this router's requests by engine, to report to the peers."""
        return {self._upstreams.name_of(number): tokens for number, tokens in self._backlog.own().items()}

    def set_peer_prefill_backlog(self, tokens: Mapping[str, float]) -> None:
        """Set the waiting tokens of all peers together by engine, as last reported; engines not named have none."""
        known: dict[int, float] = {}
        if OPTIONS.peer_prefill_backlog:
            for id_, peer_tokens in tokens.items():
                number = self._upstreams.number(id_)
                if number is not None:
                    known[number] = peer_tokens
        self._backlog.set_peers(known)
