"""What a life that comes back may believe, by age and kind."""

from __future__ import annotations

import pytest

from larkweir.membership.remembered.evidence import EvidenceKind
from larkweir.store.records import Record, RecordKind
from larkweir.store.recoverable_state import MAX_LEARNED_AGE_MS, recoverable_state
from larkweir.store.state import MAX_OPEN_REQUESTS, StoredState

NOW = 1_000_000.0
SPAN = 2_000.0


def state(*records: Record) -> StoredState:
    made = StoredState()
    for record in records:
        made.apply(record)
    return made


def began(trace: str, ago: float, span: float = SPAN) -> Record:
    return Record(RecordKind.BEGAN, [trace, NOW - ago, span])


def ended(trace: str, ago: float) -> Record:
    return Record(RecordKind.ENDED, [trace, NOW - ago])


@pytest.mark.parametrize(
    ("records", "known"),
    [
        ([began("a", 100.0)], True),  # open at the crash: it may be running
        ([began("a", 60_000.0)], True),  # since long, and nobody knows how it ended
        ([began("a", 100.0), ended("a", 50.0)], True),  # over, and a copy may still come
        ([began("a", 60_000.0), ended("a", 50_000.0)], False),
        ([began("a", 3_000.0), ended("a", 2_500.0)], False),
        ([began("a", 3_000.0, 10_000.0), ended("a", 2_500.0)], True),  # its own span is longer
    ],
)
def test_what_may_not_run_twice_is_remembered_for_as_long_as_it_matters(
    records: list[Record], known: bool
) -> None:
    assert bool(recoverable_state(state(*records), NOW, SPAN).request_ids) is known


def test_an_id_that_was_open_at_the_crash_is_counted_from_now_on() -> None:
    ((trace, at),) = recoverable_state(state(began("a", 60_000.0)), NOW, SPAN).request_ids
    assert (trace, at) == ("a", NOW)


@pytest.mark.parametrize("back", [10_000.0, 86_400_000.0])
def test_a_clock_that_has_gone_back_makes_all_that_forbids_new_and_all_that_helps_old(back: float) -> None:
    told = state(
        began("a", 1.0),
        ended("a", 0.0),
        Record(RecordKind.DRAIN, ["u1", NOW]),
        Record(RecordKind.LEARNED, [NOW, {"window": 9.0}]),
    )
    found = recoverable_state(told, NOW - back, SPAN)
    assert found.request_ids == [("a", NOW - back)] and found.drains == {"u1": NOW - back}
    assert not found.learned and "gone back" in found.warnings[0]


def test_a_clock_that_is_a_year_ahead_forgets_what_ended_and_not_what_was_open() -> None:
    year = 365.0 * 86_400_000.0
    told = state(began("a", 1.0), ended("a", 0.0), began("b", 1.0))
    assert [trace for trace, _ in recoverable_state(told, NOW + year, SPAN).request_ids] == ["b"]


@pytest.mark.parametrize(
    ("age", "believed"), [(0.0, True), (MAX_LEARNED_AGE_MS - 1.0, True), (MAX_LEARNED_AGE_MS + 1.0, False)]
)
def test_what_was_learned_counts_while_it_is_fresh_and_its_credit_never(age: float, believed: bool) -> None:
    found = recoverable_state(
        state(Record(RecordKind.LEARNED, [NOW - age, {"window": 9.0, "credit": 2.0}])), NOW, SPAN
    )
    assert found.learned == ({"window": 9.0, "credit": 0.0} if believed else {})


def test_the_first_word_of_a_drain_counts_until_discovery_calls_the_upstream_back() -> None:
    row = {"instanceId": "u1", "hostPort": "10.0.0.1:80", "lifecycle": "leaving"}
    told = state(
        Record(RecordKind.LISTED, row),
        Record(RecordKind.DRAIN, ["u1", NOW - 100.0]),
        Record(RecordKind.DRAIN, ["u1", NOW - 10.0]),
    )
    assert recoverable_state(told, NOW, SPAN).drains == {"u1": NOW - 100.0}
    told.apply(Record(RecordKind.LISTED, row | {"lifecycle": "active"}))
    assert recoverable_state(told, NOW, SPAN).drains == {}


def test_tables_are_bounded_and_pruned() -> None:
    made = StoredState()
    for n in range(MAX_OPEN_REQUESTS + 100):
        made.apply(began(f"t{n}", 10.0))
    assert len(made.open) == MAX_OPEN_REQUESTS and "t0" not in made.open
    made.apply(Record(RecordKind.DRAIN, ["gone", NOW]))
    made.prune(NOW + 10_000.0)
    assert not made.open and not made.drains


BOOT = ("the-machine", NOW - 50_000.0)


def lived(wall: float, *records: Record) -> StoredState:
    """A life on the same machine, by a clock that stood so far from the present one."""
    return state(Record(RecordKind.CLOCK, [NOW - 9_000.0 + wall, BOOT[0], NOW - 9_000.0 - BOOT[1]]), *records)


@pytest.mark.parametrize(
    "wall", [86_400_000.0, -365 * 86_400_000.0 + 1e12, 0.0], ids=["back", "a year", "none"]
)
def test_a_clock_that_was_set_is_seen_by_the_machines_own(wall: float) -> None:
    """Set either way, and the machine has not started anew: all ages are known."""
    at = NOW - 9_000.0 + wall
    row = {"instanceId": "u0", "lifecycle": "active"}
    it = lived(
        wall,
        Record(RecordKind.LISTED, row),
        Record(RecordKind.SOURCE, ["d", 3, at, 0.0, 0.0]),
        Record(RecordKind.SERVED, ["u0", at - 1_000.0, int(EvidenceKind.ANSWERED)]),
        Record(RecordKind.BEGAN, ["late", at, SPAN]),
        Record(RecordKind.ENDED, ["late", at]),
        Record(RecordKind.BEGAN, ["fresh", at, 20_000.0]),
        Record(RecordKind.ENDED, ["fresh", at]),
    )
    told = recoverable_state(it, NOW, SPAN, BOOT)
    assert not told.is_clock_uncertain
    assert told.evidence["u0"] == pytest.approx((NOW - 9_000.0, NOW - 10_000.0, EvidenceKind.ANSWERED))
    assert [trace for trace, _ in told.request_ids] == ["fresh"]
    assert bool(told.warnings) is (wall != 0.0)


def test_after_a_new_start_of_the_machine_a_clock_that_went_back_is_a_doubt() -> None:
    it = lived(86_400_000.0)
    assert recoverable_state(it, NOW, SPAN, ("another start", 0.0)).is_clock_uncertain
    assert not recoverable_state(lived(0.0), NOW, SPAN, ("another start", 0.0)).is_clock_uncertain


@pytest.mark.parametrize(
    "record",
    [
        Record(RecordKind.SERVED, ["u0", 1.0, 9]),
        Record(RecordKind.SERVED, ["u0", 1.0, True]),
        Record(RecordKind.SERVED, ["u0", 1.0]),
        Record(RecordKind.SERVED, ["u0", -1.0, 1]),
        Record(RecordKind.SOURCE, ["d", 1, 2]),
        Record(RecordKind.SOURCE, ["d", 1, 2.0, "3", 4.0]),
        Record(RecordKind.CLOCK, [1.0, "", 1.0]),
        Record(RecordKind.CLOCK, [1.0, "m", "x"]),
        Record(RecordKind.CLOCK, []),
    ],
)
def test_what_does_not_fit_changes_nothing(record: Record) -> None:
    it = state(Record(RecordKind.LISTED, {"instanceId": "u0"}), record)
    assert it.passed_over == 1 and not it.served and not it.source and not it.boot[0] and not it.answered_ms


def test_what_is_proved_is_of_the_list_alone_and_goes_with_it() -> None:
    proved = Record(RecordKind.SERVED, ["u0", 5.0, int(EvidenceKind.PROBED)])
    it = state(proved)
    assert not it.served and not it.passed_over
    it = state(Record(RecordKind.LISTED, {"instanceId": "u0"}), proved)
    assert it.served == {"u0": (5.0, EvidenceKind.PROBED)}
    again = StoredState()
    for record in it.records():
        again.apply(record)
    assert again == it
    it.apply(Record(RecordKind.DELISTED, "u0"))
    assert not it.served
