"""What processes of the fleet tell each other: a JSON line each, on connections that a router or controller dials."""

from __future__ import annotations

from enum import StrEnum

import msgspec
from larkweir_balancing.fleet_outlier_detection import OutcomeCounts
from larkweir_quotas.limits import QuotaStatus
from larkweir_registry.records import Record, VersionVector
from larkweir_replication.messages import Command
from larkweir_replication.messages import Message as ReplicationMessage

MAX_LINE_BYTES = 32 * 1024 * 1024


class NodeRole(StrEnum):
    """The role of whoever dialled."""

    ROUTER = "router"
    CONTROLLER = "controller"


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The first line of a connection. `incarnation` differs at every start of the process."""

    node: str
    role: NodeRole = msgspec.field(name="kind")
    incarnation: str = msgspec.field(name="life")


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Sent when there was nothing else to say for a while; silence means a dead connection."""


class Pull(msgspec.Struct, frozen=True, tag="pull", omit_defaults=True):
    """Asks for what its sender lacks. Answered by a `Delta` as soon as there is something, or after a while."""

    # The sequence of the configuration in force at the sender; -1 for none.
    config_sequence: int = msgspec.field(default=-1, name="config")
    vector: VersionVector | None = None  # None: as in the last one on this connection
    usage: dict[str, float] = {}  # by tenant: units admitted in this life
    sent_ms: float = 0.0  # by its sender's own steady clock
    # By engine: prompt tokens of the sender's calls that wait for prefill there.
    queued_prefill_tokens: dict[str, int] = msgspec.field(default_factory=dict, name="waiting")
    # By upstream with recent failures: how calls of the sender ended there within the window.
    outcomes: dict[str, OutcomeCounts] = msgspec.field(default_factory=dict, name="endings")


class PrefillQueueUpdate(msgspec.Struct, frozen=True, tag="waiting"):
    """From a router that has just sent a long prompt: `Pull.queued_prefill_tokens`, ahead of its next pull."""

    tokens: dict[str, int]


class ConfigUpdate(msgspec.Struct, frozen=True):
    """A committed configuration: whole, or what changed since `base_sequence`."""

    sequence: int
    base_sequence: int = msgspec.field(name="base")  # the sequence that `body` builds on; -1 for a whole one
    body: msgspec.Raw


class Delta(msgspec.Struct, frozen=True, tag="delta", omit_defaults=True):
    """What the puller lacked. Whoever takes it has seen `vector`."""

    config: ConfigUpdate | None = None
    records: list[Record] = []
    vector: VersionVector = {}
    controllers: list[str] = []  # all that are known; none: as in the last one on this connection
    router_count: int = msgspec.field(default=1, name="routers")
    quotas: dict[str, QuotaStatus] = {}
    # By engine: the same, summed over all other routers, of the busiest engines.
    queued_prefill_tokens: dict[str, int] = msgspec.field(default_factory=dict, name="waiting")
    ejected: list[str] | None = None  # upstreams to leave out; None: as in the last one on this connection


class Replication(msgspec.Struct, frozen=True, tag="replication"):
    """From replica to replica."""

    message: ReplicationMessage


class HeartbeatReport(msgspec.Struct, frozen=True, tag="heard"):
    """Heartbeats of upstreams that came to this controller since it last told: the sequence by id."""

    sequences: dict[str, int]


class PrimaryRequest(msgspec.Struct, frozen=True, tag="forward"):
    """An operator's call, sent on to the primary: a command, or a read where there is none."""

    request_id: int = msgspec.field(name="ticket")
    command: Command | None


class PrimaryResponse(msgspec.Struct, frozen=True, tag="forwarded"):
    """How that call ended; `status` 0 where the outcome is unknown, and may be known when it is asked for again."""

    request_id: int = msgspec.field(name="ticket")
    status: int
    detail: str = ""
    value: str = ""


class PlacementRequest(msgspec.Struct, frozen=True, tag="place"):
    """A router asks which engine of a service keeps a prompt prefix.

    `known_engine`: where the router has sent it before.
    """

    service: str
    prefix: str = msgspec.field(name="head")
    prompt_tokens: float = msgspec.field(name="tokens")
    known_engine: str | None = msgspec.field(default=None, name="known")


class PlacementResponse(msgspec.Struct, frozen=True, tag="placed"):
    """The answer; `engine` is None where none is ready. `is_cached`: the head was placed there before."""

    prefix: str = msgspec.field(name="head")
    engine: str | None
    is_cached: bool = msgspec.field(default=False, name="kept")


Message = (
    Hello
    | Ping
    | Pull
    | PrefillQueueUpdate
    | Delta
    | Replication
    | HeartbeatReport
    | PrimaryRequest
    | PrimaryResponse
    | PlacementRequest
    | PlacementResponse
)
