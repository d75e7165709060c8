"""Faults planted in the code, each of which the seeded trials must find; otherwise the trials prove nothing.

`python -m pytest packages/replication/tests/test_replication_planted.py -rP` prints the trial that found each fault.
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass, replace
from typing import Any

import msgspec
import pytest
import test_replication_cluster_membership as membership_scenarios
import test_replication_cluster_recovery as recovery_scenarios
from larkweir_replication import acceptor, commands, member_tracker
from larkweir_replication.acceptor import Acceptor
from larkweir_replication.commands import PendingCommand
from larkweir_replication.departure import Departure
from larkweir_replication.effects import CommandFinished, CommandOutcome, ReadFinished
from larkweir_replication.election import Election
from larkweir_replication.journal import Journal
from larkweir_replication.leadership import Leadership
from larkweir_replication.membership import Step
from larkweir_replication.messages import (
    Accepted,
    Epoch,
    Message,
    Prepare,
    Promise,
    Replicate,
    Snapshot,
    SnapshotDelta,
    StaleEpoch,
)
from larkweir_replication.recovery import Recovery
from larkweir_replication.replica import Replica
from larkweir_replication.state import ReplicaState
from larkweir_replication.state_replicator import StateReplicator
from larkweir_replication.status import ReplicaStatus
from larkweir_replication.text_delta import apply_edits
from replication_faults import Trial, run_trial

MAX_TRIALS = 150
ANY_TRIAL = Trial(0)
POWER_LOST_ON_SLOW_DISKS = Trial(
    0, fault_kinds=("kill", "power_loss_all", "kill_all"), sync_ms=60.0, fault_probability=0.3
)
Patch = Callable[[pytest.MonkeyPatch], None]


@dataclass(frozen=True)
class PlantedFault:
    """A fault in the code, and the trials that must find it."""

    name: str
    plant: Patch
    trial: Trial = ANY_TRIAL
    scenario: Callable[[], None] | None = None  # for faults that only a rare order of events reveals


def half_is_a_majority(patch: pytest.MonkeyPatch) -> None:
    def has_quorum(self: Snapshot, nodes: set[str]) -> bool:
        groups = [group for group in (self.members, self.previous_members) if group]
        return all(2 * len(nodes.intersection(group)) >= len(group) - 1 for group in groups)

    patch.setattr(Snapshot, "has_quorum", has_quorum)


def the_previous_members_have_no_vote(patch: pytest.MonkeyPatch) -> None:
    def has_quorum(self: Snapshot, nodes: set[str]) -> bool:
        return 2 * len(nodes.intersection(self.members)) > len(self.members)

    patch.setattr(Snapshot, "has_quorum", has_quorum)
    # Without the joint step, the next members alone decide on becoming members.
    patch.setattr(member_tracker, "next_step", _change_several_members)


def _change_several_members(current: Snapshot, target_count: int, primary: str, candidates: Any) -> Any:
    newcomers = [node for node in candidates.standby if node not in current.members]
    members = sorted(
        {primary, *newcomers, *current.members} - {*candidates.replaceable, *candidates.leaving}
    )[:target_count]
    if not newcomers or primary not in members or tuple(members) == current.members:
        return None
    return Step(tuple(members))


def promises_are_given_before_they_are_durable(patch: pytest.MonkeyPatch) -> None:
    def on_prepare(self: Replica, sender: str, message: Prepare, now_ms: float) -> None:
        if message.epoch >= self.promised and not self.is_lease_valid(now_ms):
            self._raise_promise(message.epoch, now_ms)
            self._state.send(sender, Promise(message.epoch, self.accepted))
            self._state.persist()

    patch.setattr(Replica, "_on_prepare", on_prepare)


def states_are_confirmed_before_they_are_durable(patch: pytest.MonkeyPatch) -> None:
    original = Acceptor.on_replicate

    def on_replicate(self: Acceptor, sender: str, message: Replicate) -> None:
        original(self, sender, message)
        self._state.send(sender, Accepted(message.snapshot.epoch, message.snapshot.sequence))

    patch.setattr(Acceptor, "on_replicate", on_replicate)


def lower_epochs_are_served(patch: pytest.MonkeyPatch) -> None:
    def raise_promise(self: Replica, epoch: Epoch, now_ms: float) -> None:
        self._state.promised = epoch

    def receive(self: Replica, sender: str, message: Message, now_ms: float) -> None:
        is_recovering = self.status is ReplicaStatus.RECOVERING
        if isinstance(message, Replicate) and not is_recovering:
            self._state.promised = min(self.promised, message.snapshot.epoch)  # no epoch is stale
            self._follow_sender(sender, message.snapshot.epoch, now_ms)
            self._state.accepted = message.snapshot
            self._state.persist()
        elif isinstance(message, StaleEpoch) and not is_recovering:
            if message.promised > self.promised:
                self._state.promised = message.promised
                self.step_down(now_ms)
        else:
            original(self, sender, message, now_ms)

    original = Replica.receive
    patch.setattr(Replica, "_raise_promise", raise_promise)
    patch.setattr(Replica, "receive", receive)


def a_candidate_ignores_newer_states(patch: pytest.MonkeyPatch) -> None:
    def add_promise(self: Election, node: str, snapshot: Snapshot | None) -> bool:
        own = self._state.newest()
        self._promises[node] = snapshot
        if own.has_quorum(set(self._promises)):
            self._state.accepted = msgspec.structs.replace(own, epoch=self._state.promised)
            self._state.persist()
            return True
        return False

    patch.setattr(Election, "add_promise", add_promise)


def reads_are_not_confirmed(patch: pytest.MonkeyPatch) -> None:
    def read(self: Leadership, ticket: int, now_ms: float) -> None:
        self._state.emit(ReadFinished(ticket, self._state.committed))

    patch.setattr(Leadership, "read", read)


def rejections_are_not_confirmed(patch: pytest.MonkeyPatch) -> None:
    original = Leadership._start_command

    def start_command(self: Leadership, pending: PendingCommand, now_ms: float) -> bool:
        if original(self, pending, now_ms):
            self._state.emit(CommandFinished(pending.ticket, CommandOutcome.REJECTED))
            self._confirmations._queue.pop()
        return False

    patch.setattr(Leadership, "_start_command", start_command)


def one_reply_is_enough_to_recover(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Recovery, "_has_enough_replies", lambda self, group: bool(self._replies))


def damage_is_treated_as_a_torn_tail(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Journal, "_discard_untrusted", lambda self: None)


def commands_are_not_remembered(patch: pytest.MonkeyPatch) -> None:
    original = commands.with_command_applied
    patch.setattr(
        commands,
        "with_command_applied",
        lambda current, value, command: msgspec.structs.replace(
            original(current, value, command), applied_commands=current.applied_commands
        ),
    )


def forgotten_commands_are_rejected(patch: pytest.MonkeyPatch) -> None:
    original = commands.with_command_applied
    patch.setattr(commands, "MAX_APPLIED_COMMANDS", 10)
    patch.setattr(
        commands,
        "with_command_applied",
        lambda current, value, command: msgspec.structs.replace(
            original(current, value, command), latest_forgotten_base=-1
        ),
    )


def committed_without_a_majority(patch: pytest.MonkeyPatch) -> None:
    original = StateReplicator.propose

    def propose(
        self: StateReplicator, snapshot: Snapshot, ticket: int | None, now_ms: float, *, persist: bool = True
    ) -> None:
        original(self, snapshot, ticket, now_ms, persist=persist)
        self._state.commit(snapshot)

    patch.setattr(StateReplicator, "propose", propose)


def an_epoch_is_used_twice(patch: pytest.MonkeyPatch) -> None:
    original = Replica._become

    def become(self: Replica, status: ReplicaStatus, now_ms: float) -> None:
        original(self, status, now_ms)
        if status is ReplicaStatus.CANDIDATE:
            self._state.promised = Epoch(max(0, self.promised.number - 1), "")

    patch.setattr(Replica, "_become", become)


def a_replica_with_a_wiped_disk_votes(patch: pytest.MonkeyPatch) -> None:
    def start(self: Replica, stored: Any, first_members: Any, now_ms: float) -> None:
        if stored is None and first_members is None:
            first_members = tuple(sorted(self.known_nodes))[:3]
            first_members = first_members if self.node in first_members else None
        original(self, stored, first_members, now_ms)

    original = Replica._start
    patch.setattr(Replica, "_start", start)


def the_primary_does_not_retry_its_own_write(patch: pytest.MonkeyPatch) -> None:
    original = ReplicaState.persist_if_missing

    def persist_if_missing(self: ReplicaState, snapshot: Snapshot) -> None:
        if self.promised.node != self.node:
            original(self, snapshot)

    patch.setattr(ReplicaState, "persist_if_missing", persist_if_missing)


def a_leaving_node_does_not_check_the_others(patch: pytest.MonkeyPatch) -> None:
    patch.setattr(Departure, "_are_others_stable", lambda self, unreachable, now_ms: True)


def deltas_are_applied_to_any_base(patch: pytest.MonkeyPatch) -> None:
    def apply_to_any(base: Snapshot, delta: SnapshotDelta) -> Snapshot:
        value = apply_edits(base.value, delta.edits)
        applied = base.applied_commands[delta.dropped :] + delta.added
        return Snapshot(delta.epoch, delta.sequence, delta.members, delta.previous_members, value, applied)

    patch.setattr(acceptor, "apply_delta", apply_to_any)
    patch.setattr(StateReplicator, "_has_base", lambda self, node, delta: True)


FAULTS = [
    PlantedFault("half is a majority", half_is_a_majority),
    PlantedFault(
        "the previous members have no vote",
        the_previous_members_have_no_vote,
        scenario=lambda: membership_scenarios.test_a_primary_and_a_newcomer_do_not_decide_without_the_old_group(
            0
        ),
    ),
    PlantedFault(
        "promises are given before they are durable",
        promises_are_given_before_they_are_durable,
        scenario=recovery_scenarios.test_nothing_is_confirmed_before_it_is_durable,
    ),
    PlantedFault(
        "states are confirmed before they are durable",
        states_are_confirmed_before_they_are_durable,
        POWER_LOST_ON_SLOW_DISKS,
    ),
    PlantedFault("lower epochs are served", lower_epochs_are_served),
    PlantedFault("a candidate ignores newer states", a_candidate_ignores_newer_states),
    PlantedFault("reads are not confirmed", reads_are_not_confirmed),
    PlantedFault("rejections are not confirmed", rejections_are_not_confirmed),
    PlantedFault("one reply is enough to recover", one_reply_is_enough_to_recover),
    PlantedFault("damage is treated as a torn tail", damage_is_treated_as_a_torn_tail),
    PlantedFault("commands are not remembered", commands_are_not_remembered),
    PlantedFault("forgotten commands are rejected", forgotten_commands_are_rejected),
    PlantedFault("committed without a majority", committed_without_a_majority),
    PlantedFault("an epoch is used twice", an_epoch_is_used_twice),
    PlantedFault("a replica with a wiped disk votes", a_replica_with_a_wiped_disk_votes),
    PlantedFault("the primary does not retry its own write", the_primary_does_not_retry_its_own_write),
    PlantedFault("deltas are applied to any base", deltas_are_applied_to_any_base),
    PlantedFault(
        "a leaving node does not check the others",
        a_leaving_node_does_not_check_the_others,
        scenario=lambda: (
            membership_scenarios.test_losses_after_a_newcomer_took_the_place_of_a_partitioned_member(0, 1)
        ),
    ),
]


@pytest.mark.parametrize("fault", FAULTS, ids=lambda fault: fault.name)
def test_seeded_trials_find_the_fault(fault: PlantedFault, monkeypatch: pytest.MonkeyPatch) -> None:
    fault.plant(monkeypatch)
    if fault.scenario is not None:
        with pytest.raises(AssertionError):
            fault.scenario()
        return
    for count in range(1, MAX_TRIALS + 1):
        try:
            run_trial(replace(fault.trial, seed=count))
        except Exception as found:  # any failure counts: an assertion of the tests or of the code itself
            print(f"{fault.name}: found in trial {count}: {found!r:.100}")
            return
    pytest.fail(f"{MAX_TRIALS} trials did not find it")
