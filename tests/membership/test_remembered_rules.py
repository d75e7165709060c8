"""Confidence, the order of trying, what an answer shows, and the restored entries: pure logic alone."""

from __future__ import annotations

from collections import Counter
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine, initialize, invariant, rule
from larkweir_balancing.interface import Outcome
from larkweir_balancing.restored_trust import (
    DIRECT_SEND_CONFIDENCE,
    MIN_CONFIDENCE,
    ObservedEvidence,
    RestoredTrust,
)

from larkweir.membership.remembered.entries import (
    MAX_ANONYMOUS_ANSWERS,
    PROBE_RETRY_MS,
    Place,
    RestoredEntries,
    still_drained,
)
from larkweir.membership.remembered.evidence import (
    DAY_MS,
    HOUR_MS,
    NEVER_SEEN,
    Churn,
    Evidence,
    EvidenceKind,
    Source,
    confidence,
)
from larkweir.membership.remembered.identity import UpstreamIdentity, parse_identity
from larkweir.membership.remembered.plan import FIRST, opened, order

NOW = 1e12
QUIET = Churn(0.0, 100.0 * DAY_MS)  # a hundred for a day, and none went
BUSY = Churn(100.0, 100.0 * HOUR_MS)  # each lives for an hour


def heard(ago: float, proved: float | None = None, how: EvidenceKind = EvidenceKind.ANSWERED) -> Evidence:
    return Evidence(
        NOW - ago, 0.0 if proved is None else NOW - proved, how if proved is not None else EvidenceKind.LISTED
    )


@pytest.mark.parametrize(
    ("row", "churn", "source", "is_uncertain", "least", "most"),
    [
        (heard(1e3, 1e3), QUIET, Source.STORED, False, 0.94, 0.96),
        (heard(1e3), QUIET, Source.STORED, False, 0.69, 0.71),  # listed and never seen at work
        (heard(1e3, DAY_MS, EvidenceKind.SHOWN), QUIET, Source.STORED, False, 0.9, 1.0),
        (
            heard(HOUR_MS, HOUR_MS),
            BUSY,
            Source.STORED,
            False,
            0.3,
            DIRECT_SEND_CONFIDENCE,
        ),  # one in e is still there
        (heard(DAY_MS, DAY_MS), BUSY, Source.STORED, False, 0.0, MIN_CONFIDENCE),
        (heard(DAY_MS, DAY_MS), NEVER_SEEN, Source.STORED, False, 0.4, 0.5),
        (
            heard(31 * DAY_MS, 31 * DAY_MS, EvidenceKind.SHOWN),
            QUIET,
            Source.STORED,
            False,
            0.0,
            0.0,
        ),  # a month old
        (heard(365 * DAY_MS, 365 * DAY_MS), QUIET, Source.STORED, False, 0.0, 0.0),
        (
            heard(-DAY_MS, -DAY_MS),
            QUIET,
            Source.STORED,
            True,
            0.4,
            DIRECT_SEND_CONFIDENCE,
        ),  # from the future: a probe first
        (Evidence(), QUIET, Source.CONFIGURED, False, MIN_CONFIDENCE, 0.7),
        (Evidence(), QUIET, Source.STORED, False, 0.0, 0.0),  # nobody has ever vouched for it
    ],
)
def test_confidence(
    row: Evidence, churn: Churn, source: Source, is_uncertain: bool, least: float, most: float
) -> None:
    assert least <= confidence(row, churn, source, is_uncertain, NOW) <= most


@given(st.floats(0, 40 * DAY_MS), st.floats(0, 40 * DAY_MS), st.floats(0, 1e3), st.floats(0, 1e12))
def test_trust_never_rises_with_age_or_with_churn(
    one: float, other: float, gone: float, exposure: float
) -> None:
    younger, older = sorted((one, other))
    churn = Churn(gone, exposure)

    def of(age: float, churn: Churn) -> float:
        return confidence(heard(age, age), churn, Source.STORED, False, NOW)

    assert of(older, churn) <= of(younger, churn) + 1e-9
    assert of(older, Churn(gone + 1.0, exposure)) <= of(older, churn) + 1e-9
    assert (
        of(older, churn)
        <= confidence(heard(older, older, EvidenceKind.SHOWN), churn, Source.STORED, False, NOW)
        <= 1.0
    )


def test_churn_that_lies_far_back_fades() -> None:
    churn = NEVER_SEEN
    for _ in range(24):
        churn = churn.after(10, 100, HOUR_MS)
    stormy = churn.survival_odds(HOUR_MS)
    for _ in range(60):
        churn = churn.after(0, 100, DAY_MS)
    assert stormy < 0.92 < 0.99 < churn.survival_odds(HOUR_MS)
    assert churn.exposure_ms <= 700.0 * DAY_MS * 1.001


@pytest.mark.parametrize(
    ("upstreams", "balancer_count"), [(30, 30), (30, 200), (7, 30), (1, 5), (1000, 30), (100, 7)]
)
def test_the_first_of_all_copies_fall_on_all_upstreams_alike(upstreams: int, balancer_count: int) -> None:
    names = [f"s-{n:04x}" for n in range(upstreams)]
    load: Counter[str] = Counter()
    for me in range(balancer_count):
        mine = order(names, me, balancer_count)
        assert sorted(mine) == sorted(names)
        load.update(mine[: opened(upstreams, 0, 0)])
    mean = sum(load.values()) / upstreams
    assert max(load.values()) <= max(2.0 * mean, 1.0)
    assert set(load) == set(names) or FIRST * balancer_count < upstreams


@given(st.integers(0, 60_000), st.integers(0, 60_000), st.integers(0, 60_000))
def test_more_is_used_as_more_is_proved_or_lost_and_never_all_blindly(
    count: int, proved: int, lost: int
) -> None:
    found = opened(count, proved, lost)
    assert 0 <= found <= count
    assert found <= opened(count, proved + 1, lost) and found <= opened(count, proved, lost + 1)
    assert opened(count, 0, 0) <= FIRST


@pytest.mark.parametrize(
    ("text", "found"),
    [
        (b'"s-1";zone="a";cell=3', UpstreamIdentity("s-1", "a", 3)),
        (b"s-1", UpstreamIdentity("s-1")),
        (b"s-1; zone=a; cell=0; more=1;flag", UpstreamIdentity("s-1", "a", 0)),
        (b'"a \\" b"', UpstreamIdentity('a " b')),
        (b's-1;zone="a";zone="b"', UpstreamIdentity("s-1", "b")),
        (b"s-1;zone=3;cell=-1", UpstreamIdentity("s-1")),
        (b's-1;cell="3"', UpstreamIdentity("s-1")),
        (b'"s-1', None),
        (b"", None),
        (b"1", None),
        (b"s 1", None),
        (b"s-1;", None),
        (b"s-1;Zone=a", None),
        (b"x" * 600, None),
        ("ü".encode(), None),
    ],
)
def test_what_an_answer_shows(text: bytes, found: UpstreamIdentity | None) -> None:
    assert parse_identity(text) == found


@given(st.binary(max_size=600))
def test_no_bytes_break_the_reading_of_a_header(value: bytes) -> None:
    found = parse_identity(value)
    assert found is None or (found.cell is None or found.cell >= 0)


# ---------------------------------------------------------------- the entries


def entries_of(
    count: int = 10, *, probes: bool = True, identifies: bool = True, ago: float = 1e3, **more: object
) -> RestoredEntries:
    it = RestoredEntries(me=0, balancer_count=1, can_probe=probes, identifies=identifies, churn=QUIET)
    for key, value in more.items():
        setattr(it, key, value)
    it.load({f"s{n}": (Place("a", n % 3), heard(ago, ago)) for n in range(count)}, NOW)
    return it


def test_an_empty_list_and_one_that_is_too_old_leave_nothing() -> None:
    assert entries_of(0).counts().listed == 0 and entries_of(0).review(NOW) == (True, [])
    counts = entries_of(10, ago=31 * DAY_MS).counts()
    assert counts.in_use == 0 and counts.distrusted == 10


def test_fifty_thousand_are_held_and_a_few_are_tried() -> None:
    it = entries_of(50_000)
    assert it.counts().listed == 50_000 and len(it.entries) == FIRST == it.counts().in_use
    assert len(it.due_probes(NOW, 100)) == FIRST


def test_a_stranger_at_the_address_is_not_used_and_its_answer_does_not_count() -> None:
    it = entries_of()
    counts, changes = it.on_ended("s1", True, Outcome.OK, UpstreamIdentity("other", "a", 0), NOW + 1)
    assert not counts and next((change.name, change.trust) for change in changes) == ("s1", None)
    it.on_ended("s1", True, Outcome.OK, UpstreamIdentity("other"), NOW + 2)
    for step in range(20):
        it.review(NOW + step * 10_000.0)
        assert "s1" not in it.due_probes(NOW + step * 10_000.0, 100)


def test_one_that_has_moved_is_where_it_says_it_is() -> None:
    it = entries_of()
    _, changes = it.on_ended("s1", True, Outcome.OK, UpstreamIdentity("s1", "b", 7), NOW + 1)
    change = next(change for change in changes if change.name == "s1")
    assert change.place == Place("b", 7) and change.trust is not None and change.trust.has_location


def test_one_that_refuses_goes_and_comes_back_when_it_answers() -> None:
    it = entries_of()
    assert "s1" in it.due_probes(NOW, 100)
    it.on_ended("s1", True, Outcome.CONNECT_FAILED, None, NOW)
    _, changes = it.on_ended("s1", False, Outcome.CONNECT_FAILED, None, NOW)
    assert any(change.name == "s1" and change.trust is None for change in changes)
    assert "s1" in it.due_probes(NOW + 2 * PROBE_RETRY_MS, 100)
    _, changes = it.on_ended("s1", True, Outcome.OK, UpstreamIdentity("s1", "a", 1), NOW + 600.0)
    found = next(change.trust for change in changes if change.name == "s1")
    assert found is not None and found.evidence is ObservedEvidence.PROBE and found.is_verified


def test_without_probes_what_was_refused_is_forgiven_slowly() -> None:
    it = entries_of(probes=False)
    for _ in range(6):
        it.on_ended("s1", False, Outcome.CONNECT_FAILED, None, NOW)
    assert it.entries["s1"].is_lost
    looks = 0
    while it.entries["s1"].is_lost:
        looks += 1
        it.review(NOW + looks * 10_000.0)
    assert 3 <= looks <= 20


def test_one_that_answers_probes_and_fails_requests_keeps_few_calls() -> None:
    it = entries_of()
    it.on_ended("s1", True, Outcome.OK, UpstreamIdentity("s1", "a", 1), NOW)
    for _ in range(8):
        _, changes = it.on_ended("s1", False, Outcome.ERROR, None, NOW)
    assert it.entries["s1"].seen is ObservedEvidence.PROBE and it.entries["s1"].is_lost


def test_one_that_shows_nothing_is_not_asked_for_ever() -> None:
    it = entries_of(1)
    asked, now = 0, NOW
    for _ in range(100):
        for name in it.due_probes(now, 10):
            asked += 1
            it.on_ended(name, True, Outcome.OK, None, now)
        now += 1_000.0
    assert asked == MAX_ANONYMOUS_ANSWERS
    proof = it.entries["s0"].announced
    assert (
        proof is not None
        and proof.evidence is ObservedEvidence.PROBE
        and not proof.is_verified
        and not proof.probe_pending
    )


def test_drains_that_an_older_list_would_undo() -> None:
    words = {"a": "leaving", "b": "leaving", "c": "active"}
    listed = {"a": "active", "b": "leaving", "c": "active"}
    assert still_drained(words, listed, 6, 7) == {"a"}
    assert still_drained(words, listed, 7, 7) == set()


@pytest.mark.parametrize(
    ("listed", "left", "kept"),
    [(0, 0, 10), (4, 0, 6), (5, 0, 0), (10, 0, 0), (0, 10, 0), (2, 3, 0), (1, 3, 6)],
)
def test_a_first_list_that_lacks_more_than_half_of_those_that_answer_is_not_believed(
    listed: int, left: int, kept: int
) -> None:
    it = entries_of(20)
    names: list[str] = []
    while len(names) < 10:
        names.append(next(name for name in it.entries if name not in names))
        it.on_ended(names[-1], False, Outcome.OK, UpstreamIdentity(names[-1], "a", 0), NOW)
    assert len(it.missing_from(set(names[:listed]), set(names[listed : listed + left]))) == kept


class RestoredEntriesMachine(RuleBasedStateMachine):
    """Whatever ends where and when: what always holds."""

    @initialize(
        count=st.integers(0, 40),
        probes=st.booleans(),
        identifies=st.booleans(),
        balancer_count=st.integers(1, 5),
    )
    def begin(self, count: int, probes: bool, identifies: bool, balancer_count: int) -> None:
        self.it = RestoredEntries(
            me=balancer_count - 1,
            balancer_count=balancer_count,
            can_probe=probes,
            identifies=identifies,
            churn=QUIET,
        )
        self.now = NOW
        self.told: dict[str, RestoredTrust] = {}
        self.strangers: set[str] = set()
        rows = {f"s{n}": (Place("a", 0), heard(n * 3e6, n * 3e6)) for n in range(count)}
        self.take(self.it.load(rows, self.now))

    def take(self, changes: list[object]) -> None:
        for change in changes:
            if change.trust is None:  # type: ignore[attr-defined]
                self.told.pop(change.name, None)  # type: ignore[attr-defined]
            else:
                self.told[change.name] = change.trust  # type: ignore[attr-defined]

    @rule(
        at=st.integers(0, 39),
        outcome=st.sampled_from(Outcome),
        probe=st.booleans(),
        word=st.sampled_from("-sx"),
    )
    def end(self, at: int, outcome: Outcome, probe: bool, word: str) -> None:
        name = f"s{at}"
        told = {"-": None, "s": UpstreamIdentity(name, "a", 0), "x": UpstreamIdentity("else")}[word]
        counts, changes = self.it.on_ended(name, probe, outcome, told, self.now)
        self.take(changes)
        stranger = outcome is Outcome.OK and word == "x" and name in self.it.entries
        assert counts is not stranger
        if stranger:
            self.strangers.add(name)

    @rule(span=st.floats(0.0, 20_000.0))
    def wait(self, span: float) -> None:
        self.now += span
        self.take(self.it.review(self.now)[1])

    @rule(most=st.integers(1, 5))
    def probe(self, most: int) -> None:
        for name in self.it.due_probes(self.now, most):
            assert self.it.can_probe and name not in self.strangers

    @invariant()
    def what_is_told_is_what_is_so(self) -> None:
        if not hasattr(self, "it"):
            return
        assert not self.strangers & set(self.told)
        for name, entry in self.it.entries.items():
            assert (name in self.told) == (not entry.is_lost), name
            if name in self.told:
                proof = self.told[name]
                assert abs(proof.confidence - entry.confidence) < 0.021
                assert proof[1:4] == (entry.seen, entry.is_identified, entry.is_place_reported)
                assert not proof.is_verified or self.it.identifies
        counts = self.it.counts()
        assert counts.in_use <= counts.listed and counts.answered + counts.lost <= counts.in_use


RestoredEntriesMachine.TestCase.settings = settings(
    max_examples=60, stateful_step_count=40, deadline=None, derandomize=True
)
TestRestoredEntries = RestoredEntriesMachine.TestCase


def test_a_fleet_that_comes_back_together_spreads_its_first_calls() -> None:
    """Thirty copies, no word between them, 40% of what they remember gone: calls on each until it is proved."""
    rng = Random(3)
    names = [f"s{n}" for n in range(60)]
    alive = set(rng.sample(names, 36))
    calls: Counter[str] = Counter()
    for me in range(30):
        it = RestoredEntries(me=me, balancer_count=30, can_probe=False, identifies=False, churn=QUIET)
        used = {
            change.name: change.trust
            for change in it.load({name: (Place("a", 0), heard(1e3, 1e3)) for name in names}, NOW)
        }
        for _ in range(400):
            open_now = [name for name, proof in used.items() if proof is not None]
            if not open_now:
                break
            name = rng.choice(open_now)
            if it.entries[name].seen is ObservedEvidence.NOTHING:
                calls[name] += 1
            outcome = Outcome.OK if name in alive else Outcome.CONNECT_FAILED
            used |= {change.name: change.trust for change in it.on_ended(name, False, outcome, None, NOW)[1]}
        assert alive <= {name for name, proof in used.items() if proof is not None}
    assert max(calls[name] for name in alive) <= 2.0 * sum(calls[name] for name in alive) / len(alive)
