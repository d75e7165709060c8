"""What one process knows of a duty's owner, and when it may take the duty itself. Pure logic.

A candidate waits until it has seen no change for a lease, by its own clock. That only makes it rare that two contend:
what counts is decided by the registers.
"""

from __future__ import annotations

from math import inf

from larkweir_owners.lease_timing import LeaseTiming
from larkweir_owners.messages import Record
from larkweir_owners.ports import Outcome, Result


class OwnerWatch:
    """The latest record of a duty that is known to count, and since when it is known."""

    def __init__(self, me: tuple[str, int], timing: LeaseTiming) -> None:
        """`me`: this process's name and incarnation."""
        self.now_ms = 0.0  # the latest time of a call
        self.record: Record | None = None
        self.has_majority = False  # the last question to the replicas was answered by a majority
        self.rank: int | None = (
            None  # this process's place among the candidates, 0 is preferred; None: it is none
        )
        self.yield_until_ms = 0.0  # it lets others go first until then; inf: it takes no duty
        self.owner_seen_ms = 0.0  # when the owner was seen to be there last
        self._me, self._timing = me, timing
        self._learned_ms = 0.0  # when the record was first seen as it is
        self._read_ms = -inf

    def is_mine(self, record: Record) -> bool:
        """Whether this incarnation of this process is the record's owner."""
        return (record.owner, record.incarnation) == self._me

    def learn(self, record: Record, is_fresh: bool = True) -> None:
        """Keep a record that is newer than the known one. `is_fresh`: it was written just now, as far as is known."""
        before = self.record
        if before is None or record.version > before.version:
            self.record = record
            self._learned_ms = self.now_ms
            if before is None or is_fresh or (record.term, record.owner) != (before.term, before.owner):
                self.owner_seen_ms = self.now_ms

    def on_read(self, result: Result) -> None:
        """The register's record, as a read gave it."""
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
        """Whether the owner's updates arrive, which are as good as reads."""
        return (
            self.has_majority
            and self.record is not None
            and bool(self.record.owner)
            and now_ms - self.owner_seen_ms < self._timing.quiet_ms
        )

    def can_acquire(self, now_ms: float) -> bool:
        """Whether nobody owns the duty, or its owner was not seen for a lease; the preferred candidate first.

        A duty that was released to this process by name is taken at once, also while this process lets others go first:
        the former owner does not know of that, and all others wait. Not while it drains.
        """
        if self.yield_until_ms == inf:
            return False
        record = self.record
        if record is not None and not record.owner and record.preferred_owner == self._me[0]:
            return True
        if self.rank is None or not self.has_majority:
            return False
        if record is not None and self.is_mine(record) and now_ms >= self.yield_until_ms:
            return True  # acquired by a write whose outcome was not known
        return now_ms >= self.available_ms

    @property
    def available_ms(self) -> float:
        """When this candidate may take the duty, if nothing more arrives.

        A process that lets others go first waits half a lease longer: had none of them taken the duty by then, they are
        paused or yield as well, and a fourth would move up only once membership has counted the first as lost. What was
        learned late says that the owner was there some time; one that is there renews within half a lease.
        """
        record, lease_ms = self.record, self._timing.lease_ms
        wait_ms = 0.25 * (self.rank or 0) * lease_ms
        if self.now_ms < self.yield_until_ms:
            wait_ms += 0.5 * lease_ms
        if record is None or not record.owner:
            reserved_ms = lease_ms / 4 if record is not None and record.preferred_owner else 0.0
            return self.owner_seen_ms + wait_ms + reserved_ms
        return max(self.owner_seen_ms + lease_ms + wait_ms, self._learned_ms + 4 * self._timing.check_ms)
