"""What one process knows about a duty's owner, and when the process may acquire the duty. Pure logic.

A candidate waits until it has seen no change for the length of a lease, by its own clock. This wait only makes it rare
that two candidates contend; which write counts is decided by the registers.
"""

from __future__ import annotations

from math import inf

from larkweir_owners.lease_timing import LeaseTiming
from larkweir_owners.messages import Record
from larkweir_owners.ports import Outcome, Result


class OwnerWatch:
    """The latest record of a duty that is known to be accepted by a majority, and when it was learned."""

    def __init__(self, me: tuple[str, int], timing: LeaseTiming) -> None:
        """`me`: this process's name and incarnation."""
        self.now_ms = 0.0  # the time of the latest call
        self.record: Record | None = None
        self.has_majority = False  # a majority of the replicas answered the last request
        self.rank: int | None = None  # among the candidates; 0 is preferred, None: not a candidate
        self.yield_until_ms = 0.0  # yields to other candidates until then; inf: acquires no duty
        self.owner_seen_ms = 0.0  # when there was last evidence that the owner is live
        self._me, self._timing = me, timing
        self._learned_ms = 0.0  # when the current record was first seen
        self._read_ms = -inf

    def is_mine(self, record: Record) -> bool:
        """Whether this incarnation of this process is the record's owner."""
        return (record.owner, record.incarnation) == self._me

    def learn(self, record: Record, is_fresh: bool = True) -> None:
        """Keep a record that is newer than the known one. `is_fresh`: as far as is known, it has just been written."""
        before = self.record
        if before is None or record.version > before.version:
            self.record = record
            self._learned_ms = self.now_ms
            if before is None or is_fresh or (record.term, record.owner) != (before.term, before.owner):
                self.owner_seen_ms = self.now_ms

    def on_read(self, result: Result) -> None:
        """Handle the result of reading the register."""
        self.has_majority = result.outcome is not Outcome.UNKNOWN
        if not self.has_majority:
            return
        is_fresh = self.now_ms - self._read_ms <= 2 * self._timing.check_ms
        self._read_ms = self.now_ms
        if result.record is not None:
            self.learn(result.record, is_fresh)
        elif self.record is None and self.owner_seen_ms == 0.0:
            self.owner_seen_ms = self.now_ms

    def is_owner_live(self, now_ms: float) -> bool:
        """Whether updates from the owner arrive, so that the register need not be read."""
        return (
            self.has_majority
            and self.record is not None
            and bool(self.record.owner)
            and now_ms - self.owner_seen_ms < self._timing.quiet_ms
        )

    def can_acquire(self, now_ms: float) -> bool:
        """Whether the duty is free, or its owner was not seen for a lease. The preferred candidate is allowed first.

        A duty that was released to this process by name may be acquired at once, even while this process yields to
        other candidates: the former owner does not know that this process yields, and all others wait for it. A process
        that drains acquires nothing.
        """
        if self.yield_until_ms == inf:
            return False
        record = self.record
        if record is not None and not record.owner and record.preferred_owner == self._me[0]:
            return True
        if self.rank is None or not self.has_majority:
            return False
        if record is not None and self.is_mine(record) and now_ms >= self.yield_until_ms:
            return True  # acquired earlier by a write whose outcome was unknown
        return now_ms >= self.available_ms

    @property
    def available_ms(self) -> float:
        """When this candidate may acquire the duty if no further update arrives.

        A yielding process waits half a lease longer. If no other candidate has acquired the duty by then, the others
        are paused or yield too, and a fourth process becomes a candidate only after membership has removed one of them.
        A record that was learned late shows only that the owner was live at some time; a live owner renews within half
        a lease.
        """
        record, lease_ms = self.record, self._timing.lease_ms
        wait_ms = 0.25 * (self.rank or 0) * lease_ms
        if self.now_ms < self.yield_until_ms:
            wait_ms += 0.5 * lease_ms
        if record is None or not record.owner:
            reserved_ms = lease_ms / 4 if record is not None and record.preferred_owner else 0.0
            return self.owner_seen_ms + wait_ms + reserved_ms
        return max(self.owner_seen_ms + lease_ms + wait_ms, self._learned_ms + 4 * self._timing.check_ms)
