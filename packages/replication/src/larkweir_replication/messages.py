"""What replicas tell each other and keep on disk. All are immutable; `msgspec` writes and checks them."""

from __future__ import annotations

import msgspec


class Epoch(msgspec.Struct, frozen=True, order=True, array_like=True):
    """The term of one primary. The node's name makes it unique; higher ones fence lower ones."""

    number: int
    node: str


APPLIED_COMMAND_BYTES = 32  # of one remembered command in a message, about
NO_EPOCH = Epoch(0, "")


class Command(msgspec.Struct, frozen=True):
    """A change as its sender gave it. `base`: the version of the value that it builds on.

    `identity` is the same whenever and wherever it is sent again, and differs for another change.
    """

    identity: str
    base: int
    text: str


class AppliedCommand(msgspec.Struct, frozen=True, array_like=True):
    """A command that was carried out. Of those on one base there is one."""

    base: int
    identity: str


class Snapshot(msgspec.Struct, frozen=True):
    """The whole replicated state at one sequence number.

    `members` vote on the next state. While the members change, `previous_members` are those before, and a majority of
    each is needed. `taken` has the latest commands that were carried out, oldest first; of a command on a base up to
    `forgotten` nothing is known any more.
    """

    epoch: Epoch
    sequence: int
    members: tuple[str, ...]
    previous_members: tuple[str, ...] = ()
    value: str = ""
    applied_commands: tuple[AppliedCommand, ...] = msgspec.field(default=(), name="taken")
    latest_forgotten_base: int = msgspec.field(default=-1, name="forgotten")

    @property
    def size_bytes(self) -> int:
        """About how long its message is."""
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


class DurableState(msgspec.Struct, frozen=True):
    """What a replica must find again after a crash."""

    promised: Epoch
    snapshot: Snapshot | None


class PreVote(msgspec.Struct, frozen=True, tag="canvass"):
    """Asks whether a candidacy would find a majority; changes nothing at the one asked."""

    round: int


class PreVoteReply(msgspec.Struct, frozen=True, tag="canvass_reply"):
    """`promised`: the highest epoch known, so that a candidate goes above it.

    `members` as its sender knows them: the one who asks may have been replaced, by nodes of which it never heard.
    """

    round: int
    granted: bool
    promised: Epoch
    members: tuple[str, ...] = ()


class Prepare(msgspec.Struct, frozen=True, tag="prepare"):
    """A candidate asks to be promised that no lower epoch will be served."""

    epoch: Epoch


class Promise(msgspec.Struct, frozen=True, tag="promise"):
    """Sent once the promise is durable; `snapshot` is the newest that its sender has accepted."""

    epoch: Epoch
    snapshot: Snapshot | None


class Replicate(msgspec.Struct, frozen=True, tag="replicate"):
    """The primary's newest state, to be made durable."""

    snapshot: Snapshot
    committed: int


class Accepted(msgspec.Struct, frozen=True, tag="accepted"):
    """That state is durable at its sender."""

    epoch: Epoch
    sequence: int


class StaleEpoch(msgspec.Struct, frozen=True, tag="refused"):
    """The message was of a lower epoch than its receiver has promised."""

    promised: Epoch


class Heartbeat(msgspec.Struct, frozen=True, tag="heartbeat"):
    """The primary lives; `committed` is the last sequence on a majority of disks, `round` numbers the heartbeats."""

    epoch: Epoch
    committed: int
    round: int


class HeartbeatAck(msgspec.Struct, frozen=True, tag="heartbeat_ack"):
    """Grants the lease from when `round` was sent, and tells what is durable at the sender."""

    epoch: Epoch
    round: int
    accepted: Epoch
    sequence: int


class Resign(msgspec.Struct, frozen=True, tag="resign"):
    """The primary stops on purpose: its lease is given back."""

    epoch: Epoch


class Recover(msgspec.Struct, frozen=True, tag="recover"):
    """A replica without a disk's memory asks what it may have promised."""

    nonce: int


class RecoverReply(msgspec.Struct, frozen=True, tag="recover_reply"):
    """The highest epoch and the newest state that its sender knows, also those still under way."""

    nonce: int
    promised: Epoch
    snapshot: Snapshot


class Join(msgspec.Struct, frozen=True, tag="join"):
    """Its sender would be a member, or stand by until one is needed."""


class Leave(msgspec.Struct, frozen=True, tag="leave"):
    """Its sender is about to end, and would be replaced first where another stands by."""


Message = (
    PreVote
    | PreVoteReply
    | Prepare
    | Promise
    | Replicate
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
