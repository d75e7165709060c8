"""Which nodes are known as controllers, and which are dropped."""

from __future__ import annotations

import msgspec
import pytest

from larkweir.cluster.settings import Settings, parse
from larkweir.controller.known_controllers import KnownControllers
from tests.controller.conftest import FakeLinks, FakeReplica


def settings_with(*seeds: str) -> Settings:
    return parse(
        msgspec.json.encode(
            {
                "node": "n",
                "ip": "10.0.0.1",
                "zone": "z",
                "port_range": [7500, 7515],
                "seeds": [f"{seed}:8367" for seed in seeds],
                "listen": {"control": "10.0.0.1:8367"},
            }
        )
    )


@pytest.fixture
def known(replica: FakeReplica) -> KnownControllers:
    replica.known_nodes.update(("10.0.0.1", "10.0.0.2"))
    return KnownControllers(settings_with("10.0.0.2"), replica)  # type: ignore[arg-type]


def test_members_known_nodes_and_the_own_node_are_listed_sorted(
    known: KnownControllers, replica: FakeReplica
) -> None:
    replica.accept("10.0.0.3")
    known.add("10.0.0.0")
    assert known.nodes() == ["10.0.0.0", "10.0.0.1", "10.0.0.2", "10.0.0.3"]
    assert known.others() == ["10.0.0.0", "10.0.0.2", "10.0.0.3"]


def test_seeds_of_new_settings_are_known(known: KnownControllers) -> None:
    known.update_settings(settings_with("10.0.0.7"))
    assert known.nodes() == ["10.0.0.1", "10.0.0.2", "10.0.0.7"]


def test_an_unreachable_node_is_dropped_unless_it_is_a_member_or_a_seed(
    known: KnownControllers, replica: FakeReplica, links: FakeLinks
) -> None:
    replica.accept("10.0.0.3", previous=("10.0.0.4",))
    replica.known_nodes.update(("10.0.0.3", "10.0.0.4", "10.0.0.5"))
    links.unreachable = ["10.0.0.2", "10.0.0.3", "10.0.0.4", "10.0.0.5"]
    known.forget_unreachable(links)  # type: ignore[arg-type]
    assert known.nodes() == ["10.0.0.1", "10.0.0.2", "10.0.0.3", "10.0.0.4"]


def test_without_a_member_list_no_node_is_dropped(
    known: KnownControllers, replica: FakeReplica, links: FakeLinks
) -> None:
    replica.known_nodes.add("10.0.0.5")
    links.unreachable = ["10.0.0.5"]
    known.forget_unreachable(links)  # type: ignore[arg-type]
    assert "10.0.0.5" in known.nodes()
