"""Effects that a replica asks its caller to carry out: send messages, write records, answer operators' calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from larkweir_replication.messages import DurableState, Message, Snapshot


class CommandOutcome(Enum):
    """How a command ended."""

    COMMITTED = "committed"  # durable on a majority, by this call or an earlier one
    REJECTED = "rejected"  # by the rules of the value, at a confirmed primary
    UNKNOWN = "unknown"  # leadership was lost: the command may or may not be applied
    TOO_OLD = "too_old"  # based on a version so old that no replica knows whether the command was applied


@dataclass(frozen=True, slots=True)
class Send:
    """Send `message` to `node`; the message may be lost."""

    node: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Make the record durable, then call `Replica.on_persisted(token)`, or `on_persist_failed(token)`.

    If several are pending, writing the newest one completes the others too.
    """

    token: int
    durable: DurableState


@dataclass(frozen=True, slots=True)
class Committed:
    """This snapshot is durable on a majority."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class CommandFinished:
    """The outcome of the command submitted with `ticket`; `reason`: the error that `ApplyChange` returned."""

    ticket: int
    outcome: CommandOutcome
    reason: object = None


@dataclass(frozen=True, slots=True)
class ReadFinished:
    """The result of the read with `ticket`; None if leadership was lost before the read was confirmed."""

    ticket: int
    snapshot: Snapshot | None


Effect = Send | Persist | Committed | CommandFinished | ReadFinished
