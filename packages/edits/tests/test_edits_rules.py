"""Each field's rule, where two edits had not seen each other, and what they come to when they meet."""

from __future__ import annotations

from typing import Any

import pytest
from edits_sample import BASE, DEFAULTS, RULES, Replica, meet
from larkweir_edits.differences import Change
from larkweir_edits.edit import ENDED, STEP, EditError, Kind
from larkweir_edits.merge import MAX_PROPOSALS, part_of
from larkweir_edits.merged_tables import BACK, NAMED
from larkweir_edits.rows import CONFLICT, EMPTY, LATE, STAYS
from larkweir_edits.schema import Schema


def cut(*names: str) -> list[Replica]:
    return [Replica(name) for name in names]


def both(copies: list[Replica]) -> Replica:
    meet(*copies)
    first = copies[0].merged()
    assert all(other.merged() == first for other in copies)
    return copies[0]


@pytest.mark.parametrize(
    ("table", "row", "field", "one", "other", "wanted"),
    [
        ("pool", "west", "attempts", 2, 5, 2),  # limits: the smaller
        ("pool", "west", "attempts", None, 5, 5),  # what is said goes before what is not
        ("route", "r", "alarm", 0.05, 0.001, 0.05),  # the stricter
        ("route", "r", "alarm", 0.0, 0.001, 0.001),  # 0 ends none
        ("route", "r", "ramp_ms", 500.0, 9000.0, 9000.0),  # the longer
        ("pool", "west", "subset", 20, 60, 60),  # the larger
        ("pool", "west", "subset", 0, 60, 0),  # which 0 is: all
        ("route", "m", "mirror", "next", "", ""),
        ("route", "s", "mirror", "next", "other", ""),  # none that both asked for
        ("route", "s", "mirror", "next", "next", "next"),
        ("route", "s", "mirror_part", 0.5, 0.25, 0.25),
        ("route", "r", "split", ("next 5%",), ("next 20%",), ("next 5%",)),
        (
            "route",
            "r",
            "split",
            ("next 5%",),
            ("next 10%", "other 3%"),
            ("next 5%", "other 3%"),
        ),  # pool by pool
        ("route", "r", "split", (), ("next 20%",), ()),
        ("pool", "west", "zones", ("a", "b", "c"), ("b",), ("b", "c")),  # observed removal
        ("pool", "west", "zones", ("a",), ("b",), ("a", "b")),  # nobody emptied it
        ("pool", "west", "zones", (), ("a", "b"), ()),  # one did
        ("pool", "west", "zones", None, ("a", "b", "c"), ("c",)),
        ("route", "r", "pool", "next", "other", "west"),  # a conflict: what both had
        ("route", "r", "pool", "next", "next", "next"),
        ("pool", "west", "protocol", "http1", "fastcgi", None),
    ],
)
def test_rule_of_a_field(table: str, row: str, field: str, one: Any, other: Any, wanted: Any) -> None:
    copies = cut("a", "b", "c")
    copies[0].say(table, row, **{field: one})
    copies[1].say(table, row, **{field: other})
    assert both(copies).get(table, row, field) == wanted


def test_two_fields_of_one_row_are_no_conflict() -> None:
    copies = cut("a", "b")
    copies[0].say("route", "r", alarm=0.1)
    copies[1].say("route", "r", pool="next")
    met = both(copies)
    assert (met.get("route", "r", "alarm"), met.get("route", "r", "pool")) == (0.1, "next")
    assert not met.merged().notices


def test_an_old_file_does_not_undo_what_others_changed() -> None:
    copies = cut("a", "b")
    copies[0].say("route", "r", alarm=0.1)
    meet(*copies)
    copies[1].say("route", "r", pool="next")  # a file that still has the alarm of before
    assert both(copies).get("route", "r", "alarm") == 0.1


def test_what_a_route_matches_is_one_unit() -> None:
    copies = cut("a", "b")
    copies[0].say("route", "r", host="x.example")
    copies[1].say("route", "r", path="/q")
    met = both(copies)
    assert (met.get("route", "r", "host"), met.get("route", "r", "path")) == ("", "/r")
    assert [(item.unit, item.why) for item in met.merged().notices] == [("match", CONFLICT)]


def test_a_conflict_is_told_until_who_has_seen_both_settles_it() -> None:
    copies = cut("a", "b")
    copies[0].say("route", "r", pool="next")
    copies[1].say("route", "r", pool="other")
    met = both(copies)
    assert {value for item in met.merged().notices for _, value in item.proposals} == {"next", "other"}
    stranger = Replica("c")
    stranger.say("route", "r", pool="default")  # has seen neither
    copies.append(stranger)
    assert both(copies).get("route", "r", "pool") == "west"
    assert len(copies[1].merged().notices[0].proposals) == 3
    copies[1].say("route", "r", pool="next")
    met = both(copies)
    assert met.get("route", "r", "pool") == "next" and not met.merged().notices


def test_a_conflict_goes_back_to_the_last_that_both_had_not_to_the_first() -> None:
    copies = cut("a", "b")
    copies[0].say("route", "r", pool="other")
    meet(*copies)
    copies[0].say("route", "r", pool="next")
    copies[1].say("route", "r", pool="default")
    assert both(copies).get("route", "r", "pool") == "other"


def test_at_most_64_proposals_are_told() -> None:
    copies = cut(*(f"w{n:02}" for n in range(MAX_PROPOSALS + 6)))
    for n, replica in enumerate(copies):
        replica.say("route", "r", path=f"/{n}")
    for replica in copies[1:]:
        replica.give(copies[0])
    assert len(copies[0].merged().notices[0].proposals) == MAX_PROPOSALS


def test_who_has_not_seen_an_evacuation_can_not_lift_it() -> None:
    copies = cut("a", "b")
    copies[0].say("pool", "west", evacuated=("a",))
    copies[1].say("pool", "west", evacuated=("a",))
    copies[1].say("pool", "west", evacuated=())
    assert both(copies).get("pool", "west", "evacuated") == ("a",)
    copies[0].say("pool", "west", evacuated=())  # has seen it
    assert not both(copies).get("pool", "west", "evacuated")


def test_a_set_that_two_emptied_is_as_before_and_told_until_it_is_settled() -> None:
    copies = cut("a", "b")
    copies[0].say("pool", "west", zones=("a",))
    copies[1].say("pool", "west", zones=("b",))
    assert EMPTY in both(copies).why()
    copies[0].say("pool", "west", zones=("a", "c"))
    met = both(copies)
    assert met.get("pool", "west", "zones") == ("c",) and EMPTY not in met.why()


def test_an_ended_canary_stays_ended_until_who_has_seen_the_verdict_changes_its_part() -> None:
    copies = cut("a", "b", "owner")
    copies[2].own(("route", "r"), (ENDED, "next"), 3, 1, True)
    copies[0].say("route", "r", split=("next 20%",))  # has not seen it
    met = both(copies)
    assert met.get("route", "r", "split") == ("next 0%",)
    copies[1].say("route", "r", alarm=0.2)  # has, but says nothing of the part
    assert both(copies).get("route", "r", "split") == ("next 0%",)
    copies[1].say("route", "r", split=("next 15%",))
    assert both(copies).get("route", "r", "split") == ("next 15%",)


def test_a_late_owners_verdicts_and_steps_are_dropped() -> None:
    copies = cut("old", "new", "c")
    copies[0].own(("route", "r"), (STEP, "ramp"), 3, 900, 0.9)
    copies[0].own(("route", "r"), (ENDED, "next"), 3, 901, True)
    copies[1].own(("route", "r"), (STEP, "ramp"), 4, 1, 0.2)
    copies[1].own(("route", "r"), (ENDED, "next"), 4, 2, False)
    met = both(copies)
    steps = met.merged().steps or {}
    assert steps[("route", "r")]["ramp"] == [4, 1, 0.2]
    assert met.get("route", "r", "split") == ("next 10%",)
    assert met.state.floor(("route", "r"), (STEP, "ramp")) == (4, 1)


def test_a_route_deleted_at_one_edge_and_edited_at_another_stays_and_is_told() -> None:
    copies = cut("a", "b")
    copies[0].drop("route", "r")
    copies[1].say("route", "r", alarm=0.5)
    met = both(copies)
    assert met.get("route", "r", "alarm") == 0.5 and met.get("route", "r", "pool") == "west"
    assert met.why() == {STAYS}
    copies[0].say("route", "r", **BASE["route"]["r"])  # settles it: the file has it again
    assert not both(copies).why()


def test_a_route_that_was_deleted_comes_back_whole() -> None:
    copies = cut("a", "b")
    copies[0].drop("route", "r")
    assert both(copies).get("route", "r", "pool") == "gone"
    copies[1].say("route", "r", alarm=0.5)  # its file still has the route
    met = both(copies)
    assert (met.get("route", "r", "alarm"), met.get("route", "r", "path")) == (0.5, "/r")


def test_what_was_before_a_deletion_does_not_come_back_where_the_new_route_goes_back() -> None:
    copies = cut("a", "b")
    copies[0].drop("route", "s")
    meet(*copies)
    copies[0].say("route", "s", path="/r")  # where another is
    met = both(copies)
    assert met.get("route", "s", "path") == "gone" and met.why() == {BACK}


def test_a_pool_stays_while_a_route_of_the_merged_whole_names_it() -> None:
    copies = cut("a", "b")
    copies[0].drop("pool", "spare")
    copies[1].say("route", "s", pool="spare")
    met = both(copies)
    assert met.get("pool", "spare", "parent") == "" and NAMED in met.why()
    copies[0].say("route", "s", pool="next")
    met = both(copies)
    assert met.get("pool", "spare", "parent") == "gone" and NAMED not in met.why()


def test_the_newest_goes_back_where_the_whole_does_not_pass() -> None:
    copies = cut("a", "b")
    copies[0].say("route", "r", split=("next 50%",))
    copies[0].say("route", "s", alarm=0.3)
    copies[1].say("route", "r", split=("next 10%", "other 80%"))
    met = both(copies)  # 130% together
    assert met.get("route", "r", "split") == ("next 50%",)
    assert met.get("route", "s", "alarm") == 0.3 and met.why() == {BACK}


def test_of_two_new_routes_of_one_place_one_goes_back_at_every_copy() -> None:
    copies = cut("a", "b", "c")
    copies[0].say("route", "new", path="/x")
    copies[1].say("route", "newer", path="/x")
    met = both(copies)
    assert sorted(met.merged().tables["route"]) == ["m", "new", "r", "s"]


def test_what_is_no_edit_is_refused_and_what_does_not_fit_is_left_out() -> None:
    replica = Replica("a")
    for data in (b"", b"\xff" * 9, b"\x96\x01\x80\x00\xa1x\xa1y\xc0", b"\x00" * 9000):
        with pytest.raises(EditError):
            replica.state.take("b", data)
    assert [part_of(text) for text in ("5%", "0.2", "nan%", "inf", "", None)] == [
        0.05,
        0.2,
        0.0,
        0.0,
        0.0,
        0.0,
    ]
    wrong = Replica("b", checks=False)
    wrong.say("pool", "west", attempts="many", zones=(1, 2))
    wrong.give(replica)
    assert replica.get("pool", "west", "attempts") == 3


def test_a_field_without_a_rule_is_no_schema() -> None:
    with pytest.raises(ValueError, match=r"pool\.attempts: no rule"):
        Schema({**RULES, "pool": {**RULES["pool"], "attempts": ""}}, DEFAULTS)
    with pytest.raises(ValueError, match=r"pool\.size: has no default"):
        Schema({**RULES, "pool": {**RULES["pool"], "size": "smaller"}}, DEFAULTS)


def test_a_long_edit_is_made_into_several_and_a_field_that_is_too_long_is_refused() -> None:
    replica = Replica("a", checks=False)
    replica.say("pool", "west", zones=tuple(f"{n:04}" + "z" * 200 for n in range(100)))
    assert replica.state.vector["a"] > 2 and len(replica.get("pool", "west", "zones")) == 100
    with pytest.raises(EditError):
        replica.say("route", "r", pool="p" * 8000)
    assert len(replica.state.make("a", [])) == 0


def test_of_two_new_routes_of_one_name_neither_counts_until_it_is_settled() -> None:
    copies = cut("a", "b")
    copies[0].say("route", "new", path="/x")
    copies[1].say("route", "new", path="/y")
    met = both(copies)
    assert met.get("route", "new", "path") == "gone" and CONFLICT in met.why()
    copies[0].say("route", "new", path="/z", alarm=0.3)
    met = both(copies)
    assert (met.get("route", "new", "path"), met.get("route", "new", "alarm")) == ("/z", 0.3)
    assert not met.why()


def test_what_came_too_late_is_a_proposal_at_every_copy() -> None:
    copies = cut("a", "b", "away")
    copies[2].say("route", "r", alarm=0.3)
    copies[0].say("route", "r", alarm=0.2)
    copies[0].give(copies[1])
    assert copies[1].state.collect(copies[0].state.vector)  # nobody waits for the third any more
    copies[2].give(copies[0])
    assert copies[0].get("route", "r", "alarm") == 0.3  # who has not put it into the base yet
    copies[2].give(copies[1])
    assert copies[1].state.struck == [("away", 0)] and copies[1].get("route", "r", "alarm") == 0.2
    strike = Change(Kind.STRIKE, ("", "away"), ((("", ""), 0),))
    copies[1].put([strike])
    copies[1].give(copies[0], copies[2])
    for replica in copies[:2]:
        assert replica.get("route", "r", "alarm") == 0.2 and replica.why() == {LATE}
    copies[0].say("route", "r", alarm=0.25)  # has seen it
    copies[0].give(copies[1])
    assert copies[1].get("route", "r", "alarm") == 0.25 and not copies[1].why()
