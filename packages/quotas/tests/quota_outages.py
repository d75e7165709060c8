"""A large fleet in memory whose controllers die and return empty: usage tables, limiters, clients that retry."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain, count
from random import Random

from larkweir_quotas.limits import QuotaStatus, RateLimit
from larkweir_quotas.quota_limiter import QuotaCharge, QuotaLimiter
from larkweir_quotas.usage_table import UsageTable

TENANT = "t"
LIMIT = RateLimit(200_000.0, 720_000.0)  # tokens, as on the day on which the fault was seen
ROUTER_COUNT_RETENTION_MS = 10_000.0  # as routers believe in the highest count that they were told
URGENT_ANSWER_MS = 10.0
MAX_ELECTION_MS = 1_000.0  # after a controller's return, until it knows the configuration
MAX_RECONNECT_MS = 600.0  # after a controller's return, until a router reaches it
CONNECTION_TIMEOUT_MS = 2_000.0  # after which a controller knows that a silent router is away
RESERVE_MS = 100.0  # between two looks of controllers at who is away


@dataclass(frozen=True)
class Site:
    """A fleet and the limit of its one tenant, as on the days on which the faults were seen."""

    routers: int = 195
    tables: int = 5
    limit: RateLimit = LIMIT
    report_ms: float = 390.0
    min_tokens: float = 1_500.0
    max_tokens: float = 17_000.0
    window_ms: float = 8_000.0
    over: float = 0.1
    slack: float = 190_000.0
    tenants: int = 1  # each with that limit

    @property
    def allowed(self) -> float:
        """The most that may be admitted within any window."""
        used = self.limit.rate_per_s * self.window_ms / 1_000.0 + self.limit.burst
        return used * (1.0 + self.over) + self.slack


@dataclass
class _Router:
    limiter: QuotaLimiter
    incarnation: int = 0
    max_count: int = 1
    max_count_ms: float = 0.0
    is_configured: bool = False
    is_frozen: bool = False
    unread: list[Callable[[], None]] = field(default_factory=list)  # answers and requests, while it is frozen
    pulled: dict[int, list[str]] = field(
        default_factory=dict
    )  # by table: tenants of the pull that is pending

    def learn_count(self, routers: int, now_ms: float) -> None:
        """Believe the highest count of late, as the fleet's routers do."""
        if routers >= self.max_count or now_ms >= self.max_count_ms + ROUTER_COUNT_RETENTION_MS:
            self.max_count, self.max_count_ms = routers, now_ms
        self.limiter.process_count = self.max_count


class Fleet:
    """Routers, usage tables and clients, played event by event. `cut` holds pairs (router, table) that are apart."""

    def __init__(self, site: Site, seed: int) -> None:
        self.site = site
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.limit = site.limit
        self.tenants = [TENANT, *(f"{TENANT}{number}" for number in range(1, site.tenants))]
        self.demand_per_s = 0.0  # of each tenant
        self.cut: set[tuple[int, int]] = set()
        self.admitted: dict[str, list[tuple[float, float]]] = {tenant: [] for tenant in self.tenants}
        self.rejected: list[tuple[float, float]] = []  # first tries only
        self.tables: list[UsageTable | None] = [None] * site.tables
        self.routers = [self._router() for _ in range(site.routers)]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._links: dict[tuple[int, int], int] = {}  # number of the connection, for events of an earlier one
        self._last_exchange_ms: list[dict[int, float]] = [{} for _ in range(site.tables)]  # the latest last
        for table in range(site.tables):
            self.return_table(table, limits_after_ms=0.0)
        self.at(0.0, self._next_request)
        self.at(0.0, self._update_reserves)

    def at(self, when_ms: float, action: Callable[[], None]) -> None:
        """Call `action` at that time."""
        heapq.heappush(self._events, (when_ms, next(self._numbers), action))

    def run_until(self, end_ms: float) -> None:
        """Play all events up to that time."""
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms

    def _router(self) -> _Router:
        limiter = QuotaLimiter(Random(self.rng.random()))
        limiter.set_limits(self._limits())
        return _Router(limiter)

    def _limits(self) -> dict[str, RateLimit]:
        return dict.fromkeys(self.tenants, self.limit)

    def kill_table(self, number: int) -> None:
        """A controller dies with all that it knows."""
        self.tables[number] = None
        for router in range(len(self.routers)):
            self._links.pop((router, number), None)

    def return_table(self, number: int, limits_after_ms: float | None = None) -> None:
        """A controller starts empty; routers reach it one after another, and it learns the limits after a while."""
        table = UsageTable()
        if limits_after_ms is None:
            limits_after_ms = self.rng.uniform(0.0, MAX_ELECTION_MS)
        if limits_after_ms:
            known_ms = self.now_ms + limits_after_ms
            self.at(known_ms, lambda: table.set_limits(self._limits(), self.now_ms))
        else:
            table.set_limits(self._limits(), self.now_ms)
        self.tables[number] = table
        for router in range(len(self.routers)):
            self._connect(router, number)

    def restart_router(self, number: int) -> None:
        """A router starts again, without any usage."""
        before = self.routers[number]
        self.routers[number] = self._router()
        self.routers[number].incarnation = before.incarnation + 1
        for table in range(self.site.tables):
            self._connect(number, table)

    def lose_answers(self, pairs: set[tuple[int, int]], for_ms: float) -> None:
        """One-way cuts: a last report arrives, its answer does not; later the pairs connect anew."""
        for number, index in pairs:
            table = self.tables[index]
            if table is not None and self._links.pop((number, index), None) is not None:
                self._pull(number, index, table, is_first=False)
                self.at(self.now_ms + for_ms, lambda pair=(number, index): self._connect(*pair))

    def add_routers(self, routers: int) -> None:
        """More routers start, beside those that are there."""
        for number in range(len(self.routers), len(self.routers) + routers):
            self.routers.append(self._router())
            for table in range(self.site.tables):
                self._connect(number, table)

    def freeze_router(self, number: int, for_ms: float) -> None:
        """A router's machine stops; what was sent to it meanwhile is read all at once."""
        router = self.routers[number]
        if not router.is_frozen:
            router.is_frozen = True
            self.at(self.now_ms + for_ms, lambda: self._thaw(number, router, for_ms))

    def _thaw(self, number: int, router: _Router, for_ms: float) -> None:
        router.is_frozen = False
        if self.routers[number] is not router:  # killed meanwhile
            return
        if for_ms >= CONNECTION_TIMEOUT_MS:
            for index in range(self.site.tables):
                self._connect(number, index)
        self.rng.shuffle(router.unread)
        for read in router.unread:
            read()
        router.unread.clear()

    def set_limit(self, limit: RateLimit, behind: frozenset[int] = frozenset(), late_ms: float = 0.0) -> None:
        """A change of the configuration reaches routers within `late_ms`, and all tables but those that are behind."""
        self.limit = limit
        for index, table in enumerate(self.tables):
            if table is not None and table.has_limits and index not in behind:
                table.set_limits(self._limits(), self.now_ms)
        for router in self.routers:
            if late_ms:
                at_ms = self.now_ms + self.rng.uniform(0.0, late_ms)
                self.at(at_ms, lambda router=router: router.limiter.set_limits(self._limits()))
            else:
                router.limiter.set_limits(self._limits())

    def catch_up(self) -> None:
        """Tables that were behind learn the limits in force."""
        for table in self.tables:
            if table is not None and table.has_limits:
                table.set_limits(self._limits(), self.now_ms)

    def _connect(self, router: int, table: int) -> None:
        link = self._links[router, table] = next(self._numbers)
        self.routers[router].pulled.pop(table, None)
        self.at(
            self.now_ms + self.rng.uniform(0.0, MAX_RECONNECT_MS), lambda: self._exchange(router, table, link)
        )

    def _exchange(self, number: int, index: int, link: int) -> None:
        """A table answers the pending pull of a router, which pulls again; the first pull is answered at once."""
        table, router = self.tables[index], self.routers[number]
        if table is None or self._links.get((number, index)) != link:
            return
        if router.is_frozen:
            if index in router.pulled and (number, index) not in self.cut:
                self._answer(number, index, table)
        elif (number, index) not in self.cut:
            self._last_exchange_ms[index].pop(number, None)
            self._last_exchange_ms[index][number] = self.now_ms
            if index not in router.pulled:
                self._pull(number, index, table, is_first=True)
            self._answer(number, index, table)
            self._pull(number, index, table, is_first=False)
        self.at(self.now_ms + self.site.report_ms, lambda: self._exchange(number, index, link))

    def _answer(self, number: int, index: int, table: UsageTable) -> None:
        router = self.routers[number]
        tenants = dict.fromkeys([*router.pulled[index], *table.scarce_tenants(self.now_ms)])
        statuses = table.statuses(list(tenants), self.now_ms) if table.has_limits else None
        router_count = self._router_count(index)
        if router.is_frozen:
            link = self._links[number, index]

            def read() -> None:
                self._receive(router, index, router_count, statuses)
                if self._links.get((number, index)) == link:
                    self._pull(number, index, table, is_first=False)

            router.unread.append(read)
            del router.pulled[index]
        else:
            self._receive(router, index, router_count, statuses)

    def _receive(
        self, router: _Router, index: int, router_count: int, statuses: dict[str, QuotaStatus] | None
    ) -> None:
        router.is_configured = True
        router.learn_count(router_count, self.now_ms)
        if statuses is not None:
            router.limiter.receive_statuses(f"c{index}", statuses, self.now_ms)

    def _answer_all(self, index: int, table: UsageTable) -> None:
        for number, router in enumerate(self.routers):
            is_connected = (number, index) in self._links and (number, index) not in self.cut
            if is_connected and index in router.pulled and self.tables[index] is table:
                self._answer(number, index, table)
                if not router.is_frozen:
                    self._pull(number, index, table, is_first=False)

    def _pull(self, number: int, index: int, table: UsageTable, *, is_first: bool) -> None:
        """Report a router's usage. Where little is left, the table answers all pending pulls ahead of time."""
        router = self.routers[number]
        usage = router.limiter.usage(f"c{index}", self.now_ms)
        router.pulled[index] = list(usage)
        process = f"r{number}/{router.incarnation}"
        snapshot = router.limiter.snapshot(self.now_ms) if is_first else None
        if table.record_report(process, usage, self.now_ms, self.now_ms, snapshot):
            self.at(self.now_ms + URGENT_ANSWER_MS, lambda: self._answer_all(index, table))

    def _router_count(self, index: int) -> int:
        last_exchanges = self._last_exchange_ms[index]
        while last_exchanges:
            router = next(iter(last_exchanges))
            if last_exchanges[router] > self.now_ms - CONNECTION_TIMEOUT_MS:
                break
            del last_exchanges[router]
        return max(1, len(last_exchanges))

    def _update_reserves(self) -> None:
        for index, table in enumerate(self.tables):
            if table is not None:
                away = sum((router, index) in self.cut for router in range(len(self.routers)))
                table.set_unreachable(away / len(self.routers), self.site.over)
        self.at(self.now_ms + RESERVE_MS, self._update_reserves)

    def _next_request(self) -> None:
        mean_tokens = (self.site.min_tokens + self.site.max_tokens) / 2.0
        if self.demand_per_s > 0.0:
            tenant = self.rng.choice(self.tenants) if len(self.tenants) > 1 else TENANT
            tokens = self.rng.uniform(self.site.min_tokens, self.site.max_tokens)
            self._request(tenant, tokens, is_retry=False)
        per_s = max(self.demand_per_s * len(self.tenants), mean_tokens) / mean_tokens
        self.at(self.now_ms + 1_000.0 * self.rng.expovariate(per_s), self._next_request)

    def _request(self, tenant: str, tokens: float, *, is_retry: bool) -> None:
        router = self.routers[self.rng.randrange(len(self.routers))]
        if router.is_frozen:
            router.unread.append(lambda: self._admit(router, tenant, tokens, is_retry=is_retry))
        else:
            self._admit(router, tenant, tokens, is_retry=is_retry)

    def _admit(self, router: _Router, tenant: str, tokens: float, *, is_retry: bool) -> None:
        if not router.is_configured:  # its first answer brings the configuration
            return
        verdict = router.limiter.admit(tenant, tokens, self.now_ms)
        if isinstance(verdict, QuotaCharge):
            self.admitted[tenant].append((self.now_ms, tokens))
            return
        if not is_retry:
            self.rejected.append((self.now_ms, tokens))
            retry_ms = self.now_ms + 1_000.0 * verdict.retry_after_s
            self.at(retry_ms, lambda: self._request(tenant, tokens, is_retry=True))

    def most_in_a_window(self, since_ms: float = 0.0) -> float:
        """Return the tokens of one tenant admitted within the fullest window."""
        return max(self._most_of(admitted, since_ms) for admitted in self.admitted.values())

    def _most_of(self, admitted: list[tuple[float, float]], since_ms: float) -> float:
        most = window = 0.0
        start = 0
        for when_ms, tokens in admitted:
            window += tokens
            while admitted[start][0] <= when_ms - self.site.window_ms:
                window -= admitted[start][1]
                start += 1
            if when_ms >= since_ms:
                most = max(most, window)
        return most

    def admitted_within(self, since_ms: float, until_ms: float) -> float:
        """Return the tokens admitted in that time."""
        all_admitted = chain.from_iterable(self.admitted.values())
        return sum(tokens for when_ms, tokens in all_admitted if since_ms <= when_ms < until_ms)

    def rejected_within(self, since_ms: float, until_ms: float) -> float:
        """Return the tokens of requests rejected at their first try in that time."""
        return sum(tokens for when_ms, tokens in self.rejected if since_ms <= when_ms < until_ms)
