"""Leases of parts of all limits: each controller hands out only what its own share of a limit yields.

The primary leases shares to all controllers. The shares that are in force never add up to more than the whole: a share
grows only by what all others are known not to hold, and one that shrinks counts as before until its holder confirms
that, or until its lease has expired (leases: Gray and Cheriton 1989). So limits hold in their sum without any
message between controllers for a request, and also while the fleet is divided.

A new primary does not know what its predecessors leased. It renews what holders claim, which adds nothing, and lets
shares grow once every member has confirmed its term, or once all leases of earlier terms have expired.
"""

from __future__ import annotations

from collections.abc import Collection
from dataclasses import dataclass
from typing import Annotated

import msgspec

TOTAL_SHARE = 1_000_000  # units of share that a limit is divided into
LEASE_MS = 2_000.0
URGENT_SHARE_CHANGE = (
    TOTAL_SHARE // 50
)  # by which an offer must differ from what its holder has, to be sent ahead of time

Share = Annotated[int, msgspec.Meta(ge=0, le=TOTAL_SHARE)]
Term = tuple[int, str]  # of a primary: its number and node; a later primary has a higher one
NO_TERM: Term = (-1, "")


class ShareClaim(msgspec.Struct, frozen=True, array_like=True):
    """What a controller holds, as it tells the others.

    Attributes:
        term: of the last offer that it accepted.
        share: that it may use at present.
        clients: processes that are connected to it and ask it for units.
    """

    term: Term = NO_TERM
    share: Share = 0
    clients: Annotated[int, msgspec.Meta(ge=0, le=1_000_000)] = 0


class ShareOffer(msgspec.Struct, frozen=True, array_like=True):
    """A lease: its holder may use the share for `LEASE_MS` from when it sent the claim that this answers.

    Attributes:
        term: of the primary that grants it.
        share: that may be used.
    """

    term: Term
    share: Share


class ShareHolder:
    """The lease of one controller. Times are milliseconds of its own monotonic clock."""

    def __init__(self) -> None:
        """Hold nothing, as after every start."""
        self._term = NO_TERM
        self._share = 0
        self.expires_ms = 0.0

    def share(self, now_ms: float) -> int:
        """The share that may be used now."""
        return self._share if now_ms < self.expires_ms else 0

    def claim(self, clients: int, now_ms: float) -> ShareClaim:
        """What to tell the primary. `clients`: processes that ask this controller for units."""
        return ShareClaim(self._term, self.share(now_ms), clients)

    def accept(self, offer: ShareOffer, claimed_ms: float) -> None:
        """Take a lease. `claimed_ms`: when the claim was sent that it answers. Offers of an older term are void."""
        if offer.term < self._term:
            return
        self._term, self._share = offer.term, offer.share
        self.expires_ms = claimed_ms + LEASE_MS


@dataclass(slots=True)
class _Lease:
    """What the primary knows of one holder."""

    share: int  # the most that it may be using
    expires_ms: float
    clients: int = 0
    is_confirmed: bool = False  # it has accepted an offer of this term, and takes none of earlier ones


class LeaseTable:
    """The leases of one primary's term. Times are milliseconds of its monotonic clock.

    Attributes:
        term: of the primary.
    """

    def __init__(self, term: Term, now_ms: float) -> None:
        """Begin a term. No earlier primary may grant anything from now on."""
        self.term = term
        self._started_ms = now_ms
        self._leases: dict[str, _Lease] = {}

    def record_claim(self, holder: str, claim: ShareClaim, now_ms: float) -> None:
        """A holder tells what it has."""
        self._forget_expired(now_ms)
        lease = self._leases.get(holder)
        is_confirmed = claim.term == self.term
        if lease is None:
            lease = self._leases[holder] = _Lease(claim.share, now_ms + LEASE_MS)
        lease.clients = claim.clients
        lease.is_confirmed = is_confirmed
        # A process that has accepted no offer yet holds nothing: what its predecessor held ended with it.
        is_exact = is_confirmed or claim.term == NO_TERM
        lease.share = claim.share if is_exact else max(lease.share, claim.share)

    def offer(self, holder: str, claim: ShareClaim, members: Collection[str], now_ms: float) -> ShareOffer:
        """Grant a lease in answer to that claim, which is the last one of its holder."""
        share = self._next_share(holder, claim, members, now_ms)
        lease = self._leases[holder]
        lease.share = max(lease.share, share)
        lease.expires_ms = now_ms + LEASE_MS
        return ShareOffer(self.term, share)

    def is_urgent(self, holder: str, claim: ShareClaim, members: Collection[str], now_ms: float) -> bool:
        """Whether an offer now would tell the holder something that it should know soon."""
        if claim.term != self.term:
            return True
        share = self._next_share(holder, claim, members, now_ms)
        return abs(share - claim.share) >= URGENT_SHARE_CHANGE

    def _next_share(self, holder: str, claim: ShareClaim, members: Collection[str], now_ms: float) -> int:
        self._forget_expired(now_ms)
        if holder not in self._leases:  # the claim has waited since before this term, or for long
            self.record_claim(holder, claim, now_ms)
        if holder not in members:
            return 0
        if not self._knows_all_leases(members, now_ms):
            return claim.share
        others = sum(lease.share for node, lease in self._leases.items() if node != holder)
        return min(self._target(holder, members), TOTAL_SHARE - others)

    def _target(self, holder: str, members: Collection[str]) -> int:
        """In proportion to the clients of each holder: what nobody can ask for would lie idle."""
        clients = {node: lease.clients for node, lease in self._leases.items() if node in members}
        total = sum(clients.values())
        if total == 0:
            return TOTAL_SHARE // max(1, len(clients))
        return TOTAL_SHARE * clients.get(holder, 0) // total

    def _knows_all_leases(self, members: Collection[str], now_ms: float) -> bool:
        """Whether every lease that may be in force is in this ledger."""
        if now_ms >= self._started_ms + LEASE_MS:
            return True
        leases = (self._leases.get(member) for member in members)
        return all(lease is not None and lease.is_confirmed for lease in leases)

    def _forget_expired(self, now_ms: float) -> None:
        for holder in [node for node, lease in self._leases.items() if now_ms >= lease.expires_ms]:
            del self._leases[holder]
