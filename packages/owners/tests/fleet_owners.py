"""A fleet of `Owners` on the simulated network: seeded faults, disks that lose what was not flushed, and a checker that
sees all that keepers accept and followers take."""

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


class BrokenError(AssertionError):
    """A promise was broken; the message names it first."""


class Steady:
    """A duty that always has something to do: it counts. Its state names the owner that counted."""

    def __init__(self, name: str, process: Process) -> None:
        self.name = name
        self._process = process

    def step(self, state: bytes, now_ms: float) -> bytes | None:
        count = int(state.split(b" ")[0] or b"0")
        return b"%d %s %d" % (count + 1, self._process.name.encode(), self._process.life)

    def on_committed(self, state: bytes, version: Version) -> None:
        self._process.fleet.checker.taken(self._process, self.name, version, state)


class Checker:
    """One owner a term; one value a version; effects in order, none of an old term; followers take only what counts,
    and never go back; nothing is told as written that no majority has.

    What a keeper holds when it goes on to another set is a vote in that set too: two of four that took a ballot are no
    majority, but once both are of a set of three, each later ballot meets one of them."""

    def __init__(self) -> None:
        self.votes: dict[tuple[str, Ballot], tuple[Record, set[tuple[int, str]]]] = {}
        self.values: dict[tuple[str, Version], Record] = {}
        self.last: dict[str, Record] = {}
        self.owners: dict[tuple[str, int], tuple[str, int]] = {}
        self.held: dict[tuple[str, str], Version] = {}
        self.old_taken = 0
        self.broken: list[str] = []  # what was found where an exception would be taken for a duty's own
        self.effects: Counter[str] = Counter()
        self.when: dict[tuple[str, int], float] = {}  # when a term first counted

    def accepted(
        self, keeper: str, key: str, ballot: Ballot, record: Record, keepers: ReplicaSet, now: float
    ) -> None:
        """Holds it on its disk, and votes in this set."""
        first, names = self.votes.setdefault((key, ballot), (record, set()))
        if first != record:
            raise BrokenError(f"one ballot, two values: {key} {ballot}: {first} and {record}")
        names.add((keepers.epoch, keeper))
        if sum((keepers.epoch, name) in names for name in keepers.names) >= keepers.quorum:
            self._chosen(key, record, now)

    def _chosen(self, key: str, record: Record, now: float) -> None:
        there = self.values.get((key, record.version))
        if there is not None:
            if there != record:
                raise BrokenError(f"one value a version: {key} {record.version}: {there} and {record}")
            return
        self.values[key, record.version] = record
        before = self.last.get(key)
        if before is not None and record.version <= before.version:
            raise BrokenError(f"versions never go back: {key}: {record} counts after {before}")
        if before is not None and record.term < before.term:
            self.old_taken += 1
        if record.owner and not key.startswith("\0"):
            owner = self.owners.setdefault((key, record.term), (record.owner, record.incarnation))
            if owner != (record.owner, record.incarnation):
                raise BrokenError(f"one owner a term: {key} {record.term}: {owner} and {record.owner}")
        self.when.setdefault((key, record.term), now)
        effects = before.update_count if before is not None else 0
        if record.update_count not in (effects, effects + 1) or (
            not key.startswith("\0") and record.value.split(b" ")[0] not in (b"%d" % record.update_count, b"")
        ):
            raise BrokenError(f"effects in order: {key}: {record} after {before}")
        self.last[key] = record
        self.effects[key] += record.update_count - effects

    def taken(self, process: Process, key: str, version: Version, state: bytes) -> None:
        held = self.held.get((process.name, key), (0, 0))
        if version <= held:
            self.broken.append(f"copies never go back: {process.name} {key}: {version} after {held}")
        self.held[process.name, key] = version
        chosen = self.values.get((key, version))
        if chosen is None or chosen.value != state:
            self.broken.append(
                f"only what counts is taken: {process.name} {key} {version}: {state!r}, {chosen}"
            )


class Process:
    """`disk` is what was flushed; it outlives the process."""

    def __init__(self, fleet: Fleet, name: str) -> None:
        self.fleet, self.name = fleet, name
        self.life = 0
        self.disk: AcceptorState | None = None
        self.old_disk: AcceptorState | None = None
        self.held: dict[str, Record] = {}
        self.owners: DutyManager | None = None
        self.sent = 0
        self.voting = False  # by what is flushed
        self._timer: Any = None
        self._flush_ms = 0.0

    # Mail

    def post(self, to: str, item: bytes) -> bool:
        assert len(item) <= 8192
        self.sent += 1
        self.fleet.network.send(self.name, to, item)
        return True

    def alive(self) -> Sequence[str]:
        return self.fleet.alive

    # Life

    def start(self, witness: str = "") -> None:
        """`witness`: what its predecessor told (a handover)."""
        fleet, network = self.fleet, self.fleet.network
        self.life = fleet.rng.getrandbits(31)
        keeper = None
        if self.name in fleet.may_keep:
            if self.disk is None:
                self.disk = AcceptorState(fleet.rng.getrandbits(31), fleet.replica_set)
            keeper = Acceptor(self.name, self.disk.copy(), witness)
        self.voting = keeper is not None and keeper.voting_incarnation is not None
        self.owners = DutyManager(
            self.name,
            self.life,
            fleet.replica_set,
            [Steady(key, self) for key in fleet.keys],
            self,
            fleet.rng.random,
            lambda names, most: fleet.rng.sample(list(names), min(most, len(names))),
            fleet.times,
            keeper,
            self.held.items(),
        )
        network.listen(self.name, self._came)
        self._flush_ms = network.now_ms
        self._timer = network.after(fleet.rng.random() * 50, self._tick, self.name)

    def kill(self) -> None:
        self.fleet.network.kill(self.name)
        self.owners = None

    def hand_over(self, late_ms: float, disk: AcceptorState | None = None, early: str | None = None) -> None:
        """To a successor under the same name, which is told what the file held; `disk`: what stands there by then;
        `early`: what a faulty predecessor told before it had stopped."""
        assert self.owners is not None
        keeper = self.owners.acceptor
        voted = (
            keeper is not None
            and self.disk is not None
            and keeper.voting_incarnation == self.disk.incarnation
        )
        told = fingerprint(self.disk) if voted and self.disk is not None and self.disk.can_vote else ""
        self.kill()
        self.disk = disk or self.disk
        told = told if early is None else early
        self.fleet.network.after(late_ms, lambda: None if self.owners is not None else self.start(told))

    def _came(self, source: str, data: bytes) -> None:
        assert self.owners is not None
        self.owners.on_message(source, data, self.fleet.network.now_ms)
        self.after()

    def _tick(self) -> None:
        assert self.owners is not None
        self.owners.tick(self.fleet.network.now_ms)
        self.after()

    def after(self) -> None:
        """Flush what is to be flushed, one after another, and set the timer."""
        assert self.owners is not None
        network = self.fleet.network
        for step in self.owners.take_outputs():
            self._flush_ms = max(network.now_ms, self._flush_ms) + self.fleet.rng.uniform(0.2, 3.0)
            network.at(self._flush_ms, lambda step=step: self._flushed(step), self.name)
        self.held = dict(self.owners.replicator.records)
        due = max(self.owners.next_ms, network.now_ms + 1.0)
        if self._timer is not None:
            self._timer.cancel()
        if due < float("inf"):
            self._timer = network.at(due, self._tick, self.name)

    def _flushed(self, step: AcceptorOutput) -> None:
        assert self.owners is not None and self.disk is not None
        for entry in step.entries:
            self.disk.apply(entry)
            match entry:
                case SlotEntry(key, slot) if any(
                    isinstance(i, Accepted) and i.ballot == slot.accepted_ballot for _, i in step.messages
                ):
                    self._holds(key)
                case IncarnationEntry():
                    self.voting = True
                    self._holds(*self.disk.slots)  # what it learned, and what it had
                case ReplicaSetEntry() if self.voting:
                    self._holds(*self.disk.slots)
        self.owners.on_flushed(step, self.fleet.network.now_ms)
        self.after()

    def _holds(self, *keys: str) -> None:
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
        keepers: int = 3,
        duties: int = 1,
        lost: float = 0.02,
        doubled: float = 0.02,
        times: LeaseTiming | None = None,
    ) -> None:
        self.network = Network(seed, (1.0, 10.0), lost, doubled)
        self.rng = Random(seed + 1)
        self.times = times if times is not None else LeaseTiming(lease_ms=1000.0, step_ms=50.0)
        self.names = [f"10.0.{n // 250}.{n % 250}:7946" for n in range(processes)]
        self.may_keep = set(self.names[: keepers + 2])
        self.replica_set = ReplicaSet(1, tuple(self.names[:keepers]))
        self.keys = [f"duty{n}" for n in range(duties)]
        self.alive = list(self.names)
        self.checker = Checker()
        self.processes = {name: Process(self, name) for name in self.names}
        for process in self.processes.values():
            process.start()

    def run(self, ms: float) -> None:
        self.network.run(self.network.now_ms + ms)
        if self.checker.broken:
            raise BrokenError(self.checker.broken[0])

    def owner(self, key: str) -> Process | None:
        """Whom the register names, if that process lives and knows it."""
        record = self.checker.last.get(key)
        if record is None or not record.owner:
            return None
        process = self.processes[record.owner]
        if process.owners is None or process.life != record.incarnation:
            return None
        return process if process.owners.leaderships[key].phase in (Phase.OWNER, Phase.UNSURE) else None

    def kill(self, name: str, seen_after_ms: float = 1500.0) -> None:
        self.processes[name].kill()
        self.network.after(seen_after_ms, lambda: self._gone(name))

    def _gone(self, name: str) -> None:
        if self.processes[name].owners is None and name in self.alive:
            self.alive.remove(name)

    def start(self, name: str) -> None:
        if self.processes[name].owners is None:
            self.processes[name].start()
        if name not in self.alive:
            self.alive.append(name)
            self.alive.sort()

    def run_until(self, what: Any, most_ms: float, step_ms: float = 10.0) -> bool:
        until = self.network.now_ms + most_ms
        while self.network.now_ms < until:
            if what():
                return True
            self.run(step_ms)
        return bool(what())

    # Seeded plans

    def play(
        self, events: int = 8, gap_ms: tuple[float, float] = (100.0, 2500.0), rest_ms: float = 12_000.0
    ) -> None:
        """So many faults at random, some at the same time; then all is well again, and it must go on by itself."""
        rng = self.rng
        self.run(rng.uniform(500.0, 2000.0))
        for _ in range(events):
            self._befall(rng.choice(FAULTS))
            for _ in range(3):
                self.run(rng.uniform(*gap_ms) / 3)
                self.look(self.processes[rng.choice(self.names)], rng.choice(self.keys))
        self.mend()
        before = sum(self.checker.effects.values())
        self.run(rest_ms)
        if sum(self.checker.effects.values()) <= before:
            raise BrokenError("once all is well, duties go on")
        self.network.loss_rate = 0.0
        self.run(100.0)
        self.calm()

    def calm(self) -> None:
        """What is held at the end is the same everywhere, but for what is on its way."""
        for key in self.keys:
            last = self.checker.last[key]
            for process in self.processes.values():
                held = process.held.get(key)
                if held is None or last.update_count - held.update_count > 100:
                    raise BrokenError(f"all copies follow: {process.name} {key}: {held}, {last}")

    def mend(self) -> None:
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

    def _bad_disk(self) -> bool:
        """At most one disk at a time is lost or old; that is what is promised for."""
        return not all(self.votes(name) for name in self.members)

    def votes(self, name: str) -> bool:
        owners = self.processes[name].owners
        return owners is not None and owners.acceptor is not None and owners.acceptor.mode == "voting"

    @property
    def members(self) -> list[str]:
        """Of the newest set that anybody has on disk, and the one before it."""
        sets = [p.disk.replica_set for p in self.processes.values() if p.disk is not None]
        newest = max(sets, key=lambda keepers: (keepers.epoch, not keepers.previous))
        return sorted({*newest.names, *newest.previous})

    def change(self, by: Process) -> None:
        """One keeper more or less; or on with a change that was left undone."""
        assert by.owners is not None
        now, present = self.network.now_ms, by.owners.proposer.replica_set
        if present.previous:
            by.owners.set_change.resume(lambda fault: None, now)
            by.after()
            return
        names = set(present.names)
        if len(names) > 3 and self.rng.random() < 0.5:
            names.remove(self.rng.choice(sorted(names)))
        elif len(names) < 5:
            new = self.rng.choice(sorted(self.may_keep - names))
            names.add(new)
            if new not in self.members and self.processes[new].owners is not None:
                self.processes[new].kill()  # what it kept as a former keeper is removed, as the page says
                self.processes[new].disk = self.processes[new].old_disk = None
                self.start(new)
        else:
            return
        if by.owners is not None:
            by.owners.set_change.begin(tuple(sorted(names)), lambda fault: None, now)
            by.after()

    def look(self, by: Process, key: str) -> None:
        """A read of the register: it must not be older than what counted when it began."""
        last = self.checker.last.get(key)
        least = last.version if last is not None else (0, 0)

        def then(result: Result) -> None:
            found = result.record.version if result.record is not None else (0, 0)
            if result.outcome is Outcome.DONE and found < least:
                raise BrokenError(f"reads are linearizable: {key}: {found} read, {least} counted before")

        if by.owners is not None:
            by.owners.proposer.set_time(self.network.now_ms)
            by.owners.proposer.read(key, then)
            by.after()

    def _befall(self, fault: str) -> None:
        rng, network = self.rng, self.network
        name = rng.choice(self.names)
        owner = self.owner(rng.choice(self.keys))
        lease = self.times.lease_ms
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
            case "no disk" | "yesterday" if name in self.members and not self._bad_disk():
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
                    old if rng.random() < 0.3 and name in self.members and not self._bad_disk() else None
                )
                process.hand_over(rng.uniform(1.0, 300.0), swapped)
            case "power" if not self._bad_disk():
                for each in self.members:
                    self.kill(each)
                    network.after(rng.uniform(0.01, 1.0) * lease, lambda each=each: self.start(each))
            case "drain" if len(live) > 3:
                process = self.processes[owner.name if owner is not None else rng.choice(live)]
                if process.owners is not None:
                    process.owners.drain(network.now_ms)
                    process.after()
            case "lag" if owner is not None and owner.owners is not None:
                owner.owners.on_lag(lease, network.now_ms)
                owner.after()
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
                    self.change(by)
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
