"""This controller's share of all quotas, and, at the primary, the leases of all controllers' shares."""

from __future__ import annotations

from collections.abc import Callable, Collection
from dataclasses import dataclass

from larkweir_quotas.quota_allocator import QuotaAllocator
from larkweir_quotas.share_leases import LeaseTable, ShareClaim, ShareHolder, ShareOffer, Term

from larkweir.cluster import log


@dataclass(frozen=True, slots=True)
class QuotaGroup:
    """What shares are leased by.

    Attributes:
        node: this controller.
        term: given the present, the term in which this controller is certainly the only primary; None if it is not.
        members: the controllers that may hold shares.
        clients: how many routers are connected here.
    """

    node: str
    term: Callable[[float], Term | None]
    members: Callable[[], Collection[str]]
    clients: Callable[[], int]


class QuotaShares:
    """Owns the lease and the lease_table. Times are milliseconds of the controller's clock."""

    def __init__(self, allocator: QuotaAllocator, group: QuotaGroup, on_change: Callable[[], None]) -> None:
        """Hold nothing yet.

        Args:
            allocator: is told of the share.
            group: the controllers.
            on_change: called when this controller begins or ceases to hold a share, or becomes the primary.
        """
        self._allocator = allocator
        self._group = group
        self._on_change = on_change
        self._holder = ShareHolder()
        self._lease_table: LeaseTable | None = None
        self._was_granting = False

    def tick(self, now_ms: float) -> None:
        """Renew the own lease at the primary, and notice the end of a lease; to be called several times a second."""
        lease_table = self._current_table(now_ms)
        if lease_table is not None:
            claim, node = self.claim(now_ms), self._group.node
            lease_table.record_claim(node, claim, now_ms)
            self.accept(lease_table.offer(node, claim, self._group.members(), now_ms), now_ms, now_ms)
        self._notify_granting_change(now_ms)

    def claim(self, now_ms: float) -> ShareClaim:
        """What this controller holds, for the other ones."""
        return self._holder.claim(self._group.clients(), now_ms)

    def accept(self, offer: ShareOffer, claimed_ms: float, now_ms: float) -> None:
        """The primary answered a claim that was sent at `claimed_ms`."""
        self._holder.accept(offer, claimed_ms)
        self._allocator.set_share(self._holder.share(now_ms), self._holder.expires_ms, now_ms)
        self._notify_granting_change(now_ms)

    def record_claim(self, node: str, claim: ShareClaim, now_ms: float) -> None:
        """Another controller tells what it holds; only the primary takes note."""
        lease_table = self._current_table(now_ms)
        if lease_table is not None:
            lease_table.record_claim(node, claim, now_ms)

    def offer(self, node: str, claim: ShareClaim, now_ms: float) -> ShareOffer | None:
        """The answer to a claim; None where this controller is not the primary."""
        lease_table = self._current_table(now_ms)
        if lease_table is None:
            return None
        return lease_table.offer(node, claim, self._group.members(), now_ms)

    def is_urgent(self, node: str, claim: ShareClaim, now_ms: float) -> bool:
        """Whether that claim is to be answered at once."""
        lease_table = self._current_table(now_ms)
        if lease_table is None:
            return False
        return lease_table.is_urgent(node, claim, self._group.members(), now_ms)

    def _current_table(self, now_ms: float) -> LeaseTable | None:
        """Of this controller's term as the primary."""
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
