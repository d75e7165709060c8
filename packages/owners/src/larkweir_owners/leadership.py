"""One duty at one process: watch its owner, acquire it under a new term, hold its lease, release it.

Safety does not depend on time. A step counts once a majority of the replicas has accepted a conditional write under the
owner's term; the registers reject every other write. The lease only makes contention rare: an owner is suspended while
its lease has not been renewed for `lease_ms` by its own clock. Pure logic.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from larkweir_owners.lease_timing import LeaseTiming, Phase
from larkweir_owners.messages import MAX_STATE_BYTES, NO_VERSION, Record, Version
from larkweir_owners.owner_watch import OwnerWatch
from larkweir_owners.ports import Duty, Outcome, Publisher, Registers, Result

MAX_REMINDERS = 3  # notifications to a preferred owner that has not acquired the duty yet
REMIND_MS = 40.0  # interval between reminders


class Leadership:
    """A process's role in one duty. `is_owner` is only its own belief; the registers decide which writes count."""

    def __init__(
        self,
        duty: Duty,
        me: tuple[str, int],
        registers: Registers,
        timing: LeaseTiming,
        publisher: Publisher,
    ) -> None:
        """`me`: this process's name and incarnation."""
        self.duty, self.key, self.timing = duty, duty.name, timing
        self.phase = Phase.WATCHING
        self.next_ms = 0.0
        self.terms_taken = 0
        self.rejected = 0  # writes rejected because the register held another version
        self.failed_steps = 0  # steps that raised an exception or returned an oversized state
        self.late_turns = 0  # ticks that were late by more than `LeaseTiming.max_lag_ms`
        self._me, self._registers, self._publisher = me, registers, publisher
        self._watch = OwnerWatch(me, timing)
        self._register_behind: Version | None = None  # the register's version, if behind the known record
        self._renewed_ms = -inf  # start of the last successful write
        self._acquired_ms = 0.0
        self._is_busy = False  # a write is in progress, or a read that an owner waits for
        self._is_reading = False  # a candidate's read is in progress
        self._announced, self._announced_update_count = NO_VERSION, -1
        self._reminders_left = 0
        self._successor = ""  # the highest-ranked of the other candidates
        self._successor_preferred_ms = 0.0  # since when it is preferred over this process; 0.0: it is not
        self._is_releasing = False
        self._step_ms = 0.0  # when the duty's next step is due
        self._stepped_ms = -inf

    @property
    def record(self) -> Record | None:
        """The latest record that is known to be accepted by a majority."""
        return self._watch.record

    @property
    def has_majority(self) -> bool:
        """Whether a majority of the replicas answered the last request."""
        return self._watch.has_majority

    @property
    def is_owner(self) -> bool:
        """Whether this process believes that it owns the duty."""
        return self.phase in (Phase.OWNER, Phase.UNSURE, Phase.RELEASING)

    @property
    def is_suspended(self) -> bool:
        """Whether this owner's lease has expired. It runs no step until a write succeeds again."""
        return self.is_owner and self._watch.now_ms - self._renewed_ms >= self.timing.lease_ms

    @property
    def is_writing(self) -> bool:
        """Whether an owner's write is under way."""
        return self._is_busy and self.phase is Phase.OWNER

    # ------------------------------------------------ calls of the duty manager

    def set_preference(self, rank: int | None, successor: str) -> None:
        """`rank`: this process's rank among the duty's candidates (0 is preferred), None if it is not a candidate;
        `successor`: the highest-ranked other process.
        """
        now_ms = self._watch.now_ms
        if rank == 0 or not successor:
            self._successor_preferred_ms = 0.0
        elif self._successor != successor or self._successor_preferred_ms == 0.0:
            self._successor_preferred_ms = now_ms
        if self._watch.rank is None and rank is not None:
            self.next_ms = min(self.next_ms, now_ms)
        self._watch.rank, self._successor = rank, successor

    def release(self, now_ms: float, yield_ms: float) -> None:
        """Release the duty, and yield to other candidates for `yield_ms` (inf: acquire no duty)."""
        self._watch.now_ms = now_ms
        self._yield(now_ms + yield_ms)
        if self.is_owner:
            self._is_releasing = True
            self.next_ms = now_ms

    def resume(self) -> None:
        """Stop yielding: acquire the duty again when it is free."""
        self._watch.yield_until_ms = 0.0

    def on_record_seen(self, record: Record, now_ms: float, source: str = "") -> None:
        """Handle a committed record from another process. It is as valid as a record read from the register, but it may
        be old, and shows that its owner is live only if the owner is the `source`.
        """
        watch = self._watch
        watch.now_ms = max(now_ms, watch.now_ms)
        if watch.record is None or record.version > watch.record.version:
            if not self._is_busy and not watch.is_mine(record):
                if self.is_owner:  # another has it, or nobody: this process has lost the duty
                    self.rejected += 1
                    self._stop_owning()
                watch.learn(record, is_fresh=source == record.owner)
                watch.has_majority = True  # a majority has accepted it
            if self._can_acquire(now_ms):
                self.next_ms = now_ms

    def wake(self, now_ms: float) -> None:
        """Report that the duty has work to do: its next step becomes due as soon as `wake_ms` allows."""
        if self.phase is Phase.OWNER:
            self._step_ms = min(self._step_ms, max(now_ms, self._stepped_ms + self.timing.wake_ms))
            if not self._is_busy:
                self.next_ms = min(self.next_ms, self._step_ms)

    def tick(self, now_ms: float) -> None:
        """Run the work that is due; call it at `next_ms`."""
        late_ms = now_ms - max(self.next_ms, self._watch.now_ms)
        self._watch.now_ms = now_ms
        if self._is_busy:
            self.next_ms = now_ms + self.timing.check_ms  # the callback of the operation continues
        elif self.is_owner:
            if late_ms > self.timing.max_lag_ms:
                self.late_turns += 1
                self._is_releasing = True
                self._yield(now_ms + self.timing.min_tenure_ms)
            self._maintain(now_ms)
        elif self._can_acquire(now_ms):
            self._acquire()
        elif self._reminders_left:
            self._remind(now_ms)
        else:
            self._check_owner(now_ms)

    def piggyback(self, now_ms: float) -> None:
        """Renew a lease that is due soon while another duty of this process is written, so that both are batched."""
        soon = now_ms >= self._renew_ms - self.timing.renew_ms / 3
        if soon and self.phase is Phase.OWNER and not self._is_busy and not self._is_releasing:
            self._watch.now_ms = now_ms
            self._renew(self._owned())

    # ------------------------------------------------ watching

    def _yield(self, until_ms: float) -> None:
        self._watch.yield_until_ms = max(self._watch.yield_until_ms, until_ms)

    def _can_acquire(self, now_ms: float) -> bool:
        return not self.is_owner and not self._is_busy and self._watch.can_acquire(now_ms)

    def _remind(self, now_ms: float) -> None:
        """Notify the preferred owner again of a duty that this process has released."""
        self._reminders_left -= 1
        self.next_ms = now_ms + REMIND_MS
        record = self.record
        if record is not None and record.preferred_owner and not record.owner:
            self._publisher.notify_preferred_owner(self.key, record)

    def _check_owner(self, now_ms: float) -> None:
        """As a candidate, read the register if no updates from the owner arrive."""
        watch = self._watch
        if watch.rank is None:
            self.next_ms = inf
        elif watch.is_owner_live(now_ms):
            self.next_ms = watch.owner_seen_ms + self.timing.quiet_ms
        else:
            self.next_ms = now_ms + self.timing.check_ms
            if now_ms < watch.available_ms and watch.has_majority:
                self.next_ms = min(self.next_ms, watch.available_ms)
            if not self._is_reading:
                self._is_reading = True
                self._registers.read(self.key, self._on_checked)

    def _on_checked(self, result: Result) -> None:
        self._is_reading = False
        if self._is_busy or self.is_owner:  # this process has acquired the duty meanwhile, or is acquiring it
            return
        self._watch.on_read(result)
        if self._watch.has_majority and self._can_acquire(self._watch.now_ms):
            self.next_ms = self._watch.now_ms

    # ------------------------------------------------ acquiring

    def _acquire(self) -> None:
        """Write a record under a term above every term seen so far."""
        record = self.record
        known = record.version if record is not None else NO_VERSION
        seen = self._publisher.version(self.key)
        value = record.value if record is not None else b""
        update_count = record.update_count if record is not None else 0
        term, number = max(known[0], seen[0]) + 1, max(known[1], seen[1]) + 1
        new = Record(term, number, *self._me, "", update_count, value)
        self.phase = Phase.ACQUIRING
        self._write(known if self._register_behind is None else self._register_behind, new, self._on_acquired)

    def _on_acquired(self, new: Record, result: Result) -> None:
        if result.outcome is not Outcome.DONE:
            self._on_not_acquired(result)
            return
        self.terms_taken += 1
        self._register_behind = None
        self.phase = Phase.OWNER
        self._is_releasing = False
        self._acquired_ms = self._watch.now_ms
        self._successor_preferred_ms = 0.0
        self._on_counted(new)

    def _on_not_acquired(self, result: Result) -> None:
        watch = self._watch
        self.phase = Phase.WATCHING
        watch.has_majority = result.outcome is Outcome.CONFLICT
        self._register_behind = None
        if watch.has_majority and watch.record is not None:
            # The register may be behind the known record: more disks were lost than the replicas tolerate. The next
            # write then continues from the known state, under a term above every term seen so far
            register_version = result.record.version if result.record is not None else NO_VERSION
            self._register_behind = register_version if register_version < watch.record.version else None
        if result.record is not None:  # this round may have completed the owner's unfinished write
            watch.learn(result.record, is_fresh=False)
        self.next_ms = watch.now_ms + self.timing.check_ms

    # ------------------------------------------------ holding

    def _owned(self) -> Record:
        assert self.record is not None
        return self.record

    def _maintain(self, now_ms: float) -> None:
        """As the owner, release the duty, run its step or renew its lease, whichever is due."""
        if self.phase is Phase.UNSURE:
            self.next_ms = now_ms + self.timing.check_ms
            self._is_busy = True
            self._registers.read(self.key, self._on_unsure_read)
            return
        record = self._owned()
        if self._is_releasing or self._should_move(now_ms):
            self.phase = Phase.RELEASING
            released = Record(
                record.term, record.number + 1, "", 0, self._successor, record.update_count, record.value
            )
            self._write(record.version, released, self._on_released)
            return
        if not self.is_suspended and now_ms >= self._step_ms:
            self._stepped_ms, self._step_ms = now_ms, _next_aligned_ms(now_ms, self.timing.step_ms)
            value = self._run_step(record, now_ms)
            if value is not None:
                self._write(record.version, self._next_record(record, value, 1), self._on_written)
                return
        if now_ms >= self._renew_ms:
            self._renew(record)
            return
        self.next_ms = min(self._step_ms, self._renew_ms)

    def _should_move(self, now_ms: float) -> bool:
        """Whether, for the minimum tenure, another process was preferred and this process held the duty."""
        if not self._successor_preferred_ms:
            return False
        return now_ms - max(self._successor_preferred_ms, self._acquired_ms) >= self.timing.min_tenure_ms

    @property
    def _renew_ms(self) -> float:
        return self._renewed_ms + self.timing.renew_ms

    def _renew(self, record: Record) -> None:
        self._write(record.version, self._next_record(record, record.value, 0), self._on_written)

    def _run_step(self, record: Record, now_ms: float) -> bytes | None:
        """Run the duty's step. Return its next state, or None if there is no new state."""
        try:
            value = self.duty.step(record.value, now_ms)
        except Exception:  # a faulty duty must not stop the process; STATUS counts its failed steps
            self.failed_steps += 1
            return None
        if value is not None and len(value) > MAX_STATE_BYTES:
            self.failed_steps += 1
            return None
        return None if value == record.value else value

    def _next_record(self, record: Record, value: bytes, updates: int) -> Record:
        return Record(record.term, record.number + 1, *self._me, "", record.update_count + updates, value)

    def _write(self, expected: Version, new: Record, on_end: Callable[[Record, Result], None]) -> None:
        begun_ms = self._watch.now_ms

        def ended(result: Result) -> None:
            self._is_busy = False
            if result.outcome is Outcome.DONE:
                self._watch.has_majority = True
                self._renewed_ms = begun_ms
            on_end(new, result)

        self._is_busy = True
        self.next_ms = begun_ms + self.timing.check_ms
        self._registers.write(self.key, expected, new, ended)

    # ------------------------------------------------ outcomes of an owner's writes

    def _on_written(self, new: Record, result: Result) -> None:
        if result.outcome is Outcome.DONE:
            self._on_counted(new)
        elif result.outcome is Outcome.CONFLICT:
            self._on_conflict(result)
        else:
            self.phase, self._watch.has_majority = Phase.UNSURE, False
            self.next_ms = self._watch.now_ms

    def _on_released(self, new: Record, result: Result) -> None:
        watch = self._watch
        if result.outcome is Outcome.UNKNOWN:
            self.phase, watch.has_majority = Phase.UNSURE, False
            return
        self._stop_owning()
        if result.outcome is Outcome.DONE:
            self._yield(watch.now_ms + self.timing.lease_ms)
            watch.learn(new)
            self._publish(new)
            self._reminders_left, self.next_ms = MAX_REMINDERS, watch.now_ms + REMIND_MS
        elif result.record is not None:
            watch.learn(result.record)

    def _on_unsure_read(self, result: Result) -> None:
        """Handle the read that follows a write with an unknown outcome."""
        self._is_busy = False
        self._watch.has_majority = result.outcome is not Outcome.UNKNOWN
        if not self._watch.has_majority:
            return
        record = result.record
        if record is not None and self._watch.is_mine(record):
            self.phase = Phase.OWNER
            self.next_ms = self._watch.now_ms
            self._on_counted(record)
        else:
            self._on_conflict(result)

    def _on_conflict(self, result: Result) -> None:
        """Handle a register that does not hold the version that this process wrote last."""
        self.rejected += 1
        record, known = result.record, self.record
        if (
            record is not None
            and known is not None
            and self._watch.is_mine(record)
            and record.version >= known.version
        ):
            self.phase = Phase.OWNER  # an earlier write of this process succeeded after all
            self._on_counted(record)
            return
        self._stop_owning()
        if record is not None:
            self._watch.learn(record)
        self.next_ms = self._watch.now_ms + self.timing.check_ms

    def _stop_owning(self) -> None:
        self.phase, self._is_releasing = Phase.WATCHING, False

    def _on_counted(self, record: Record) -> None:
        """Handle a record of this process that a majority has accepted."""
        self._watch.learn(record)
        self.next_ms = self._watch.now_ms if self._is_releasing else min(self._step_ms, self._renew_ms)
        self._publish(record)

    def _publish(self, record: Record) -> None:
        """Send a new term, a new state or a released duty to every process, and a renewed lease to candidates."""
        last = self._announced
        if record.version <= last:
            return
        is_update = record.update_count != self._announced_update_count
        if not record.owner or record.term != last[0] or is_update:
            self._announced, self._announced_update_count = record.version, record.update_count
            self._publisher.announce(self.key, record)
        if record.owner:
            self._publisher.announce_renewal(self.key, record)


def _next_aligned_ms(after_ms: float, every_ms: float) -> float:
    """Return the next multiple of `every_ms`. All duties of a process share these times, so that their writes are
    batched.
    """
    return (after_ms // every_ms + 1.0) * every_ms
