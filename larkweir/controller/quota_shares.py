"""This controller's share of all quotas and, at the primary, the leases of all controllers' shares."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.share_leases import LeaseTable, ShareClaim, ShareHolder, ShareOffer, Term

from larkweir.cluster import log


@dataclass(frozen=True, slots=True)
class QuotaGroup:
    """The state of the controller group on which share leases depend.

    Attributes:
        node: this controller.
        term: returns, for the current time, the term in which this controller is guaranteed to be the only primary;
            None if there is no such guarantee.
        members: returns the controllers that may hold shares.
        clients: returns the number of routers that are connected to this controller.
    """

    node: str
    term: Callable[[float], Term | None]
    members: Callable[[], Collection[str]]
    clients: Callable[[], int]


class QuotaShares:
    """Owns this controller's lease and, at the primary, the lease table. Times are in ms of the controller's clock."""

    def __init__(self, allocator: QuotaAllocator, group: QuotaGroup, on_change: Callable[[], None]) -> None:
        """Starts without a share.

        Args:
            allocator: receives the share.
            group: the state of the controller group.
            on_change: called when this controller gains or loses its share, or becomes the primary.
        """
        self._allocator = allocator
        self._group = group
        self._on_change = on_change
        self._holder = ShareHolder()
        self._lease_table: LeaseTable | None = None
        self._was_granting = False

    def tick(self, now_ms: float) -> None:
        """Renews the primary's own lease, and detects the expiry of a lease. Must be called several times a second."""
        lease_table = self._current_table(now_ms)
        if lease_table is not None:
            claim, node = self.claim(now_ms), self._group.node
            lease_table.record_claim(node, claim, now_ms)
            self.accept(lease_table.offer(node, claim, self._group.members(), now_ms), now_ms, now_ms)
        self._notify_granting_change(now_ms)

    def claim(self, now_ms: float) -> ShareClaim:
        """Returns the share that this controller holds, to be sent to the other controllers."""
        return self._holder.claim(self._group.clients(), now_ms)

    def accept(self, offer: ShareOffer, claimed_ms: float, now_ms: float) -> None:
        """Accepts the primary's offer in answer to a claim that was sent at `claimed_ms`."""
        self._holder.accept(offer, claimed_ms)
        self._allocator.set_share(self._holder.share(now_ms), self._holder.expires_ms, now_ms)
        self._notify_granting_change(now_ms)

    def record_claim(self, node: str, claim: ShareClaim, now_ms: float) -> None:
        """Records the share that another controller holds. Has no effect if this controller is not the primary."""
        lease_table = self._current_table(now_ms)
        if lease_table is not None:
            lease_table.record_claim(node, claim, now_ms)

    def offer(self, node: str, claim: ShareClaim, now_ms: float) -> ShareOffer | None:
        """Returns the answer to a claim; None if this controller is not the primary."""
        lease_table = self._current_table(now_ms)
        if lease_table is None:
            return None
        return lease_table.offer(node, claim, self._group.members(), now_ms)

    def is_urgent(self, node: str, claim: ShareClaim, now_ms: float) -> bool:
        """Returns whether a claim must be answered at once."""
        lease_table = self._current_table(now_ms)
        if lease_table is None:
            return False
        return lease_table.is_urgent(node, claim, self._group.members(), now_ms)

    def _current_table(self, now_ms: float) -> LeaseTable | None:
        """Returns the lease table of this controller's current term as the primary; None if it is not the primary."""
        term = self._group.term(now_ms)
        if term is None:
            return None
        if self._lease_table is None or self._lease_table.term != term:
            self._lease_table = LeaseTable(term, now_ms)
            self._on_change()
        return self._lease_table

    def _notify_granting_change(self, now_ms: float) -> None:
        is_granting = self._allocator.has_share(now_ms)
        if is_granting != self._was_granting:
            self._was_granting = is_granting
            log.event("quota_share", share=self._holder.share(now_ms))
            self._on_change()
