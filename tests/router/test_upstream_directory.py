"""Tests of a router's upstream directory and of the selectors that it updates."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_balancing.prompt import Prompt
from larkweir_registry.records import Upstream, UpstreamState

from larkweir.router.upstream_directory import UpstreamDirectory


def upstream(id_: str, service: str = "s", state: UpstreamState = UpstreamState.READY) -> Upstream:
    return Upstream(id_, service, f"10.0.0.1:{id_[1:]}", "z", state=state)


class Harness:
    def __init__(self) -> None:
        self.gone: list[str] = []
        self.directory = UpstreamDirectory(
            Random(1), lambda service: service == "engines", lambda address: False, self.gone.append
        )

    def selected(self, service: str) -> set[str | None]:
        selector = self.directory.selector(service)
        return {selector.select(Prompt(), (), 0.0) for _ in range(50)}


@pytest.fixture
def harness() -> Harness:
    made = Harness()
    made.directory.update([upstream("u1"), upstream("u2"), upstream("u3", "other")], 0.0)
    return made


def test_a_selector_knows_the_upstreams_of_its_service(harness: Harness) -> None:
    assert harness.selected("s") == {"u1", "u2"}
    assert harness.selected("other") == {"u3"}
    assert harness.selected("unknown") == {None}


def test_an_existing_selector_is_updated(harness: Harness) -> None:
    harness.selected("s")
    harness.directory.update([upstream("u4"), upstream("u1", state=UpstreamState.DRAINING)], 0.0)
    assert harness.selected("s") == {"u2", "u4"}


def test_a_gone_upstream_is_removed_and_its_address_reported(harness: Harness) -> None:
    harness.directory.update([upstream("u1", state=UpstreamState.GONE)], 0.0)
    assert "u1" not in harness.directory
    assert harness.gone == ["10.0.0.1:1"]
    assert harness.selected("s") == {"u2"}
    with pytest.raises(KeyError):
        harness.directory.address("u1")


def test_an_unknown_upstream_that_is_gone_is_not_reported(harness: Harness) -> None:
    harness.directory.update([upstream("u9", state=UpstreamState.GONE)], 0.0)
    assert harness.gone == []


def test_existing_and_new_selectors_skip_ejected_upstreams(harness: Harness) -> None:
    harness.selected("s")
    harness.directory.set_ejected({"u1"})
    assert harness.selected("s") == {"u2"}
    harness.directory.update([upstream("u5", "new"), upstream("u6", "new")], 0.0)
    harness.directory.set_ejected({"u5"})
    assert harness.selected("new") == {"u6"}


def test_readiness_needs_one_ready_upstream(harness: Harness) -> None:
    assert harness.directory.has_ready
    draining = [upstream(id_, service, UpstreamState.DRAINING) for id_, service in (("u1", "s"), ("u2", "s"))]
    harness.directory.update([*draining, upstream("u3", "other", UpstreamState.DRAINING)], 0.0)
    assert not harness.directory.has_ready
