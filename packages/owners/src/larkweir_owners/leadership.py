"""One duty at one process: to watch its owner, to take a term, to hold it, to give it up.

Nothing here is safe by time. A step counts when a conditional write under the term was taken by a majority of keepers;
the register refuses all others. The lease only makes it rare that two contend: its owner rests when it has not been
renewed for a lease by the owner's own clock, and watchers wait until they have seen no change for one by theirs.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from enum import Enum
from math import inf

from larkweir_owners.messages import MAX_STATE_BYTES, NO_VERSION, Record, Version
from larkweir_owners.ports import Duty, Outcome, Registers, Result


@dataclass(frozen=True, slots=True)
class LeaseTiming:
    """Milliseconds. A lease is renewed twice. Who watches it reads it once nothing has come for somewhat longer, then
    six times a lease."""

    lease_ms: float = 3000.0
    step_ms: float = 100.0  # between two steps of a duty that nobody pokes
    wake_ms: float = 50.0  # between two steps at the least, however often it is poked
    settle_leases: float = 10.0  # held for so long before it may go to its preferred place

    @property
    def renew_ms(self) -> float:
        return self.lease_ms / 2

    @property
    def quiet_ms(self) -> float:
        return self.lease_ms * 7 / 12

    @property
    def check_ms(self) -> float:
        return self.lease_ms / 6

    @property
    def max_lag_ms(self) -> float:
        """An owner that comes so late to its turns gives up."""
        return self.lease_ms / 4


REMINDERS = 3  # to an heir that did not take the duty yet
REMIND_MS = 40.0


class Phase(Enum):
    WATCHING = "watching"
    ACQUIRING = "taking"
    OWNER = "owner"
    UNSURE = "unsure"  # owner, and a write's end is not known
    RELEASING = "giving"


class Leadership:
    """`announce` is told each record that counts and that followers should have. `heard` gives the highest version that
    this process has seen of the duty anywhere; a new term is above that too. `remind` tells the heir once more;
    `renewed` tells those that watch, whether or not it is news to anybody else."""

    def __init__(
        self,
        duty: Duty,
        me: tuple[str, int],
        registers: Registers,
        timing: LeaseTiming,
        announce: Callable[[str, Record], None],
        highest_seen: Callable[[str], Version],
        notify_preferred_owner: Callable[[str, Record], None],
        on_renewed: Callable[[str, Record], None],
    ) -> None:
        self.duty, self.me, self.timing = duty, me, timing
        self.key = duty.name
        self.phase = Phase.WATCHING
        self.record: Record | None = None  # the latest that is known to count
        self.next_ms = 0.0
        self.has_majority = False  # the last question was answered
        self.terms_taken = 0
        self.rejected = 0  # writes that met another version
        self.failed_steps = 0  # steps that raised, or gave too much
        self.late_turns = 0  # turns that came so late that the lease was over
        self._registers = registers
        self._announce = announce
        self._notify_preferred_owner = notify_preferred_owner
        self._on_renewed = on_renewed
        self._reminders_left = 0
        self._highest_seen = highest_seen
        self._now_ms = 0.0
        self._owner_seen_ms = 0.0  # when its owner was seen to be there last
        self._learned_ms = 0.0  # when the record was first seen as it is
        self._read_ms = float("-inf")
        self._register_behind: Version | None = (
            None  # what the register was found to hold, where that is less than has counted
        )
        self._renewed_ms = float("-inf")  # when the last write that counted was begun
        self._acquired_ms = 0.0
        self._is_busy = False  # a write is under way, or a read that an owner waits for
        self._is_reading = False  # a watcher's read is
        self._announced = NO_VERSION
        self._announced_update_count = -1
        self._rank: int | None = None
        self._preferred_owner = ""
        self._is_releasing = False
        self._yield_until_ms = 0.0  # takes none before
        self._other_preferred_since_ms = 0.0  # somebody else was preferred since; 0.0 when not
        self._step_ms = 0.0
        self._stepped_ms = float("-inf")  # when it was stepped last

    # What is asked of it

    @property
    def is_owner(self) -> bool:
        return self.phase in (Phase.OWNER, Phase.UNSURE, Phase.RELEASING)

    @property
    def is_suspended(self) -> bool:
        """It owns, but its lease is over: no step is taken until a write has counted again."""
        return self.is_owner and self._now_ms - self._renewed_ms >= self.timing.lease_ms

    def set_preference(self, rank: int | None, preferred_owner: str) -> None:
        """`rank`: this process's among the duty's candidates (0 is preferred), None when it is none; `heir`: the best
        of the others."""
        if rank == 0 or not preferred_owner:
            self._other_preferred_since_ms = 0.0
        elif self._preferred_owner != preferred_owner or self._other_preferred_since_ms == 0.0:
            self._other_preferred_since_ms = self._now_ms
        if self._rank is None and rank is not None:
            self.next_ms = min(self.next_ms, self._now_ms)
        self._rank, self._preferred_owner = rank, preferred_owner

    def release(self, now_ms: float, yield_ms: float) -> None:
        """Hand over, and let others go first for `rest_ms` (inf: take none)."""
        self._now_ms = now_ms
        self._yield_until_ms = max(self._yield_until_ms, now_ms + yield_ms)
        if self.is_owner:
            self._is_releasing = True
            self.next_ms = now_ms

    def resume(self) -> None:
        """It may take terms again."""
        self._yield_until_ms = 0.0

    def on_record_seen(self, record: Record, now_ms: float, source: str = "") -> None:
        """A record that counts has come from elsewhere: as good as one that was read, but it may be old, and is no sign
        that its owner is there now unless that is the `source`."""
        self._now_ms = max(now_ms, self._now_ms)
        if self.record is None or record.version > self.record.version:
            if not self._is_busy and not self._is_mine(record):
                if self.is_owner:  # another has it, or nobody: what this process held is over
                    self.rejected += 1
                    self.phase, self._is_releasing = Phase.WATCHING, False
                self._learn(record, is_fresh=source == record.owner)
                self.has_majority = True  # one has taken it
            if self._can_acquire(now_ms):
                self.next_ms = now_ms

    def wake(self, now_ms: float) -> None:
        """The duty has something to do: its step is due as soon as it may be."""
        if self.phase is Phase.OWNER:
            self._step_ms = min(self._step_ms, max(now_ms, self._stepped_ms + self.timing.wake_ms))
            if not self._is_busy:
                self.next_ms = min(self.next_ms, self._step_ms)

    def tick(self, now_ms: float) -> None:
        late_ms = now_ms - max(self.next_ms, self._now_ms)
        self._now_ms = now_ms
        if self._is_busy:
            self.next_ms = now_ms + self.timing.check_ms  # the operation ends by itself
            return
        if self.is_owner:
            if late_ms > self.timing.max_lag_ms:
                self.late_turns += 1
                self._is_releasing = True
                self._yield_until_ms = max(
                    self._yield_until_ms, now_ms + self.timing.lease_ms * self.timing.settle_leases
                )
            self._hold(now_ms)
        elif self._can_acquire(now_ms):
            self._acquire(now_ms)
        elif self._reminders_left:
            self._reminders_left -= 1
            self.next_ms = now_ms + REMIND_MS
            if self.record is not None and self.record.preferred_owner and not self.record.owner:
                self._notify_preferred_owner(self.key, self.record)
        elif self._rank is not None and self._hears_owner(now_ms):
            self.next_ms = self._owner_seen_ms + self.timing.quiet_ms
        elif self._rank is not None:
            self.next_ms = now_ms + self.timing.check_ms
            if now_ms < self._available_ms and self.has_majority:
                self.next_ms = min(self.next_ms, self._available_ms)
            if not self._is_reading:
                self._is_reading = True
                self._registers.read(self.key, self._on_watch_read)
        else:
            self.next_ms = float("inf")

    # Watching

    def _hears_owner(self, now_ms: float) -> bool:
        """Its owner tells: as good as a read."""
        record = self.record
        quiet = now_ms - self._owner_seen_ms
        return (
            self.has_majority and record is not None and bool(record.owner) and quiet < self.timing.quiet_ms
        )

    def _on_watch_read(self, result: Result) -> None:
        self._is_reading = False
        if self._is_busy or self.is_owner:  # it has taken the duty meanwhile, or is about to
            return
        self.has_majority = result.outcome is not Outcome.UNKNOWN
        if not self.has_majority:
            return
        is_fresh = self._now_ms - self._read_ms <= 2 * self.timing.check_ms
        self._read_ms = self._now_ms
        if result.record is not None:
            self._learn(result.record, is_fresh)
        elif self.record is None and self._owner_seen_ms == 0.0:
            self._owner_seen_ms = self._now_ms
        if self._can_acquire(self._now_ms):
            self.next_ms = self._now_ms

    def _is_mine(self, record: Record) -> bool:
        return (record.owner, record.incarnation) == self.me

    def _learn(self, record: Record, is_fresh: bool = True) -> None:
        """`fresh`: it was written just now, as far as can be told."""
        before = self.record
        if before is None or record.version > before.version:
            self.record = record
            self._learned_ms = self._now_ms
            if before is None or is_fresh or (record.term, record.owner) != (before.term, before.owner):
                self._owner_seen_ms = self._now_ms

    def _can_acquire(self, now_ms: float) -> bool:
        """Nobody holds it, or whoever does was not heard for a lease; the preferred first, others a little later.

        What it is handed by name it takes at once, also while it rests from having stood still: whoever gave it does
        not know of that, and all others wait for it. Not while it drains: that rest has no end.
        """
        if self.is_owner or self._is_busy or self._yield_until_ms == inf:
            return False
        record = self.record
        if record is not None and not record.owner and record.preferred_owner == self.me[0]:
            return True
        if self._rank is None or not self.has_majority:
            return False
        if record is not None and self._is_mine(record) and now_ms >= self._yield_until_ms:
            return True  # taken by a write whose end was not known
        return now_ms >= self._available_ms

    @property
    def _available_ms(self) -> float:
        """When this candidate may take it, if nothing more is heard.

        Who rests from having stood still lets all others go first: had none of them taken it by then, they stand still
        or rest as well, and a fourth would move up only once membership has counted the first as lost. What was learned
        late says that the owner was there some time: one that is there renews within half a lease.
        """
        record, lease = self.record, self.timing.lease_ms
        wait = 0.25 * (self._rank or 0) * lease
        if self._now_ms < self._yield_until_ms:
            wait += 0.5 * lease
        if record is None or not record.owner:
            return (
                self._owner_seen_ms
                + wait
                + (lease / 4 if record is not None and record.preferred_owner else 0.0)
            )
        return max(self._owner_seen_ms + lease + wait, self._learned_ms + 4 * self.timing.check_ms)

    def _acquire(self, now_ms: float) -> None:
        known = self.record.version if self.record is not None else NO_VERSION
        highest_seen = self._highest_seen(self.key)
        value = self.record.value if self.record is not None else b""
        update_count = self.record.update_count if self.record is not None else 0
        term, number = max(known[0], highest_seen[0]) + 1, max(known[1], highest_seen[1]) + 1
        new = Record(term, number, *self.me, "", update_count, value)
        self.phase = Phase.ACQUIRING
        self._write(known if self._register_behind is None else self._register_behind, new, self._on_acquired)

    def _on_acquired(self, new: Record, result: Result) -> None:
        if result.outcome is not Outcome.DONE:
            self.phase = Phase.WATCHING
            self.has_majority = result.outcome is Outcome.CONFLICT
            self._register_behind = None
            if self.has_majority and self.record is not None:
                # A register that holds less than what has counted: more disks are gone than is promised for. What is
                # known goes on from here, under a term above all that was heard of
                held_version = result.record.version if result.record is not None else NO_VERSION
                self._register_behind = held_version if held_version < self.record.version else None
            if result.record is not None:  # it may be this round that has ended what its owner left half done
                self._learn(result.record, is_fresh=False)
            self.next_ms = self._now_ms + self.timing.check_ms
            return
        self.terms_taken += 1
        self._register_behind = None
        self.phase = Phase.OWNER
        self._is_releasing = False
        self._acquired_ms = self._now_ms
        self._other_preferred_since_ms = 0.0
        self._on_counted(new)

    # Holding

    def _hold(self, now_ms: float) -> None:
        assert self.record is not None
        if self.phase is Phase.UNSURE:
            self.next_ms = now_ms + self.timing.check_ms
            self._is_busy = True
            self._registers.read(self.key, self._on_unsure_read)
            return
        settled = self.timing.lease_ms * self.timing.settle_leases
        should_move = (
            self._other_preferred_since_ms
            and now_ms - max(self._other_preferred_since_ms, self._acquired_ms) >= settled
        )
        if self._is_releasing or should_move:
            self.phase = Phase.RELEASING
            released = Record(
                self.record.term,
                self.record.number + 1,
                "",
                0,
                self._preferred_owner,
                self.record.update_count,
                self.record.value,
            )
            self._write(self.record.version, released, self._on_released)
            return
        if not self.is_suspended and now_ms >= self._step_ms:
            self._stepped_ms, self._step_ms = now_ms, _next_shared_moment(now_ms, self.timing.step_ms)
            value = self._run_step(now_ms)
            if value is not None:
                self._write(self.record.version, self._next_record(value, 1), self._on_written)
                return
        if now_ms >= self._renew_ms:
            self._renew()
            return
        self.next_ms = min(self._step_ms, self._renew_ms)

    @property
    def _renew_ms(self) -> float:
        return self._renewed_ms + self.timing.renew_ms

    @property
    def is_writing(self) -> bool:
        """A write of what it owns is under way."""
        return self._is_busy and self.phase is Phase.OWNER

    def piggyback(self, now_ms: float) -> None:
        """Another duty of this process writes just now: a lease that is due soon goes with it."""
        soon = now_ms >= self._renew_ms - self.timing.renew_ms / 3
        if soon and self.phase is Phase.OWNER and not self._is_busy and not self._is_releasing:
            self._now_ms = now_ms
            self._renew()

    def _renew(self) -> None:
        assert self.record is not None
        self._write(self.record.version, self._next_record(self.record.value, 0), self._on_written)

    def _run_step(self, now_ms: float) -> bytes | None:
        assert self.record is not None
        try:
            value = self.duty.step(self.record.value, now_ms)
        except Exception:  # a duty's fault ends no process; the duty stands still and is seen to
            self.failed_steps += 1
            return None
        if value is not None and len(value) > MAX_STATE_BYTES:
            self.failed_steps += 1
            return None
        return None if value == self.record.value else value

    def _next_record(self, value: bytes, update_count: int) -> Record:
        assert self.record is not None
        now = self.record
        return Record(now.term, now.number + 1, *self.me, "", now.update_count + update_count, value)

    def _write(self, expected: Version, new: Record, on_end: Callable[[Record, Result], None]) -> None:
        begun = self._now_ms

        def ended(result: Result) -> None:
            self._is_busy = False
            if result.outcome is Outcome.DONE:
                self.has_majority = True
                self._renewed_ms = begun
            on_end(new, result)

        self._is_busy = True
        self.next_ms = self._now_ms + self.timing.check_ms
        self._registers.write(self.key, expected, new, ended)

    def _on_written(self, new: Record, result: Result) -> None:
        if result.outcome is Outcome.DONE:
            self._on_counted(new)
        elif result.outcome is Outcome.CONFLICT:
            self._on_conflict(result)
        else:
            self.phase, self.has_majority = Phase.UNSURE, False
            self.next_ms = self._now_ms

    def _on_released(self, new: Record, result: Result) -> None:
        if result.outcome is Outcome.UNKNOWN:
            self.phase, self.has_majority = Phase.UNSURE, False
            return
        self.phase, self._is_releasing = Phase.WATCHING, False
        if result.outcome is Outcome.DONE:
            self._yield_until_ms = max(self._yield_until_ms, self._now_ms + self.timing.lease_ms)
            self._learn(new)
            self._publish(new)
            self._reminders_left, self.next_ms = REMINDERS, self._now_ms + REMIND_MS
        elif result.record is not None:
            self._learn(result.record)

    def _on_unsure_read(self, result: Result) -> None:
        """What the register holds, after a write whose end was not known."""
        self._is_busy = False
        self.has_majority = result.outcome is not Outcome.UNKNOWN
        if not self.has_majority:
            return
        record = result.record
        if record is not None and self._is_mine(record):
            self.phase = Phase.OWNER
            self.next_ms = self._now_ms
            self._on_counted(record)
        else:
            self._on_conflict(result)

    def _on_conflict(self, result: Result) -> None:
        self.rejected += 1
        record = result.record
        mine = record is not None and self._is_mine(record)
        if mine and record is not None and self.record is not None and record.version >= self.record.version:
            self.phase = Phase.OWNER  # an earlier write of this process had counted after all
            self._on_counted(record)
            return
        self.phase, self._is_releasing = Phase.WATCHING, False
        if record is not None:
            self._learn(record)
        self.next_ms = self._now_ms + self.timing.check_ms

    def _on_counted(self, record: Record) -> None:
        """A majority has it, and it is this process's."""
        self._learn(record)
        self.next_ms = min(self._step_ms, self._renew_ms) if not self._is_releasing else self._now_ms
        self._publish(record)

    def _publish(self, record: Record) -> None:
        """Followers need a new term, a new value, and a duty that was given up; not a lease that was renewed."""
        last = self._announced
        if record.version <= last:
            return
        if not record.owner or record.term != last[0] or record.update_count != self._announced_update_count:
            self._announced, self._announced_update_count = record.version, record.update_count
            self._announce(self.key, record)
        if record.owner:
            self._on_renewed(self.key, record)


def _next_shared_moment(after_ms: float, every_ms: float) -> float:
    """The next of the moments that all duties of a process share, so that what they write goes together."""
    return (after_ms // every_ms + 1.0) * every_ms
