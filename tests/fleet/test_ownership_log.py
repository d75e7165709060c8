"""What is logged and shown of duties: each change once, with its reason; states within a bound."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest
from larkweir_owners.duty_manager import DutyStatus, ManagerStatus
from larkweir_owners.messages import Record
from larkweir_owners.recovery import ReplicaMode

from larkweir.coordination.ownership_log import MAX_STATE_LINES_PER_S, OwnershipLog, status_facts

OTHER = "127.0.0.1:7002"


class Manager(SimpleNamespace):
    """As much of a DutyManager as is logged."""

    def __init__(self, mode: ReplicaMode | None = None, **records: Record | None) -> None:
        super().__init__(
            acceptor=None if mode is None else SimpleNamespace(mode=mode),
            leaderships={name: SimpleNamespace(record=record) for name, record in records.items()},
            owned_duties=[
                name for name, record in records.items() if record is not None and record.owner == "me"
            ],
        )


class Logged:
    """A log, and what it has written."""

    def __init__(self) -> None:
        self.lines: list[str] = []
        self.now_ms = 0.0
        self.log = OwnershipLog(self.lines.append, self.lines.append, lambda: self.now_ms)

    def update(self, manager: Any, retains_reason: bool = False) -> list[str]:
        self.lines.clear()
        self.log.update(manager, retains_reason)
        return list(self.lines)


def test_an_owned_duty_is_logged_once_a_term() -> None:
    logged = Logged()
    assert logged.update(Manager(drill=Record(3, 7, "me", 1))) == ["owners: drill owned here, term 3"]
    assert logged.update(Manager(drill=Record(3, 8, "me", 1))) == []
    assert logged.update(Manager(drill=Record(5, 9, "me", 1))) == ["owners: drill owned here, term 5"]


@pytest.mark.parametrize(
    ("record", "reason", "line"),
    [
        (Record(4, 8, OTHER, 2), "", f"owners: drill given up: {OTHER} has it"),
        (Record(3, 8, "", 0, OTHER), "", "owners: drill given up: handed over"),
        (Record(3, 8, "", 0, OTHER), "paused", "owners: drill given up: paused"),
    ],
)
def test_a_duty_that_is_given_up_is_logged_with_its_reason(record: Record, reason: str, line: str) -> None:
    logged = Logged()
    logged.update(Manager(drill=Record(3, 7, "me", 1)))
    logged.log.release_reason = reason
    assert logged.update(Manager(drill=record)) == [line]


@pytest.mark.parametrize(("retains_reason", "left"), [(True, "draining"), (False, "")])
def test_a_reason_holds_for_further_duties_only_while_the_process_hands_all_over(
    retains_reason: bool, left: str
) -> None:
    logged = Logged()
    logged.update(Manager(drill=Record(3, 7, "me", 1)))
    logged.log.release_reason = "draining"
    logged.update(Manager(drill=Record(3, 8, "", 0)), retains_reason)
    assert logged.log.release_reason == left


def test_a_mode_of_the_acceptor_is_logged_when_it_changes() -> None:
    logged = Logged()
    assert logged.update(Manager(ReplicaMode.RESTARTED)) == ["owners: keeper: back"]
    assert logged.update(Manager(ReplicaMode.RESTARTED)) == []
    assert logged.update(Manager(ReplicaMode.VOTING)) == ["owners: keeper: voting"]


def test_what_is_owned_when_the_process_stops_was_not_handed_over() -> None:
    logged = Logged()
    logged.update(Manager(ReplicaMode.VOTING, drill=Record(3, 7, "me", 1)))
    logged.lines.clear()
    logged.log.on_stopped()
    assert logged.lines == ["owners: drill given up: not handed over in time"]
    logged.log.on_stopped()
    assert len(logged.lines) == 1
    assert logged.update(Manager(ReplicaMode.VOTING)) == ["owners: keeper: voting"]  # of the next start


def test_states_are_logged_within_a_bound_that_is_new_each_second() -> None:
    logged = Logged()
    for number in range(2 * MAX_STATE_LINES_PER_S):
        logged.log.on_committed("drill", (3, number))
    assert logged.lines == [f"owners: drill 3.{number} taken" for number in range(MAX_STATE_LINES_PER_S)]
    logged.now_ms = 1_000.0
    logged.log.on_committed("drill", (3, 99))
    assert logged.lines[-1] == "owners: drill 3.99 taken"


def test_status_is_one_line_with_its_published_words() -> None:
    duties = {
        "drill": DutyStatus("owner", OTHER, 3, 7, 2, 0),
        "ramps": DutyStatus("rests", "", 0, 0, 0, 4),
    }
    assert status_facts(ManagerStatus(duties, True, 2, ReplicaMode.VOTING, 5, 0)) == {
        "owners": f"drill:owner:{OTHER}:3.7,ramps:rests:nobody:0.0",
        "owners_majority": 1,
        "owners_keeper": "voting",
        "owners_epoch": 2,
        "owners_dropped": "late:5,ramps_failed:4",
    }
    assert status_facts(ManagerStatus({}, False, 1, "", 0, 0)) == {
        "owners": "none",
        "owners_majority": 0,
        "owners_keeper": "no",
        "owners_epoch": 1,
        "owners_dropped": "0",
    }


def test_who_owns_a_duty_is_logged_behind_a_flood_of_other_lines() -> None:
    """A process that is stopped in the second in which it began to own a duty has logged much already."""
    others: list[str] = []
    changes: list[str] = []
    log = OwnershipLog(others.append, changes.append, lambda: 0.0)
    log.update(Manager(ReplicaMode.VOTING, drill=Record(3, 7, "me", 1)), retains_reason=False)
    log.on_committed("drill", (3, 8))
    log.release_reason = "draining"
    log.update(Manager(ReplicaMode.VOTING, drill=None), retains_reason=False)
    log.update(Manager(ReplicaMode.VOTING, drill=Record(5, 9, "me", 1)), retains_reason=False)
    log.on_stopped()
    assert others == ["owners: keeper: voting", "owners: drill 3.8 taken"]
    assert changes == [
        "owners: drill owned here, term 3",
        "owners: drill given up: draining",
        "owners: drill owned here, term 5",
        "owners: drill given up: not handed over in time",
    ]
