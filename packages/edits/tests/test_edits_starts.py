"""A start whose file says otherwise than its log: edited while it was away, or a log of yesterday."""

from __future__ import annotations

from typing import Any

import pytest
from edits_sample import BASE
from edits_space import Node, Space
from larkweir_edits.replica import COLLECTION_INTERVAL_MS
from larkweir_edits.starts import Began
from test_edits_space import everywhere, say, value


def with_row(tables: Any, table: str, row: str, **fields: Any) -> Any:
    stated = {kind: dict(rows) for kind, rows in tables.items()}
    stated[table] = {**stated[table], row: {**stated[table].get(row, {}), **fields}}
    return stated


def back(node: Node, file: Any, disk: list[bytes] | None = None) -> bool:
    """Killed, and started again with this file; on that disk."""
    node.kill()
    node.disk = node.disk if disk is None else disk
    node.begin()
    return node.replica.start(file)


def yesterday(space: Space, node: Node, away_ms: float) -> tuple[Any, list[bytes]]:
    """A node's file, and its disk from before it said so; another went on from there."""
    say(node, "route", "r", pool="other", split=())
    space.run(2_000.0)
    disk = list(node.disk)
    say(node, "route", "r", pool="next")
    say(node, "route", "c", path="/c")
    space.run(2_000.0)
    file = node.replica.stated
    say(space.nodes[1], "route", "r", pool="spare")
    space.run(away_ms)
    return file, disk


@pytest.mark.parametrize(
    "away_ms", [2_000.0, 10 * COLLECTION_INTERVAL_MS], ids=["in their logs", "in their base"]
)
@pytest.mark.parametrize("seed", range(4))
def test_what_a_file_said_before_the_log_was_of_yesterday_is_no_edit(seed: int, away_ms: float) -> None:
    """Where the others collected meanwhile, edits of it would be proposals; else a conflict, which undoes."""
    space = Space(seed, 3, BASE)
    node = space.nodes[0]
    file, disk = yesterday(space, node, away_ms)
    assert all(other.replica.state.folded for other in space.nodes) is (away_ms > COLLECTION_INTERVAL_MS)
    assert back(node, file, disk)
    space.run(3 * COLLECTION_INTERVAL_MS)
    assert node.replica.began == Began(0, old=True)
    assert everywhere(space).notices == () and value(node, "route", "r", "pool") == "spare"
    assert not back(node, file)  # it knows from its disk that the file said so
    say(node, "route", "r", pool="west")
    space.run(COLLECTION_INTERVAL_MS)
    assert everywhere(space).notices == () and value(node, "route", "r", "pool") == "west"


@pytest.mark.parametrize("seed", range(12))
def test_killed_at_any_time_while_it_learns_of_its_former_lives(seed: int) -> None:
    space = Space(seed, 3, BASE)
    node = space.nodes[0]
    file, disk = yesterday(space, node, 2_000.0)
    back(node, file, disk)
    for _ in range(8):
        space.run(space.network.rng.uniform(0.0, 60.0))
        back(node, file)
    space.run(2 * COLLECTION_INTERVAL_MS)
    assert everywhere(space).notices == () and value(node, "route", "r", "pool") == "spare"


def test_a_file_edited_while_it_was_away_counts_once_more_than_half_are_met() -> None:
    """Until then what staff change by a reload counts, and only that."""
    space = Space(21, 4, BASE, lost=0.0)
    node = space.nodes[0]
    say(node, "route", "r", alarm=0.3)
    space.run(2_000.0)
    space.split([node, space.nodes[1]], space.nodes[2:])
    file = with_row(with_row(node.replica.stated, "route", "s", pool="next"), "route", "m", alarm=0.4)
    assert back(node, file)
    space.run(3_000.0)
    assert value(node, "route", "s", "pool") == "default" and node.replica.began is None  # two of four
    file = with_row(file, "route", "r", pool="other", split=())
    assert node.replica.reload(file) == 1
    file = with_row(file, "route", "m", ramp_ms=5.0)
    assert node.replica.reload(file) == 1  # all that this row says
    space.run(3_000.0)
    assert value(node, "route", "r", "pool") == "other" and value(node, "route", "m", "alarm") == 0.4
    assert value(node, "route", "s", "pool") == "default"
    space.heal()
    space.run(5_000.0)
    assert node.replica.began == Began(1)
    assert everywhere(space).tables["route"]["s"] == {"path": "/s", "pool": "next"}
    assert everywhere(space).notices == ()
    assert not back(node, file)


def test_a_log_from_before_it_met_the_others_makes_no_edit_of_its_file() -> None:
    """It began with another file than they, and takes what they have for what it knows."""
    space = Space(23, 3, BASE)
    say(space.nodes[0], "route", "r", alarm=0.3)
    space.run(2_000.0)
    node = space.nodes[2]
    node.kill()
    node.disk, space.base = [], {"pool": {}, "route": {"lone": {"path": "/lone"}}}
    node.begin()
    space.run(20.0)
    first = node.disk[:1]
    space.run(5_000.0)
    assert node.replica.reload(with_row(node.replica.stated, "route", "more", path="/more")) == 1
    file = node.replica.stated
    space.run(5_000.0)
    back(node, file, first)
    space.run(5_000.0)
    assert node.replica.began == Began(0, old=True)
    assert everywhere(space).notices == () and "more" in everywhere(space).tables["route"]


def test_one_alone_waits_for_nobody() -> None:
    space = Space(22, 1, BASE)
    node = space.nodes[0]
    assert not back(node, with_row(BASE, "route", "s", pool="next"))
    space.run(100.0)
    assert node.replica.began == Began(1) and value(node, "route", "s", "pool") == "next"
