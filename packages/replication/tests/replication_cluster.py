"""A cluster of replicas in memory: machines with journals, a faulty network, operators' calls, and the invariants."""

from __future__ import annotations

from collections.abc import Iterable
from random import Random

import msgspec
from larkweir_replication.effects import (
    CommandFinished,
    CommandOutcome,
    Committed,
    Effect,
    Persist,
    ReadFinished,
    Send,
)
from larkweir_replication.journal import Journal
from larkweir_replication.messages import Command, DurableState, Message, Snapshot
from larkweir_replication.replica import Replica
from larkweir_replication.status import ReplicaStatus
from larkweir_replication.timing import Timing
from larkweir_simulated.network import Network
from replication_disk import Disk
from result import Err, Ok, Result

TICK_MS = 20.0


class Call(msgspec.Struct, frozen=True, tag="call"):
    """An operator's call to the primary; without a command it is a read."""

    ticket: int
    command: Command | None


class Answer(msgspec.Struct, frozen=True, tag="answer"):
    """The result of a call; `outcome` is None for a read."""

    ticket: int
    outcome: str | None
    value: str | None


_decoder = msgspec.json.Decoder(Message | Call | Answer)


def changes_in(value: str) -> list[str]:
    """Returns the changes that a value consists of, in order."""
    return value.split(",") if value else []


def append_change(value: str, text: str) -> Result[str, object]:
    """Applies a change to the tests' value: `BASE:NAME` appends NAME if BASE is the number of names so far."""
    base, _, name = text.partition(":")
    names = changes_in(value)
    if int(base) != len(names):
        return Err(len(names))
    return Ok(",".join([*names, name]))


def command(text: str) -> Command:
    return Command(identity=text, base=int(text.partition(":")[0]), text=text)


class Machine:
    """One machine of the group. Its disk outlives its process."""

    def __init__(self, cluster: Cluster, name: str, bootstrap: bool) -> None:
        self.cluster = cluster
        self.name = name
        self.disk = Disk(cluster.rng, cluster.sync_ms)
        self.bootstrap = bootstrap
        self.replica: Replica | None = None
        self.is_retired = False  # leaves permanently: the platform does not start it again
        self.published_value = ""  # the newest value that the current process has published
        self.seeds: Iterable[str] = cluster.seeds
        self._journal = Journal(self.disk.files)
        self._writing: DurableState | None = None
        self._waiting: tuple[int, DurableState] | None = None
        self._incarnation = 0

    @property
    def running_replica(self) -> Replica:
        assert self.replica is not None
        return self.replica

    def start(self) -> None:
        """Starts the process. Has no effect if it is running or the machine is retired."""
        if self.replica is not None or self.is_retired:
            return
        cluster = self.cluster
        journal = self._journal = Journal(self.disk.files)
        self._writing = None
        self._waiting = None
        self._incarnation += 1
        self.replica = Replica(
            self.name,
            append_change,
            Random(cluster.rng.random()),
            cluster.network.now_ms,
            stored_state=journal.newest,
            first_members=cluster.first_members if self.bootstrap and journal.is_blank else None,
            known_nodes=(*self.seeds, *journal.last_known_members),
            target_member_count=cluster.target_member_count,
            timing=Timing(),
        )
        self.published_value = ""
        cluster.network.listen(self.name, self._on_datagram)
        self._tick()
        self.bootstrap = False

    def stop(self) -> None:
        """Kills the process. A write that was not synced may be missing, complete or torn."""
        if self.replica is None:
            return
        self.replica = None
        self.cluster.network.kill(self.name)
        self.cluster.frozen.discard(self.name)
        if self._writing is not None:
            self.disk.crash_during(self._journal, self._writing)
            self._writing = None

    def leave(self) -> None:
        """Starts a planned exit of the process, as the program does."""
        if self.replica is None:
            return
        self.replica.leave(self.cluster.network.now_ms)
        self._run_effects(self.replica.take_effects())
        self._stop_when_left()

    def _stop_when_left(self) -> None:
        if self.replica is None:
            return
        if self.replica.departure_reason(self.cluster.network.now_ms) is not None:
            self.replica.resign(self.cluster.network.now_ms)
            self._run_effects(self.replica.take_effects())
            self.stop()
        else:
            self.cluster.network.after(TICK_MS, self._stop_when_left, self.name)

    def _tick(self) -> None:
        if self.replica is None:
            return
        self.replica.tick(self.cluster.network.now_ms)
        self._run_effects(self.replica.take_effects())
        self.cluster.network.after(TICK_MS, self._tick, self.name)

    def _on_datagram(self, source: str, data: bytes) -> None:
        if self.replica is None:
            return
        message = _decoder.decode(data)
        if isinstance(message, Call):
            self._handle_call(source, message)
        elif isinstance(message, Answer):
            self.cluster.on_answer(message)
        else:
            self.replica.receive(source, message, self.cluster.network.now_ms)
            self._run_effects(self.replica.take_effects())

    def call(self, ticket: int, requested: Command | None) -> None:
        """Handles an operator's call: submits it, or forwards it to the primary that this machine knows."""
        if self.replica is None or self.name in self.cluster.frozen:
            return
        if self.replica.status is ReplicaStatus.PRIMARY:
            self._handle_call(self.name, Call(ticket, requested))
        elif self.replica.primary is not None:
            self._send(self.replica.primary, Call(ticket, requested))

    def _handle_call(self, source: str, call: Call) -> None:
        """Submits a call to this machine's replica. The sender believes that this machine is the primary."""
        replica, now_ms = self.running_replica, self.cluster.network.now_ms
        self.cluster.requesters[call.ticket] = (source, self.name)
        if call.command is None:
            replica.read(call.ticket, now_ms)
        else:
            replica.submit(call.ticket, call.command, now_ms)
        self._run_effects(replica.take_effects())

    def _answer(self, answer: Answer) -> None:
        requester, _ = self.cluster.requesters[answer.ticket]
        if requester == self.name:
            self.cluster.on_answer(answer)
        else:
            self._send(requester, answer)

    def _send(self, node: str, message: Message | Call | Answer) -> None:
        self.cluster.network.send(self.name, node, msgspec.json.encode(message))

    def _run_effects(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(node, message):
                    self._send(node, message)
                case Persist(token, durable):
                    self._write(token, durable)
                case Committed(snapshot):
                    self.cluster.on_committed(self, snapshot)
                case CommandFinished(ticket, outcome, _):
                    self._answer(Answer(ticket, outcome.value, None))
                case ReadFinished(ticket, found):
                    self._answer(Answer(ticket, None, None if found is None else found.value))

    def _write(self, token: int, durable: DurableState) -> None:
        """Writes one record at a time. Only the newest pending record is written, as in the program."""
        self._waiting = (token, durable)
        if self._writing is None:
            self._begin_write()

    def _begin_write(self) -> None:
        assert self._waiting is not None
        (token, durable), self._waiting = self._waiting, None
        self._writing = durable
        incarnation = self._incarnation

        def synced() -> None:
            if self.replica is not None and self._incarnation == incarnation:
                self._synced(token, durable)

        self.cluster.network.after(self.disk.sync_ms, lambda: self.disk.when_responsive(synced), self.name)

    def _synced(self, token: int, durable: DurableState) -> None:
        replica = self.running_replica
        self._writing = None
        if self.disk.full:
            replica.on_persist_failed(token)
        else:
            self._journal.write(durable)
            replica.on_persisted(token, self.cluster.network.now_ms)
        if self._waiting is not None:
            self._begin_write()
        self._run_effects(replica.take_effects())


class Cluster:
    """The machines, the operators' calls and the invariants. Tests call `check` at the end."""

    def __init__(self, seed: int, size: int = 3, tolerance: int = 1, initial_member_count: int = 3) -> None:
        """`initial_member_count`: the number of machines that form the first group; the others join it."""
        self.rng = Random(seed)
        self.network = Network(seed, delay_ms=(0.2, 4.0))
        self.sync_ms = 2.0  # of disks without faults
        names = [f"m{n}" for n in range(size)]
        self.seeds = tuple(names[:3])
        self.first_members = tuple(names[:initial_member_count])
        self.target_member_count = 2 * tolerance + 1
        self.machines = {name: Machine(self, name, bootstrap=True) for name in names}
        self.frozen: set[str] = set()
        self.requesters: dict[
            int, tuple[str, str]
        ] = {}  # by ticket: the machine that sent the call, and the one that handles it
        self.commands: dict[int, str] = {}  # by ticket
        self.acknowledged: dict[str, float] = {}  # by command, when it was first acknowledged
        self.rejected: set[str] = set()
        self.unknown_count = 0
        self.history: dict[int, str] = {}  # by sequence, the value that was published under it
        self.reads: dict[
            int, list[str]
        ] = {}  # by ticket, the commands that were acknowledged before the read started
        self.reads_done = 0
        self.repeats_refused = 0
        self._tickets = 0
        self._next_number = size
        for machine in self.machines.values():
            self.network.after(self.rng.uniform(0.0, 300.0), machine.start, machine.name)

    # Machines

    def add_machine(self) -> Machine:
        """Adds a machine with an empty disk and a name that was never used, without starting it."""
        name = f"m{self._next_number}"
        self._next_number += 1
        machine = self.machines[name] = Machine(self, name, bootstrap=False)
        return machine

    def remove_machine(self, name: str) -> None:
        """Removes the machine permanently."""
        machine = self.machines.pop(name, None)
        if machine is not None:
            machine.stop()

    # Operators' calls

    def submit(self, name: str, text: str) -> int:
        """Sends a command to a machine; returns the ticket."""
        self._tickets += 1
        self.commands[self._tickets] = text
        self.machines[name].call(self._tickets, command(text))
        return self._tickets

    def read(self, name: str) -> int:
        """Reads at a machine; the result must contain all commands acknowledged before. Returns the ticket."""
        self._tickets += 1
        self.reads[self._tickets] = list(self.acknowledged)
        self.machines[name].call(self._tickets, None)
        return self._tickets

    def on_answer(self, answer: Answer) -> None:
        """Checks and records the outcome of a call when its caller receives it."""
        if answer.ticket in self.reads:
            self._read_done(answer.ticket, answer.value)
            return
        text = self.commands[answer.ticket]
        match CommandOutcome(answer.outcome):
            case CommandOutcome.COMMITTED:
                assert text not in self.rejected, f"{text} was rejected, then acknowledged"
                self.acknowledged.setdefault(text, self.network.now_ms)
            case CommandOutcome.REJECTED:
                assert text not in self.acknowledged, f"{text} was acknowledged, then rejected"
                self.rejected.add(text)
            case _:
                self.unknown_count += 1

    def _read_done(self, ticket: int, value: str | None) -> None:
        if value is None:
            return
        self.reads_done += 1
        names = changes_in(value)
        for text in self.reads[ticket]:
            base, _, name = text.partition(":")
            assert names[int(base) : int(base) + 1] == [name], f"a read did not contain {text}: {value}"

    def on_committed(self, machine: Machine, snapshot: Snapshot) -> None:
        known = self.history.setdefault(snapshot.sequence, snapshot.value)
        assert (
            known == snapshot.value
        ), f"two values for sequence {snapshot.sequence}: {known!r}, {snapshot.value!r}"
        before = changes_in(machine.published_value)
        assert changes_in(snapshot.value)[: len(before)] == before, f"{machine.name} published an older value"
        machine.published_value = snapshot.value

    # State as seen from outside

    def primary(self) -> str | None:
        """Returns the running primary of the highest epoch, or None."""
        found = [
            (machine.replica.promised, name)
            for name, machine in self.machines.items()
            if machine.replica is not None
            and machine.replica.status is ReplicaStatus.PRIMARY
            and name not in self.frozen
        ]
        return max(found)[1] if found else None

    def committed(self) -> Snapshot:
        """Returns the state that the primary has committed; asserts that there is a primary."""
        name = self.primary()
        assert name is not None, "no primary"
        committed = self.machines[name].running_replica.committed
        assert committed is not None
        return committed

    def newest(self) -> str:
        """Returns the newest value that any machine has published."""
        return self.history[max(self.history)] if self.history else ""

    def run(self, duration_ms: float) -> None:
        self.network.run(self.network.now_ms + duration_ms)

    def assert_serves(self, within_ms: float = 4_000.0) -> None:
        """Sends a valid command repeatedly, as operators do, and asserts that it is acknowledged in time."""
        end_ms = self.network.now_ms + within_ms
        text = ""
        while not text or text not in self.acknowledged:
            assert self.network.now_ms < end_ms, f"no acknowledgement within {within_ms:.0f} ms"
            if not text or text in self.rejected:
                text = f"{len(changes_in(self.newest()))}:p{self._tickets}"
            self.submit(self.rng.choice(sorted(self.machines)), text)
            self.run(100.0)

    def check(self) -> None:
        """Asserts that the newest value has all acknowledged changes, no rejected ones, and extends earlier ones."""
        names = changes_in(self.committed().value)
        for text in self.acknowledged:
            base, _, name = text.partition(":")
            assert names[int(base) : int(base) + 1] == [name], f"{text} was acknowledged but is lost: {names}"
        for text in self.rejected:
            base, _, name = text.partition(":")
            assert names[int(base) : int(base) + 1] != [name], f"{text} was rejected but applied"
        for _, value in sorted(self.history.items()):
            assert names[: len(changes_in(value))] == changes_in(value)
