"""A cluster of replicas in memory: a faulty network, disks that lose what was not synced, and what must hold."""

from __future__ import annotations

from collections.abc import Callable
from random import Random

import msgspec
from larkweir_replication.effects import Committed, Decided, Effect, Persist, ReadDone, Send, Verdict
from larkweir_replication.messages import Durable, Message
from larkweir_replication.replica import Replica, Status, Timing
from larkweir_simulated.network import Network
from result import Err, Ok, Result

TICK_MS = 20.0
_decoder = msgspec.json.Decoder(Message)


def append_change(value: str, change: str) -> Result[str, object]:
    """The rules of the tests' value: `BASE:NAME` appends NAME where BASE is the number of names so far."""
    base, _, name = change.partition(":")
    names = value.split(",") if value else []
    if int(base) != len(names):
        return Err(len(names))
    return Ok(",".join([*names, name]))


class Disk:
    """What a machine's disk holds, and how it behaves."""

    def __init__(self) -> None:
        self.durable: Durable | None = None
        self.sync_ms = 2.0
        self.full = False


class Machine:
    """One machine that counts: its disk outlives its process."""

    def __init__(self, cluster: Cluster, name: str, bootstrap: bool) -> None:
        self.cluster = cluster
        self.name = name
        self.disk = Disk()
        self.bootstrap = bootstrap
        self.replica: Replica | None = None
        self.published: list[str] = []  # of this life

    def start(self) -> None:
        """Nothing where it runs already."""
        if self.replica is not None:
            return
        cluster = self.cluster
        self.replica = Replica(
            self.name,
            append_change,
            Random(cluster.rng.random()),
            cluster.network.now_ms,
            stored=self.disk.durable,
            first_members=cluster.seeds if self.bootstrap and self.disk.durable is None else None,
            known=cluster.seeds,
            members_wanted=cluster.members_wanted,
            timing=Timing(),
        )
        self.published = []
        cluster.network.listen(self.name, self._came)
        self._tick()
        self.bootstrap = False

    def stop(self) -> None:
        """Kills the process; what was not synced is gone."""
        if self.replica is not None:
            self.replica = None
            self.cluster.network.kill(self.name)

    def _tick(self) -> None:
        if self.replica is None:
            return
        self.replica.tick(self.cluster.network.now_ms)
        self._carry_out(self.replica.take_effects())
        self.cluster.network.after(TICK_MS, self._tick, self.name)

    def _came(self, source: str, data: bytes) -> None:
        if self.replica is not None:
            self.replica.receive(source, _decoder.decode(data), self.cluster.network.now_ms)
            self._carry_out(self.replica.take_effects())

    def call(self, use: Callable[[Replica], bool]) -> bool:
        """A submit or a read at this machine."""
        if self.replica is None or self.name in self.cluster.frozen:
            return False
        taken = use(self.replica)
        self._carry_out(self.replica.take_effects())
        return taken

    def _carry_out(self, effects: list[Effect]) -> None:
        for effect in effects:
            match effect:
                case Send(node, message):
                    self.cluster.network.send(self.name, node, msgspec.json.encode(message))
                case Persist(token, durable):
                    self.cluster.network.after(
                        self.disk.sync_ms, lambda t=token, d=durable: self._synced(t, d), self.name
                    )
                case Committed(snapshot):
                    self.cluster.published(self, snapshot.sequence, snapshot.value)
                case Decided(ticket, verdict, _):
                    self.cluster.decided(ticket, verdict)
                case ReadDone(ticket, found):
                    self.cluster.read_done(ticket, None if found is None else found.value)

    def _synced(self, token: int, durable: Durable) -> None:
        if self.replica is None:
            return
        now_ms = self.cluster.network.now_ms
        if self.disk.full:
            self.replica.persist_failed(token)
        else:
            self.disk.durable = durable
            self.replica.persisted(token, now_ms)
        self._carry_out(self.replica.take_effects())


class Cluster:
    """Machines, operators and the promises: call `check` at the end."""

    def __init__(self, seed: int, size: int = 3, tolerance: int = 1) -> None:
        self.rng = Random(seed)
        self.network = Network(seed, delay_ms=(0.2, 4.0))
        names = [f"m{n}" for n in range(size)]
        self.seeds = tuple(names[:3])
        self.members_wanted = 2 * tolerance + 1
        self.machines = {name: Machine(self, name, bootstrap=True) for name in names}
        self.frozen: set[str] = set()
        self.changes: dict[int, str] = {}  # by ticket
        self.acknowledged: list[str] = []
        self.rejected: list[str] = []
        self.history: dict[int, str] = {}  # by sequence, what was ever published under it
        self.reads: dict[int, list[str]] = {}  # by ticket, what was acknowledged before it began
        self.reads_done = 0
        self._tickets = 0
        self._owners: dict[int, str] = {}
        for machine in self.machines.values():
            self.network.after(self.rng.uniform(0.0, 300.0), machine.start, machine.name)

    def submit(self, name: str, change: str) -> int | None:
        """A change sent to that machine; the ticket, None where it is not the primary."""
        self._tickets += 1
        ticket = self._tickets
        self.changes[ticket] = change
        now_ms = self.network.now_ms
        self._owners[ticket] = name
        taken = self.machines[name].call(lambda replica: replica.submit(ticket, change, change, now_ms))
        return ticket if taken else None

    def read(self, name: str) -> None:
        """A read at that machine: it must give all that was acknowledged before."""
        self._tickets += 1
        ticket = self._tickets
        self.reads[ticket] = list(self.acknowledged)
        self.machines[name].call(lambda replica: replica.read(ticket, self.network.now_ms))

    def decided(self, ticket: int, verdict: Verdict) -> None:
        change = self.changes[ticket]
        if verdict is Verdict.ACCEPTED:
            if change not in self.acknowledged:
                self.acknowledged.append(change)
        elif verdict is Verdict.REJECTED:
            assert change not in self.acknowledged, f"{change} was acknowledged, then refused"
            self.rejected.append(change)

    def read_done(self, ticket: int, value: str | None) -> None:
        if value is None:
            return
        self.reads_done += 1
        names = value.split(",")
        for change in self.reads[ticket]:
            assert change.split(":")[1] in names, f"a read without {change}: {value}"

    def published(self, machine: Machine, sequence: int, value: str) -> None:
        known = self.history.setdefault(sequence, value)
        assert known == value, f"two values under {sequence}: {known!r} and {value!r}"
        machine.published.append(value)

    def primary(self) -> str | None:
        """The primary of the highest epoch, if one is up."""
        found = [
            (machine.replica.promised, name)
            for name, machine in self.machines.items()
            if machine.replica is not None
            and machine.replica.status is Status.PRIMARY
            and name not in self.frozen
        ]
        return max(found)[1] if found else None

    def run(self, for_ms: float) -> None:
        self.network.run(self.network.now_ms + for_ms)

    def newest(self) -> str:
        """The value that the primary reads back; it must come."""
        name = self.primary()
        assert name is not None, "no primary"
        replica = self.machines[name].replica
        assert replica is not None
        assert replica.committed is not None
        return replica.committed.value

    def check(self) -> None:
        """What was acknowledged is in the newest value, in one line of changes that were each built on the last."""
        names = self.newest().split(",") if self.newest() else []
        for change in self.acknowledged:
            base, _, name = change.partition(":")
            assert names[int(base)] == name, f"{change} is lost: {names}"
        for _, value in sorted(self.history.items()):
            assert names[: len(value.split(",")) if value else 0] == (value.split(",") if value else [])
