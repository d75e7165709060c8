"""Which primary a replica follows, and the lease that its last message renewed."""

from __future__ import annotations

from larkweir_replication.timing import Timing


class PrimaryContact:
    """A follower's view of the primary.

    While its lease runs, a follower neither votes for another candidate nor encourages one (leases: Gray and Cheriton
    1989; disruptive servers: Ongaro's dissertation 2014, section 4.2.3).
    """

    def __init__(self, timing: Timing, started_ms: float) -> None:
        """`started_ms`: when the process began, which counts as a contact: a lease may have been granted before."""
        self._timing = timing
        self._last_contact_ms = started_ms
        self.primary: str | None = None  # whom this replica follows, itself included
        self.reported_unreachable: tuple[
            str, ...
        ] = ()  # members that it has not heard, by its last heartbeat

    def renew(self, now_ms: float) -> None:
        """Something of the primary has arrived."""
        self._last_contact_ms = now_ms

    def expire(self, now_ms: float) -> None:
        """Ends the lease now, and forgets the primary."""
        self.primary = None
        self._last_contact_ms = now_ms - self._timing.lease_duration_ms

    def is_lease_valid(self, now_ms: float) -> bool:
        """Whether the primary may still rely on this replica."""
        return now_ms < self._last_contact_ms + self._timing.lease_duration_ms

    def unreachable_members(self, now_ms: float) -> tuple[str, ...] | None:
        """Members that the primary has not heard lately; None where no primary is present."""
        if self.primary is None or not self.is_lease_valid(now_ms):
            return None
        return self.reported_unreachable
