"""The state that all roles of one replica share."""

from __future__ import annotations

from collections.abc import Iterable

from larkweir_replication.durability import Durability
from larkweir_replication.effects import Committed, Effect, Send
from larkweir_replication.errors import NotRecoveredError
from larkweir_replication.messages import NO_EPOCH, DurableState, Epoch, Message, Snapshot


class ReplicaState:
    """The epoch and states of one replica, the state of its disk, and the effects that its caller has not taken yet."""

    def __init__(self, node: str, known_nodes: Iterable[str]) -> None:
        """`known_nodes`: nodes to contact while there is no member list."""
        self.node = node
        self.known_nodes = set(known_nodes) | {node}
        self.promised: Epoch = NO_EPOCH
        self.accepted: Snapshot | None = None
        self.committed: Snapshot | None = None
        self.durability = Durability()
        self._effects: list[Effect] = []

    def restore(self, stored: DurableState) -> None:
        """Takes over the state on disk."""
        self.durability = Durability(stored)
        self.promised, self.accepted = stored.promised, stored.snapshot
        if stored.snapshot is not None:
            self.known_nodes.update(stored.snapshot.members)

    def bootstrap(self, first_members: tuple[str, ...]) -> None:
        """Starts as a member of a new group, whose value is empty."""
        self.accepted = Snapshot(NO_EPOCH, 0, first_members)
        self.persist()

    # Members

    @property
    def is_member(self) -> bool:
        """Whether this node's vote counts, as far as it knows."""
        return self.accepted is not None and self.node in self.accepted.members

    @property
    def has_left(self) -> bool:
        """Whether a group without this node has been committed."""
        return self.committed is not None and not self.committed.has_member(self.node)

    def other_members(self) -> list[str]:
        """Returns all members except this node, sorted; during a change of members also the previous ones."""
        if self.accepted is None:
            return []
        return sorted({*self.accepted.members, *self.accepted.previous_members} - {self.node})

    def newest(self) -> Snapshot:
        """Returns the accepted state. Raises NotRecoveredError if there is none."""
        if self.accepted is None:
            raise NotRecoveredError(self.node)
        return self.accepted

    # States

    def commit(self, snapshot: Snapshot) -> None:
        """Records that a majority has the state on disk; emits `Committed` once per sequence, in increasing order."""
        before = self.committed
        if before is None or snapshot.rank > before.rank:
            self.committed = snapshot
        if before is None or snapshot.sequence > before.sequence:
            self.emit(Committed(snapshot))

    @property
    def committed_sequence(self) -> int:
        """The sequence of the newest committed state, -1 if none is known."""
        return -1 if self.committed is None else self.committed.sequence

    def persist(self) -> None:
        """Starts a write of the promised epoch and the accepted state."""
        self.emit(self.durability.begin_write(DurableState(self.promised, self.accepted)))

    def persist_if_missing(self, snapshot: Snapshot) -> None:
        """Starts a write if that state is neither on the disk nor in a pending write."""
        if not self.durability.is_durable_or_pending(snapshot):
            self.persist()

    # Effects

    def send(self, node: str, message: Message) -> None:
        """Queues a message to `node`."""
        self.emit(Send(node, message))

    def emit(self, effect: Effect) -> None:
        """Queues an effect after the earlier ones."""
        self._effects.append(effect)

    def take_effects(self) -> list[Effect]:
        """Returns the effects since the last call, in order."""
        taken, self._effects = self._effects, []
        return taken
