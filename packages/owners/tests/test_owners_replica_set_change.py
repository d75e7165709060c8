"""Changes of the replica set, in simulated fleets and step by step."""

import os
import subprocess
import sys
from collections.abc import Sequence

import pytest
from fleet_owners import Checker, Fleet
from larkweir_owners.acceptor import Acceptor
from larkweir_owners.acceptor_state import AcceptorState, fingerprint
from larkweir_owners.messages import Accept, AdoptSet, Record, ReplicaSet
from larkweir_owners.ports import Outcome, Result
from larkweir_owners.proposer import Proposer
from owners_cases import SET, RecordingTransport


def run_change(fleet: Fleet, names: set[str], by: str) -> list[str]:
    faults: list[str] = []
    process = fleet.processes[by]
    assert process.owners is not None
    order = tuple(fleet.rng.sample(sorted(names), len(names)))
    assert process.owners.set_change.begin(order, faults.append, fleet.network.now_ms) == ""
    process.flush_and_reschedule()
    fleet.run_until(lambda: bool(faults), 10_000.0)
    return faults


def test_all_replicas_are_replaced_one_at_a_time_while_duties_run() -> None:
    fleet = Fleet(7)
    fleet.eligible_replicas = set(fleet.names)
    fleet.run(1000.0)
    names = set(fleet.names[:3])
    for new, old in ((3, 0), (4, 1)):
        fleet.processes[fleet.names[new]].kill()
        fleet.start(fleet.names[new])
        names.add(fleet.names[new])
        assert run_change(fleet, names, fleet.names[2]) == [""]
        names.remove(fleet.names[old])
        assert run_change(fleet, names, fleet.names[2]) == [""]
    for old in (0, 1):
        fleet.kill(fleet.names[old], 200.0)
    before = fleet.checker.update_counts["duty0"]
    fleet.run(6000.0)
    assert set(fleet.members) == {fleet.names[n] for n in (2, 3, 4)}
    assert fleet.checker.update_counts["duty0"] > before
    assert fleet.checker.last["\0keepers"].term == 5


@pytest.mark.parametrize("first", range(0, 160, 20))
def test_old_records_survive_replacing_every_replica(first: int) -> None:
    """A register that is not written during the changes survives the removal of all replicas that accepted it."""
    for seed in range(first, first + 20):
        replace_all_replicas(Fleet(seed), ("a", "old")[seed % 2])  # sorts before or after the duty's key


def replace_all_replicas(fleet: Fleet, key: str) -> None:
    fleet.eligible_replicas = set(fleet.names)
    fleet.run(1000.0)
    writer = fleet.processes[fleet.names[0]]
    assert writer.owners is not None
    done: list[Result] = []
    writer.owners.proposer.write(key, (0, 0), Record(1, 1, "x", 1), done.append)
    writer.flush_and_reschedule()
    fleet.run(500.0)
    names = set(fleet.names[:3])
    for new, old in ((3, 0), (4, 1), (0, 2)):
        fleet.processes[fleet.names[new]].kill()
        fleet.processes[fleet.names[new]].disk = None
        fleet.start(fleet.names[new])
        fleet.run(200.0)
        names.add(fleet.names[new])
        assert run_change(fleet, names, fleet.names[3]) == [""]
        names.remove(fleet.names[old])
        assert run_change(fleet, names, fleet.names[3]) == [""]
    reader = fleet.processes[fleet.names[3]]
    assert reader.owners is not None
    reader.owners.proposer.read(key, done.append)
    reader.flush_and_reschedule()
    fleet.run(500.0)
    assert [result.record for result in done] == [Record(1, 1, "x", 1)] * 2


@pytest.mark.parametrize("pair", [("k0", "k1"), ("k0", "k2"), ("k1", "k2")])
def test_record_accepted_by_two_of_four_counts_once_both_are_in_a_set_of_three(pair: tuple[str, str]) -> None:
    """No majority of the old set accepted the record, but every majority of the new set includes a replica that did, so
    the record is chosen there."""
    four = ReplicaSet(1, ("k0", "k1", "k2", "k3"))
    three = ReplicaSet(2, ("k0", "k1", "k2"), four.names)
    disk = AcceptorState(1, four, (1, 1), True)
    acceptors = {n: Acceptor(n, disk.copy(), fingerprint(disk)) for n in four.names}
    accepted_record = Record(1, 1, "p", 9)
    checker, transport, results = Checker(), RecordingTransport(), list[Result]()

    def deliver_all(proposer: Proposer, reachable: Sequence[str], accepts: Sequence[str]) -> None:
        while transport.sent:
            to, item = transport.sent.pop(0)
            if to in (accepts if isinstance(item, Accept) else reachable):
                for _, answer in acceptors[to].on_message(proposer.name, item).messages:
                    proposer.on_message(to, answer, 0.0)

    writer, reader, rival = (Proposer(name, 9, four, transport, lambda: 0.0) for name in ("p", "q", "r"))
    writer.write("d", (0, 0), accepted_record, results.append)
    deliver_all(writer, four.names, ("k0", "k1"))
    for name, replica_set in (("k0", four), ("k1", four), ("k0", three), ("k3", three)):
        checker.accepted(name, "d", (1, "p", 9), accepted_record, replica_set, 0.0)
        assert results == [] and checker.values == {}
    for name in three.names:
        acceptors[name].on_message("p", AdoptSet(three))
    reader.adopt(three)
    reader.read("d", results.append)
    deliver_all(reader, three.names, ())
    checker.accepted("k1", "d", (1, "p", 9), accepted_record, three, 0.0)
    assert results == [Result(Outcome.DONE, accepted_record)] and checker.values == {
        ("d", (1, 1)): accepted_record
    }
    # The rival and k3 do not know of the change
    rival.write("d", (0, 0), Record(1, 1, "r", 9), results.append)
    deliver_all(rival, (*pair, "k3"), (*pair, "k3"))
    assert results[1:] == [Result(Outcome.CONFLICT, accepted_record)]


def test_run_with_replica_set_changes_is_the_same_under_any_hash_seed() -> None:
    code = (
        "from test_owners_replica_set_change import *; f = Fleet(8); replace_all_replicas(f, 'a'); "
        "print(f.network.sent, f.network.now_ms)"
    )
    runs = {
        subprocess.run(
            [sys.executable, "-c", code],
            env={**os.environ, "PYTHONHASHSEED": seed, "PYTHONPATH": os.pathsep.join(sys.path)},
            capture_output=True,
            check=True,
        ).stdout
        for seed in "128"
    }
    assert len(runs) == 1


def test_change_by_several_replicas_or_of_a_replica_with_an_old_file_is_rejected() -> None:
    fleet = Fleet(9)
    fleet.eligible_replicas = set(fleet.names)
    fleet.run(1000.0)
    owners = fleet.processes[fleet.names[0]].owners
    assert owners is not None
    for names in (fleet.names[:5], fleet.names[:3], [*fleet.names[:2], fleet.names[3]], []):
        assert owners.set_change.begin(tuple(names), lambda fault: None, 0.0) != ""
    fleet.processes[fleet.names[3]].disk = AcceptorState(5, SET, (1, 5), True)
    fleet.processes[fleet.names[3]].kill()
    fleet.start(fleet.names[3])
    (fault,) = run_change(fleet, set(fleet.names[:4]), fleet.names[0])
    assert "its file must be removed first" in fault
