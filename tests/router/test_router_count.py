"""How many routers a router reckons with."""

from __future__ import annotations

from larkweir.router.router_count import RETENTION_MS, RouterCount


def test_controllers_that_have_just_started_do_not_make_the_fleet_small() -> None:
    size = RouterCount()
    assert size.report(9, 0.0) == 9
    assert [size.report(n, 5_000.0) for n in (1, 3, 8)] == [9, 9, 9]
    assert size.report(10, 6_000.0) == 10
    assert size.report(6, 6_000.0 + RETENTION_MS) == 6
