"""A simulated fleet: routers that request units, controllers that grant them, clients, and faults of all of these.

The simulation processes events on one clock. It includes only the part of replication that quotas need: there is at
most one primary, whose lease a majority renews, and the next one is elected some time after that lease has expired.
"""

from __future__ import annotations

from collections.abc import Callable
from itertools import chain
from random import Random

from larkweir_quotas.limits import RateLimit
from larkweir_quotas.quota_allocator import QuotaAllocator, QuotaDecision, QuotaOutcome
from larkweir_quotas.quota_requester import AdmissionRule, Query, QuotaCharge, QuotaRequester, Step
from quota_controllers import ControllerGroup
from quota_processes import (
    LATE_FRACTION,
    MAX_LATENCY_MS,
    MAX_LIMITS_MS,
    MAX_RECONNECT_MS,
    QUERY_TIMEOUT_MS,
    SHARE_WAIT_MS,
    SILENCE_TIMEOUT_MS,
    TENANT,
    Controller,
    FleetConfig,
    Request,
    Router,
)


class Fleet(ControllerGroup):
    """Routers, controllers and clients.

    Attributes:
        cut_links: pairs (router, controller) that do not reach each other.
        one_way_links: pairs (router, controller) where only the router's messages arrive.
        max_latency_ms: maximum latency of a message.
    """

    def __init__(self, config: FleetConfig, seed: int) -> None:
        super().__init__(config, seed)
        self.demand_per_s = 0.0  # tokens requested per second by each tenant
        self.cut_links: set[tuple[int, int]] = set()
        self.one_way_links: set[tuple[int, int]] = set()
        self.max_latency_ms = MAX_LATENCY_MS
        self.admitted: dict[str, list[tuple[float, float]]] = {tenant: [] for tenant in self.tenants}
        self.rejected: list[tuple[float, float]] = []  # without retries
        self.by_rule: dict[AdmissionRule, float] = {}
        self._links: dict[tuple[int, int], int] = {}  # connection number, to ignore events of earlier ones
        self._received_ms: dict[
            tuple[int, int], float
        ] = {}  # when the router last received from the controller
        self.routers = [self._router() for _ in range(config.routers)]
        for number in range(config.controllers):
            self.start_controller(number, limits_after_ms=0.0, is_first=True)
        self.at(0.0, self._next_request)
        self.at(0.0, self._tick)

    # Faults

    def kill_controller(self, number: int) -> None:
        """Crash a controller, which loses its state. Its connections are reset or become silent."""
        self.controllers[number] = None
        if self._primary == number:
            self._end_term()
        is_silent = self.rng.random() < 0.3
        for router in range(len(self.routers)):
            if (router, number) in self._links and not is_silent:
                self._disconnect(router, number)

    def start_controller(
        self, number: int, limits_after_ms: float | None = None, *, is_first: bool = False
    ) -> None:
        """Start a controller without state. It learns the limits later, and routers connect to it one by one."""
        allocator = QuotaAllocator(self.config.tolerance)
        controller = self.controllers[number] = Controller(self.now_ms, allocator)
        after_ms = self.rng.uniform(0.0, MAX_LIMITS_MS) if limits_after_ms is None else limits_after_ms
        self.at(self.now_ms + after_ms, lambda: self._learn_limits(controller, is_first=is_first))
        self.at(self.now_ms + after_ms, lambda: self._claim(number, controller))
        for router in range(len(self.routers)):
            self._disconnect(router, number)

    def _learn_limits(self, controller: Controller, *, is_first: bool) -> None:
        controller.has_limits = True
        self._set_limits_at(controller, is_restart=not is_first)

    def _set_limits_at(self, controller: Controller, *, is_restart: bool = False) -> None:
        controllers = self.config.controllers
        controller.allocator.set_limits(
            self._limits(), self.now_ms, controllers=controllers, is_restart=is_restart
        )

    def freeze_controller(self, number: int, duration_ms: float) -> None:
        """Pause a controller for that time."""
        controller = self.controllers[number]
        if controller is not None:
            controller.is_frozen = True
            self.at(self.now_ms + duration_ms, lambda: setattr(controller, "is_frozen", False))

    def restart_router(self, number: int) -> None:
        """Restart a router, which loses its state."""
        self.routers[number] = self._router()
        for controller in range(self.config.controllers):
            self._disconnect(number, controller)

    def add_routers(self, routers: int) -> None:
        """Start additional routers."""
        for number in range(len(self.routers), len(self.routers) + routers):
            self.routers.append(self._router())
            for controller in range(self.config.controllers):
                self._disconnect(number, controller)

    def freeze_router(self, number: int, duration_ms: float) -> None:
        """Pause a router for that time. It then reads all messages that arrived meanwhile at once."""
        router = self.routers[number]
        if not router.is_frozen:
            router.is_frozen = True
            self.at(self.now_ms + duration_ms, lambda: self._unfreeze(number, router))

    def _unfreeze(self, number: int, router: Router) -> None:
        router.is_frozen = False
        if self.routers[number] is not router:  # it was restarted meanwhile
            return
        self.rng.shuffle(router.unread)
        unread, router.unread = router.unread, []
        for read in unread:
            read()

    def set_limit(self, limit: RateLimit, behind: frozenset[int] = frozenset(), late_ms: float = 0.0) -> None:
        """Change the limit at routers within `late_ms`, and at once at all controllers that are not in `behind`.

        Controllers in `behind` answer "undecided" to routers that already have the new limit.
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
        """Set the current limits at the controllers that were behind."""
        for controller in self.controllers:
            if controller is not None and controller.is_behind:
                controller.is_behind = False
                self._set_limits_at(controller)

    def _router(self) -> Router:
        requester = QuotaRequester(self.config.tolerance, Random(self.rng.random()))
        requester.set_limits(self._limits(), self.now_ms)
        return Router(requester, self.now_ms)

    # Connections

    def _disconnect(self, router: int, controller_id: int) -> None:
        """Close the connection, if there is one, and let the router connect again."""
        link = self._links.pop((router, controller_id), None)
        if link is not None:
            self._report_lost_controller(self.routers[router], controller_id, link)
            controller = self.controllers[controller_id]
            if controller is not None:
                controller.connected.pop(router, None)
                controller.lost_ms[router] = self.now_ms
        self._schedule_connect(router, controller_id)

    def _report_lost_controller(self, router: Router, controller_id: int, link: int) -> None:
        """Tell a router that a connection was lost; a paused router handles that when it resumes."""

        def notice() -> None:
            for request_id, step in router.requester.on_controller_lost(
                f"{controller_id}#{link}", self.now_ms
            ):
                self._handle_step(router, router.pending.pop(request_id), step)

        if router.is_frozen:
            router.unread.append(notice)
        else:
            notice()

    def _schedule_connect(self, router: int, controller_id: int) -> None:
        router_process = self.routers[router]
        self.at(
            self.now_ms + self.rng.uniform(0.0, MAX_RECONNECT_MS),
            lambda: self._connect(router, controller_id, router_process),
        )

    def _connect(self, router: int, controller_id: int, router_process: Router) -> None:
        if self.routers[router] is not router_process or (router, controller_id) in self._links:
            return
        controller = self.controllers[controller_id]
        is_unreachable = controller is None or controller.is_frozen or router_process.is_frozen
        if (
            is_unreachable
            or (router, controller_id) in self.cut_links
            or (router, controller_id) in self.one_way_links
        ):
            self._schedule_connect(router, controller_id)
            return
        assert controller is not None
        link = self._links[router, controller_id] = next(self._numbers)
        controller.lost_ms.pop(router, None)
        if router_process.is_reliable:
            controller.expected_routers = max(controller.expected_routers, router_process.max_count)
        self._received_ms[router, controller_id] = controller.connected[router] = self.now_ms
        self._exchange(router, controller_id, link)

    def _exchange(self, router_id: int, controller_id: int, link: int) -> None:
        """Let a controller answer a router's pending pull, or close the connection after a long silence."""
        if self._links.get((router_id, controller_id)) != link:
            return
        controller, router = self.controllers[controller_id], self.routers[router_id]
        is_reached = (router_id, controller_id) not in self.cut_links and (
            router_id,
            controller_id,
        ) not in self.one_way_links
        is_up = controller is not None and not controller.is_frozen and is_reached
        if is_up and not router.is_frozen:
            assert controller is not None
            self._received_ms[router_id, controller_id] = controller.connected[router_id] = self.now_ms
            self._receive(router_id, controller_id, link)
        elif self.now_ms >= self._received_ms[router_id, controller_id] + SILENCE_TIMEOUT_MS:
            self._disconnect(router_id, controller_id)
            return
        self.at(
            self.now_ms + min(self.config.report_ms, SILENCE_TIMEOUT_MS / 2.0),
            lambda: self._exchange(router_id, controller_id, link),
        )

    def _receive(self, router_id: int, controller_id: int, link: int) -> None:
        controller, router = self.controllers[controller_id], self.routers[router_id]
        assert controller is not None
        is_granting = controller.has_limits and controller.allocator.has_share(self.now_ms)
        router.learn_count(len(controller.connected), self.now_ms, may_lower=is_granting)
        router.requester.set_granting(f"{controller_id}#{link}", self.now_ms, is_granting=is_granting)

    # Requests

    def _next_request(self) -> None:
        mean_tokens = (self.config.min_tokens + self.config.max_tokens) / 2.0
        if self.demand_per_s > 0.0:
            tenant = self.rng.choice(self.tenants) if len(self.tenants) > 1 else TENANT
            tokens = self.rng.uniform(self.config.min_tokens, self.config.max_tokens)
            self._request(Request(tenant, tokens, is_retry=False))
        per_s = max(self.demand_per_s * len(self.tenants), mean_tokens) / mean_tokens
        self.at(self.now_ms + 1_000.0 * self.rng.expovariate(per_s), self._next_request)

    def _request(self, request: Request) -> None:
        router = self.routers[self.rng.randrange(len(self.routers))]
        if router.is_frozen:
            router.unread.append(lambda: self._begin(router, request))
        else:
            self._begin(router, request)

    def _begin(self, router: Router, request: Request) -> None:
        """Start a request if a controller has ever answered; wait up to `SHARE_WAIT_MS` if none holds a share."""
        if router.first_count_ms is None:
            return
        is_granting = router.requester.has_granting_controller
        is_connected = not is_granting and self._is_connected(router)
        if is_granting or not is_connected:
            self._start(router, request)
        else:
            self.at(self.now_ms + self.rng.uniform(0.0, SHARE_WAIT_MS), lambda: self._start(router, request))

    def _is_connected(self, router: Router) -> bool:
        number = self.routers.index(router) if router in self.routers else -1
        return any((number, index) in self._links for index in range(self.config.controllers))

    def _start(self, router: Router, request: Request) -> None:
        step = router.requester.begin(request.tenant, request.tokens, self.now_ms)
        self._handle_step(router, request, step)

    def _handle_step(self, router: Router, request: Request, step: Step) -> None:
        if isinstance(step, Query):
            router.pending[step.request_id] = request
            self._query(router, step)
            return
        if isinstance(step, QuotaCharge):
            self.by_rule[step.rule] = self.by_rule.get(step.rule, 0.0) + step.units
            if router in self.routers:  # otherwise it was restarted before it forwarded the request
                self.admitted[request.tenant].append((self.now_ms, request.tokens))
            return
        if not request.is_retry:
            self.rejected.append((self.now_ms, request.tokens))
            again = Request(request.tenant, request.tokens, is_retry=True)
            self.at(self.now_ms + 1_000.0 * step.retry_after_s, lambda: self._request(again))

    def _query(self, router: Router, query: Query) -> None:
        controller_id, _, link = query.controller.partition("#")
        arrives_ms = self.now_ms + self.rng.uniform(0.2, self.max_latency_ms)
        self.at(arrives_ms, lambda: self._decide(router, query, int(controller_id), int(link)))
        self.at(
            self.now_ms + QUERY_TIMEOUT_MS, lambda: self._read(router, lambda: self._time_out(router, query))
        )

    def _decide(self, router: Router, query: Query, controller_id: int, link: int) -> None:
        controller = self.controllers[controller_id]
        router_id = next((pair[0] for pair, one in self._links.items() if one == link), None)
        if (
            controller is None
            or controller.is_frozen
            or router_id is None
            or (router_id, controller_id) in self.cut_links
        ):
            return
        decision = QuotaDecision(QuotaOutcome.UNDECIDED)
        is_current = not controller.is_behind or router.requester.limits.get(query.tenant) != self.limit
        if controller.has_limits and is_current:
            decision = controller.allocator.request(query.tenant, query.units, self.now_ms)
        if (router_id, controller_id) in self.one_way_links:
            return
        is_late = self.rng.random() < LATE_FRACTION
        after_ms = QUERY_TIMEOUT_MS + 10.0 if is_late else self.rng.uniform(0.2, self.max_latency_ms)
        answer = lambda: self._receive_decision(router, query, controller, decision)  # noqa: E731
        self.at(self.now_ms + after_ms, lambda: self._read(router, answer))

    def _read(self, router: Router, read: Callable[[], None]) -> None:
        if router.is_frozen:
            router.unread.append(read)
        else:
            read()

    def _receive_decision(
        self, router: Router, query: Query, controller: Controller, decision: QuotaDecision
    ) -> None:
        step = router.requester.on_decision(query.request_id, query.controller, decision, self.now_ms)
        if step is not None:
            self._handle_step(router, router.pending.pop(query.request_id), step)
        elif decision.outcome is QuotaOutcome.GRANTED:
            controller.allocator.refund(query.tenant, query.units, self.now_ms)

    def _time_out(self, router: Router, query: Query) -> None:
        step = router.requester.on_timeout(query.request_id, query.controller, self.now_ms)
        if step is not None:
            self._handle_step(router, router.pending.pop(query.request_id), step)

    # Totals

    def max_admitted_in_window(self, since_ms: float = 0.0) -> float:
        """Return the largest number of tokens admitted for one tenant within any window that ends after `since_ms`."""
        return max(self._max_in_window(admitted, since_ms) for admitted in self.admitted.values())

    def _max_in_window(self, admitted: list[tuple[float, float]], since_ms: float) -> float:
        most = window = 0.0
        start = 0
        for when_ms, tokens in admitted:
            window += tokens
            while admitted[start][0] <= when_ms - self.config.window_ms:
                window -= admitted[start][1]
                start += 1
            if when_ms >= since_ms:
                most = max(most, window)
        return most

    def admitted_within(self, since_ms: float, until_ms: float) -> float:
        """Return the tokens admitted within that period."""
        all_admitted = chain.from_iterable(self.admitted.values())
        return sum(tokens for when_ms, tokens in all_admitted if since_ms <= when_ms < until_ms)

    def rejected_within(self, since_ms: float, until_ms: float) -> float:
        """Return the tokens of requests rejected at their first attempt within that period."""
        return sum(tokens for when_ms, tokens in self.rejected if since_ms <= when_ms < until_ms)
