"""Leases of shares of all limits: each controller grants only the units of its own share.

The primary leases shares to all controllers. The shares in force never add up to more than the whole. A share grows
only by the part that no other controller can hold, and a reduced share counts in full until its holder confirms the
reduction or its lease expires (leases: Gray and Cheriton 1989). So the controllers together respect each limit without
exchanging messages for single requests, even during a network partition.

A new primary does not know which shares its predecessors leased. It renews the shares that holders claim, which does
not raise their sum, and lets shares grow once every member has confirmed its term or once all leases of earlier terms
have expired.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Annotated

import msgspec

TOTAL_SHARE = 1_000_000  # the whole of each limit; shares are parts of this number
LEASE_MS = 2_000.0
# An offer that differs by at least this much from the holder's share is sent at once.
URGENT_SHARE_CHANGE = TOTAL_SHARE // 50

Share = Annotated[int, msgspec.Meta(ge=0, le=TOTAL_SHARE)]
Term = tuple[int, str]  # number and node of a primary; a later primary has a higher term
NO_TERM: Term = (-1, "")


class ShareClaim(msgspec.Struct, frozen=True, array_like=True):
    """The share that a controller reports to the primary as its own.

    Attributes:
        term: term of the last offer that the controller accepted.
        share: share that the controller may use now.
        clients: number of processes that are connected to the controller and request units from it.
    """

    term: Term = NO_TERM
    share: Share = 0
    clients: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


class ShareOffer(msgspec.Struct, frozen=True, array_like=True):
    """A lease: its holder may use the share for `LEASE_MS` from the time it sent the claim that the offer answers.

    Attributes:
        term: term of the primary that grants the lease.
        share: share that the holder may use.
    """

    term: Term
    share: Share


class ShareHolder:
    """The lease of one controller. Times are milliseconds of its own monotonic clock."""

    def __init__(self) -> None:
        """Create a holder without a lease, as after every start of the process."""
        self._term = NO_TERM
        self._share = 0
        self.expires_ms = 0.0

    def share(self, now_ms: float) -> int:
        """Return the share that may be used now; 0 without a valid lease."""
        return self._share if now_ms < self.expires_ms else 0

    def claim(self, clients: int, now_ms: float) -> ShareClaim:
        """Return the claim to send to the primary. `clients`: processes that request units from this controller."""
        return ShareClaim(self._term, self.share(now_ms), clients)

    def accept(self, offer: ShareOffer, claimed_ms: float) -> None:
        """Accept a lease, unless its term is older than that of the last one.

        `claimed_ms`: when the claim that the offer answers was sent.
        """
        if offer.term < self._term:
            return
        self._term, self._share = offer.term, offer.share
        self.expires_ms = claimed_ms + LEASE_MS


@dataclass(slots=True)
class _Lease:
    """The primary's record of one holder."""

    share: int  # the largest share that the holder may be using
    expires_ms: float
    clients: int = 0
    is_confirmed: bool = False  # it has accepted an offer of this term, so it ignores those of earlier terms


class LeaseTable:
    """The leases of one primary's term. Times are milliseconds of its monotonic clock.

    Attributes:
        term: term of the primary.
    """

    def __init__(self, term: Term, now_ms: float) -> None:
        """Start a term. From now on no earlier primary may grant a lease."""
        self.term = term
        self._started_ms = now_ms
        self._leases: dict[str, _Lease] = {}

    def record_claim(self, holder: str, claim: ShareClaim, now_ms: float) -> None:
        """Record the share that a holder claims."""
        self._forget_expired(now_ms)
        lease = self._leases.get(holder)
        is_confirmed = claim.term == self.term
        if lease is None:
            lease = self._leases[holder] = _Lease(claim.share, now_ms + LEASE_MS)
        lease.clients = claim.clients
        lease.is_confirmed = is_confirmed
        # A process that has not accepted an offer holds nothing; a lease of its predecessor ended with that process.
        is_exact = is_confirmed or claim.term == NO_TERM
        lease.share = claim.share if is_exact else max(lease.share, claim.share)

    def offer(self, holder: str, claim: ShareClaim, members: Collection[str], now_ms: float) -> ShareOffer:
        """Grant a lease in answer to `claim`, which must be the latest claim of the holder."""
        share = self._next_share(holder, claim, members, now_ms)
        lease = self._leases[holder]
        lease.share = max(lease.share, share)
        lease.expires_ms = now_ms + LEASE_MS
        return ShareOffer(self.term, share)

    def is_urgent(self, holder: str, claim: ShareClaim, members: Collection[str], now_ms: float) -> bool:
        """Return whether the claim should be answered at once because the holder's term or share changes much."""
        if claim.term != self.term:
            return True
        share = self._next_share(holder, claim, members, now_ms)
        return abs(share - claim.share) >= URGENT_SHARE_CHANGE

    def _next_share(self, holder: str, claim: ShareClaim, members: Collection[str], now_ms: float) -> int:
        self._forget_expired(now_ms)
        if holder not in self._leases:  # the claim dates from before this term, or its lease has expired
            self.record_claim(holder, claim, now_ms)
        if holder not in members:
            return 0
        if not self._knows_all_leases(members, now_ms):
            return claim.share
        others = sum(lease.share for node, lease in self._leases.items() if node != holder)
        return min(self._target(holder, members), TOTAL_SHARE - others)

    def _target(self, holder: str, members: Collection[str]) -> int:
        """Return the holder's share, in proportion to its clients: a share without clients would lie idle."""
        clients = {node: lease.clients for node, lease in self._leases.items() if node in members}
        total = sum(clients.values())
        if total == 0:
            return TOTAL_SHARE // max(1, len(clients))
        return TOTAL_SHARE * clients.get(holder, 0) // total

    def _knows_all_leases(self, members: Collection[str], now_ms: float) -> bool:
        """Return whether this table records every lease that may be in force."""
        if now_ms >= self._started_ms + LEASE_MS:
            return True
        leases = (self._leases.get(member) for member in members)
        return all(lease is not None and lease.is_confirmed for lease in leases)

    def _forget_expired(self, now_ms: float) -> None:
        for holder in [node for node, lease in self._leases.items() if now_ms >= lease.expires_ms]:
            del self._leases[holder]
