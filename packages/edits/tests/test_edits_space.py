"""Copies on a seeded network: cut off, lost datagrams, crashes, disks of yesterday, and who was away for too long."""

from __future__ import annotations

from random import Random
from typing import Any

import pytest
from edits_sample import BASE, DEFAULTS
from edits_space import Node, Space, edit, tables
from larkweir_edits.edit import EditError
from larkweir_edits.replica import COLLECTION_INTERVAL_MS
from larkweir_edits.rows import CONFLICT, ENDS, LATE, STAYS
from larkweir_edits.state import MAX_OWN_EDITS


def value(node: Node, table: str, row: str, field: str) -> Any:
    rows = node.replica.merged.tables[table]
    return rows[row].get(field, DEFAULTS[table][field]) if row in rows else "gone"


def say(node: Node, table: str, row: str, **fields: Any) -> None:
    stated = {kind: dict(rows) for kind, rows in node.replica.stated.items()}
    stated[table] = {**stated[table], row: {**stated[table].get(row, {}), **fields}}
    node.replica.reload(stated)


def everywhere(space: Space) -> Any:
    """What counts, the same at all."""
    first = space.nodes[0].replica.merged
    for node in space.nodes[1:]:
        assert node.replica.merged == first, node.name
    return first


@pytest.mark.parametrize("seed", [2])
def test_two_edges_cut_off_are_equal_at_all_within_five_seconds_of_meeting(seed: int) -> None:
    """The figure of 200 edits each on 2,000 routes is `benchmarks.edits`; here half and a quarter, with the check."""
    space = Space(seed, 30, tables(500))
    one, other = space.nodes[:2]
    space.split([one], [other], space.nodes[2:])
    rng, stated = Random(seed), [space.base, space.base]
    for _ in range(100):
        stated = [edit(node, rng, file) for node, file in zip((one, other), stated, strict=True)]
        space.run(1_000.0)
    lacking, sent = space.lacking(), space.bytes
    space.heal()
    assert space.until_equal(5_000.0) <= 5_000.0
    assert space.bytes - sent <= 3.0 * lacking
    everywhere(space)


def test_meeting_again_needs_no_word_of_membership() -> None:
    space = Space(3, 6, BASE)
    space.split(space.nodes[:1], space.nodes[1:])
    say(space.nodes[0], "route", "r", alarm=0.3)
    space.run(5_000.0)
    space.heal(hint=False)  # it thinks on that they are apart
    space.until_equal(60_000.0)
    assert value(space.nodes[5], "route", "r", "alarm") == 0.3


def test_what_all_have_seen_goes_into_the_base_and_changes_nothing() -> None:
    space = Space(4, 5, BASE)
    say(space.nodes[0], "route", "new", path="/new", alarm=0.2)
    say(space.nodes[1], "pool", "west", zones=("b", "c"))
    space.run(500.0)
    stated = {kind: dict(rows) for kind, rows in space.nodes[2].replica.stated.items()}
    del stated["route"]["s"]
    space.nodes[2].replica.reload(stated)
    space.run(100.0)
    space.until_equal(10_000.0)
    before = everywhere(space).tables
    space.run(20 * COLLECTION_INTERVAL_MS)
    assert everywhere(space).tables == before and "s" not in before["route"]
    for node in space.nodes:
        state = node.replica.state
        assert state.size == 0 and ("route", "s") not in state.rows
        assert not any(row.writes for row in state.rows.values())


def test_a_tombstone_waits_for_the_one_who_is_cut_off() -> None:
    space = Space(5, 5, BASE)
    away = space.nodes[4]
    space.run(20_000.0)  # all know that all had the same
    space.split(space.nodes[:4], [away])
    stated = {kind: dict(rows) for kind, rows in space.nodes[0].replica.stated.items()}
    del stated["route"]["s"]
    space.nodes[0].replica.reload(stated)
    say(away, "route", "s", alarm=0.4)
    space.run(10 * COLLECTION_INTERVAL_MS)
    assert value(space.nodes[1], "route", "s", "alarm") == "gone"
    space.heal()
    space.until_equal(10_000.0)
    assert everywhere(space).tables["route"]["s"] == {"path": "/s", "alarm": 0.4}


def test_one_away_for_too_long_comes_back_as_a_newcomer_and_its_edits_are_proposals() -> None:
    space = Space(6, 5, BASE, away_ms=60_000.0)
    away = space.nodes[4]
    space.split(space.nodes[:4], [away])
    say(space.nodes[0], "route", "r", alarm=0.2)
    say(away, "route", "r", alarm=0.4)
    say(away, "route", "mine", path="/mine")
    space.run(60_000.0 + 10 * COLLECTION_INTERVAL_MS)
    assert all(
        node.replica.state.folded and node.replica.away(space.network.now_ms) for node in space.nodes[:4]
    )
    assert not away.replica.state.folded  # one of five goes on without nobody
    space.heal()
    space.run(30_000.0)
    merged = everywhere(space)
    assert away.replica.counts["adopted"] == 1
    assert merged.tables["route"]["r"]["alarm"] == 0.2 and "mine" not in merged.tables["route"]
    late = {(item.row, item.unit) for item in merged.notices if item.why == LATE}
    assert {("r", "alarm"), ("mine", "match")} <= late
    say(away, "route", "r", alarm=0.3)  # from now on it is as the others
    space.run(5_000.0)
    assert everywhere(space).tables["route"]["r"]["alarm"] == 0.3


def test_two_halves_do_not_go_on_without_each_other() -> None:
    space = Space(7, 4, BASE, away_ms=20_000.0)
    space.split(space.nodes[:2], space.nodes[2:])
    say(space.nodes[0], "route", "r", alarm=0.2)
    say(space.nodes[2], "route", "r", alarm=0.4)
    space.run(20_000.0 + 10 * COLLECTION_INTERVAL_MS)
    assert not any(node.replica.state.folded for node in space.nodes)
    space.heal()
    space.until_equal(10_000.0)
    assert everywhere(space).tables["route"]["r"]["alarm"] == 0.4


@pytest.mark.parametrize("seed", range(12))
def test_a_crash_loses_nothing_that_another_was_told(seed: int) -> None:
    """Killed at any time: what others have of it, it has; an edit that was told by nobody may be gone."""
    space = Space(seed, 3, BASE)
    rng = Random(seed)
    node = space.nodes[0]
    for _ in range(15):
        edit(node, rng, node.replica.stated)
        space.run(rng.uniform(0.0, 300.0))
        if rng.random() < 0.4:
            seen = dict(space.nodes[1].replica.state.vector)
            node.kill()
            node.begin()
            mine = node.replica.state.vector
            assert all(mine.get(w, 0) >= n for w, n in seen.items() if w.startswith(node.name))
    space.until_equal(20_000.0)
    everywhere(space)


def test_a_disk_of_yesterday_uses_no_dot_twice() -> None:
    space = Space(9, 4, BASE)
    node = space.nodes[0]
    say(node, "route", "r", alarm=0.1)
    space.run(2_000.0)
    yesterday = list(node.disk)
    say(node, "route", "r", alarm=0.2)
    say(node, "route", "s", pool="west")
    space.run(2_000.0)
    node.kill()
    node.disk = yesterday
    node.begin()
    say(node, "route", "s", pool="next")  # before it has heard of what it knew
    space.until_equal(10_000.0)
    merged = everywhere(space)
    assert merged.tables["route"]["r"]["alarm"] == 0.2
    assert [item.why for item in merged.notices] == [CONFLICT] and "pool" not in merged.tables["route"]["s"]


def test_a_copy_with_an_empty_disk_comes_to_the_same_after_the_others_collected() -> None:
    space = Space(10, 4, BASE)
    for n in range(30):
        say(space.nodes[n % 3], "route", f"n{n}", path=f"/n/{n}", alarm=0.1)
        space.run(300.0)
    space.run(20 * COLLECTION_INTERVAL_MS)
    assert space.nodes[0].replica.state.size == 0
    node = space.nodes[3]
    node.kill()
    node.disk = []
    node.begin()
    space.run(10_000.0)
    assert node.replica.counts["adopted"] == 1
    assert len(everywhere(space).tables["route"]) == 33
    space.run(100.0)
    node.kill()
    node.begin()
    assert node.replica.reload(BASE) == 0  # what its file said last it knows from its disk
    assert node.replica.merged == space.nodes[0].replica.merged


def test_one_that_began_with_another_file_takes_what_the_others_have() -> None:
    space = Space(11, 3, BASE)
    say(space.nodes[0], "route", "r", alarm=0.3)
    space.run(2_000.0)
    node = space.nodes[2]
    node.kill()
    node.disk, space.base = [], {"pool": {}, "route": {"lone": {"path": "/lone"}}}
    node.begin()
    space.run(5_000.0)
    assert everywhere(space).tables["route"]["r"]["alarm"] == 0.3


def test_a_verdict_ends_a_canary_everywhere_and_a_late_owner_is_refused() -> None:
    space = Space(12, 5, BASE)
    assert space.nodes[0].replica.verdict(("route", "r"), "next", 4, 1)
    space.run(3_000.0)
    assert not space.nodes[1].replica.verdict(("route", "r"), "next", 3, 9, ended=False)
    merged = everywhere(space)
    assert merged.tables["route"]["r"]["split"] == ("next 0%",) and ENDS in merged.notices[0].why
    say(space.nodes[2], "route", "r", split=("next 20%",))
    space.run(3_000.0)
    assert everywhere(space).tables["route"]["r"]["split"] == ("next 20%",)


def test_settling_needs_no_change_of_the_file() -> None:
    space = Space(13, 3, BASE)
    space.split(space.nodes[:1], space.nodes[1:])
    say(space.nodes[0], "route", "r", pool="next", split=())
    say(space.nodes[1], "route", "r", pool="other")
    space.run(1_000.0)
    space.heal()
    space.until_equal(5_000.0)
    assert everywhere(space).notices
    space.nodes[0].replica.resolve("route", "r", {"pool": "next"})  # its file says so already
    space.run(5_000.0)
    assert everywhere(space).tables["route"]["r"]["pool"] == "next" and not everywhere(space).notices


def test_a_log_that_ends_tells_nobody() -> None:
    space = Space(14, 3, BASE)
    node = space.nodes[0]
    node.flushed = lambda number, life: None  # type: ignore[method-assign]
    say(node, "route", "r", alarm=0.3)
    space.run(10_000.0)
    assert all(value(other, "route", "r", "alarm") == 0.02 for other in space.nodes)


def test_past_the_bound_edits_are_refused_and_the_file_before_counts_on() -> None:
    space = Space(15, 1, BASE, away_ms=1.0, checks=False)
    node = space.nodes[0]
    stated = {"pool": BASE["pool"], "route": {f"n{n}": {"path": f"/{n}"} for n in range(MAX_OWN_EDITS)}}
    with pytest.raises(EditError, match="at the most"):
        node.replica.reload(stated)
    assert node.replica.stated["route"].keys() == BASE["route"].keys()


def test_garbage_is_counted_and_changes_nothing() -> None:
    space = Space(16, 2, BASE)
    rng, replica = Random(16), space.nodes[0].replica
    say(space.nodes[1], "route", "r", alarm=0.3)
    items: list[bytes] = []
    space.nodes[0].post = lambda to, item: items.append(item) or True  # type: ignore[method-assign]
    replica._anti_entropy.greet(space.names[1])
    for n in range(3_000):
        item = bytearray(rng.choice(items) if n % 2 else rng.randbytes(rng.randrange(60)))
        if item:
            item[rng.randrange(len(item))] = rng.randrange(256)
        replica.on_item(space.names[1], bytes(item), 1.0)
    replica.on_item("nobody:1", items[0], 1.0)
    assert replica.counts["bad"] > 1_000 and replica.merged.tables["route"].keys() == BASE["route"].keys()


def test_others_take_nothing_for_seen_that_an_edit_being_written_had_not() -> None:
    space = Space(17, 3, BASE)
    slow, other = space.nodes[:2]
    space.run(1_000.0)
    first = len(slow.disk) + 1
    flush, given = slow.flushed, list[tuple[int, object]]()
    slow.flushed = lambda number, life: given.append((number, life))  # type: ignore[method-assign]
    stated = {kind: dict(rows) for kind, rows in other.replica.stated.items()}
    del stated["route"]["s"]
    other.replica.reload(stated)
    while not slow.writing:
        space.run(10.0)
    say(slow, "route", "s", alarm=0.4)  # the deletion is on its disk, or nearly, and not yet seen
    flush(first, slow.life)
    space.run(10 * COLLECTION_INTERVAL_MS)
    flush(first + 1, slow.life)
    slow.flushed = flush  # type: ignore[method-assign]
    space.run(10_000.0)
    assert everywhere(space).tables["route"]["s"]["alarm"] == 0.4
    assert {item.why for item in everywhere(space).notices} == {STAYS} and not slow.replica.state.strikes
