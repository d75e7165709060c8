"""What processes of the fleet tell each other: a JSON line each, on connections that a router or controller dials."""

from __future__ import annotations

from enum import StrEnum

import msgspec
from larkweir_balancing.ejection import Endings
from larkweir_quotas.ledger import Statement
from larkweir_registry.records import Record, Vector
from larkweir_replication.messages import Command
from larkweir_replication.messages import Message as ReplicationMessage

MAX_LINE_BYTES = 32 * 1024 * 1024


class Kind(StrEnum):
    """The role of whoever dialled."""

    ROUTER = "router"
    CONTROLLER = "controller"


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The first line of a connection. `life` differs at every start of the process."""

    node: str
    kind: Kind
    life: str


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Sent when there was nothing else to say for a while; silence means a dead connection."""


class Pull(msgspec.Struct, frozen=True, tag="pull", omit_defaults=True):
    """Asks for what its sender lacks. Answered by a `Delta` as soon as there is something, or after a while."""

    config: int = -1  # the sequence of the configuration that it has in force; -1 for none
    vector: Vector | None = None  # None: as in the last one on this connection
    usage: dict[str, float] = {}  # by tenant: units admitted in this life
    sent_ms: float = 0.0  # by its sender's own steady clock
    waiting: dict[str, int] = {}  # by engine: prompt tokens of its calls that wait to be read there
    endings: dict[str, Endings] = {}  # by upstream that failed: how its calls have ended there lately


class Waiting(msgspec.Struct, frozen=True, tag="waiting"):
    """From a router that has just sent a long prompt: `Pull.waiting`, ahead of its next pull."""

    tokens: dict[str, int]


class ConfigUpdate(msgspec.Struct, frozen=True):
    """A committed configuration: whole, or what changed since `base`."""

    sequence: int
    base: int  # the sequence that `body` builds on; -1 for a whole one
    body: msgspec.Raw


class Delta(msgspec.Struct, frozen=True, tag="delta", omit_defaults=True):
    """What the puller lacked. Whoever takes it has seen `vector`."""

    config: ConfigUpdate | None = None
    records: list[Record] = []
    vector: Vector = {}
    controllers: list[str] = []  # all that are known; none: as in the last one on this connection
    routers: int = 1
    quotas: dict[str, Statement] = {}
    waiting: dict[str, int] = {}  # by engine: the same of all other routers, of the busiest engines
    ejected: list[str] | None = None  # upstreams to leave out; None: as in the last one on this connection


class Replication(msgspec.Struct, frozen=True, tag="replication"):
    """From replica to replica."""

    message: ReplicationMessage


class Heard(msgspec.Struct, frozen=True, tag="heard"):
    """Heartbeats of upstreams that came to this controller since it last told: the sequence by id."""

    sequences: dict[str, int]


class Forward(msgspec.Struct, frozen=True, tag="forward"):
    """An operator's call, sent on to the primary: a command, or a read where there is none."""

    ticket: int
    command: Command | None


class Forwarded(msgspec.Struct, frozen=True, tag="forwarded"):
    """How that call ended; `status` 0 where the outcome is unknown, and may be known when it is asked for again."""

    ticket: int
    status: int
    detail: str = ""
    value: str = ""


class Place(msgspec.Struct, frozen=True, tag="place"):
    """A router asks which engine of a service keeps the head of a prompt. `known`: where it has sent it before."""

    service: str
    head: str
    tokens: float
    known: str | None = None


class Placed(msgspec.Struct, frozen=True, tag="placed"):
    """The answer; `engine` is None where none is ready. `kept`: the head was placed there before."""

    head: str
    engine: str | None
    kept: bool = False


Message = Hello | Ping | Pull | Waiting | Delta | Replication | Heard | Forward | Forwarded | Place | Placed
