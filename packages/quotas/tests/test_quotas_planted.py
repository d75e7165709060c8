"""Plants faults in leases, allocators and reserves. The simulations must detect each of them."""

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
    patch.setattr(LeaseTable, "_knows_all_leases", lambda self, members, now_ms: True)


def a_smaller_share_counts_at_once(patch: pytest.MonkeyPatch) -> None:
    def offer(
        self: LeaseTable, holder: str, claim: ShareClaim, members: Collection[str], now_ms: float
    ) -> ShareOffer:
        share = self._next_share(holder, claim, members, now_ms)
        lease = self._leases[holder]
        lease.share, lease.expires_ms = share, now_ms + share_leases.LEASE_MS
        return ShareOffer(self.term, share)

    patch.setattr(LeaseTable, "offer", offer)


def offers_of_earlier_terms_are_accepted(patch: pytest.MonkeyPatch) -> None:
    def accept(self: ShareHolder, offer: ShareOffer, claimed_ms: float) -> None:
        self._term, self._share = max(self._term, offer.term), offer.share
        self.expires_ms = claimed_ms + share_leases.LEASE_MS

    patch.setattr(ShareHolder, "accept", accept)


def a_lease_counts_from_its_arrival(patch: pytest.MonkeyPatch) -> None:
    original = ShareHolder.accept
    patch.setattr(
        ShareHolder, "accept", lambda self, offer, claimed_ms: original(self, offer, claimed_ms + 1_500.0)
    )


def a_restarted_controller_grants_half_a_burst(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota_allocator, "RESTARTS_FRACTION", 100.0)


def every_request_is_admitted_while_anything_is_left(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LocalReserve, "missing", lambda self, units: 0.0)
    patch.setattr(LocalReserve, "admits", lambda self, units: True)


def no_rate_is_reserved_for_isolated_processes(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(QuotaAllocator, "set_rate_fraction", lambda self, fraction, now_ms: None)
    patch.setattr(local_reserve, "ISOLATED_FRACTION", 3.0)


def isolated_parts_are_rounded_up(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LocalReserve, "missing", lambda self, units: 0.0)


def a_restarted_controller_starts_far_in_debt(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(quota_allocator, "RESTARTS_FRACTION", -1.0)


def expired_leases_are_not_removed(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(LeaseTable, "_forget_expired", lambda self, now_ms: None)


def find_excess_during_faults(seed: int) -> None:
    returns.test_admissions_stay_within_the_limit_during_every_fault(returns.LARGE, seed)


def find_excess_during_an_outage(seed: int) -> None:
    outages.test_controllers_that_answer_before_they_know_the_limits_grant_nothing(outages.MEDIUM, seed)


def find_excess_during_two_outages(seed: int) -> None:
    disturbances.test_no_disturbance_exceeds_the_limit(disturbances.controllers_crash_twice, seed)


def find_excess_of_shares(seed: int) -> None:
    leases.test_shares_in_force_never_exceed_the_total(seed)


def find_excess_by_isolated_processes(seed: int) -> None:
    isolation.test_isolated_processes_do_not_each_go_into_debt_by_one_request(195, seed)


def find_an_unused_share(seed: int) -> None:
    leases.test_a_member_that_is_silent_for_a_lease_loses_its_share_to_the_others()


def find_an_accepted_stale_offer(seed: int) -> None:
    leases.test_a_delayed_offer_of_an_earlier_term_is_ignored()


def find_rejections_below_the_limit(seed: int) -> None:
    returns.test_below_the_limit_nobody_is_rejected_a_second_after_a_fault(seed)


FAULTS: list[tuple[Patch, Find]] = [
    (a_new_primary_knows_all_leases_at_once, find_excess_of_shares),
    (a_smaller_share_counts_at_once, find_excess_of_shares),
    (offers_of_earlier_terms_are_accepted, find_an_accepted_stale_offer),
    (a_lease_counts_from_its_arrival, find_excess_of_shares),
    (a_restarted_controller_grants_half_a_burst, find_excess_during_two_outages),
    (every_request_is_admitted_while_anything_is_left, find_excess_during_an_outage),
    (no_rate_is_reserved_for_isolated_processes, find_excess_during_faults),
    (isolated_parts_are_rounded_up, find_excess_by_isolated_processes),
    (a_restarted_controller_starts_far_in_debt, find_rejections_below_the_limit),
    (expired_leases_are_not_removed, find_an_unused_share),
]


@pytest.mark.parametrize(("plant", "find"), FAULTS, ids=lambda one: getattr(one, "__name__", ""))
def test_the_simulations_detect_the_fault(plant: Patch, find: Find, monkeypatch: pytest.MonkeyPatch) -> None:
    plant(monkeypatch)
    for seed in range(MAX_SEEDS):
        try:
            find(seed)
        except AssertionError:
            print(f"{plant.__name__}: found by seed {seed}")
            return
    pytest.fail(f"{MAX_SEEDS} simulations did not detect the fault")
