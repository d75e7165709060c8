"""The messages between replicas, and what they keep on disk. All are immutable; `msgspec` encodes and validates them.

Tags and field names are a wire and file format: where a class or a field has another name, the old one is given.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from larkweir_replication.text_delta import TextEdit

MAX_COUNTER = (
    2**53 - 1
)  # the largest whole number that every reader of JSON keeps exact (RFC 8259, section 6)
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
Sequence = Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNTER)]  # -1: of no state


class Epoch(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The number of one primary's term (a ballot of Paxos), unique by the node's name; higher ones fence lower ones."""

    number: Counter
    node: str


APPLIED_COMMAND_BYTES = 32  # approximate size of one `AppliedCommand` in a message
NO_EPOCH = Epoch(0, "")


class Command(msgspec.Struct, frozen=True):
    """A change as its sender submitted it. `base`: the version of the value that it builds on.

    `identity` is an idempotency key: the same whenever and wherever the change is sent again, and another one for
    another change. It is empty where the value itself shows that a change was applied before: such a command may be
    applied several times, is not remembered, and is never too old.
    """

    identity: str
    base: Counter
    text: str


class AppliedCommand(msgspec.Struct, frozen=True, array_like=True):
    """The identity of a command that was applied; there is one for each base."""

    base: Counter
    identity: str


class Snapshot(msgspec.Struct, frozen=True):
    """The complete replicated state at one sequence number.

    `members` vote on the next state. While the members change, `previous_members` are those before the change, and a
    majority of each is needed. `applied_commands` has the latest commands that were applied, oldest first; nothing is
    known of a command whose base is `latest_forgotten_base` or less.
    """

    epoch: Epoch
    sequence: Sequence
    members: tuple[str, ...]
    previous_members: tuple[str, ...] = ()
    value: str = ""
    applied_commands: tuple[AppliedCommand, ...] = msgspec.field(default=(), name="taken")
    latest_forgotten_base: Sequence = msgspec.field(default=-1, name="forgotten")

    @property
    def size_bytes(self) -> int:
        """The approximate size of its message."""
        return len(self.value) + APPLIED_COMMAND_BYTES * len(self.applied_commands)

    @property
    def rank(self) -> tuple[Epoch, int]:
        """The order in which snapshots supersede each other."""
        return (self.epoch, self.sequence)

    def has_member(self, node: str) -> bool:
        """Whether the node is a member, or was one before a change that is under way."""
        return node in self.members or node in self.previous_members

    def has_quorum(self, nodes: set[str]) -> bool:
        """Whether these nodes are a majority of the members, and of the previous ones during a change."""
        groups = [group for group in (self.members, self.previous_members) if group]
        return all(2 * len(nodes.intersection(group)) > len(group) for group in groups)


class SnapshotDelta(msgspec.Struct, frozen=True):
    """How a state differs from its base.

    `dropped` of the base's applied commands, the oldest, are forgotten, and `added` are appended.
    """

    epoch: Epoch
    sequence: Sequence
    base_epoch: Epoch
    base_sequence: Sequence
    members: tuple[str, ...]
    previous_members: tuple[str, ...]
    edits: tuple[TextEdit, ...]
    checksum: Annotated[int, msgspec.Meta(ge=0, lt=2**32)]  # CRC-32 of the value
    dropped: Counter
    added: tuple[AppliedCommand, ...]
    latest_forgotten_base: Sequence

    @property
    def rank(self) -> tuple[Epoch, int]:
        """That of the state that it makes."""
        return (self.epoch, self.sequence)

    @property
    def base_rank(self) -> tuple[Epoch, int]:
        """That of the state that it needs."""
        return (self.base_epoch, self.base_sequence)


class DurableState(msgspec.Struct, frozen=True):
    """What a replica must find again after a crash: the highest promised epoch and the newest accepted state."""

    promised: Epoch
    snapshot: Snapshot | None


class PreVote(msgspec.Struct, frozen=True, tag="canvass"):
    """Asks whether a candidacy would find a majority; changes nothing at the receiver."""

    round: Counter


class PreVoteReply(msgspec.Struct, frozen=True, tag="canvass_reply"):
    """The answer. `promised`: the highest epoch that its sender knows, so that a candidate chooses a higher one.

    `members` as its sender knows them: the candidate may have been replaced by nodes that it does not know.
    """

    round: Counter
    granted: bool
    promised: Epoch
    members: tuple[str, ...] = ()


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """A candidate asks for the promise that no lower epoch will be served."""

    epoch: Epoch


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """Sent once the promise is durable; `snapshot` is the newest state that its sender has accepted."""

    epoch: Epoch
    snapshot: Snapshot | None


class Replicate(msgspec.Struct, frozen=True, tag="replicate"):
    """The primary's newest state, to be made durable."""

    snapshot: Snapshot
    committed: Sequence

    @property
    def epoch(self) -> Epoch:
        """Of the primary that sends it."""
        return self.snapshot.epoch


class ReplicateDelta(msgspec.Struct, frozen=True, tag="replicate_delta"):
    """The primary's newest state for a node that has its base on disk, to be made durable.

    Sent to those alone that have said that they accept deltas (`HeartbeatAck.accepts_deltas`).
    """

    delta: SnapshotDelta
    committed: Sequence

    @property
    def epoch(self) -> Epoch:
        """Of the primary that sends it."""
        return self.delta.epoch


class SnapshotRequest(msgspec.Struct, frozen=True, tag="request_snapshot"):
    """A delta did not fit: its sender needs the state of that epoch as a whole."""

    epoch: Epoch


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """That state is durable at its sender."""

    epoch: Epoch
    sequence: Sequence


class StaleEpoch(msgspec.Struct, frozen=True, tag="refused"):
    """The message had a lower epoch than its receiver has promised."""

    promised: Epoch


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", omit_defaults=True):
    """The primary is alive. `committed`: the newest sequence on a majority of disks; `round`: its number.

    `unreachable`: members that the primary has not heard lately; left out of the message where there are none.
    """

    epoch: Epoch
    committed: Sequence
    round: Counter
    unreachable: tuple[str, ...] = ()


class HeartbeatAck(msgspec.Struct, frozen=True, tag="heartbeat_ack", omit_defaults=True):
    """Grants the lease from when `round` was sent on, and reports which state is durable at its sender.

    `accepts_deltas`: its sender knows `ReplicateDelta`, which processes of earlier versions do not.
    """

    epoch: Epoch
    round: Counter
    accepted: Epoch
    sequence: Sequence
    accepts_deltas: bool = msgspec.field(default=False, name="deltas")


class Resign(msgspec.Struct, frozen=True, tag="resign"):
    """The primary gives its lease back: another may be elected at once."""

    epoch: Epoch


class Recover(msgspec.Struct, frozen=True, tag="recover"):
    """A replica whose disk holds no usable state asks what it may have promised. `nonce` names the request."""

    nonce: Counter


class RecoverReply(msgspec.Struct, frozen=True, tag="recover_reply"):
    """The highest epoch and the newest state that its sender knows, also those still on their way to its disk."""

    nonce: Counter
    promised: Epoch
    snapshot: Snapshot


class Join(msgspec.Struct, frozen=True, tag="join"):
    """Its sender asks to become a member, and stands by until one is needed."""


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """Its sender is about to stop, and asks to be replaced first where another node stands by."""


Message = (
    PreVote
    | PreVoteReply
    | Prepare
    | Promise
    | Replicate
    | ReplicateDelta
    | SnapshotRequest
    | Accepted
    | StaleEpoch
    | Heartbeat
    | HeartbeatAck
    | Resign
    | Recover
    | RecoverReply
    | Join
    | Leave
)
