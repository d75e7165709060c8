"""Which controllers are connected to, sent messages and dropped."""

from __future__ import annotations

from collections.abc import Callable
from typing import Any

import pytest

from larkweir.cluster.messages import Message, Ping
from larkweir.controller import controller_links
from larkweir.controller.controller_links import FORGET_AFTER_FAILURES, ControllerLinks


class FakeLink:
    """A link whose connection the test sets."""

    def __init__(self, node: str, port: int, *callbacks: Callable[..., None]) -> None:
        self.node, self.port = node, port
        self.connection: object | None = None
        self.failures = 0
        self.keep_alive_calls = 0
        self.is_closed = False
        self.sent: list[Message] = []

    def keep_alive(self) -> None:
        self.keep_alive_calls += 1

    def send(self, message: Message) -> bool:
        self.sent.append(message)
        return True

    def close(self) -> None:
        self.is_closed = True


@pytest.fixture
def links(monkeypatch: pytest.MonkeyPatch) -> ControllerLinks:
    monkeypatch.setattr(controller_links, "Link", FakeLink)
    links = ControllerLinks(lambda: 7_500, lambda connection, message: None, lambda connection: None)
    links.keep_alive(["d", "e"])
    return links


def link(links: ControllerLinks, node: str) -> Any:
    return links._links[node]


def test_each_node_has_one_link_that_is_kept_alive_until_the_node_is_dropped(links: ControllerLinks) -> None:
    first = link(links, "d")
    links.keep_alive(["e"])
    assert link(links, "d") is first
    assert first.port == 7_500
    assert first.keep_alive_calls == 2


def test_only_nodes_whose_link_has_a_connection_are_connected(links: ControllerLinks) -> None:
    link(links, "d").connection = object()
    assert links.connected_nodes() == {"d"}
    assert links.is_connected("d")
    assert not links.is_connected("e")
    assert not links.is_connected("unknown")


def test_a_message_is_sent_to_one_node_or_to_all(links: ControllerLinks) -> None:
    links.send("d", Ping())
    links.send("unknown", Ping())
    links.broadcast(Ping())
    assert len(link(links, "d").sent) == 2
    assert len(link(links, "e").sent) == 1


def test_a_node_is_dropped_after_many_failures_in_a_row(links: ControllerLinks) -> None:
    dropped, almost = link(links, "d"), link(links, "e")
    dropped.failures, almost.failures = FORGET_AFTER_FAILURES, FORGET_AFTER_FAILURES - 1
    assert links.drop_unreachable(set()) == ["d"]
    assert dropped.is_closed
    assert not almost.is_closed
    assert list(links._links) == ["e"]


@pytest.mark.parametrize("reason", ["referenced", "connected"])
def test_a_node_that_is_referenced_or_connected_is_not_dropped(reason: str, links: ControllerLinks) -> None:
    kept = link(links, "d")
    kept.failures = FORGET_AFTER_FAILURES
    kept.connection = object() if reason == "connected" else None
    assert links.drop_unreachable({"d"} if reason == "referenced" else set()) == []
    assert not kept.is_closed


def test_close_closes_all_links(links: ControllerLinks) -> None:
    links.close()
    assert link(links, "d").is_closed
    assert link(links, "e").is_closed
