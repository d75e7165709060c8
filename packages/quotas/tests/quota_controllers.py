"""Simulated controllers, one of which is elected primary and leases shares of the quotas to all."""

from __future__ import annotations

import heapq
from collections.abc import Callable
from itertools import count
from random import Random

from larkweir_quotas.limits import RateLimit
from larkweir_quotas.local_reserve import ISOLATED_FRACTION
from larkweir_quotas.share_leases import LeaseTable, ShareClaim, ShareOffer, Term
from quota_processes import (
    DISCONNECTED_MS,
    ELECTION_MS,
    LEADER_LEASE_MARGIN_MS,
    LEADER_LEASE_MS,
    MAX_LATENCY_MS,
    TENANT,
    TICK_MS,
    Controller,
    FleetConfig,
)


class ControllerGroup:
    """The controllers, simulated event by event on the fleet's clock.

    Attributes:
        split_controllers: controllers that reach each other but none of the other controllers.
        max_total_share: largest sum of the shares that were in force at the same time.
    """

    def __init__(self, config: FleetConfig, seed: int) -> None:
        self.config = config
        self.rng = Random(seed)
        self.now_ms = 0.0
        self.limit = config.limit
        self.tenants = [TENANT, *(f"{TENANT}{number}" for number in range(1, config.tenants))]
        self.split_controllers: set[int] = set()
        self.max_total_share = 0
        self.controllers: list[Controller | None] = [None] * config.controllers
        self._term = 0
        self._primary: int | None = None
        self._election_ms = 0.0
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._numbers = count()

    def at(self, when_ms: float, action: Callable[[], None]) -> None:
        """Call `action` at that time."""
        heapq.heappush(self._events, (when_ms, next(self._numbers), action))

    def run_until(self, end_ms: float) -> None:
        """Process all events up to that time."""
        while self._events and self._events[0][0] < end_ms:
            self.now_ms, _, action = heapq.heappop(self._events)
            action()
        self.now_ms = end_ms

    def _limits(self) -> dict[str, RateLimit]:
        return dict.fromkeys(self.tenants, self.limit)

    def _reach_each_other(self, one: int, other: int) -> bool:
        return (one in self.split_controllers) == (other in self.split_controllers)

    def _has_majority(self, number: int) -> bool:
        alive = [
            other
            for other, controller in enumerate(self.controllers)
            if controller is not None
            and not controller.is_frozen
            and controller.has_limits
            and self._reach_each_other(number, other)
        ]
        return 2 * len(alive) > self.config.controllers

    def _tick(self) -> None:
        self._renew_leader()
        for number, controller in enumerate(self.controllers):
            if controller is not None and not controller.is_frozen and controller.has_limits:
                self._update_reserve(controller)
                if self._leased_term(number) is not None:
                    claim = controller.holder.claim(len(controller.connected), self.now_ms)
                    self._record_claim(number, number, claim)
                    self._accept(controller, self._offer(number, number, claim), self.now_ms)
        shares = (one.holder.share(self.now_ms) for one in self.controllers if one is not None)
        self.max_total_share = max(self.max_total_share, sum(shares))
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

    def _leased_term(self, number: int) -> Term | None:
        controller = self.controllers[number]
        if number != self._primary or controller is None or controller.lease_table is None:
            return None
        until_ms = controller.majority_ms + LEADER_LEASE_MS - LEADER_LEASE_MARGIN_MS
        return controller.lease_table.term if self.now_ms < until_ms else None

    def _members(self) -> list[str]:
        return [str(number) for number in range(self.config.controllers)]

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

    def _accept(self, controller: Controller, offer: ShareOffer, claimed_ms: float) -> None:
        controller.holder.accept(offer, claimed_ms)
        share = controller.holder.share(self.now_ms)
        controller.allocator.set_share(share, controller.holder.expires_ms, self.now_ms)

    def _claim(self, number: int, controller: Controller) -> None:
        """Send the claim of a controller to the primary, which answers at once if that is urgent, or else later."""
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
        self, number: int, controller: Controller, primary: int, claim: ShareClaim, claimed_ms: float
    ) -> None:
        lease_table = self._table_of(primary, number)
        if lease_table is None:
            self.at(self.now_ms + 3.0 * TICK_MS, lambda: self._claim(number, controller))
            return
        self._record_claim(primary, number, claim)
        is_urgent = lease_table.is_urgent(str(number), claim, self._members(), self.now_ms)
        answer_ms = self.now_ms + (0.0 if is_urgent else self.config.report_ms)
        self.at(answer_ms, lambda: self._answer_claim(number, controller, primary, claim, claimed_ms))

    def _table_of(self, primary: int, holder: int) -> LeaseTable | None:
        one = self.controllers[primary]
        if one is None or one.is_frozen or not self._reach_each_other(primary, holder):
            return None
        return one.lease_table if self._leased_term(primary) is not None else None

    def _answer_claim(
        self, number: int, controller: Controller, primary: int, claim: ShareClaim, claimed_ms: float
    ) -> None:
        if self._table_of(primary, number) is not None and self.controllers[number] is controller:
            offer = self._offer(primary, number, claim)
            if not controller.is_frozen:
                self._accept(controller, offer, claimed_ms)
        self.at(self.now_ms + 1.0, lambda: self._claim(number, controller))

    def _update_reserve(self, controller: Controller) -> None:
        for router, lost_ms in list(controller.lost_ms.items()):
            if router in controller.connected or self.now_ms >= lost_ms + DISCONNECTED_MS:
                del controller.lost_ms[router]
        lost, connected = len(controller.lost_ms), len(controller.connected)
        if self.now_ms < controller.started_ms + DISCONNECTED_MS:
            lost = max(lost, controller.expected_routers - connected)
        reserved = ISOLATED_FRACTION * lost / max(1, lost + connected)
        controller.allocator.set_rate_fraction(1.0 - reserved, self.now_ms)
