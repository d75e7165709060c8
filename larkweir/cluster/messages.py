"""The wire protocol between routers and controllers: one JSON object a line, tagged by its field `type`.

A router or controller opens a connection to each controller, and sends `Hello` first. The names on the wire are older
than those of the attributes, and stay: processes of different versions form one fleet.
"""

from __future__ import annotations

from collections.abc import Mapping
from enum import StrEnum
from typing import Annotated

import msgspec
from larkweir_quotas.limits import QuotaSnapshot, QuotaStatus, Units
from larkweir_quotas.quota_allocator import QuotaOutcome
from larkweir_quotas.share_leases import ShareClaim, ShareOffer
from larkweir_registry.records import MAX_COUNTER, Counter, Record, VersionVector
from larkweir_replication.messages import Command
from larkweir_replication.messages import Message as ReplicationMessage
from larkweir_rollouts.samples import RolloutReport

MAX_LINE_BYTES = 32 * 1024 * 1024
MAX_TOKENS = 10**12  # that wait at one engine, of all routers
MAX_COUNT = 10**9  # of requests that ended within a few seconds
MAX_ROUTERS = 1_000_000
MAX_STATUS = 599  # of HTTP
MAX_CLOCK_MS = 1e15  # of a monotonic clock
MAX_AGE_MS = 1e12  # of an order
MAX_RETRY_AFTER_S = 3_600.0

Count = Annotated[int, msgspec.Meta(ge=0, le=MAX_COUNT)]
Tokens = Annotated[int, msgspec.Meta(ge=0, le=MAX_TOKENS)]
Sequence = Annotated[int, msgspec.Meta(ge=-1, le=MAX_COUNTER)]  # -1: none


class NodeRole(StrEnum):
    """The role of the process that opened a connection."""

    ROUTER = "router"
    CONTROLLER = "controller"


class Hello(msgspec.Struct, frozen=True, tag="hello"):
    """The first message on a connection.

    Attributes:
        node: the IP address of the sender.
        role: its role.
        incarnation: differs at every start of the process.
    """

    node: str
    role: NodeRole = msgspec.field(name="kind")
    incarnation: str = msgspec.field(name="life")


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Keeps an idle connection alive: one without any message counts as dead (`links.IDLE_TIMEOUT_MS`)."""


class Pull(msgspec.Struct, frozen=True, tag="pull", omit_defaults=True):
    """A long poll for what its sender lacks: answered by a `Delta` at once, or as soon as there is something, or late.

    Attributes:
        config_sequence: of the configuration in force at the sender; -1 for none.
        vector: of the sender's upstreams; None where it is as in the last pull on this connection.
        usage: by tenant, units that the sender has admitted since it started; to controllers without share leases.
        sent_ms: when it was sent, by the sender's monotonic clock.
        queued_prefill_tokens: by engine, prompt tokens of the sender's calls that wait for prefill there.
        outcomes: by upstream with recent failures, how many of the sender's calls
            succeeded and failed there within the window.
        records: all that the sender knows of upstreams, where the last delta on this connection asked for them.
        rollouts: by service with a running roll-out, what the sender has seen of it;
            a service is left out where nothing has changed since the last pull on this connection.
        encodings: those that the sender reads large configurations in; where the last delta on this connection asked.
        quota_snapshot: what the sender knows of the fleet, in the first pull on a connection.
        quota_claim: the share of all quotas that the sender holds; only controllers have one.
        is_leaving: the sender is a router that will end soon: nothing is to be reserved for it then.
    """

    config_sequence: Sequence = msgspec.field(default=-1, name="config")
    vector: VersionVector | None = None
    usage: dict[str, Units] = {}
    sent_ms: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_CLOCK_MS)] = 0.0
    queued_prefill_tokens: dict[str, Tokens] = msgspec.field(default_factory=dict, name="waiting")
    outcomes: Mapping[str, tuple[Count, Count]] = msgspec.field(default_factory=dict, name="endings")
    records: list[Record] = []
    rollouts: dict[str, RolloutReport] = {}
    encodings: list[str] = []
    quota_snapshot: QuotaSnapshot | None = None
    quota_claim: ShareClaim | None = None
    is_leaving: bool = False


class PrefillQueueUpdate(msgspec.Struct, frozen=True, tag="waiting"):
    """`Pull.queued_prefill_tokens` ahead of the next pull, from a router that has just sent a long prompt."""

    tokens: dict[str, Tokens]


class ConfigUpdate(msgspec.Struct, frozen=True):
    """A committed configuration.

    Attributes:
        sequence: of this configuration.
        base_sequence: of the configuration that `body` is a patch to; -1 where `body` is a complete configuration.
        body: the patch or the configuration.
    """

    sequence: Counter
    base_sequence: Sequence = msgspec.field(name="base")
    body: msgspec.Raw


class CompressedConfigUpdate(msgspec.Struct, frozen=True):
    """A `ConfigUpdate` whose body is compressed (zlib, RFC 1950; base64 in JSON)."""

    sequence: Counter
    base_sequence: Sequence = msgspec.field(name="base")
    body: bytes


class RolloutAge(msgspec.Struct, frozen=True, array_like=True):
    """How long ago a running roll-out was ordered, by the steady clock of a process that has known it all along.

    Attributes:
        order_id: of the roll-out (`Rollout.order_id`).
        elapsed_ms: since the order.
    """

    order_id: str
    elapsed_ms: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AGE_MS)]


class Delta(msgspec.Struct, frozen=True, tag="delta", omit_defaults=True):
    """The answer to a `Pull`.

    Attributes:
        config: a newer configuration; None for no change. Only routers are sent one.
        records: versions of upstreams that the receiver lacks.
        vector: what the receiver has seen once it has merged them.
        controllers: the nodes of all known controllers; empty where they are as in the last delta on this connection.
        router_count: routers that are connected to the sender.
        quotas: the status of the tenants in `Pull.usage`.
        queued_prefill_tokens: by engine, of the busiest engines, prompt tokens of all other routers that wait there.
        ejected: upstreams that are to be left out; None where they are as in the last delta on this connection.
        wants_records: the sender has lost its records of upstreams: the next pull is to offer those of the receiver.
        compressed_config: in place of `config`, to a receiver that has named its encodings.
        wants_encodings: a large configuration waits: the next pull is to name the encodings that the receiver reads.
        quotas_unknown: the sender holds no share, or has no configuration: `quotas` says nothing of any tenant.
        rollout_ages: by service with a running roll-out. Only controllers are sent any.
        grants_quotas: whether the sender holds a share of all quotas, so that the receiver may ask it for units;
            None: the sender's version has no share leases.
        quota_offer: a lease, from the primary to another controller.
    """

    config: ConfigUpdate | None = None
    records: list[Record] = []
    vector: VersionVector = {}
    controllers: list[str] = []
    router_count: Annotated[int, msgspec.Meta(ge=0, le=MAX_ROUTERS)] = msgspec.field(
        default=1, name="routers"
    )
    quotas: dict[str, QuotaStatus] = {}
    queued_prefill_tokens: dict[str, Tokens] = msgspec.field(default_factory=dict, name="waiting")
    ejected: list[str] | None = None
    wants_records: bool = False
    compressed_config: CompressedConfigUpdate | None = None
    wants_encodings: bool = False
    quotas_unknown: bool = False
    rollout_ages: dict[str, RolloutAge] = {}
    grants_quotas: bool | None = None
    quota_offer: ShareOffer | None = None


class Replication(msgspec.Struct, frozen=True, tag="replication"):
    """A message of the replication protocol, from one controller's replica to another's."""

    message: ReplicationMessage


class HeartbeatReport(msgspec.Struct, frozen=True, tag="heard"):
    """Heartbeats of upstreams that arrived at this controller since its last report: the highest sequence by id."""

    sequences: dict[str, Counter]


class PrimaryRequest(msgspec.Struct, frozen=True, tag="forward"):
    """An operator's call, forwarded to the primary: a command, or a read of the configuration where there is none."""

    request_id: Counter = msgspec.field(name="ticket")
    command: Command | None


class PrimaryResponse(msgspec.Struct, frozen=True, tag="forwarded"):
    """How a forwarded call ended.

    Attributes:
        request_id: of the `PrimaryRequest`.
        status: an HTTP status; 0 where the outcome is unknown, which the same command, submitted again, finds out.
        detail: why the call was rejected, in one line.
        value: the configuration as text, where it was read; empty where there is none yet.
    """

    request_id: Counter = msgspec.field(name="ticket")
    status: Annotated[int, msgspec.Meta(ge=0, le=MAX_STATUS)]
    detail: str = ""
    value: str = ""


class PlacementRequest(msgspec.Struct, frozen=True, tag="place"):
    """Asks which engine of a service is the owner of a prompt prefix.

    Attributes:
        service: whose engines are meant.
        prefix: the name of the prefix.
        prompt_tokens: length of the prompt.
        known_engine: where the router has sent the prefix before; None for nowhere.
    """

    service: str
    prefix: str = msgspec.field(name="head")
    prompt_tokens: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TOKENS)] = msgspec.field(name="tokens")
    known_engine: str | None = msgspec.field(default=None, name="known")


class PlacementResponse(msgspec.Struct, frozen=True, tag="placed"):
    """The answer to a `PlacementRequest`.

    Attributes:
        prefix: as in the request.
        engine: the owner; None where no engine is ready.
        is_cached: the prefix was placed there before, so its prefix cache may hold it.
    """

    prefix: str = msgspec.field(name="head")
    engine: str | None
    is_cached: bool = msgspec.field(default=False, name="kept")


class QuotaRequest(msgspec.Struct, frozen=True, tag="quota_request", omit_defaults=True):
    """Asks a controller for units of a tenant's quota; only sent where `Delta.grants_quotas` has said that it may be.

    Attributes:
        request_id: chosen by the sender, for the answer.
        tenant: who uses them.
        units: that a request uses.
        config_sequence: of the configuration in force at the sender.
        is_executed_again: the units are used already, by another execution of a request: there is no answer.
    """

    request_id: Counter
    tenant: str
    units: Units
    config_sequence: Sequence = -1
    is_executed_again: bool = False


class QuotaResponse(msgspec.Struct, frozen=True, tag="quota_response", omit_defaults=True):
    """The answer to a `QuotaRequest`.

    Attributes:
        request_id: as in the request.
        outcome: whether the units were withdrawn.
        retry_after_s: after which they may be there, where they were refused.
    """

    request_id: Counter
    outcome: QuotaOutcome
    retry_after_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RETRY_AFTER_S)] = 0.0


class QuotaRefund(msgspec.Struct, frozen=True, tag="quota_refund"):
    """Units that the receiver granted on this connection were not used."""

    tenant: str
    units: Units


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
    | QuotaRequest
    | QuotaResponse
    | QuotaRefund
)
"""All messages; `type` tells them apart."""
