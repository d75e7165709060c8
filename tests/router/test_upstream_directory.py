"""The list of upstreams of a router, and the selectors that follow it."""

from __future__ import annotations

from random import Random

import pytest
from larkweir_balancing.prompt import Prompt
from larkweir_registry.records import Upstream, UpstreamState

from larkweir.router.upstream_directory import UpstreamDirectory


def upstream(id_: str, service: str = "s", state: UpstreamState = UpstreamState.READY) -> Upstream:
    return Upstream(id_, service, f"10.0.0.1:{id_[1:]}", "z", state=state)


class Scene:
    def __init__(self) -> None:
        self.gone: list[str] = []
        self.directory = UpstreamDirectory(
            Random(1), lambda service: service == "engines", lambda address: False, self.gone.append
        )

    def selected(self, service: str) -> set[str | None]:
        selector = self.directory.selector(service)
        return {selector.select(Prompt(), (), 0.0) for _ in range(50)}


@pytest.fixture
def scene() -> Scene:
    made = Scene()
    made.directory.update([upstream("u1"), upstream("u2"), upstream("u3", "other")], 0.0)
    return made


def test_a_selector_knows_the_upstreams_of_its_service(scene: Scene) -> None:
    assert scene.selected("s") == {"u1", "u2"}
    assert scene.selected("other") == {"u3"}
    assert scene.selected("unknown") == {None}


def test_a_selector_that_is_in_use_follows_the_list(scene: Scene) -> None:
    scene.selected("s")
    scene.directory.update([upstream("u4"), upstream("u1", state=UpstreamState.DRAINING)], 0.0)
    assert scene.selected("s") == {"u2", "u4"}


def test_what_is_gone_is_forgotten_and_its_address_reported(scene: Scene) -> None:
    scene.directory.update([upstream("u1", state=UpstreamState.GONE)], 0.0)
    assert "u1" not in scene.directory
    assert scene.gone == ["10.0.0.1:1"]
    assert scene.selected("s") == {"u2"}
    with pytest.raises(KeyError):
        scene.directory.address("u1")


def test_what_was_never_known_and_is_gone_reports_nothing(scene: Scene) -> None:
    scene.directory.update([upstream("u9", state=UpstreamState.GONE)], 0.0)
    assert scene.gone == []


def test_ejected_upstreams_are_passed_over_by_selectors_old_and_new(scene: Scene) -> None:
    scene.selected("s")
    scene.directory.set_ejected({"u1"})
    assert scene.selected("s") == {"u2"}
    scene.directory.update([upstream("u5", "new"), upstream("u6", "new")], 0.0)
    scene.directory.set_ejected({"u5"})
    assert scene.selected("new") == {"u6"}


def test_readiness_needs_one_ready_upstream(scene: Scene) -> None:
    assert scene.directory.has_ready
    draining = [upstream(id_, service, UpstreamState.DRAINING) for id_, service in (("u1", "s"), ("u2", "s"))]
    scene.directory.update([*draining, upstream("u3", "other", UpstreamState.DRAINING)], 0.0)
    assert not scene.directory.has_ready
