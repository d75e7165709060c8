"""The messages between replicas and the records on disk. All are immutable; `msgspec` encodes and validates them.

Tags and field names are part of the wire and file formats. Where a class or attribute has another name in Python, its
outer name is set by `tag` or `name`.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from larkweir_replication.text_delta import TextEdit

MAX_COUNTER = 2**53 - 1  # the largest integer that every JSON parser represents exactly (RFC 8259, section 6)
Counter = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNTER)]
Sequence = Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNTER)]  # -1: no state


class Epoch(msgspec.Struct, frozen=True, order=True, array_like=True):
    """Identifies one primary's term (a ballot of Paxos). The node makes it unique; higher epochs fence lower ones."""

    number: Counter
    node: str


APPLIED_COMMAND_BYTES = 32  # approximate encoded size of one `AppliedCommand`
NO_EPOCH = Epoch(0, "")


class Command(msgspec.Struct, frozen=True):
    """A change as its sender submitted it. `base`: the version of the value that the change is based on.

    `identity` is an idempotency key: each retry of a change has the same one, to whichever node it is sent, and each
    change has its own. It is empty if the value itself shows whether the change was already applied: such a command
    may be applied several times, is not recorded in `Snapshot.applied_commands`, and is never too old.
    """

    identity: str
    base: Counter
    text: str


class AppliedCommand(msgspec.Struct, frozen=True, array_like=True):
    """The identity of a command that was applied; there is one per base."""

    base: Counter
    identity: str


class Snapshot(msgspec.Struct, frozen=True):
    """The complete replicated state at one sequence number.

    `members` vote on the next state. During a change of members, `previous_members` are those before the change, and a
    majority of both groups is needed. `applied_commands` lists the commands that were applied last, oldest first. It
    no longer shows whether a command whose base is `latest_forgotten_base` or less was applied.
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
        """The approximate size of the encoded snapshot."""
        return len(self.value) + APPLIED_COMMAND_BYTES * len(self.applied_commands)

    @property
    def rank(self) -> tuple[Epoch, int]:
        """The order in which snapshots supersede each other."""
        return (self.epoch, self.sequence)

    def has_member(self, node: str) -> bool:
        """Whether the node is a member, or was one before a change that is still in progress."""
        return node in self.members or node in self.previous_members

    def has_quorum(self, nodes: set[str]) -> bool:
        """Whether these nodes are a majority of the members, and of the previous ones during a change."""
        groups = [group for group in (self.members, self.previous_members) if group]
        return all(2 * len(nodes.intersection(group)) > len(group) for group in groups)


class SnapshotDelta(msgspec.Struct, frozen=True):
    """The difference between a state and its base.

    `dropped` is how many of the oldest applied commands of the base are removed; `added` are appended.
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
        """The rank of the resulting state."""
        return (self.epoch, self.sequence)

    @property
    def base_rank(self) -> tuple[Epoch, int]:
        """The rank of the base that the delta applies to."""
        return (self.base_epoch, self.base_sequence)


class DurableState(msgspec.Struct, frozen=True):
    """What must survive a crash of a replica: the highest promised epoch and the newest accepted state."""

    promised: Epoch
    snapshot: Snapshot | None


class PreVote(msgspec.Struct, frozen=True, tag="canvass"):
    """Asks whether the receiver would vote for the sender; changes nothing at the receiver."""

    round: Counter


class PreVoteReply(msgspec.Struct, frozen=True, tag="canvass_reply"):
    """Replies to `PreVote`. `promised`: the highest epoch known to the sender, so that a candidate picks a higher one.

    `members`: the members that the sender knows. The candidate may have been replaced by nodes that it does not know.
    """

    round: Counter
    granted: bool
    promised: Epoch
    members: tuple[str, ...] = ()


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """A candidate requests the promise that the receiver rejects lower epochs from now on."""

    epoch: Epoch


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """Sent once the promise is durable; `snapshot` is the newest state that the sender has accepted."""

    epoch: Epoch
    snapshot: Snapshot | None


class Replicate(msgspec.Struct, frozen=True, tag="replicate"):
    """Carries the primary's newest state, which the receiver makes durable."""

    snapshot: Snapshot
    committed: Sequence

    @property
    def epoch(self) -> Epoch:
        """The epoch of the primary that sends the message."""
        return self.snapshot.epoch


class ReplicateDelta(msgspec.Struct, frozen=True, tag="replicate_delta"):
    """Carries the primary's newest state as a delta, for a node whose disk has the base.

    Sent only to nodes that have announced that they accept deltas (`HeartbeatAck.accepts_deltas`).
    """

    delta: SnapshotDelta
    committed: Sequence

    @property
    def epoch(self) -> Epoch:
        """The epoch of the primary that sends the message."""
        return self.delta.epoch


class SnapshotRequest(msgspec.Struct, frozen=True, tag="request_snapshot"):
    """A delta could not be applied: the sender needs the whole state of that epoch."""

    epoch: Epoch


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """Reports that a state is durable at the sender."""

    epoch: Epoch
    sequence: Sequence


class StaleEpoch(msgspec.Struct, frozen=True, tag="refused"):
    """Rejects a message whose epoch is lower than the promised one."""

    promised: Epoch


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat", omit_defaults=True):
    """The primary is alive. `committed`: the newest sequence on a majority of disks; `round`: number of the round.

    `unreachable`: members that the primary has not heard from recently; omitted from the message if empty.
    """

    epoch: Epoch
    committed: Sequence
    round: Counter
    unreachable: tuple[str, ...] = ()


class HeartbeatAck(msgspec.Struct, frozen=True, tag="heartbeat_ack", omit_defaults=True):
    """Grants the lease from the time when `round` was sent, and reports which state is durable at the sender.

    `accepts_deltas`: whether the sender supports `ReplicateDelta`; processes of earlier versions do not.
    """

    epoch: Epoch
    round: Counter
    accepted: Epoch
    sequence: Sequence
    accepts_deltas: bool = msgspec.field(default=False, name="deltas")


class Resign(msgspec.Struct, frozen=True, tag="resign"):
    """The primary gives up its lease, so that another node can be elected at once."""

    epoch: Epoch


class Recover(msgspec.Struct, frozen=True, tag="recover"):
    """A replica whose disk holds no usable state asks what it may have promised. `nonce` identifies the request."""

    nonce: Counter


class RecoverReply(msgspec.Struct, frozen=True, tag="recover_reply"):
    """The highest epoch and the newest state that the sender knows, even if they are not yet on its disk."""

    nonce: Counter
    promised: Epoch
    snapshot: Snapshot


class Join(msgspec.Struct, frozen=True, tag="join"):
    """The sender asks to become a member, and stands by until a member is needed."""


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """The sender is about to stop, and asks to be replaced first if another node stands by."""


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
