"""A fleet in memory: routers that query for units, controllers that lease shares and hand them out, and faults of all.

Played event by event on one clock. The replication among the controllers is reduced to what quotas need of it: at most
one primary whose lease a majority renews, elected a while after the last one's lease has ended.
"""

from __future__ import annotations

import heapq
from collections.abc import Callable
from dataclasses import dataclass, field
from itertools import chain, count
from random import Random

from larkweir_quotas.limits import RateLimit, Tolerance
from larkweir_quotas.local_reserve import ISOLATED_FRACTION
from larkweir_quotas.quota_allocator import QuotaAllocator, QuotaDecision, QuotaOutcome
from larkweir_quotas.quota_requester import AdmissionRule, Query, QuotaCharge, QuotaRequester, Step
from larkweir_quotas.share_leases import LeaseTable, ShareClaim, ShareHolder, ShareOffer, Term

TENANT = "t"
LIMIT = RateLimit(200_000.0, 720_000.0)  # tokens, as on the day on which the fault was seen
TICK_MS = 40.0
LEADER_LEASE_MS = 320.0
LEADER_LEASE_MARGIN_MS = 40.0
ELECTION_MS = (100.0, 800.0)
MAX_LIMITS_MS = 300.0  # after a controller's return, until it knows the configuration
MAX_RECONNECT_MS = 600.0  # after a controller's return, until a router reaches it
SILENCE_MS = 1_000.0  # after which either end gives up a connection
QUERY_TIMEOUT_MS = 120.0
SHARE_WAIT_MS = 300.0
MAX_LATENCY_MS = 3.0
LATE_FRACTION = 0.003  # of answers that come after their request has given up waiting
MIN_REPORTING_MS = 2_000.0
ROUTER_COUNT_RETENTION_MS = 10_000.0  # as routers believe in the highest count that they were told
DISCONNECTED_MS = 30_000.0  # for so long a router that was lost counts as isolated
REBUILD_MS = 10_000.0  # after a controller's start, in which routers that it expects count as isolated


@dataclass(frozen=True)
class Site:
    """A fleet and the limit of its tenants."""

    routers: int = 195
    controllers: int = 5
    limit: RateLimit = LIMIT
    report_ms: float = 390.0
    min_tokens: float = 1_500.0
    max_tokens: float = 17_000.0
    window_ms: float = 8_000.0
    over: float = 0.1
    slack: float = 190_000.0
    tenants: int = 1  # each with that limit

    @property
    def tolerance(self) -> Tolerance:
        return Tolerance(self.window_ms / 1_000.0, self.over, self.slack)

    @property
    def allowed(self) -> float:
        """The most that may be admitted within any window."""
        used = self.limit.rate_per_s * self.window_ms / 1_000.0 + self.limit.burst
        return used * (1.0 + self.over) + self.slack


@dataclass(frozen=True)
class _Request:
    tenant: str
    tokens: float
    is_retry: bool


@dataclass
class _Router:
    requester: QuotaRequester
    started_ms: float
    pending: dict[int, _Request] = field(default_factory=dict)
    max_count: int = 1
    max_count_ms: float = 0.0
    first_count_ms: float | None = None
    is_frozen: bool = False
    unread: list[Callable[[], None]] = field(default_factory=list)  # what reaches it while it is frozen

    def learn_count(self, routers: int, now_ms: float) -> None:
        """Believe the highest count of late, once it has settled, as the fleet's routers do."""
        if self.first_count_ms is None:
            self.first_count_ms = now_ms
        if routers >= self.max_count or now_ms >= self.max_count_ms + ROUTER_COUNT_RETENTION_MS:
            self.max_count, self.max_count_ms = max(1, routers), now_ms
        if now_ms >= self.first_count_ms + MIN_REPORTING_MS:
            self.requester.process_count = self.max_count

    @property
    def is_reliable(self) -> bool:
        return self.requester.process_count > 0


@dataclass
class _Controller:
    started_ms: float
    allocator: QuotaAllocator
    holder: ShareHolder = field(default_factory=ShareHolder)
    lease_table: LeaseTable | None = None
    has_limits: bool = False
    is_frozen: bool = False
    is_behind: bool = False  # with an older configuration
    majority_ms: float = float("-inf")  # when a majority renewed its lease as the primary
    expected_routers: int = 0
    connected: dict[int, float] = field(default_factory=dict)  # by router: when it was last heard
    lost_ms: dict[int, float] = field(default_factory=dict)  # by router


class Fleet:
    """Routers, controllers and clients.

    Attributes:
        cut: pairs (router, controller) that do not reach each other.
        deaf: pairs (router, controller) of which the router's messages arrive and the controller's do not.
        split: controllers that do not reach the others; they reach each other.
        max_latency_ms: of a message.
    """

    def __init__(self, site: Site, seed: int) -> None:
        self.site = site
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.limit = site.limit
        self.tenants = [TENANT, *(f"{TENANT}{number}" for number in range(1, site.tenants))]
        self.demand_per_s = 0.0  # of each tenant
        self.cut: set[tuple[int, int]] = set()
        self.deaf: set[tuple[int, int]] = set()
        self.split: set[int] = set()
        self.max_latency_ms = MAX_LATENCY_MS
        self.admitted: dict[str, list[tuple[float, float]]] = {tenant: [] for tenant in self.tenants}
        self.rejected: list[tuple[float, float]] = []  # first tries only
        self.by_rule: dict[AdmissionRule, float] = {}
        self.most_shares = 0  # that were in force at once
        self.controllers: list[_Controller | None] = [None] * site.controllers
        self._term = 0
        self._primary: int | None = None
        self._election_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()
        self._links: dict[tuple[int, int], int] = {}  # number of the connection, for events of an earlier one
        self._heard_ms: dict[tuple[int, int], float] = {}  # by the router of the controller
        self.routers = [self._router() for _ in range(site.routers)]
        for number in range(site.controllers):
            self.return_controller(number, limits_after_ms=0.0, is_first=True)
        self.at(0.0, self._next_request)
        self.at(0.0, self._tick)

    def at(self, when_ms: float, action: Callable[[], None]) -> None:
        """Call `action` at that time."""
        heapq.heappush(self._events, (when_ms, next(self._numbers), action))

    def run_until(self, end_ms: float) -> None:
        """Play all events up to that time."""
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms

    # Faults

    def kill_controller(self, number: int) -> None:
        """A controller dies with all that it knows; its connections are reset, or fall silent."""
        self.controllers[number] = None
        if self._primary == number:
            self._end_term()
        is_silent = self.rng.random() < 0.3
        for router in range(len(self.routers)):
            if (router, number) in self._links and not is_silent:
                self._lose(router, number)

    def return_controller(
        self, number: int, limits_after_ms: float | None = None, *, is_first: bool = False
    ) -> None:
        """A controller starts empty; it learns the limits after a while, and routers reach it one after another."""
        allocator = QuotaAllocator(self.site.tolerance)
        controller = self.controllers[number] = _Controller(self.now_ms, allocator)
        after_ms = self.rng.uniform(0.0, MAX_LIMITS_MS) if limits_after_ms is None else limits_after_ms
        self.at(self.now_ms + after_ms, lambda: self._know_limits(controller, is_first=is_first))
        self.at(self.now_ms + after_ms, lambda: self._claim(number, controller))
        for router in range(len(self.routers)):
            self._lose(router, number)

    def _know_limits(self, controller: _Controller, *, is_first: bool) -> None:
        controller.has_limits = True
        self._set_limits_at(controller, is_restart=not is_first)

    def _set_limits_at(self, controller: _Controller, *, is_restart: bool = False) -> None:
        controllers = self.site.controllers
        controller.allocator.set_limits(
            self._limits(), self.now_ms, controllers=controllers, is_restart=is_restart
        )

    def freeze_controller(self, number: int, for_ms: float) -> None:
        """A controller's machine stands still."""
        controller = self.controllers[number]
        if controller is not None:
            controller.is_frozen = True
            self.at(self.now_ms + for_ms, lambda: setattr(controller, "is_frozen", False))

    def restart_router(self, number: int) -> None:
        """A router starts again, without any memory."""
        self.routers[number] = self._router()
        for controller in range(self.site.controllers):
            self._lose(number, controller)

    def add_routers(self, routers: int) -> None:
        """More routers start, beside those that are there."""
        for number in range(len(self.routers), len(self.routers) + routers):
            self.routers.append(self._router())
            for controller in range(self.site.controllers):
                self._lose(number, controller)

    def freeze_router(self, number: int, for_ms: float) -> None:
        """A router's machine stops; what was sent to it meanwhile is read all at once."""
        router = self.routers[number]
        if not router.is_frozen:
            router.is_frozen = True
            self.at(self.now_ms + for_ms, lambda: self._thaw(number, router))

    def _thaw(self, number: int, router: _Router) -> None:
        router.is_frozen = False
        if self.routers[number] is not router:  # killed meanwhile
            return
        self.rng.shuffle(router.unread)
        unread, router.unread = router.unread, []
        for read in unread:
            read()

    def set_limit(self, limit: RateLimit, behind: frozenset[int] = frozenset(), late_ms: float = 0.0) -> None:
        """A change of the configuration reaches routers within `late_ms`, and all controllers that are not behind.

        A router that has it takes nothing from a controller that has not.
        """
        self.limit = limit
        for number, controller in enumerate(self.controllers):
            if controller is None or not controller.has_limits:
                continue
            controller.is_behind = number in behind
            if not controller.is_behind:
                self._set_limits_at(controller)
        for router in self.routers:
            limits = self._limits()
            after_ms = self.rng.uniform(0.0, late_ms) if late_ms else 0.0
            self.at(
                self.now_ms + after_ms,
                lambda router=router, limits=limits: router.requester.set_limits(limits, self.now_ms),
            )

    def catch_up(self) -> None:
        """Controllers that were behind learn the limits in force."""
        for controller in self.controllers:
            if controller is not None and controller.is_behind:
                controller.is_behind = False
                self._set_limits_at(controller)

    # Controllers

    def _router(self) -> _Router:
        requester = QuotaRequester(self.site.tolerance, Random(self.rng.random()))
        requester.set_limits(self._limits(), self.now_ms)
        return _Router(requester, self.now_ms)

    def _limits(self) -> dict[str, RateLimit]:
        return dict.fromkeys(self.tenants, self.limit)

    def _reach_each_other(self, one: int, other: int) -> bool:
        return (one in self.split) == (other in self.split)

    def _has_majority(self, number: int) -> bool:
        alive = [
            other
            for other, controller in enumerate(self.controllers)
            if controller is not None
            and not controller.is_frozen
            and controller.has_limits
            and self._reach_each_other(number, other)
        ]
        return 2 * len(alive) > self.site.controllers

    def _tick(self) -> None:
        self._renew_leader()
        for number, controller in enumerate(self.controllers):
            if controller is not None and not controller.is_frozen and controller.has_limits:
                self._update_reserve(controller)
                if self._certain_term(number) is not None:
                    claim = controller.holder.claim(len(controller.connected), self.now_ms)
                    self._record_claim(number, number, claim)
                    self._accept(controller, self._offer(number, number, claim), self.now_ms)
        shares = (one.holder.share(self.now_ms) for one in self.controllers if one is not None)
        self.most_shares = max(self.most_shares, sum(shares))
        self.at(self.now_ms + TICK_MS, self._tick)

    def _renew_leader(self) -> None:
        primary = self.controllers[self._primary] if self._primary is not None else None
        is_running = primary is not None and not primary.is_frozen
        if self._primary is not None and is_running and self._has_majority(self._primary):
            assert primary is not None
            primary.majority_ms = self.now_ms
        is_over = primary is None or self.now_ms >= primary.majority_ms + LEADER_LEASE_MS
        if self._primary is not None and is_over:
            self._end_term()
        if self._primary is None and self.now_ms >= self._election_ms:
            candidates = [
                number
                for number, one in enumerate(self.controllers)
                if one is not None and not one.is_frozen and one.has_limits and self._has_majority(number)
            ]
            if candidates:
                self._primary = self.rng.choice(candidates)
                self._term += 1
                elected = self.controllers[self._primary]
                assert elected is not None
                elected.majority_ms = self.now_ms
                elected.lease_table = LeaseTable((self._term, str(self._primary)), self.now_ms)

    def _end_term(self) -> None:
        self._primary = None
        self._election_ms = self.now_ms + LEADER_LEASE_MS + self.rng.uniform(*ELECTION_MS)

    def _certain_term(self, number: int) -> Term | None:
        controller = self.controllers[number]
        if number != self._primary or controller is None or controller.lease_table is None:
            return None
        until_ms = controller.majority_ms + LEADER_LEASE_MS - LEADER_LEASE_MARGIN_MS
        return controller.lease_table.term if self.now_ms < until_ms else None

    def _members(self) -> list[str]:
        return [str(number) for number in range(self.site.controllers)]

    def _record_claim(self, primary: int, holder: int, claim: ShareClaim) -> None:
        controller = self.controllers[primary]
        assert controller is not None
        assert controller.lease_table is not None
        controller.lease_table.record_claim(str(holder), claim, self.now_ms)

    def _offer(self, primary: int, holder: int, claim: ShareClaim) -> ShareOffer:
        controller = self.controllers[primary]
        assert controller is not None
        assert controller.lease_table is not None
        return controller.lease_table.offer(str(holder), claim, self._members(), self.now_ms)

    def _accept(self, controller: _Controller, offer: ShareOffer, claimed_ms: float) -> None:
        controller.holder.accept(offer, claimed_ms)
        share = controller.holder.share(self.now_ms)
        controller.allocator.set_share(share, controller.holder.expires_ms, self.now_ms)

    def _claim(self, number: int, controller: _Controller) -> None:
        """A controller pulls from the primary, which answers when there is news, or after a while."""
        if self.controllers[number] is not controller:
            return
        primary = self._primary
        if (
            primary is None
            or primary == number
            or controller.is_frozen
            or not self._reach_each_other(number, primary)
        ):
            self.at(self.now_ms + 3.0 * TICK_MS, lambda: self._claim(number, controller))
            return
        claim, claimed_ms = controller.holder.claim(len(controller.connected), self.now_ms), self.now_ms
        arrived_ms = self.now_ms + self.rng.uniform(0.5, MAX_LATENCY_MS)
        self.at(arrived_ms, lambda: self._claim_arrives(number, controller, primary, claim, claimed_ms))

    def _claim_arrives(
        self, number: int, controller: _Controller, primary: int, claim: ShareClaim, claimed_ms: float
    ) -> None:
        lease_table = self._table_of(primary, number)
        if lease_table is None:
            self.at(self.now_ms + 3.0 * TICK_MS, lambda: self._claim(number, controller))
            return
        self._record_claim(primary, number, claim)
        is_urgent = lease_table.is_urgent(str(number), claim, self._members(), self.now_ms)
        answer_ms = self.now_ms + (0.0 if is_urgent else self.site.report_ms)
        self.at(answer_ms, lambda: self._answer_claim(number, controller, primary, claim, claimed_ms))

    def _table_of(self, primary: int, holder: int) -> LeaseTable | None:
        one = self.controllers[primary]
        if one is None or one.is_frozen or not self._reach_each_other(primary, holder):
            return None
        return one.lease_table if self._certain_term(primary) is not None else None

    def _answer_claim(
        self, number: int, controller: _Controller, primary: int, claim: ShareClaim, claimed_ms: float
    ) -> None:
        if self._table_of(primary, number) is not None and self.controllers[number] is controller:
            offer = self._offer(primary, number, claim)
            if not controller.is_frozen:
                self._accept(controller, offer, claimed_ms)
        self.at(self.now_ms + 1.0, lambda: self._claim(number, controller))

    def _update_reserve(self, controller: _Controller) -> None:
        for router, lost_ms in list(controller.lost_ms.items()):
            if router in controller.connected or self.now_ms >= lost_ms + DISCONNECTED_MS:
                del controller.lost_ms[router]
        lost, connected = len(controller.lost_ms), len(controller.connected)
        if self.now_ms < controller.started_ms + REBUILD_MS:
            lost = max(lost, controller.expected_routers - connected)
        reserved = ISOLATED_FRACTION * lost / max(1, lost + connected)
        controller.allocator.set_rate_fraction(1.0 - max(0.0, reserved - self.site.over), self.now_ms)

    # Connections

    def _lose(self, router: int, number: int) -> None:
        """Either end has lost the connection, or there was none; the router dials again."""
        link = self._links.pop((router, number), None)
        if link is not None:
            self._notice_lost(self.routers[router], number, link)
            controller = self.controllers[number]
            if controller is not None:
                controller.connected.pop(router, None)
                controller.lost_ms[router] = self.now_ms
        self._dial(router, number)

    def _notice_lost(self, router: _Router, number: int, link: int) -> None:
        """A router that stands still notices it when it goes on."""

        def notice() -> None:
            for request_id, step in router.requester.on_controller_lost(f"{number}#{link}", self.now_ms):
                self._follow(router, router.pending.pop(request_id), step)

        if router.is_frozen:
            router.unread.append(notice)
        else:
            notice()

    def _dial(self, router: int, number: int) -> None:
        who = self.routers[router]
        self.at(
            self.now_ms + self.rng.uniform(0.0, MAX_RECONNECT_MS), lambda: self._connect(router, number, who)
        )

    def _connect(self, router: int, number: int, who: _Router) -> None:
        if self.routers[router] is not who or (router, number) in self._links:
            return
        controller = self.controllers[number]
        is_away = controller is None or controller.is_frozen or who.is_frozen
        if is_away or (router, number) in self.cut or (router, number) in self.deaf:
            self._dial(router, number)
            return
        assert controller is not None
        link = self._links[router, number] = next(self._numbers)
        controller.lost_ms.pop(router, None)
        if who.is_reliable:
            controller.expected_routers = max(controller.expected_routers, who.max_count)
        self._heard_ms[router, number] = controller.connected[router] = self.now_ms
        self._exchange(router, number, link)

    def _exchange(self, number: int, index: int, link: int) -> None:
        """A controller answers the pending pull of a router; either end gives up after a long silence."""
        if self._links.get((number, index)) != link:
            return
        controller, router = self.controllers[index], self.routers[number]
        is_reached = (number, index) not in self.cut and (number, index) not in self.deaf
        is_up = controller is not None and not controller.is_frozen and is_reached
        if is_up and not router.is_frozen:
            assert controller is not None
            self._heard_ms[number, index] = controller.connected[number] = self.now_ms
            self._receive(number, index, link)
        elif self.now_ms >= self._heard_ms[number, index] + SILENCE_MS:
            self._lose(number, index)
            return
        self.at(
            self.now_ms + min(self.site.report_ms, SILENCE_MS / 2.0),
            lambda: self._exchange(number, index, link),
        )

    def _receive(self, number: int, index: int, link: int) -> None:
        controller, router = self.controllers[index], self.routers[number]
        assert controller is not None
        router.learn_count(len(controller.connected), self.now_ms)
        is_granting = controller.has_limits and controller.allocator.has_share(self.now_ms)
        router.requester.set_granting(f"{index}#{link}", self.now_ms, is_granting=is_granting)

    # Requests

    def _next_request(self) -> None:
        mean_tokens = (self.site.min_tokens + self.site.max_tokens) / 2.0
        if self.demand_per_s > 0.0:
            tenant = self.rng.choice(self.tenants) if len(self.tenants) > 1 else TENANT
            tokens = self.rng.uniform(self.site.min_tokens, self.site.max_tokens)
            self._request(_Request(tenant, tokens, is_retry=False))
        per_s = max(self.demand_per_s * len(self.tenants), mean_tokens) / mean_tokens
        self.at(self.now_ms + 1_000.0 * self.rng.expovariate(per_s), self._next_request)

    def _request(self, request: _Request) -> None:
        router = self.routers[self.rng.randrange(len(self.routers))]
        if router.is_frozen:
            router.unread.append(lambda: self._begin(router, request))
        else:
            self._begin(router, request)

    def _begin(self, router: _Router, request: _Request) -> None:
        """Routers take requests once a controller has answered, and wait a while for any to hold a share."""
        if router.first_count_ms is None:
            return
        is_granting = router.requester.has_granting
        is_connected = not is_granting and self._is_connected(router)
        if is_granting or not is_connected:
            self._start(router, request)
        else:
            self.at(self.now_ms + self.rng.uniform(0.0, SHARE_WAIT_MS), lambda: self._start(router, request))

    def _is_connected(self, router: _Router) -> bool:
        number = self.routers.index(router) if router in self.routers else -1
        return any((number, index) in self._links for index in range(self.site.controllers))

    def _start(self, router: _Router, request: _Request) -> None:
        step = router.requester.begin(request.tenant, request.tokens, self.now_ms)
        self._follow(router, request, step)

    def _follow(self, router: _Router, request: _Request, step: Step) -> None:
        if isinstance(step, Query):
            router.pending[step.request_id] = request
            self._query(router, step)
            return
        if isinstance(step, QuotaCharge):
            self.by_rule[step.rule] = self.by_rule.get(step.rule, 0.0) + step.units
            if router in self.routers:  # else killed before it sent the request on
                self.admitted[request.tenant].append((self.now_ms, request.tokens))
            return
        if not request.is_retry:
            self.rejected.append((self.now_ms, request.tokens))
            again = _Request(request.tenant, request.tokens, is_retry=True)
            self.at(self.now_ms + 1_000.0 * step.retry_after_s, lambda: self._request(again))

    def _query(self, router: _Router, query: Query) -> None:
        index, _, link = query.controller.partition("#")
        arrives_ms = self.now_ms + self.rng.uniform(0.2, self.max_latency_ms)
        self.at(arrives_ms, lambda: self._decide(router, query, int(index), int(link)))
        self.at(
            self.now_ms + QUERY_TIMEOUT_MS, lambda: self._read(router, lambda: self._time_out(router, query))
        )

    def _decide(self, router: _Router, query: Query, index: int, link: int) -> None:
        controller = self.controllers[index]
        number = next((pair[0] for pair, one in self._links.items() if one == link), None)
        if controller is None or controller.is_frozen or number is None or (number, index) in self.cut:
            return
        decision = QuotaDecision(QuotaOutcome.UNDECIDED)
        is_current = not controller.is_behind or router.requester.limits.get(query.tenant) != self.limit
        if controller.has_limits and is_current:
            decision = controller.allocator.request(query.tenant, query.units, self.now_ms)
        if (number, index) in self.deaf:
            return
        is_late = self.rng.random() < LATE_FRACTION
        after_ms = QUERY_TIMEOUT_MS + 10.0 if is_late else self.rng.uniform(0.2, self.max_latency_ms)
        answer = lambda: self._receive_decision(router, query, controller, decision)  # noqa: E731
        self.at(self.now_ms + after_ms, lambda: self._read(router, answer))

    def _read(self, router: _Router, read: Callable[[], None]) -> None:
        if router.is_frozen:
            router.unread.append(read)
        else:
            read()

    def _receive_decision(
        self, router: _Router, query: Query, controller: _Controller, decision: QuotaDecision
    ) -> None:
        step = router.requester.on_decision(query.request_id, query.controller, decision, self.now_ms)
        if step is not None:
            self._follow(router, router.pending.pop(query.request_id), step)
        elif decision.outcome is QuotaOutcome.GRANTED:
            controller.allocator.refund(query.tenant, query.units, self.now_ms)

    def _time_out(self, router: _Router, query: Query) -> None:
        step = router.requester.on_timeout(query.request_id, query.controller, self.now_ms)
        if step is not None:
            self._follow(router, router.pending.pop(query.request_id), step)

    # Sums

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


class FaultInjector:
    """Draws faults of controllers, routers and the links between them."""

    KINDS = (
        "cut_controller",
        "cut_routers",
        "cut_all",
        "split",
        "freeze",
        "restart_controller",
        "restart_all",
        "restart_router",
    )

    def __init__(self, fleet: Fleet) -> None:
        self.fleet = fleet
        self.rng = fleet.rng

    def inject(self) -> float:
        """Inject a fault; return after how many milliseconds `clear` is to be called."""
        for_ms = self.rng.choice([300.0, 900.0, 2_000.0, 8_000.0, 20_000.0])
        getattr(self, "_" + self.rng.choice(self.KINDS))(for_ms)
        return for_ms

    def clear(self) -> None:
        """End all faults."""
        self.fleet.cut.clear()
        self.fleet.split.clear()

    def _cut_controller(self, for_ms: float) -> None:
        number = self.rng.randrange(self.fleet.site.controllers)
        self.fleet.cut = {(router, number) for router in range(len(self.fleet.routers))}

    def _cut_routers(self, for_ms: float) -> None:
        some = self.rng.sample(range(len(self.fleet.routers)), max(1, len(self.fleet.routers) // 3))
        controllers = range(self.fleet.site.controllers)
        self.fleet.cut = {(router, number) for router in some for number in controllers}

    def _cut_all(self, for_ms: float) -> None:
        routers, controllers = range(len(self.fleet.routers)), range(self.fleet.site.controllers)
        self.fleet.cut = {(router, number) for router in routers for number in controllers}

    def _split(self, for_ms: float) -> None:
        self.fleet.split = set(
            self.rng.sample(range(self.fleet.site.controllers), self.fleet.site.controllers // 2)
        )

    def _freeze(self, for_ms: float) -> None:
        self.fleet.freeze_controller(self.rng.randrange(self.fleet.site.controllers), for_ms)

    def _restart_controller(self, for_ms: float) -> None:
        number = self.rng.randrange(self.fleet.site.controllers)
        self.fleet.kill_controller(number)
        self.fleet.return_controller(number)

    def _restart_all(self, for_ms: float) -> None:
        for number in range(self.fleet.site.controllers):
            self.fleet.kill_controller(number)
            self.fleet.return_controller(number)

    def _restart_router(self, for_ms: float) -> None:
        self.fleet.restart_router(self.rng.randrange(len(self.fleet.routers)))
