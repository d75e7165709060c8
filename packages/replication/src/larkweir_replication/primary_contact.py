"""Tracks which primary a replica follows, and the lease that the primary's messages renew."""

from __future__ import annotations

from larkweir_replication.timing import Timing


class PrimaryContact:
    """A follower's view of the primary.

    While the primary's lease is valid, a follower grants neither votes nor pre-votes to other candidates (leases: Gray
    and Cheriton 1989; disruptive servers: Ongaro's dissertation 2014, section 4.2.3).
    """

    def __init__(self, timing: Timing, started_ms: float) -> None:
        """`started_ms`: when the process began, counted as a contact: an earlier process may have granted a lease."""
        self._timing = timing
        self._last_contact_ms = started_ms
        self.primary: str | None = None  # the node that this replica follows, possibly itself
        self.reported_unreachable: tuple[str, ...] = ()  # by the primary's last heartbeat

    def renew(self, now_ms: float) -> None:
        """Renews the lease, since data from the primary has arrived."""
        self._last_contact_ms = now_ms

    def expire(self, now_ms: float) -> None:
        """Ends the lease now, and forgets the primary."""
        self.primary = None
        self._last_contact_ms = now_ms - self._timing.lease_duration_ms

    def is_lease_valid(self, now_ms: float) -> bool:
        """Whether the primary may still rely on the lease that this replica has granted."""
        return now_ms < self._last_contact_ms + self._timing.lease_duration_ms

    def unreachable_members(self, now_ms: float) -> tuple[str, ...] | None:
        """Members that the primary has not heard from recently; None if there is no primary with a valid lease."""
        if self.primary is None or not self.is_lease_valid(now_ms):
            return None
        return self.reported_unreachable
