"""One duty at one process: to watch its owner, to acquire it under a new term, to hold its lease, to release it.

Nothing here is made safe by time. A step counts once a majority of the replicas has accepted a conditional write under
the term; the registers reject all others. The lease only makes it rare that two contend: an owner is suspended while
its lease has not been renewed for `lease_ms` by its own clock. Pure logic.
"""

from __future__ import annotations

from collections.abc import Callable
from math import inf

from larkweir_owners.lease_timing import LeaseTiming, Phase
from larkweir_owners.messages import MAX_STATE_BYTES, NO_VERSION, Record, Version
from larkweir_owners.owner_watch import OwnerWatch
from larkweir_owners.ports import Duty, Outcome, Publisher, Registers, Result

MAX_REMINDERS = 3  # to a preferred owner that has not taken the duty yet
REMIND_MS = 40.0  # from one to the next


class Leadership:
    """A process's part in one duty. `is_owner` says what this process believes; what counts, the registers decide."""

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
        self.rejected = 0  # writes that met another version
        self.failed_steps = 0  # steps that raised, or returned too much
        self.late_turns = 0  # turns that came so late that the lease was over
        self._me, self._registers, self._publisher = me, registers, publisher
        self._watch = OwnerWatch(me, timing)
        self._register_behind: Version | None = (
            None  # what the register holds, where more has counted than that
        )
        self._renewed_ms = -inf  # when the last write that counted was begun
        self._acquired_ms = 0.0
        self._is_busy = False  # a write is under way, or a read that an owner waits for
        self._is_reading = False  # a candidate's read is under way
        self._announced, self._announced_update_count = NO_VERSION, -1
        self._reminders_left = 0
        self._successor = ""  # the best of the other candidates
        self._successor_preferred_ms = 0.0  # since when it is preferred to this process; 0.0: it is not
        self._is_releasing = False
        self._step_ms = 0.0  # when the duty's next step is due
        self._stepped_ms = -inf

    @property
    def record(self) -> Record | None:
        """The latest record that is known to count."""
        return self._watch.record

    @property
    def has_majority(self) -> bool:
        """Whether the last question to the replicas was answered by a majority."""
        return self._watch.has_majority

    @property
    def is_owner(self) -> bool:
        """Whether this process believes that it owns the duty."""
        return self.phase in (Phase.OWNER, Phase.UNSURE, Phase.RELEASING)

    @property
    def is_suspended(self) -> bool:
        """It owns, but its lease is over: no step is taken until a write has counted again."""
        return self.is_owner and self._watch.now_ms - self._renewed_ms >= self.timing.lease_ms

    @property
    def is_writing(self) -> bool:
        """Whether an owner's write is under way."""
        return self._is_busy and self.phase is Phase.OWNER

    # ------------------------------------------------ what the process asks of it

    def set_preference(self, rank: int | None, successor: str) -> None:
        """`rank`: this process's among the duty's candidates (0 is preferred), None where it is none; `successor`: the
        best of the others.
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
        """Hand the duty over, and let others go first for `yield_ms` (inf: take no duty)."""
        self._watch.now_ms = now_ms
        self._yield(now_ms + yield_ms)
        if self.is_owner:
            self._is_releasing = True
            self.next_ms = now_ms

    def resume(self) -> None:
        """Take the duty again when it is free."""
        self._watch.yield_until_ms = 0.0

    def on_record_seen(self, record: Record, now_ms: float, source: str = "") -> None:
        """A record that counts has arrived from another process: as good as one that was read, but it may be old, and
        is no sign that its owner is there now unless that is the `source`.
        """
        watch = self._watch
        watch.now_ms = max(now_ms, watch.now_ms)
        if watch.record is None or record.version > watch.record.version:
            if not self._is_busy and not watch.is_mine(record):
                if self.is_owner:  # another has it, or nobody: what this process held is over
                    self.rejected += 1
                    self._stop_owning()
                watch.learn(record, is_fresh=source == record.owner)
                watch.has_majority = True  # one has accepted it
            if self._can_acquire(now_ms):
                self.next_ms = now_ms

    def wake(self, now_ms: float) -> None:
        """The duty has something to do: its step is due as soon as it is allowed."""
        if self.phase is Phase.OWNER:
            self._step_ms = min(self._step_ms, max(now_ms, self._stepped_ms + self.timing.wake_ms))
            if not self._is_busy:
                self.next_ms = min(self.next_ms, self._step_ms)

    def tick(self, now_ms: float) -> None:
        """Do what is due at `next_ms`."""
        late_ms = now_ms - max(self.next_ms, self._watch.now_ms)
        self._watch.now_ms = now_ms
        if self._is_busy:
            self.next_ms = now_ms + self.timing.check_ms  # the operation ends by itself
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
        """Another duty of this process is being written: renew a lease that is due soon, so that both go together."""
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
        """Notify the preferred owner of a duty that this process has released."""
        self._reminders_left -= 1
        self.next_ms = now_ms + REMIND_MS
        record = self.record
        if record is not None and record.preferred_owner and not record.owner:
            self._publisher.notify_preferred_owner(self.key, record)

    def _check_owner(self, now_ms: float) -> None:
        """As a candidate: read the register where the owner's updates do not arrive."""
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
        if self._is_busy or self.is_owner:  # it has acquired the duty meanwhile, or is about to
            return
        self._watch.on_read(result)
        if self._watch.has_majority and self._can_acquire(self._watch.now_ms):
            self.next_ms = self._watch.now_ms

    # ------------------------------------------------ acquiring

    def _acquire(self) -> None:
        """Write a record under a term above all that was seen."""
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
            # A register that holds less than what has counted: more disks are lost than is allowed for. The known
            # state goes on from here, under a term above all that was seen
            register_version = result.record.version if result.record is not None else NO_VERSION
            self._register_behind = register_version if register_version < watch.record.version else None
        if result.record is not None:  # this round may have completed what its owner left half done
            watch.learn(result.record, is_fresh=False)
        self.next_ms = watch.now_ms + self.timing.check_ms

    # ------------------------------------------------ holding

    def _owned(self) -> Record:
        assert self.record is not None
        return self.record

    def _maintain(self, now_ms: float) -> None:
        """As the owner: release the duty, step it, or renew its lease, whichever is due."""
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
        """Whether another process has been preferred, and the duty held here, for long enough."""
        if not self._successor_preferred_ms:
            return False
        return now_ms - max(self._successor_preferred_ms, self._acquired_ms) >= self.timing.min_tenure_ms

    @property
    def _renew_ms(self) -> float:
        return self._renewed_ms + self.timing.renew_ms

    def _renew(self, record: Record) -> None:
        self._write(record.version, self._next_record(record, record.value, 0), self._on_written)

    def _run_step(self, record: Record, now_ms: float) -> bytes | None:
        """The duty's next state; None where there is none."""
        try:
            value = self.duty.step(record.value, now_ms)
        except Exception:  # a duty's fault ends no process; the duty stops, and STATUS counts it
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
        """What the register holds, after a write whose outcome was not known."""
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
        """The register holds another version than the one that this process has written last."""
        self.rejected += 1
        record, known = result.record, self.record
        if (
            record is not None
            and known is not None
            and self._watch.is_mine(record)
            and record.version >= known.version
        ):
            self.phase = Phase.OWNER  # an earlier write of this process had counted after all
            self._on_counted(record)
            return
        self._stop_owning()
        if record is not None:
            self._watch.learn(record)
        self.next_ms = self._watch.now_ms + self.timing.check_ms

    def _stop_owning(self) -> None:
        self.phase, self._is_releasing = Phase.WATCHING, False

    def _on_counted(self, record: Record) -> None:
        """A majority has accepted it, and it is this process's."""
        self._watch.learn(record)
        self.next_ms = self._watch.now_ms if self._is_releasing else min(self._step_ms, self._renew_ms)
        self._publish(record)

    def _publish(self, record: Record) -> None:
        """Every process gets a new term, a new state, and a released duty; only candidates get a renewed lease."""
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
    """The next of the moments that all duties of a process share, so that their writes go together."""
    return (after_ms // every_ms + 1.0) * every_ms
