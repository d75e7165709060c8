"""A fleet of `DutyManager`s on the simulated network, with seeded faults, disks that lose unflushed data, and a checker
that sees every record that replicas accept and every state that processes apply."""

from __future__ import annotations

from collections import Counter
from collections.abc import Sequence
from random import Random
from typing import Any

from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import (
    AcceptorOutput,
    AcceptorState,
    IncarnationEntry,
    ReplicaSetEntry,
    SlotEntry,
    fingerprint,
)
from larkweir_owners.duty_manager import DutyManager
from larkweir_owners.lease_timing import LeaseTiming, Phase
from larkweir_owners.messages import Accepted, Ballot, Record, ReplicaSet, Version
from larkweir_owners.ports import Outcome, Result
from larkweir_simulated import Network


class InvariantError(AssertionError):
    """An invariant was violated; the message begins with its name."""


class CountingDuty:
    """A duty that always has work to do: it counts. Its state names the owner that counted last."""

    def __init__(self, name: str, process: Process) -> None:
        self.name = name
        self._process = process

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        count = int(state.split(b" ")[0] or b"0")
        return b"%d %s %d" % (count + 1, self._process.name.encode(), self._process.incarnation)

    def on_committed(self, state: bytes, version: Version) -> None:
        self._process.fleet.checker.on_applied(self._process, self.name, version, state)


class Checker:
    """Checks the invariants: one owner per term; one value per version; updates in order, and none of an old term;
    processes apply only chosen states, in increasing versions; no write without a majority is reported as done.

    A record that a replica holds when it adopts another set is also a vote in that set: two of four replicas are no
    majority, but in a set of three that includes both, each later ballot reaches one of them."""

    def __init__(self) -> None:
        self.votes: dict[tuple[str, Ballot], tuple[Record, set[tuple[int, str]]]] = {}
        self.values: dict[tuple[str, Version], Record] = {}
        self.last: dict[str, Record] = {}
        self.owners: dict[tuple[str, int], tuple[str, int]] = {}
        self.held: dict[tuple[str, str], Version] = {}
        self.stale_term_writes = 0
        # Found in a duty's callback, where an exception would only be counted as the duty's own failure
        self.violations: list[str] = []
        self.update_counts: Counter[str] = Counter()
        # When a record of the term was first chosen
        self.term_committed_ms: dict[tuple[str, int], float] = {}

    def accepted(
        self, replica: str, key: str, ballot: Ballot, record: Record, replica_set: ReplicaSet, now: float
    ) -> None:
        """Record that `replica` has the record on its disk and votes in `replica_set`."""
        first, names = self.votes.setdefault((key, ballot), (record, set()))
        if first != record:
            raise InvariantError(f"one ballot, two values: {key} {ballot}: {first} and {record}")
        names.add((replica_set.epoch, replica))
        if sum((replica_set.epoch, name) in names for name in replica_set.names) >= replica_set.quorum:
            self._chosen(key, record, now)

    def _chosen(self, key: str, record: Record, now: float) -> None:
        known = self.values.get((key, record.version))
        if known is not None:
            if known != record:
                raise InvariantError(f"one value a version: {key} {record.version}: {known} and {record}")
            return
        self.values[key, record.version] = record
        before = self.last.get(key)
        if before is not None and record.version <= before.version:
            raise InvariantError(f"versions never decrease: {key}: {record} chosen after {before}")
        if before is not None and record.term < before.term:
            self.stale_term_writes += 1
        if record.owner and not key.startswith("\0"):
            owner = self.owners.setdefault((key, record.term), (record.owner, record.incarnation))
            if owner != (record.owner, record.incarnation):
                raise InvariantError(f"one owner a term: {key} {record.term}: {owner} and {record.owner}")
        self.term_committed_ms.setdefault((key, record.term), now)
        update_count = before.update_count if before is not None else 0
        if record.update_count not in (update_count, update_count + 1) or (
            not key.startswith("\0") and record.value.split(b" ")[0] not in (b"%d" % record.update_count, b"")
        ):
            raise InvariantError(f"updates in order: {key}: {record} after {before}")
        self.last[key] = record
        self.update_counts[key] += record.update_count - update_count

    def on_applied(self, process: Process, key: str, version: Version, state: bytes) -> None:
        held = self.held.get((process.name, key), (0, 0))
        if version <= held:
            self.violations.append(f"copies never decrease: {process.name} {key}: {version} after {held}")
        self.held[process.name, key] = version
        chosen = self.values.get((key, version))
        if chosen is None or chosen.value != state:
            self.violations.append(
                f"only chosen states are applied: {process.name} {key} {version}: {state!r}, {chosen}"
            )


class Process:
    """A process of the fleet. `disk` is the flushed state, which survives a crash of the process."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.incarnation = 0
        self.disk: AcceptorState | None = None
        self.old_disk: AcceptorState | None = None
        self.held: dict[str, Record] = {}
        self.owners: DutyManager | None = None
        self.sent = 0
        self.voting = False  # according to the flushed state
        self._timer: Any = None
        self._flush_ms = 0.0

    # Transport

    def post(self, to: str, item: bytes) -> bool:
        assert len(item) <= 8192
        self.sent += 1
        self.fleet.network.send(self.name, to, item)
        return True

    def alive(self) -> Sequence[str]:
        return self.fleet.alive

    # Start, stop and handover

    def start(self, closed_fingerprint: str = "") -> None:
        """`closed_fingerprint`: the fingerprint from the predecessor, in a handover."""
        fleet, network = self.fleet, self.fleet.network
        self.incarnation = fleet.rng.getrandbits(31)
        acceptor = None
        if self.name in fleet.eligible_replicas:
            if self.disk is None:
                self.disk = AcceptorState(fleet.rng.getrandbits(31), fleet.replica_set)
            acceptor = Acceptor(self.name, self.disk.copy(), closed_fingerprint)
        self.voting = acceptor is not None and acceptor.voting_incarnation is not None
        self.owners = DutyManager(
            self.name,
            self.incarnation,
            fleet.replica_set,
            [CountingDuty(key, self) for key in fleet.keys],
            self,
            fleet.rng.random,
            lambda names, count: fleet.rng.sample(list(names), min(count, len(names))),
            fleet.timing,
            acceptor,
            self.held.items(),
        )
        network.listen(self.name, self._on_message)
        self._flush_ms = network.now_ms
        self._timer = network.after(fleet.rng.random() * 50, self._tick, self.name)

    def kill(self) -> None:
        self.fleet.network.kill(self.name)
        self.owners = None

    def hand_over(
        self, delay_ms: float, disk: AcceptorState | None = None, early_fingerprint: str | None = None
    ) -> None:
        """Hand over to a successor with the same name, which gets the fingerprint of the closed file. `disk`: replaces
        the disk before the successor starts; `early_fingerprint`: sent by a faulty predecessor before it stopped."""
        assert self.owners is not None
        acceptor = self.owners.acceptor
        voted = (
            acceptor is not None
            and self.disk is not None
            and acceptor.voting_incarnation == self.disk.incarnation
        )
        closed_fingerprint = (
            fingerprint(self.disk) if voted and self.disk is not None and self.disk.can_vote else ""
        )
        self.kill()
        self.disk = disk or self.disk
        closed_fingerprint = closed_fingerprint if early_fingerprint is None else early_fingerprint
        self.fleet.network.after(
            delay_ms, lambda: None if self.owners is not None else self.start(closed_fingerprint)
        )

    def _on_message(self, source: str, data: bytes) -> None:
        assert self.owners is not None
        self.owners.on_message(source, data, self.fleet.network.now_ms)
        self.flush_and_reschedule()

    def _tick(self) -> None:
        assert self.owners is not None
        self.owners.tick(self.fleet.network.now_ms)
        self.flush_and_reschedule()

    def flush_and_reschedule(self) -> None:
        """Schedule the flushes of all outputs, one after another, and reset the timer."""
        assert self.owners is not None
        network = self.fleet.network
        for output in self.owners.take_outputs():
            self._flush_ms = max(network.now_ms, self._flush_ms) + self.fleet.rng.uniform(0.2, 3.0)
            network.at(self._flush_ms, lambda output=output: self._on_flushed(output), self.name)
        self.held = dict(self.owners.replicator.records)
        due = max(self.owners.next_ms, network.now_ms + 1.0)
        if self._timer is not None:
            self._timer.cancel()
        if due < float("inf"):
            self._timer = network.at(due, self._tick, self.name)

    def _on_flushed(self, output: AcceptorOutput) -> None:
        assert self.owners is not None and self.disk is not None
        for entry in output.entries:
            self.disk.apply(entry)
            match entry:
                case SlotEntry(key, slot) if any(
                    isinstance(i, Accepted) and i.ballot == slot.accepted_ballot for _, i in output.messages
                ):
                    self._record_votes(key)
                case IncarnationEntry():
                    self.voting = True
                    self._record_votes(*self.disk.slots)  # the slots it learned and the slots it had
                case ReplicaSetEntry() if self.voting:
                    self._record_votes(*self.disk.slots)
        self.owners.on_flushed(output, self.fleet.network.now_ms)
        self.flush_and_reschedule()

    def _record_votes(self, *keys: str) -> None:
        assert self.disk is not None
        now = self.fleet.network.now_ms
        for key in keys:
            slot = self.disk.slots[key]
            if slot.record is not None:
                self.fleet.checker.accepted(
                    self.name, key, slot.accepted_ballot, slot.record, self.disk.replica_set, now
                )


class Fleet:
    def __init__(
        self,
        seed: int,
        processes: int = 5,
        replicas: int = 3,
        duties: int = 1,
        loss_rate: float = 0.02,
        duplicate_rate: float = 0.02,
        timing: LeaseTiming | None = None,
    ) -> None:
        self.network = Network(seed, (1.0, 10.0), loss_rate, duplicate_rate)
        self.rng = Random(seed + 1)
        self.timing = timing if timing is not None else LeaseTiming(lease_ms=1000.0, step_ms=50.0)
        self.names = [f"10.0.{n // 250}.{n % 250}:7946" for n in range(processes)]
        self.eligible_replicas = set(self.names[: replicas + 2])
        self.replica_set = ReplicaSet(1, tuple(self.names[:replicas]))
        self.keys = [f"duty{n}" for n in range(duties)]
        self.alive = list(self.names)
        self.checker = Checker()
        self.processes = {name: Process(self, name) for name in self.names}
        for process in self.processes.values():
            process.start()

    def run(self, ms: float) -> None:
        self.network.run(self.network.now_ms + ms)
        if self.checker.violations:
            raise InvariantError(self.checker.violations[0])

    def owner(self, key: str) -> Process | None:
        """Return the owner named in the register, if that process is alive and knows that it owns the duty."""
        record = self.checker.last.get(key)
        if record is None or not record.owner:
            return None
        process = self.processes[record.owner]
        if process.owners is None or process.incarnation != record.incarnation:
            return None
        return process if process.owners.leaderships[key].phase in (Phase.OWNER, Phase.UNSURE) else None

    def kill(self, name: str, detected_after_ms: float = 1500.0) -> None:
        self.processes[name].kill()
        self.network.after(detected_after_ms, lambda: self._remove_dead(name))

    def _remove_dead(self, name: str) -> None:
        if self.processes[name].owners is None and name in self.alive:
            self.alive.remove(name)

    def start(self, name: str) -> None:
        if self.processes[name].owners is None:
            self.processes[name].start()
        if name not in self.alive:
            self.alive.append(name)
            self.alive.sort()

    def run_until(self, condition: Any, timeout_ms: float, step_ms: float = 10.0) -> bool:
        until = self.network.now_ms + timeout_ms
        while self.network.now_ms < until:
            if condition():
                return True
            self.run(step_ms)
        return bool(condition())

    # Seeded faults

    def play(
        self,
        fault_count: int = 8,
        gap_ms: tuple[float, float] = (100.0, 2500.0),
        recovery_ms: float = 12_000.0,
    ) -> None:
        """Inject random faults, which may overlap, then end them all and check that the fleet recovers by itself."""
        rng = self.rng
        self.run(rng.uniform(500.0, 2000.0))
        for _ in range(fault_count):
            self._inject(rng.choice(FAULTS))
            for _ in range(3):
                self.run(rng.uniform(*gap_ms) / 3)
                self.check_read(self.processes[rng.choice(self.names)], rng.choice(self.keys))
        self.end_all_faults()
        before = sum(self.checker.update_counts.values())
        self.run(recovery_ms)
        if sum(self.checker.update_counts.values()) <= before:
            raise InvariantError("duties continue once all faults have ended")
        self.network.loss_rate = 0.0
        self.run(100.0)
        self.check_converged()

    def check_converged(self) -> None:
        """Check that all processes hold almost the latest state; the last updates may still be in transit."""
        for key in self.keys:
            last = self.checker.last[key]
            for process in self.processes.values():
                held = process.held.get(key)
                if held is None or last.update_count - held.update_count > 100:
                    raise InvariantError(f"all copies follow: {process.name} {key}: {held}, {last}")

    def end_all_faults(self) -> None:
        self.network.heal()
        self.network.loss_rate, self.network.duplicate_rate, self.network.delay_ms = 0.02, 0.02, (1.0, 10.0)
        for name, process in self.processes.items():
            self.network.resume(name)
            if process.owners is not None and (
                process.owners.is_draining
                or (process.owners.acceptor and process.owners.acceptor.mode == "failed")
            ):
                process.kill()
            self.start(name)

    def _has_bad_disk(self) -> bool:
        """Whether a replica does not vote. The invariants assume that at most one disk at a time is lost or old."""
        return not all(self.votes(name) for name in self.members)

    def votes(self, name: str) -> bool:
        owners = self.processes[name].owners
        return owners is not None and owners.acceptor is not None and owners.acceptor.mode == "voting"

    @property
    def members(self) -> list[str]:
        """The names of the newest replica set that any process has on disk, and of the set before it."""
        sets = [p.disk.replica_set for p in self.processes.values() if p.disk is not None]
        newest = max(sets, key=lambda replica_set: (replica_set.epoch, not replica_set.previous))
        return sorted({*newest.names, *newest.previous})

    def change_replica_set(self, by: Process) -> None:
        """Add or remove one replica, or resume an unfinished change."""
        assert by.owners is not None
        now, present = self.network.now_ms, by.owners.proposer.replica_set
        if present.previous:
            by.owners.set_change.resume(lambda fault: None, now)
            by.flush_and_reschedule()
            return
        names = set(present.names)
        if len(names) > 3 and self.rng.random() < 0.5:
            names.remove(self.rng.choice(sorted(names)))
        elif len(names) < 5:
            new = self.rng.choice(sorted(self.eligible_replicas - names))
            names.add(new)
            if new not in self.members and self.processes[new].owners is not None:
                self.processes[new].kill()  # a former replica's file must be removed first
                self.processes[new].disk = self.processes[new].old_disk = None
                self.start(new)
        else:
            return
        if by.owners is not None:
            by.owners.set_change.begin(tuple(sorted(names)), lambda fault: None, now)
            by.flush_and_reschedule()

    def check_read(self, by: Process, key: str) -> None:
        """Read the register; the result must not be older than the latest record chosen before the read began."""
        last = self.checker.last.get(key)
        least = last.version if last is not None else (0, 0)

        def on_result(result: Result) -> None:
            found = result.record.version if result.record is not None else (0, 0)
            if result.outcome is Outcome.DONE and found < least:
                raise InvariantError(
                    f"reads are linearizable: {key}: {found} read, but {least} was chosen before"
                )

        if by.owners is not None:
            by.owners.proposer.set_time(self.network.now_ms)
            by.owners.proposer.read(key, on_result)
            by.flush_and_reschedule()

    def _inject(self, fault: str) -> None:
        rng, network = self.rng, self.network
        name = rng.choice(self.names)
        owner = self.owner(rng.choice(self.keys))
        lease = self.timing.lease_ms
        live = [n for n in self.names if self.processes[n].owners is not None]
        match fault:
            case "stop owner" if owner is not None:
                network.pause(owner.name)
                network.after(3 * lease * rng.uniform(0.5, 1.1), lambda: network.resume(owner.name))
            case "stop":
                network.pause(name)
                network.after(rng.uniform(0.1, 3.0) * lease, lambda: network.resume(name))
            case "kill owner" if owner is not None:
                self.kill(owner.name)
                network.after(rng.uniform(0.01, 3.0) * lease, lambda: self.start(owner.name))
            case "kill":
                self.kill(name)
                network.after(rng.uniform(0.01, 3.0) * lease, lambda: self.start(name))
            case "no disk" | "yesterday" if name in self.members and not self._has_bad_disk():
                self.kill(name)
                self.processes[name].disk = self.processes[name].old_disk if fault == "yesterday" else None
                network.after(rng.uniform(0.01, 2.0) * lease, lambda: self.start(name))
            case "backup" if name in self.members and self.processes[name].disk is not None:
                disk = self.processes[name].disk
                assert disk is not None
                self.processes[name].old_disk = disk.copy()
            case "handover" if self.processes[name].owners is not None:
                process, old = self.processes[name], self.processes[name].old_disk
                swapped = (
                    old if rng.random() < 0.3 and name in self.members and not self._has_bad_disk() else None
                )
                process.hand_over(rng.uniform(1.0, 300.0), swapped)
            case "power" if not self._has_bad_disk():
                for each in self.members:
                    self.kill(each)
                    network.after(rng.uniform(0.01, 1.0) * lease, lambda each=each: self.start(each))
            case "drain" if len(live) > 3:
                process = self.processes[owner.name if owner is not None else rng.choice(live)]
                if process.owners is not None:
                    process.owners.drain(network.now_ms)
                    process.flush_and_reschedule()
            case "lag" if owner is not None and owner.owners is not None:
                owner.owners.on_lag(lease, network.now_ms)
                owner.flush_and_reschedule()
            case "cut":
                group = rng.sample(self.names, rng.randint(1, len(self.names) - 1))
                network.split([group])
                network.after(rng.uniform(0.2, 4.0) * lease, network.heal)
            case "one way":
                network.cut(name, rng.choice([n for n in self.names if n != name]), both=False)
                network.after(rng.uniform(0.2, 4.0) * lease, network.heal)
            case "change":
                by = self.processes[rng.choice(live or self.names)]
                if by.owners is not None:
                    self.change_replica_set(by)
            case "full disk" if name in self.members:
                process = self.processes[name]
                if process.owners is not None:
                    process.owners.on_flush_failed()
            case "loss":
                network.loss_rate = rng.choice([0.0, 0.02, 0.2])
                network.duplicate_rate = rng.choice([0.0, 0.02, 0.3])
                network.delay_ms = rng.choice([(1.0, 10.0), (0.1, 1.0), (5.0, 300.0)])


FAULTS = (
    "stop owner",
    "stop owner",
    "stop",
    "kill owner",
    "kill",
    "no disk",
    "yesterday",
    "backup",
    "handover",
    "handover",
    "power",
    "drain",
    "lag",
    "cut",
    "cut",
    "one way",
    "full disk",
    "loss",
    "change",
    "change",
)
