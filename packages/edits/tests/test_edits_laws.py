"""Laws of merging, and copies that edit, meet, collect and are told late, by any order that hypothesis finds."""

from __future__ import annotations

from random import Random
from typing import Any

from edits_sample import SCHEMA, Replica, meet
from hypothesis import HealthCheck, given, seed, settings
from hypothesis import strategies as st
from hypothesis.stateful import (
    RuleBasedStateMachine,
    initialize,
    rule,
    run_state_machine_as_test,
)
from larkweir_edits.edit import ENDED, STEP
from larkweir_edits.merged_tables import MergedTables
from larkweir_edits.state import State

POOLS = ("next", "other", "west")
SAYS = st.one_of(
    st.tuples(st.just("pool"), st.just("west"), st.just("attempts"), st.sampled_from((None, 1, 2, 5))),
    st.tuples(st.just("pool"), st.just("west"), st.just("subset"), st.sampled_from((0, 20, 60))),
    st.tuples(
        st.just("pool"),
        st.sampled_from(("west", "new")),
        st.sampled_from(("zones", "evacuated")),
        st.one_of(st.none(), st.sets(st.sampled_from("abc")).map(lambda found: tuple(sorted(found)))),
    ),
    st.tuples(
        st.just("route"), st.sampled_from("rsn"), st.just("pool"), st.sampled_from(("default", *POOLS))
    ),
    st.tuples(
        st.just("route"), st.sampled_from("rsn"), st.just("path"), st.sampled_from(("/r", "/s", "/x", "/y"))
    ),
    st.tuples(st.just("route"), st.sampled_from("rsn"), st.just("alarm"), st.sampled_from((0.0, 0.1, 0.2))),
    st.tuples(
        st.just("route"), st.sampled_from("rm"), st.just("mirror"), st.sampled_from(("", "next", "other"))
    ),
    st.tuples(
        st.just("route"),
        st.sampled_from("rs"),
        st.just("split"),
        st.sampled_from(((), ("next 5%",), ("next 60%",), ("other 70%",), ("next 20%", "other 3%"))),
    ),
)
ROWS = st.sampled_from(
    (("route", "r"), ("route", "s"), ("route", "n"), ("pool", "other"), ("pool", "new"), ("pool", "west"))
)


def plain(replica: Replica) -> MergedTables:
    """What the edits of a copy come to, from the beginning, with nothing put into the base."""
    state = State(SCHEMA, b"origin", Replica("").file)
    for (writer, _), data in sorted(replica.all.items()):
        state.take(writer, data)
    assert state.vector == replica.state.vector
    return state.merged(replica.check)


def edits_of(seed_: int, number: int) -> Replica:
    """Some copies edit and meet now and then; one that has it all."""
    rng = Random(seed_)
    copies = [Replica(name) for name in "abc"]
    for _ in range(number):
        replica = rng.choice(copies)
        row = rng.choice(("r", "s", "n"))
        act = rng.randrange(6)
        if act == 0 and row in replica.file["route"]:
            replica.drop("route", row)
        elif act == 1:
            replica.say("route", row, path=f"/{rng.choice('rsxy')}", pool=rng.choice(POOLS))
        elif act == 2:
            replica.say("pool", "west", zones=tuple(rng.sample("abc", rng.randrange(4))))
        elif act == 3:
            replica.say(
                "route", row, split=(f"next {rng.choice((5, 40, 90))}%", f"other {rng.choice((1, 30))}%")
            )
        elif act == 4:
            replica.own(("route", row), (ENDED, "next"), rng.randrange(3), rng.randrange(9), True)
        else:
            replica.give(rng.choice(copies))
    meet(*copies)
    return copies[0]


@settings(max_examples=60, deadline=None)
@seed(7)
@given(st.integers(0, 10_000), st.integers(1, 25), st.randoms(use_true_random=False))
def test_any_order_any_grouping_and_twice_come_to_the_same(number: int, most: int, rng: Any) -> None:
    full = edits_of(number, most)
    wanted = full.merged()
    every = list(full.all.items())
    for _ in range(2):
        rng.shuffle(every)
        one, other = Replica("one"), Replica("other")
        half = rng.randrange(len(every) + 1)
        for replica, some in ((one, every[:half]), (other, [*every[half:], *every[: half // 2]])):
            for (writer, _), data in some:
                replica.state.take(writer, data)
        for (writer, _), data in [*every[half:], *every]:  # the union, with what is there already
            one.state.take(writer, data)
        for (writer, _), data in every[:half]:
            other.state.take(writer, data)
        assert one.merged() == other.merged() == wanted


class Fleet(RuleBasedStateMachine):
    """Copies; one may be away from the others. What is collected must change nothing that can be seen."""

    @initialize()
    def begin(self) -> None:
        self.copies = [Replica(name) for name in "abcd"]
        self.term = 0
        # What each copy knows that another has applied, as its digest said.
        self.knows: dict[tuple[str, str], dict[str, int]] = {}

    @rule(who=st.integers(0, 3), what=SAYS)
    def say(self, who: int, what: tuple[str, str, str, Any]) -> None:
        self.copies[who].say(what[0], what[1], **{what[2]: what[3]})

    @rule(who=st.integers(0, 3), row=ROWS)
    def drop(self, who: int, row: tuple[str, str]) -> None:
        self.copies[who].drop(*row)

    @rule(
        who=st.integers(0, 3),
        late=st.integers(0, 2),
        number=st.integers(0, 3),
        ends=st.booleans(),
        sub=st.booleans(),
    )
    def own(self, who: int, late: int, number: int, ends: bool, sub: bool) -> None:
        self.term += late == 0
        what = (ENDED, "next") if sub else (STEP, "ramp")
        replica, term = self.copies[who], max(0, self.term - late)
        if (term, number) > replica.state.floor(("route", "r"), what):
            replica.own(("route", "r"), what, term, number, ends)

    @rule(who=st.integers(0, 3), to=st.integers(0, 3), some=st.randoms(use_true_random=False))
    def give(self, who: int, to: int, some: Any) -> None:
        one, other = self.copies[who], self.copies[to]
        if who == to:
            return
        for dot, data in sorted(one.all.items()):
            if some.random() < 0.8:
                other.all[dot] = data
                other.state.take(dot[0], data)
        other.all = {d: b for d, b in other.all.items() if d[1] <= other.state.vector.get(d[0], 0)}
        other.state.buffered.clear()
        other.state.raw.clear()

    @rule(who=st.integers(0, 3), to=st.integers(0, 3))
    def digest(self, who: int, to: int) -> None:
        one, other = self.copies[who], self.copies[to]
        if one.state.vector == other.state.vector:
            self.knows[(other.name, one.name)] = dict(one.state.vector)
            self.knows[(one.name, other.name)] = dict(one.state.vector)

    @rule()
    def all_meet(self) -> None:
        meet(*self.copies)
        for one in self.copies:
            for other in self.copies:
                self.knows[(one.name, other.name)] = dict(other.state.vector)

    @rule(who=st.integers(0, 3))
    def collect(self, who: int) -> None:
        replica = self.copies[who]
        notices = [
            self.knows.get((replica.name, other.name), {}) for other in self.copies if other is not replica
        ]
        vector = replica.state.vector
        stable = {w: min(n, *(item.get(w, 0) for item in notices)) for w, n in vector.items()}
        if replica.state.collect(stable, replica.check):
            self.nothing_that_is_collected_can_be_seen()

    def nothing_that_is_collected_can_be_seen(self) -> None:
        for replica in self.copies:
            mine, wanted = replica.merged(), plain(replica)
            assert mine.tables == wanted.tables, replica.name
            assert {(t.table, t.row, t.unit, t.why) for t in mine.notices} == {
                (t.table, t.row, t.unit, t.why) for t in wanted.notices
            }
            assert not replica.state.struck

    def teardown(self) -> None:
        if not hasattr(self, "copies"):
            return
        meet(*self.copies)
        self.nothing_that_is_collected_can_be_seen()
        assert len({repr(replica.merged().tables) for replica in self.copies}) == 1


def test_copies_that_edit_meet_and_collect_are_equal() -> None:
    run_state_machine_as_test(
        Fleet,
        settings=settings(
            max_examples=80,
            stateful_step_count=30,
            deadline=None,
            suppress_health_check=list(HealthCheck),
            derandomize=True,
        ),
    )
