"""Tests of the aggregation of many routers' reports, which may be reordered, lost or repeated."""

from __future__ import annotations

from random import Random

import msgspec
from larkweir_rollouts.pooling import MAX_LATER_WINDOWS, PooledSamples, count_answers
from larkweir_rollouts.samples import MAX_ROUTES, RolloutReport, RouteSamples, TrackSamples

ORDER = "v2/1"


def report(
    target: int, failed: int = 0, in_flight: int = 0, others: int = 0, order: str = ORDER
) -> RolloutReport:
    """Return a report with the given numbers of answers on one route."""
    routes = {"ask": RouteSamples(target, failed, {3: target}, {5: target})}
    failures = {"v2-0": failed} if failed else {}
    other_routes = {"ask": RouteSamples(others, 0, {3: others}, {5: others})}
    return RolloutReport(
        order, TrackSamples(in_flight, routes, failures), TrackSamples(in_flight, other_routes, {})
    )


def test_the_last_report_of_each_incarnation_counts() -> None:
    pool = PooledSamples(ORDER)
    pool.record("router-1/a", report(3, failed=1))
    pool.record("router-1/a", report(5, failed=1, in_flight=2))
    pool.record("router-2/b", report(4, in_flight=1))
    totals = pool.totals()
    assert totals.target == TrackSamples(
        3, {"ask": RouteSamples(9, 1, {3: 9}, {5: 9})}, {"v2-0": 1}
    ), "sums of the last reports"
    assert count_answers(totals.target) == 10 and pool.router_count == 2


def test_the_number_of_routes_is_bounded_over_all_routers() -> None:
    rng, pool = Random(4), PooledSamples(ORDER)
    tracks = {f"router-{number}/a": TrackSamples() for number in range(40)}
    for _ in range(30):
        for router, track in tracks.items():
            name = rng.choice(("ask", f"added-{rng.randrange(960)}"))
            samples = track.routes.setdefault(name, RouteSamples())
            samples.answered += 1
            samples.first_byte[7] = samples.first_byte.get(7, 0) + 1
            copied = msgspec.json.decode(msgspec.json.encode(track), type=TrackSamples)
            pool.record(router, RolloutReport(ORDER, copied))
    routes = pool.totals().target.routes
    assert len(routes) == MAX_ROUTES
    main = sum(track.routes["ask"].answered for track in tracks.values() if "ask" in track.routes)
    assert routes["ask"] == RouteSamples(main, 0, {7: main})
    assert sum(samples.answered for samples in routes.values()) == 40 * 30
    assert all(samples.first_byte == {7: samples.answered} for samples in routes.values())


def test_an_older_report_and_one_of_another_order_are_ignored() -> None:
    pool = PooledSamples(ORDER)
    pool.record("router-1/a", report(5))
    known = pool.totals()
    pool.record("router-1/a", report(4))
    pool.record("router-1/a", report(50, order="v3/2"))
    assert pool.totals() == known


def test_a_new_order_forgets_what_was_reported_of_the_last_one() -> None:
    pool = PooledSamples(ORDER)
    pool.record("router-1/a", report(50))
    pool.begin(ORDER)
    assert count_answers(pool.totals().target) == 50, "beginning the same order again changes nothing"
    pool.begin("v3/2")
    assert pool.totals() == RolloutReport("v3/2")
    assert len(pool.windows()) == 1 and pool.router_count == 0


def test_a_disconnected_router_has_nothing_in_flight_and_its_counts_stay() -> None:
    pool = PooledSamples(ORDER)
    pool.record("router-1/a", report(5, in_flight=7))
    pool.record("router-2/b", report(5, in_flight=1))
    pool.disconnected("router-1/a")
    pool.disconnected("router-1/a")
    pool.disconnected("unknown/x")
    totals = pool.totals()
    assert (totals.target.in_flight, totals.others.in_flight, count_answers(totals.target)) == (1, 1, 10)
    pool.record("router-1/a", report(5, in_flight=2))
    assert pool.totals().target.in_flight == 3, "it has reconnected"


def test_a_restarted_router_adds_to_its_former_counts_and_is_one_router() -> None:
    pool = PooledSamples(ORDER)
    pool.record("router-1/a", report(5, failed=2))
    pool.record("router-1/b", report(1, failed=3))
    window = pool.windows()[0]
    assert (pool.router_count, window.target_failures) == (1, {"router-1": 5})


def test_totals_and_windows_share_nothing_with_the_pool() -> None:
    pool = PooledSamples(ORDER)
    pool.record("router-1/a", report(5, others=9))
    pool.totals().target.routes["ask"].pace[5] = 99
    pool.windows()[0].totals.target.routes.clear()
    assert pool.totals() == report(5, others=9)


def test_later_windows_count_from_their_beginning() -> None:
    pool = PooledSamples(ORDER)
    pool.record("router-1/a", report(30))
    pool.record("router-1/a", report(33, failed=2))
    since_order, later = pool.windows()
    assert (since_order.index, count_answers(since_order.totals.target)) == (0, 35)
    assert (later.index, count_answers(later.totals.target), later.target_failures) == (1, 5, {"router-1": 2})


def test_the_number_of_windows_is_bounded() -> None:
    pool = PooledSamples(ORDER)
    for count in range(0, 5_000, 10):
        pool.record("router-1/a", report(count))
    windows = pool.windows()
    assert len(windows) == 1 + MAX_LATER_WINDOWS
    sizes = [count_answers(window.totals.target) for window in windows]
    assert sizes == sorted(sizes, reverse=True) and sizes[0] == 4_990


def test_lost_repeated_and_late_reports_lead_to_the_same_sums() -> None:
    rng = Random(1)
    sent = [
        (f"router-{router}/a", report(count, count // 3)) for router in range(3) for count in range(0, 20, 4)
    ]
    in_order, shuffled = PooledSamples(ORDER), PooledSamples(ORDER)
    for incarnation, one in sent:
        in_order.record(incarnation, one)
    mixed = [*sent, *sent[::2]]
    rng.shuffle(mixed)
    for incarnation, one in mixed:
        shuffled.record(incarnation, msgspec.json.decode(msgspec.json.encode(one), type=RolloutReport))
    assert in_order.totals() == shuffled.totals()
