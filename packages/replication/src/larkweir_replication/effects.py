"""What a replica wants done: messages sent, records made durable, and answers to those who asked."""

from __future__ import annotations

from dataclasses import dataclass
from enum import Enum

from larkweir_replication.messages import DurableState, Message, Snapshot


class CommandOutcome(Enum):
    """How a change ended."""

    COMMITTED = "committed"  # durable on a majority, now or earlier
    REJECTED = "rejected"  # by the rules of the value, as a confirmed primary
    UNKNOWN = "unknown"  # leadership was lost: it may or may not take effect
    TOO_OLD = "too_old"  # it builds on a version so old that nobody knows any more whether it was carried out


@dataclass(frozen=True, slots=True)
class Send:
    """`message` to `node`; it may be lost."""

    node: str
    message: Message


@dataclass(frozen=True, slots=True)
class Persist:
    """Make the record durable, then call `Replica.persisted(token)`, or `persist_failed(token)`."""

    token: int
    durable: DurableState


@dataclass(frozen=True, slots=True)
class Committed:
    """This snapshot is durable on a majority."""

    snapshot: Snapshot


@dataclass(frozen=True, slots=True)
class CommandFinished:
    """The outcome of the change that was submitted under `ticket`; `reason` is what the rules said."""

    ticket: int
    outcome: CommandOutcome
    reason: object = None


@dataclass(frozen=True, slots=True)
class ReadFinished:
    """The value of the read under `ticket`; None where leadership was lost before it was confirmed."""

    ticket: int
    snapshot: Snapshot | None


Effect = Send | Persist | Committed | CommandFinished | ReadFinished
