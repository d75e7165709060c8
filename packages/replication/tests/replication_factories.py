"""Factories and helpers for the unit tests of single modules."""

from __future__ import annotations

from larkweir_replication.effects import Effect, Persist, Send
from larkweir_replication.messages import Epoch, Message, Snapshot
from larkweir_replication.state import ReplicaState

MEMBERS = ("a", "b", "c")
EPOCH = Epoch(1, "a")


def snapshot(sequence: int = 0, *, epoch: Epoch = EPOCH, members: tuple[str, ...] = MEMBERS) -> Snapshot:
    return Snapshot(epoch, sequence, members)


def state_of(
    node: str = "a", accepted: Snapshot | None = None, known: tuple[str, ...] = MEMBERS
) -> ReplicaState:
    """Returns the state of a replica that has promised the epoch of its accepted snapshot."""
    state = ReplicaState(node, known)
    state.accepted = accepted or snapshot()
    state.promised = state.accepted.epoch
    return state


def sent(effects: list[Effect]) -> list[tuple[str, Message]]:
    """Returns the messages among the effects, with their receivers."""
    return [(effect.node, effect.message) for effect in effects if isinstance(effect, Send)]


def write_all(state: ReplicaState) -> list[Effect]:
    """Completes the writes among the pending effects; returns the other effects."""
    effects = state.take_effects()
    for effect in effects:
        if isinstance(effect, Persist):
            state.durability.complete_write(effect.token)
    return [effect for effect in effects if not isinstance(effect, Persist)]
