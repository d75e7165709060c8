"""The order in which the upstreams of a zone are evacuated is the same at all balancers."""

from __future__ import annotations

from random import Random

import pytest
from hypothesis import given
from hypothesis import strategies as st
from larkweir_balancing.interface import ServerState

from larkweir.config.options import Pool
from larkweir.config.platform import decode
from larkweir.membership.listing import parse_listing
from larkweir.membership.names import Names
from larkweir.routes.pools import Members, evacuated_servers
from tests.fleet.services import platform


class BalancerView:
    """The upstreams as one balancer knows them: their numbers depend on the order in which it received the rows."""

    def __init__(self, rows: list[dict[str, object]]) -> None:
        config = decode(platform(), {})
        self.names = Names(config.zones, config.kinds)
        self.names.reverse = {}
        self.entries = parse_listing(
            {"generation": 1, "reset": True, "instances": rows}, self.names
        ).listing.entries
        names = self.names.reverse
        self.members = Members(Pool(evacuated=(config.zones[0],)), config, {}, lambda number: names[number])

    def draining(self, part: float) -> set[str]:
        assert self.names.reverse is not None
        self.members.set_evacuated_share(0, part)
        found = self.members(self.entries)
        return {self.names.reverse[entry.server] for entry in found if entry.state is ServerState.DRAINING}


def rows(count: int) -> list[dict[str, object]]:
    zone = decode(platform(), {}).zones[0]
    return [
        {"instanceId": f"i-{n}", "hostPort": f"127.0.0.1:{9000 + n}", "lifecycle": "active", "zone": zone}
        for n in range(count)
    ]


@pytest.mark.parametrize("count", [1, 2, 7, 40])
def test_balancers_that_received_the_list_in_different_orders_evacuate_the_same_upstreams(count: int) -> None:
    rng = Random(count)
    views = []
    for _ in range(5):
        received = rows(count)
        rng.shuffle(received)
        views.append(BalancerView(received))
    before: set[str] = set()
    for step in range(21):
        (draining, *others) = [view.draining(step / 20) for view in views]
        assert all(other == draining for other in others)
        assert len(draining) == count * step // 20  # the share of the step, rounded down
        assert before <= draining
        before = draining
    assert len(before) == count


@given(st.sets(st.integers(0, 10_000), max_size=60), st.floats(0.0, 1.0))
def test_one_more_upstream_changes_at_most_one_evacuated_upstream(servers: set[int], part: float) -> None:
    before = set(evacuated_servers(sorted(servers), part, str))
    more = set(evacuated_servers(sorted(servers | {10_001}), part, str))
    assert len(before - more) <= 1 and len(more - before) <= 1 + (len(more) > len(before))
