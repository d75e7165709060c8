"""Faults planted in leases, allocators, requesters and reserves: the plays must find each."""

from __future__ import annotations

from collections.abc import Callable, Collection

import pytest
import test_quotas_disturbances as disturbances
import test_quotas_isolation as isolation
import test_quotas_outages as outages
import test_quotas_returns as returns
import test_quotas_share_leases as leases
from larkweir_quotas import local_reserve, quota_allocator, share_leases
from larkweir_quotas.local_reserve import LocalReserve
from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.share_leases import LeaseTable, ShareClaim, ShareHolder, ShareOffer

MAX_SEEDS = 60
Patch = Callable[[pytest.MonkeyPatch], None]
Find = Callable[[int], None]


def a_new_primary_knows_all_leases_at_once(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LeaseTable, "_knows_all", lambda self, members, now_ms: True)


def a_share_that_shrinks_counts_less_at_once(patch: pytest.MonkeyPatch) -> None:
    def offer(
        self: LeaseTable, holder: str, claim: ShareClaim, members: Collection[str], now_ms: float
    ) -> ShareOffer:
        share = self._next_share(holder, claim, members, now_ms)
        lease = self._leases[holder]
        lease.share, lease.expires_ms = share, now_ms + share_leases.LEASE_MS
        return ShareOffer(self.term, share)

    patch.setattr(LeaseTable, "offer", offer)


def offers_of_earlier_terms_are_taken(patch: pytest.MonkeyPatch) -> None:
    def accept(self: ShareHolder, offer: ShareOffer, claimed_ms: float) -> None:
        self._term, self._share = max(self._term, offer.term), offer.share
        self.expires_ms = claimed_ms + share_leases.LEASE_MS

    patch.setattr(ShareHolder, "accept", accept)


def a_lease_counts_from_its_arrival(patch: pytest.MonkeyPatch) -> None:
    original = ShareHolder.accept
    patch.setattr(
        ShareHolder, "accept", lambda self, offer, claimed_ms: original(self, offer, claimed_ms + 1_500.0)
    )


def a_returning_controller_hands_out_half_a_burst(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota_allocator, "RESTARTS_FRACTION", 100.0)


def every_request_is_admitted_while_anything_is_left(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LocalReserve, "missing", lambda self, units: 0.0)
    patch.setattr(LocalReserve, "admits", lambda self, units: True)


def nothing_is_reserved_for_the_isolated(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaAllocator, "set_rate_fraction", lambda self, fraction, now_ms: None)
    patch.setattr(local_reserve, "ISOLATED_FRACTION", 3.0)


def isolated_parts_are_rounded_up(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LocalReserve, "missing", lambda self, units: 0.0)


def a_returning_controller_begins_far_in_debt(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota_allocator, "RESTARTS_FRACTION", -1.0)


def shares_are_lost_for_good(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LeaseTable, "_forget_expired", lambda self, now_ms: None)


def find_too_much(seed: int) -> None:
    returns.test_the_sum_stays_under_the_limit_during_every_fault(returns.LARGE, seed)


def find_too_much_in_an_outage(seed: int) -> None:
    outages.test_controllers_that_answer_before_they_know_the_limits_hand_out_nothing(outages.MEDIUM, seed)


def find_too_much_in_two_outages(seed: int) -> None:
    disturbances.test_no_disturbance_passes_the_limit(disturbances.controllers_die_twice, seed)


def find_too_large_a_sum_of_shares(seed: int) -> None:
    leases.test_shares_in_force_never_exceed_the_total(seed)


def find_too_much_of_isolated_processes(seed: int) -> None:
    isolation.test_isolated_routers_do_not_each_go_into_debt_by_one_request(195, seed)


def find_a_share_that_nobody_has(seed: int) -> None:
    leases.test_a_member_that_is_silent_for_a_lease_loses_its_share_to_the_others()


def find_an_offer_that_is_void(seed: int) -> None:
    leases.test_a_delayed_offer_of_an_earlier_term_is_void()


def find_too_little(seed: int) -> None:
    returns.test_below_the_limit_nobody_is_rejected_a_second_after_a_fault(seed)


FAULTS: list[tuple[Patch, Find]] = [
    (a_new_primary_knows_all_leases_at_once, find_too_large_a_sum_of_shares),
    (a_share_that_shrinks_counts_less_at_once, find_too_large_a_sum_of_shares),
    (offers_of_earlier_terms_are_taken, find_an_offer_that_is_void),
    (a_lease_counts_from_its_arrival, find_too_large_a_sum_of_shares),
    (a_returning_controller_hands_out_half_a_burst, find_too_much_in_two_outages),
    (every_request_is_admitted_while_anything_is_left, find_too_much_in_an_outage),
    (nothing_is_reserved_for_the_isolated, find_too_much),
    (isolated_parts_are_rounded_up, find_too_much_of_isolated_processes),
    (a_returning_controller_begins_far_in_debt, find_too_little),
    (shares_are_lost_for_good, find_a_share_that_nobody_has),
]


@pytest.mark.parametrize(("plant", "find"), FAULTS, ids=lambda one: getattr(one, "__name__", ""))
def test_the_plays_find_it(plant: Patch, find: Find, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        try:
            find(seed)
        except AssertionError:
            print(f"{plant.__name__}: found by seed {seed}")
            return
    pytest.fail(f"{MAX_SEEDS} plays did not find it")
