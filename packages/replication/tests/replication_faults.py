"""Seeded trials of a cluster, with faults of machines, disks and links, while two operators send commands."""

from __future__ import annotations

from dataclasses import dataclass
from random import Random

from larkweir_replication.status import ReplicaStatus
from replication_cluster import Cluster, Machine, changes_in
from replication_scenarios import isolate

RECOVERY_MS = 4_000.0
LONG_PARTITION_MS = 20_000.0
GRACE_MS = 8_000.0  # from SIGTERM until the platform kills the process; the default of `grace_s`
STABLE_MS = 4_000.0


class FaultInjector:
    """Injects faults that the group tolerates or that only interrupt service; never loses more disks than tolerated."""

    DISK_FAULTS = ("wipe", "flip_bit", "replace_crashed")
    MACHINE_FAULTS = (
        "kill",
        "freeze",
        "cut",
        "long_cut",
        "receive_nothing",
        "reach_nobody",
        "slow",
        "stall",
        "full",
    )
    CLUSTER_FAULTS = (
        "kill_all",
        "power_loss_all",
        "split_halves",
        "planned_replacement",
        "planned_replacement",
        "new_seeds",
    )

    def __init__(self, cluster: Cluster, tolerance: int, fault_kinds: tuple[str, ...] = ()) -> None:
        """`fault_kinds`: the kinds of faults to draw from; all kinds if empty."""
        self.cluster = cluster
        self.fault_kinds = fault_kinds
        self.rng: Random = cluster.rng
        self.tolerance = tolerance
        # By machine that lost its disk: until when the disk counts as lost, so that the machine can catch up.
        self._lost_disk_until_ms: dict[str, float] = {}
        self.injected: list[str] = []

    def inject(self) -> None:
        """Injects a random fault at a random machine, often the primary."""
        self._update_lost_disks()
        names = sorted(self.cluster.machines)
        primary = self.cluster.primary()
        name = primary if primary is not None and self.rng.random() < 0.4 else self.rng.choice(names)
        kinds = [*self.MACHINE_FAULTS, *self.CLUSTER_FAULTS]
        if len(self._lost_disk_until_ms) < self.tolerance:
            kinds += self.DISK_FAULTS * 2
        if self.fault_kinds:
            kinds = [kind for kind in kinds if kind in self.fault_kinds] or kinds
        kind = self.rng.choice(kinds)
        self.injected.append(f"{self.cluster.network.now_ms:.0f} {kind} {name}")
        duration_ms = self.rng.uniform(50.0, 3_000.0)
        getattr(self, f"_{kind}")(self.cluster.machines[name], duration_ms)

    def _update_lost_disks(self) -> None:
        """Counts a disk as lost until its machine has recovered, and for `RECOVERY_MS` longer."""
        now_ms = self.cluster.network.now_ms
        for name, until_ms in list(self._lost_disk_until_ms.items()):
            machine = self.cluster.machines.get(name)
            recovered = machine is not None and machine.replica is not None and self._is_member(machine)
            if not recovered:
                self._lost_disk_until_ms[name] = now_ms + RECOVERY_MS
            elif now_ms >= until_ms:
                del self._lost_disk_until_ms[name]

    def _is_member(self, machine: Machine) -> bool:
        replica = machine.running_replica
        return (
            replica.status is not ReplicaStatus.RECOVERING
            and replica.is_member
            and replica.committed is not None
        )

    def _lose_disk(self, name: str) -> None:
        self._lost_disk_until_ms[name] = self.cluster.network.now_ms + RECOVERY_MS

    def _start_later(self, machine: Machine, duration_ms: float) -> None:
        def start() -> None:
            if self.cluster.machines.get(machine.name) is machine:
                machine.start()

        self.cluster.network.after(duration_ms, start)

    # Faults of one machine

    def _kill(self, machine: Machine, duration_ms: float) -> None:
        machine.stop()
        self._start_later(machine, duration_ms)

    def _wipe(self, machine: Machine, duration_ms: float) -> None:
        machine.stop()
        machine.disk.wipe()
        self._lose_disk(machine.name)
        self._start_later(machine, duration_ms)

    def _flip_bit(self, machine: Machine, duration_ms: float) -> None:
        machine.stop()
        if machine.disk.flip_bit():
            self._lose_disk(machine.name)
        self._start_later(machine, duration_ms)

    def _freeze(self, machine: Machine, duration_ms: float) -> None:
        if machine.replica is None or machine.name in self.cluster.frozen:
            return
        self.cluster.network.pause(machine.name)
        self.cluster.frozen.add(machine.name)

        def thaw() -> None:
            self.cluster.network.resume(machine.name)
            self.cluster.frozen.discard(machine.name)

        self.cluster.network.after(duration_ms, thaw)

    def _cut(self, machine: Machine, duration_ms: float) -> None:
        isolate(self.cluster, machine.name)
        self.cluster.network.after(duration_ms, self.cluster.network.heal)

    def _long_cut(self, machine: Machine, duration_ms: float) -> None:
        self._cut(machine, LONG_PARTITION_MS)

    def _receive_nothing(self, machine: Machine, duration_ms: float) -> None:
        isolate(self.cluster, machine.name, outwards=False)
        self.cluster.network.after(duration_ms, self.cluster.network.heal)

    def _reach_nobody(self, machine: Machine, duration_ms: float) -> None:
        isolate(self.cluster, machine.name, inwards=False)
        self.cluster.network.after(duration_ms, self.cluster.network.heal)

    def _slow(self, machine: Machine, duration_ms: float) -> None:
        machine.disk.sync_ms = self.rng.choice([60.0, 600.0, 3_000.0])
        self.cluster.network.after(
            duration_ms, lambda: setattr(machine.disk, "sync_ms", self.cluster.sync_ms)
        )

    def _stall(self, machine: Machine, duration_ms: float) -> None:
        machine.disk.stalled = True
        self.cluster.network.after(duration_ms, machine.disk.end_stall)

    def _full(self, machine: Machine, duration_ms: float) -> None:
        machine.disk.full = True
        self.cluster.network.after(duration_ms, lambda: setattr(machine.disk, "full", False))

    # Faults of the whole cluster

    def _kill_all(self, _: Machine, duration_ms: float) -> None:
        for machine in self.cluster.machines.values():
            if machine.replica is not None:
                machine.stop()
                self._start_later(machine, self.rng.uniform(0.2, 1.0) * duration_ms)

    def _power_loss_all(self, _: Machine, duration_ms: float) -> None:
        """Cuts the power of all running machines; they restart one after another."""
        self._kill_all(_, 3.0 * duration_ms)

    def _split_halves(self, _: Machine, duration_ms: float) -> None:
        names = sorted(self.cluster.machines)
        self.rng.shuffle(names)
        half = len(names) // 2
        self.cluster.network.split([names[:half], names[half:]])
        self.cluster.network.after(duration_ms, self.cluster.network.heal)

    def _new_seeds(self, _: Machine, duration_ms: float) -> None:
        """Changes the seeds of machines that start later."""
        names = sorted(self.cluster.machines)
        self.cluster.seeds = tuple(self.rng.sample(names, min(3, len(names))))

    def _replace_crashed(self, machine: Machine, duration_ms: float) -> None:
        """Removes the machine permanently; a machine with an empty disk starts later."""
        if len(self.cluster.machines) <= self.cluster.target_member_count - 1:
            return
        self.cluster.remove_machine(machine.name)
        newcomer = self.cluster.add_machine()
        self._lose_disk(newcomer.name)
        self._start_later(newcomer, duration_ms)

    def _planned_replacement(self, machine: Machine, duration_ms: float) -> None:
        """Starts a machine with an empty disk, then makes `machine` leave."""
        if self._lost_disk_until_ms or machine.replica is None:
            return
        newcomer = self.cluster.add_machine()
        self._lose_disk(newcomer.name)
        newcomer.start()

        def leave() -> None:
            if self.cluster.machines.get(machine.name) is machine:
                machine.leave()
                machine.is_retired = True
                self.cluster.network.after(GRACE_MS, lambda: self.cluster.remove_machine(machine.name))

        self.cluster.network.after(1_000.0, leave)

    def repair_all(self) -> None:
        """Repairs all links, disks and machines."""
        self.cluster.network.heal()
        self.cluster.network.loss_rate = 0.0
        for machine in list(self.cluster.machines.values()):
            machine.disk.full = False
            machine.disk.sync_ms = self.cluster.sync_ms
            machine.disk.end_stall()
            self.cluster.network.resume(machine.name)
            machine.start()
        self.cluster.frozen.clear()


class Operator:
    """Sends a command, based on the newest published value, to random machines until the command has an outcome."""

    REPEAT_CHANCE = 0.15  # probability per step of sending an earlier command again

    def __init__(self, cluster: Cluster, name: str) -> None:
        self.cluster = cluster
        self.name = name
        self.count = 0
        self.open_command: str | None = None
        self.sent: list[str] = []

    def act(self) -> None:
        """Sends the command that has no outcome yet, sometimes an earlier one too, and starts a read."""
        cluster = self.cluster
        if self.open_command in cluster.acknowledged or self.open_command in cluster.rejected:
            self.open_command = None
        if self.open_command is None:
            self.count += 1
            self.open_command = f"{len(changes_in(cluster.newest()))}:{self.name}{self.count}"
            self.sent.append(self.open_command)
        for name in cluster.rng.sample(sorted(cluster.machines), len(cluster.machines)):
            cluster.submit(name, self.open_command)
            if cluster.rng.random() < 0.7:
                break
        if cluster.rng.random() < self.REPEAT_CHANCE:
            cluster.submit(cluster.rng.choice(sorted(cluster.machines)), cluster.rng.choice(self.sent))
        cluster.read(cluster.rng.choice(sorted(cluster.machines)))


@dataclass(frozen=True)
class Trial:
    """The parameters of one seeded trial."""

    seed: int
    size: int = 3
    tolerance: int = 1
    initial_member_count: int = 3
    steps: int = 60
    is_dense: bool = False  # short steps, for hundreds of commands in all
    fault_kinds: tuple[str, ...] = ()  # kinds of faults to draw from; all if empty
    fault_probability: float = 0.2  # at each step
    sync_ms: float = 2.0  # of all disks without faults


def run_trial(trial: Trial) -> Cluster:
    """Runs a trial; checks the invariants throughout, and the service after each period without faults."""
    cluster = Cluster(trial.seed, trial.size, trial.tolerance, trial.initial_member_count)
    cluster.network.loss_rate = cluster.rng.choice([0.0, 0.0, 0.02, 0.1])
    cluster.sync_ms = trial.sync_ms
    for machine in cluster.machines.values():
        machine.disk.sync_ms = trial.sync_ms
    injector = FaultInjector(cluster, trial.tolerance, trial.fault_kinds)
    operators = [Operator(cluster, name) for name in ("a", "b")]
    cluster.run(3_000.0)
    for step in range(trial.steps):
        cluster.run(cluster.rng.uniform(5.0, 40.0) if trial.is_dense else cluster.rng.uniform(20.0, 300.0))
        if cluster.rng.random() < trial.fault_probability:
            injector.inject()
        for operator in operators:
            operator.act()
        if step == trial.steps // 2:
            _run_without_faults(cluster, injector)
    _run_without_faults(cluster, injector)
    cluster.check()
    assert len(cluster.committed().members) == cluster.target_member_count, cluster.committed().members
    return cluster


def _run_without_faults(cluster: Cluster, injector: FaultInjector) -> None:
    """Repairs everything and waits until a valid command must be acknowledged."""
    injector.repair_all()
    cluster.run(STABLE_MS)
    injector.repair_all()  # scheduled faults may have begun or ended meanwhile
    cluster.run(STABLE_MS)
    cluster.assert_serves()
