"""Fakes for the tests of several modules: a replica's member list, and links without sockets."""

from __future__ import annotations

from dataclasses import dataclass, field

import pytest
from larkweir_replication.messages import NO_EPOCH, Snapshot

from larkweir.cluster.messages import Message


@dataclass
class FakeReplica:
    """The member list that a replica has accepted and the nodes that it knows."""

    accepted: Snapshot | None = None
    known_nodes: set[str] = field(default_factory=set)

    def accept(self, *members: str, previous: tuple[str, ...] = ()) -> None:
        self.accepted = Snapshot(NO_EPOCH, 0, members, previous)


@dataclass
class FakeLinks:
    """Links with a settable list of connected controllers; records the sent messages."""

    connected: set[str] = field(default_factory=set)
    unreachable: list[str] = field(default_factory=list)
    sent: list[tuple[str, Message]] = field(default_factory=list)

    def connected_nodes(self) -> set[str]:
        return self.connected

    def is_connected(self, node: str) -> bool:
        return node in self.connected

    def send(self, node: str, message: Message) -> None:
        if node in self.connected:
            self.sent.append((node, message))

    def broadcast(self, message: Message) -> None:
        self.sent += [(node, message) for node in sorted(self.connected)]

    def drop_unreachable(self, referenced: set[str]) -> list[str]:
        return [node for node in self.unreachable if node not in referenced]


@pytest.fixture
def replica() -> FakeReplica:
    return FakeReplica()


@pytest.fixture
def links() -> FakeLinks:
    return FakeLinks()
