"""Placement of prompt prefixes at engines."""

from __future__ import annotations

from larkweir.controller.prefix_placement import MAX_EXCESS_TOKENS, REPORT_DELAY_MS, PrefixPlacement

ENGINES = ["e0", "e1", "e2"]


def test_a_prefix_stays_where_it_was_placed() -> None:
    placement = PrefixPlacement()
    first = placement.place("h", 5_000.0, ENGINES, None, 0.0)
    assert first is not None
    assert not first.is_cached
    placement.update_load({first.engine: 1_000_000})
    assert placement.place("h", 5_000.0, ENGINES, None, 1.0) == (first.engine, True)
    left = [one for one in ENGINES if one != first.engine]
    moved = placement.place("h", 5_000.0, left, None, 2.0)
    assert moved is not None
    assert moved.engine in left
    assert not moved.is_cached
    assert placement.place("h", 5_000.0, [], None, 3.0) is None


def test_a_cold_start_spreads_the_prefills() -> None:
    placement = PrefixPlacement()
    found = [placement.place(f"h{n}", 20_000.0, ENGINES, None, 0.0) for n in range(30)]
    engines = [one.engine for one in found if one is not None]
    assert {engines.count(one) for one in ENGINES} == {10}


def test_under_low_load_only_the_rendezvous_order_decides() -> None:
    one, other = PrefixPlacement(), PrefixPlacement()
    for n in range(30):
        now_ms = n * 2 * REPORT_DELAY_MS
        assert MAX_EXCESS_TOKENS >= 5_000.0
        assert one.place(f"h{n}", 5_000.0, ENGINES, None, now_ms) == other.place(
            f"h{n}", 5_000.0, list(reversed(ENGINES)), None, now_ms
        )


def test_a_known_engine_and_restored_placements_take_precedence() -> None:
    placement, later = PrefixPlacement(), PrefixPlacement()
    assert placement.place("h", 5_000.0, ENGINES, "e2", 0.0) == ("e2", True)
    assert later.restore(placement.encode())
    assert later.place("h", 5_000.0, ENGINES, None, 0.0) == ("e2", True)
    assert not later.restore(b'{"h": ')


def test_after_an_outage_the_engine_known_to_a_router_replaces_the_placement() -> None:
    engines = ["e0", "e1", "e2"]
    placement = PrefixPlacement()
    before = placement.place("h", 1_000.0, engines, None, 0.0)
    assert before is not None
    elsewhere = next(engine for engine in engines if engine != before.engine)
    placed = placement.place("h", 1_000.0, engines, elsewhere, 1.0)
    assert placed == (before.engine, True), "its own placement takes precedence"
    placement.mark_outdated()
    assert placement.place("h", 1_000.0, engines, elsewhere, 2.0) == (elsewhere, True)
    assert placement.place("h", 1_000.0, engines, before.engine, 3.0) == (elsewhere, True)
    placement.mark_outdated()
    assert placement.place("h", 1_000.0, engines, None, 4.0) == (elsewhere, True), "no router knows better"
