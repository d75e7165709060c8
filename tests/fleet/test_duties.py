"""Duties' rules: bets summed over copies and terms, ramps in step, copies alone; whole fleets on a seeded network."""

from __future__ import annotations

from itertools import pairwise
from random import Random

import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from benchmarks.fleet_duties import Good, watch
from larkweir.config.options import Route
from larkweir.coordination.duties import ramps, verdicts
from larkweir.coordination.duties.messages import (
    MAX_BALANCERS,
    Evidence,
    EvidenceReport,
    RampReport,
    RampRow,
    Report,
    decode_report,
    encode_report,
)
from larkweir.coordination.duties.ramps import Ramps, RampStep
from larkweir.coordination.duties.timing import FORGET_MS, OWNER_TIMEOUT_MS
from larkweir.coordination.duties.verdicts import (
    LOG_COUNT,
    LOG_UNIT,
    MAX_TRIALS,
    Verdicts,
    decode_state,
    stake,
)
from larkweir.routes.router import Router
from larkweir.routes.split import Ramp
from larkweir.routes.trial import FACTORS, Trial
from standins.duties import ROUTE, Fleet

CANARY = Route(pool="main", split=("new 20%",), sticky="request", alarm=0.01)
RAMP = Route(pool="main", split=("new 40%",), sticky="request", alarm=0.01, ramp_ms=20_000.0)


def routes(route: Route = CANARY) -> Router:
    return Router({ROUTE: route}, {}, {}, 0.0)


def trial_of(router: Router) -> Trial:
    return next(iter(router.on_trial().values()))


def bad(trial: Trial, times: int) -> None:
    """So many bad ends of the canary, each beside ten good ones of the control."""
    for _ in range(times):
        for _ in range(10):
            trial.record(False, False, 5.0)
        trial.record(True, True, 5.0)


def evidence(**changes: object) -> Evidence:
    row = {"key": "k", "alpha": 0.01, "logs": (0,) * LOG_COUNT, "counts": (0,) * 6} | changes
    return Evidence(**row)  # type: ignore[arg-type]


# ------------------------------------------------ verdicts


@settings(max_examples=60, deadline=None)
@given(st.data())
def test_the_total_is_what_the_copies_saw_whatever_is_lost_doubled_late_or_taken_over(
    data: st.DataObject,
) -> None:
    """Each copy's growth under the present term, over what the term began with, and never more."""
    routers = [routes() for _ in range(3)]
    works = [Verdicts(n + 1, lambda n=n: routers[n]) for n in range(3)]  # type: ignore[misc]
    owner, state, version, now = works[0], b"", (1, 1), 0.0
    old: list[tuple[int, Report]] = []  # on its way: it may come late and more than once
    for work in works:
        work.on_committed(state, version)
    for _ in range(data.draw(st.integers(5, 25))):
        what = data.draw(st.sampled_from(("bad", "report", "report", "old", "step", "step", "term")))
        n = data.draw(st.integers(0, 2))
        now += 1100.0
        if what == "bad":
            bad(trial_of(routers[n]), 1)
        elif what == "report":
            old += [(n, report) for report in works[n].tick(now)]
            if old and data.draw(st.booleans()):
                owner.on_report(f"copy{old[-1][0]}", old[-1][1], now)
        elif what == "old" and old:
            source, report = data.draw(st.sampled_from(old))
            owner.on_report(f"copy{source}", report, now)
        elif what == "step" or what == "term":
            if what == "term":
                owner, version = works[n], (version[0] + 1, version[1] + 1)
                for work in works:
                    work.on_committed(state, version)
            told = owner.step(state, now)
            if told is not None:
                state, version = told, (version[0], version[1] + 1)
                for work in works:
                    work.on_committed(state, version)
        for total in decode_state(state).totals:
            seen = [sum(trial_of(router).logs[at] for router in routers) for at in range(LOG_COUNT)]
            bads = sum(trial_of(router).failure_counts[1] for router in routers)
            assert total.counts[3] <= bads  # each of these ends wins the bets the same: none counts twice
            assert all(value <= LOG_UNIT * most + 1e-6 for value, most in zip(total.logs, seen, strict=True))


def test_two_copies_evidence_ends_what_neither_would_end_and_it_stays_ended() -> None:
    routers = [routes(), routes()]
    works = [Verdicts(n, lambda n=n: routers[n]) for n in range(2)]  # type: ignore[misc]
    state = b""
    for work in works:
        work.on_committed(state, (1, 1))
        work.tick(0.0)
    bad(trial_of(routers[0]), 2)
    bad(trial_of(routers[1]), 2)
    assert not trial_of(routers[0]).verdict and not trial_of(routers[1]).verdict
    for n, work in enumerate(works):
        for report in work.tick(60.0):
            told = decode_report(encode_report(report))
            assert told is not None
            works[0].on_report(f"copy{n}", told, 60.0)
    state = works[0].step(state, 100.0) or b""
    assert decode_state(state).ended and not decode_state(state).totals
    assert (
        "the fleet saw that it fails more: 100.0% of 4, beside 0.0% of 40" in decode_state(state).ended[0][1]
    )
    for n, work in enumerate(works):
        work.on_committed(state, (1, 2))
        assert work.is_notable() and not work.is_notable()
        work.tick(200.0)
        assert not routers[n].on_trial() and routers[n].weights(ROUTE, 1e9)["new"] == 0.0
    routers[1] = routes()  # started anew
    works[1].tick(300.0)
    assert routers[1].weights(ROUTE, 1e9)["new"] == 0.0
    routers[1] = routes(
        Route(pool="main", split=("new 21%",), sticky="request", alarm=0.01)
    )  # staff said anew
    works[1].tick(300.0)
    assert routers[1].on_trial()


def test_a_total_grows_on_over_terms_and_lives_by_just_what_was_seen() -> None:
    lives = [routes(), routes(), routes()]  # the last one is copy 1 again, started anew
    works = [Verdicts(n + 1, lambda n=n: lives[n]) for n in range(3)]  # type: ignore[misc]
    state, seen = b"", 0
    for term, (owner, copies) in enumerate([(0, (0, 1)), (1, (0, 1)), (0, (0, 2)), (0, (0, 2))], 1):
        now = term * 5_000.0
        works[owner].on_report("gone", EvidenceReport(1, term - 1, 9, (evidence(key="old"),)), now)
        for n in copies:
            works[n].on_committed(state, (term, 1))
            works[n].tick(now)
            trial_of(lives[n]).failures.bad(True, 0)
            for _ in range(2):
                trial_of(lives[n]).record(False, True, 5.0)  # one that says little: nothing is beside it
            trial_of(lives[n]).record(True, False, 5.0)
            trial_of(lives[n]).record(False, True, 5.0)
            seen += 4
            for report in works[n].tick(now + 60.0):
                for _ in range(2):
                    works[owner].on_report("copy0" if n == 0 else "copy1", report, now + 60.0)
        state = works[owner].step(state, now + 100.0) or b""
        (total,) = decode_state(state).totals
        summed = [sum(trial_of(router).logs[at] for router in lives) for at in range(LOG_COUNT)]
        assert sum(total.counts[:2]) == seen
        assert all(
            0 <= LOG_UNIT * want - got < 2 * term + 1 for want, got in zip(summed, total.logs, strict=True)
        )


def test_older_reports_lives_and_terms_change_nothing() -> None:
    work = Verdicts(1, routes)
    work.on_committed(b"", (5, 1))
    for life, term, number, count, expected in (
        (1, 5, 2, 10, 10),
        (1, 5, 1, 4, 10),  # older
        (1, 5, 2, 11, 10),  # doubled
        (1, 4, 9, 99, 10),  # of the term before
        (2, 5, 1, 3, 13),  # started anew: it counts from nothing
        (1, 5, 3, 50, 13),  # late, of the former life
        (2, 5, 2, 5, 15),
    ):
        row = evidence(counts=(count, 0, 0, 0, 0, 0))
        work.on_report("copy", EvidenceReport(life, term, number, (row,)), 0.0)
        work._base_term = 0  # so that each step writes
        assert decode_state(work.step(b"", 0.0) or b"").totals[0].counts[0] == expected


def test_a_copy_ends_alone_only_where_no_owner_watches_that_canary() -> None:
    router = routes()
    work = Verdicts(1, lambda: router)
    work.on_committed(b"", (1, 1))
    (report,) = work.tick(0.0)
    work.tick(10.0)
    bad(trial_of(router), 2)
    work.on_report("copy", report, 10.0)
    assert trial_of(router).ends_locally  # it is not named yet
    state = work.step(b"", 20.0) or b""
    work.on_committed(state, (1, 2))
    work.tick(100.0)
    bad(trial_of(router), 9)
    assert not trial_of(router).verdict
    work.tick(100.0 + OWNER_TIMEOUT_MS)  # the beats stay away
    trial_of(router).record(False, False, 5.0)
    assert not router.on_trial() or trial_of(router).verdict


def test_a_bad_end_is_told_soon_and_without_one_a_copy_looks_once_a_second() -> None:
    router, woken = routes(), []
    work = Verdicts(1, lambda: router, lambda: woken.append(work.next_ms))
    work.on_committed(b"", (1, 1))
    work.tick(0.0)
    work.tick(2_000.0)  # told twice more
    work.tick(4_000.0)
    assert work.next_ms == 4_000.0 + verdicts.CHECK_INTERVAL_MS
    bad(trial_of(router), 1)
    bad(trial_of(router), 1)
    assert woken == [4_000.0 + verdicts.REPORT_MS]  # once for both
    (report,) = work.tick(woken[0])
    assert isinstance(report, EvidenceReport) and report.rows[0].counts[3] == 2
    work.on_left_fleet()
    bad(trial_of(router), 1)
    assert len(woken) == 1 and trial_of(router).ends_locally


def test_a_copy_is_alone_when_the_last_beat_is_four_seconds_old_not_at_its_next_look() -> None:
    router = routes()
    work = Verdicts(1, lambda: router)
    work.on_committed(b"", (1, 1))
    at = 300.0
    while at < OWNER_TIMEOUT_MS:
        work.tick(at)
        assert work.next_ms > at
        at = work.next_ms
    assert at == 300.0 + OWNER_TIMEOUT_MS


BOUNDS = [
    evidence(key="x" * 65),
    evidence(logs=(0,) * (LOG_COUNT - 1)),
    evidence(counts=(0,)),
    evidence(alpha=0.0),
    evidence(alpha=float("nan")),
    evidence(logs=(10**12,) + (0,) * (LOG_COUNT - 1)),
]


@pytest.mark.parametrize("row", BOUNDS)
def test_what_no_copy_would_say_is_counted_and_dropped(row: Evidence) -> None:
    work = Verdicts(1, routes)
    work.on_committed(b"", (1, 1))
    work.on_report("copy", EvidenceReport(1, 1, 1, (row,)), 0.0)
    assert work.rejected == 1 and work.step(b"", 0.0) is None


def test_states_reports_and_tables_are_bounded() -> None:
    assert (
        decode_report(b"\xc1") is None
        and decode_state(b"\xc1") == verdicts.State()
        and ramps.decode_state(b"x") == ramps.State()
    )
    work = Verdicts(1, routes)
    work.on_committed(b"", (1, 1))
    for n in range(3 * MAX_TRIALS):
        work.on_report(
            "copy", EvidenceReport(1, 1, n, (evidence(key=f"{n:064}", logs=(10**8,) * LOG_COUNT),)), 0.0
        )
    state = work.step(b"", 0.0) or b""
    assert len(decode_state(state).ended) == verdicts.MAX_ENDED and len(state) <= 6 * 1024
    for n in range(MAX_BALANCERS + 5):
        work.on_report(f"{n}", EvidenceReport(1, 2, 1, (evidence(),)), 0.0)
    assert work.rejected == MAX_TRIALS + 5
    work.on_committed(b"", (2, 1))
    state = work.step(b"", 0.0) or b""
    assert [total.key for total in decode_state(state).totals] == ["k"]
    assert not decode_state(work.step(state, FORGET_MS) or state).totals


def test_good_canaries_are_ended_no_more_often_than_the_alarm_says_for_the_fleet() -> None:
    rng, highest = Random(3), []
    route = Route(pool="main", split=("new 20%",), sticky="request", alarm=1e-12)
    for _ in range(60):
        fleet = Good(rng, 12, route)
        trials = [trial_of(router) for router in fleet.routers]
        for beat in range(8):
            for trial in trials:
                for _ in range(12):
                    trial.record(rng.random() < 0.025 * (beat + 1), rng.random() < 0.2, 5.0)
            fleet.beat(change=beat == 4)
        highest.append(fleet.most)
    assert sum(most >= 2.0 / 0.2 for most in highest) <= 12  # an alarm of 0.2
    assert max(highest) > 1.0  # and it has heard of them


def test_the_stake_is_the_mean_over_factors_as_one_bet_has_it() -> None:
    trial = Trial(0.01)
    bad(trial, 3)
    logs = tuple(int(value * LOG_UNIT) for value in trial.logs)
    assert stake(logs[: len(FACTORS)]) == pytest.approx(trial.failures.stake, rel=0.01)


# ------------------------------------------------ ramps


@pytest.mark.parametrize("seed", range(20))
def test_a_ramp_goes_on_over_owners_without_a_step_back_one_left_out_or_one_too_early(seed: int) -> None:
    """Owners come and go, news is late, copies are cut off and led again; by the rules alone."""
    rng = Random(seed)
    routers = [routes(RAMP) for _ in range(4)]
    works = [Ramps(n, lambda n=n: routers[n]) for n in range(4)]  # type: ignore[misc]
    states: list[tuple[float, bytes]] = [(0.0, b"")]
    version, owner, now, gap = (1, 0), works[0], 0.0, RAMP.ramp_ms / Ramp.STEPS
    shown = [0] * 4
    steps: list[tuple[float, int]] = []
    away = [0.0] * 4
    while now < 60_000.0:
        now += rng.uniform(20.0, 120.0)
        if rng.random() < 0.01:
            owner, version = rng.choice(works), (version[0] + 1, version[1] + 1)
            owner.on_committed(states[-1][1], version)
            now += rng.uniform(0.0, 3000.0)  # nobody has it
        if rng.random() < 0.01:
            away[rng.randrange(4)] = now + rng.uniform(0.0, 8000.0)
        told = owner.step(states[-1][1], now)
        if told is not None:
            states.append((now, told))
            version = (version[0], version[1] + 1)
            held = {ramp.key: ramp for ramp in ramps.decode_state(told).ramps}
            for ramp in held.values():
                if not steps or steps[-1][1] != ramp.step:
                    steps.append((now, ramp.step))
        for n, work in enumerate(works):
            if away[n] <= now:
                if told is not None or work.state != ramps.decode_state(states[-1][1]):
                    work.on_committed(states[-1][1], version)
                for report in work.tick(now):
                    owner.on_report(f"copy{n}", report, now)
            else:
                work.tick(now)
            step = routers[n].fleet_steps[ROUTE]
            assert step >= shown[n]
            if shown[n] and away[n]:
                assert step <= max([shown[n] + 1, *(s for _, s in steps[-1:])])
            shown[n] = step
    numbers = [step for _, step in steps]
    assert numbers == list(range(numbers[0], Ramp.STEPS + 1)) and shown == [Ramp.STEPS] * 4
    assert all(later - earlier >= gap for (earlier, _), (later, _) in pairwise(steps))


def test_the_fleet_begins_at_the_lowest_step_and_who_is_ahead_waits() -> None:
    router = routes(RAMP)
    work = Ramps(1, lambda: router)
    work.on_committed(b"", (1, 1))
    work.tick(9_500.0)  # alone until now
    assert router.fleet_steps[ROUTE] == 10
    key = next(iter(router.ramping()))
    for step in (10, 4, 7):
        work.on_report("copy", RampReport(1, (RampRow(key, RAMP.ramp_ms, step),)), 9_600.0)
    assert work.step(b"", 9_700.0) is None
    state = work.step(b"", 10_100.0) or b""
    assert ramps.decode_state(state).ramps == (RampStep(key, RAMP.ramp_ms, 4),)
    work.on_committed(state, (1, 2))
    work.tick(10_200.0)
    work.on_committed(state, (1, 3))
    work.tick(13_000.0)
    assert router.fleet_steps[ROUTE] == 10 and work.tick(13_000.0) == []
    for more in (0.0, 250.0, 500.0):
        work.tick(13_000.0 + OWNER_TIMEOUT_MS + more)  # led no more: one step, not all that it has waited for
        assert router.fleet_steps[ROUTE] == 11


def test_rules_that_begin_anew_take_no_step_back() -> None:
    router = routes(RAMP)
    for now in (9_500.0, 9_750.0):
        Ramps(1, lambda: router).tick(now)
    router._started_ms[ROUTE] = 9_000.0
    Ramps(1, lambda: router).tick(10_000.0)
    assert router.fleet_steps[ROUTE] == 10
    later = Router({ROUTE: CANARY}, {}, {}, 11_000.0, router)
    assert later.weights(ROUTE, 11_000.0)["new"] == 0.2 and not later.fleet_steps


def test_bad_wishes_and_ramps_that_nobody_asks_for_any_more() -> None:
    work = Ramps(1, routes)
    rows = (RampRow("k" * 65, 1.0, 1), RampRow("k", 0.0, 1), RampRow("k", 1.0, 0), RampRow("k", 1.0, 21))
    work.on_report("copy", RampReport(1, rows), 0.0)
    for n in range(8):
        many = tuple(RampRow(f"{n}.{at}", 60_000.0, 1) for at in range(16))
        work.on_report("copy", RampReport(1, many), 0.0)
    assert work.rejected == 4 + 8 * 16 - ramps.MAX_RAMPS
    state = work.step(b"", 1000.0) or b""
    assert len(ramps.decode_state(state).ramps) == ramps.MAX_RAMPS and len(state) <= 6 * 1024
    assert not ramps.decode_state(work.step(state, 1000.0 + FORGET_MS) or b"x").ramps


# ------------------------------------------------ fleets


@pytest.mark.parametrize("seed", [1, 2])
def test_a_fleet_ends_a_bad_canary_everywhere_over_its_owners_death(seed: int) -> None:
    fleet = Fleet(seed, 12, CANARY)
    rate = [0.001, 0.001]
    fleet.load(20.0, lambda canary: fleet.rng.random() < rate[canary])
    fleet.run(6_000.0)
    assert not fleet.ended
    owner = fleet.owner("verdicts")
    assert owner is not None
    fleet.kill(owner)
    rate[1] = 0.5
    fleet.run(12_000.0)
    assert len(fleet.ended) == 11
    assert all("the fleet saw" in line for copy in fleet.copies.values() for line in copy.lines)
    assert sum(len(copy.lines) for copy in fleet.copies.values()) >= 9  # few ended alone, if any
    fleet.start(owner)
    fleet.run(5_000.0)
    assert owner.name in fleet.ended  # who comes back hears of it


def test_without_a_majority_each_copy_does_as_before() -> None:
    fleet = Fleet(3, 6, RAMP)
    fleet.load(20.0, lambda canary: canary)
    fleet.run(2_000.0)
    for name in fleet.keepers.names[:2]:
        fleet.kill(fleet.copies[name])
    left = [copy for copy in fleet.copies.values() if copy.owners is not None]
    fleet.run(30_000.0)
    assert all(copy.name in fleet.ended for copy in left)


def test_a_ramp_in_a_fleet_goes_on_over_two_owners_deaths() -> None:
    fleet = Fleet(4, 8, RAMP)
    steps: list[tuple[float, int, int]] = []
    parts: dict[str, float] = {}
    for _ in range(2):
        assert watch(fleet, 7_000.0, steps, parts) == []
        owner = fleet.owner("ramps")
        assert owner is not None
        fleet.kill(owner)
        assert watch(fleet, 6_000.0, steps, parts) == []
        fleet.start(owner)
        parts.pop(owner.name)
    assert watch(fleet, 15_000.0, steps, parts) == []
    assert steps[-1][1] == Ramp.STEPS
    assert [copy.part for copy in fleet.copies.values()] == [pytest.approx(0.4)] * 8
