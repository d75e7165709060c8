"""Shares in force must never add up to more than the whole, despite elections, partitions and delays."""

from __future__ import annotations

import os
from dataclasses import dataclass, field
from random import Random

import pytest
from larkweir_quotas.share_leases import (
    LEASE_MS,
    NO_TERM,
    TOTAL_SHARE,
    LeaseTable,
    ShareClaim,
    ShareHolder,
    ShareOffer,
)

MEMBERS = ["a", "b", "c"]
FIRST, SECOND = (1, "a"), (2, "b")
STEP_MS = 10.0


def renew(lease_table: LeaseTable, name: str, holder: ShareHolder, now_ms: float, clients: int = 1) -> None:
    claim = holder.claim(clients, now_ms)
    lease_table.record_claim(name, claim, now_ms)
    holder.accept(lease_table.offer(name, claim, MEMBERS, now_ms), now_ms)


def confirmed_lease_table(now_ms: float = 0.0) -> tuple[LeaseTable, dict[str, ShareHolder]]:
    """Return a lease table whose term all members have confirmed, and holders that have their shares."""
    lease_table, holders = LeaseTable(FIRST, now_ms), {name: ShareHolder() for name in MEMBERS}
    for _ in range(3):
        for name, holder in holders.items():
            renew(lease_table, name, holder, now_ms)
    return lease_table, holders


def shares(holders: dict[str, ShareHolder], now_ms: float) -> list[int]:
    return [holder.share(now_ms) for holder in holders.values()]


def test_all_members_get_equal_shares_once_all_have_confirmed_the_term() -> None:
    lease_table, one = LeaseTable(FIRST, 0.0), ShareHolder()
    renew(lease_table, "a", one, 0.0)
    assert one.share(0.0) == 0, "the other members may hold leases of an earlier primary"
    assert shares(confirmed_lease_table()[1], 0.0) == [TOTAL_SHARE // 3] * 3


def test_a_member_that_is_silent_for_a_lease_loses_its_share_to_the_others() -> None:
    lease_table, holders = confirmed_lease_table()
    for now_ms in (LEASE_MS / 2.0, LEASE_MS - 1.0, LEASE_MS + 1.0):
        for name in ("a", "b"):
            renew(lease_table, name, holders[name], now_ms)
    # The shares of the others grow at the first renewal after the silent member's lease has expired.
    assert shares(holders, LEASE_MS + 1.0) == [TOTAL_SHARE // 2, TOTAL_SHARE // 2, 0]


def test_a_new_primary_renews_claims_but_lets_none_grow_until_earlier_leases_have_ended() -> None:
    _, holders = confirmed_lease_table()
    lease_table = LeaseTable(SECOND, 100.0)
    for _ in range(3):
        for name in ("a", "b"):
            renew(lease_table, name, holders[name], 100.0)
    assert shares(holders, 100.0) == [TOTAL_SHARE // 3] * 3
    for now_ms in (100.0 + LEASE_MS / 2.0, 100.0 + LEASE_MS):
        for name in ("a", "b"):
            renew(lease_table, name, holders[name], now_ms)
    assert shares(holders, 100.0 + LEASE_MS) == [TOTAL_SHARE // 2, TOTAL_SHARE // 2, 0]


def test_a_delayed_offer_of_an_earlier_term_is_ignored() -> None:
    _, holders = confirmed_lease_table()
    renew(LeaseTable(SECOND, 100.0), "a", holders["a"], 100.0)
    holders["a"].accept(ShareOffer(FIRST, TOTAL_SHARE), 100.0)
    assert holders["a"].share(100.0) == TOTAL_SHARE // 3


def test_a_restarted_process_has_no_share_and_gets_one_at_once() -> None:
    lease_table, holders = confirmed_lease_table()
    holders["c"] = ShareHolder()
    for _ in range(2):
        renew(lease_table, "c", holders["c"], 50.0)
    assert shares(holders, 50.0) == [TOTAL_SHARE // 3] * 3


def test_shares_are_in_proportion_to_clients() -> None:
    lease_table, holders = confirmed_lease_table()
    for _ in range(3):
        for name, clients in (("a", 0), ("b", 100), ("c", 300)):
            renew(lease_table, name, holders[name], 50.0, clients)
    assert shares(holders, 50.0) == [0, TOTAL_SHARE // 4, 3 * TOTAL_SHARE // 4]


def test_a_non_member_gets_no_share() -> None:
    lease_table, non_member = confirmed_lease_table()[0], ShareHolder()
    renew(lease_table, "d", non_member, 50.0)
    renew(lease_table, "d", non_member, 50.0)
    assert non_member.share(50.0) == 0


def test_a_first_claim_is_urgent_until_its_share_has_arrived() -> None:
    lease_table = LeaseTable(FIRST, 0.0)
    holder = ShareHolder()
    claim = holder.claim(1, 0.0)
    lease_table.record_claim("a", claim, 0.0)
    assert lease_table.is_urgent("a", claim, ["a"], 0.0)
    for _ in range(2):
        claim = holder.claim(1, 0.0)
        lease_table.record_claim("a", claim, 0.0)
        holder.accept(lease_table.offer("a", claim, ["a"], 0.0), 0.0)
    claim = holder.claim(1, 0.0)
    lease_table.record_claim("a", claim, 0.0)
    assert claim == ShareClaim(FIRST, TOTAL_SHARE, 1)
    assert not lease_table.is_urgent("a", claim, ["a"], 0.0)
    assert holder.claim(1, LEASE_MS) == ShareClaim(FIRST, 0, 1), "the lease has expired"
    assert ShareHolder().claim(1, 0.0).term == NO_TERM


@dataclass
class Group:
    """Holders and primaries whose messages are delayed, lost, or read late because the holder is paused."""

    rng: Random
    now_ms: float = 0.0
    holders: dict[str, ShareHolder] = field(default_factory=lambda: {one: ShareHolder() for one in "abcde"})
    lease_tables: list[LeaseTable] = field(default_factory=list)  # one per term, the current one last
    has_primary: bool = False
    is_stable: bool = False
    paused_until_ms: dict[str, float] = field(default_factory=dict)
    claiming: set[tuple[str, int]] = field(default_factory=set)  # holder and term of each unanswered claim
    due: list[tuple[float, int, str, ShareOffer | ShareClaim, float]] = field(default_factory=list)

    def step(self) -> None:
        self.now_ms += STEP_MS
        self._change_primary()
        for name in self.holders:
            term = len(self.lease_tables)
            if (name, term) not in self.claiming and self.rng.random() < 0.2:
                self.claiming.add((name, term))
                clients = 195 if self.is_stable else self.rng.choice([0, 1, 50, 195])
                claim = self.holders[name].claim(clients, self.now_ms)
                self._send(name, claim, self.now_ms)
            if not self.is_stable and self.rng.random() < 0.003:
                self.paused_until_ms[name] = self.now_ms + self.rng.uniform(100.0, 3.0 * LEASE_MS)
            if not self.is_stable and self.rng.random() < 0.002:
                self._restart(name)
        for message in [one for one in self.due if one[0] <= self.now_ms]:
            self._deliver(message)

    def _change_primary(self) -> None:
        if self.has_primary and not self.is_stable and self.rng.random() < 0.003:
            self.has_primary = False
        elif not self.has_primary and self.rng.random() < 0.03:
            self.lease_tables.append(LeaseTable((len(self.lease_tables) + 1, "p"), self.now_ms))
            self.has_primary = True

    def _restart(self, name: str) -> None:
        """Replace the process by a new one. Messages to and from the earlier process are lost."""
        self.holders[name] = ShareHolder()
        self.claiming = {one for one in self.claiming if one[0] != name}
        self.due = [one for one in self.due if one[2] != name]

    def _send(self, name: str, message: ShareOffer | ShareClaim, claimed_ms: float) -> None:
        arrives_ms = (
            self.now_ms + STEP_MS
            if self.is_stable
            else self.rng.choice([STEP_MS, STEP_MS, 50.0, 50.0, 400.0, 1_500.0])
        )
        self.due.append((arrives_ms, len(self.lease_tables), name, message, claimed_ms))

    def _deliver(self, message: tuple[float, int, str, ShareOffer | ShareClaim, float]) -> None:
        _, term, name, content, claimed_ms = message
        if isinstance(content, ShareOffer) and self.now_ms < self.paused_until_ms.get(name, 0.0):
            return  # the holder reads it when the pause is over
        self.due.remove(message)
        if not self.is_stable and self.rng.random() < 0.1:
            self.claiming.discard((name, term))  # the message is lost, and the holder reconnects
        elif isinstance(content, ShareOffer):
            self.holders[name].accept(content, claimed_ms)
            self.claiming.discard((name, term))
        elif self.has_primary and term == len(self.lease_tables):
            lease_table = self.lease_tables[-1]
            lease_table.record_claim(name, content, self.now_ms)
            self._send(name, lease_table.offer(name, content, list(self.holders), self.now_ms), claimed_ms)
        else:
            self.claiming.discard((name, term))

    def total_share(self) -> int:
        return sum(holder.share(self.now_ms) for holder in self.holders.values())


@pytest.mark.parametrize("seed", range(int(os.environ.get("QUOTA_SEEDS", "20"))))
def test_shares_in_force_never_exceed_the_total(seed: int) -> None:
    group = Group(Random(seed))
    for _ in range(6_000):
        group.step()
        assert group.total_share() <= TOTAL_SHARE
    group.is_stable = True
    for _ in range(2_000):
        group.step()
        assert group.total_share() <= TOTAL_SHARE
    assert group.total_share() >= 0.9 * TOTAL_SHARE, "shares grow again when there are no more faults"
