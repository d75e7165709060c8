"""What a replica asks of its caller: messages to send, records to make durable, and answers to operators' calls."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from larkweir_replication.messages import DurableState, Message, Snapshot


class CommandOutcome(Enum):
    """How a command ended."""

    COMMITTED = "committed"  # durable on a majority, now or earlier
    REJECTED = "rejected"  # by the rules of the value, at a confirmed primary
    UNKNOWN = "unknown"  # leadership was lost: it may or may not be applied
    TOO_OLD = "too_old"  # it builds on a version so old that no replica knows whether it was applied


@dataclass(frozen=True, slots=True)
class Send:
    """`message` to `node`; it may be lost."""

    node: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Make the record durable, then call `Replica.on_persisted(token)`, or `on_persist_failed(token)`.

    Of several that wait, the newest covers the others.
    """

    token: int
    durable: DurableState


@dataclass(frozen=True, slots=True)
class Committed:
    """This snapshot is durable on a majority."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class CommandFinished:
    """The outcome of the command that was submitted under `ticket`; `reason`: what the rules of the value returned."""

    ticket: int
    outcome: CommandOutcome
    reason: object = None


@dataclass(frozen=True, slots=True)
class ReadFinished:
    """The result of the read under `ticket`; None where leadership was lost before it was confirmed."""

    ticket: int
    snapshot: Snapshot | None


Effect = Send | Persist | Committed | CommandFinished | ReadFinished
