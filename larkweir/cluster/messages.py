"""The wire protocol between routers and controllers: one JSON object per line, tagged by its field `type`.

Each router and controller opens a connection to each controller, and sends `Hello` first. Some fields have an older
name on the wire than in the code. These names must not change, as processes of different versions form one fleet.
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
MAX_TOKENS = 10**12  # prompt tokens of all routers that wait at one engine
MAX_COUNT = 10**9  # requests that ended within a few seconds
MAX_ROUTERS = 1_000_000
MAX_STATUS = 599  # the highest HTTP status
MAX_CLOCK_MS = 1e15  # the highest reading of a monotonic clock
MAX_AGE_MS = 1e12  # the highest age of a roll-out order
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
        role: the role of the sender.
        incarnation: an identifier that is new at every start of the sender's process.
    """

    node: str
    role: NodeRole = msgspec.field(name="kind")
    incarnation: str = msgspec.field(name="life")


class Ping(msgspec.Struct, frozen=True, tag="ping"):
    """Keeps an idle connection alive: without any message it is closed after `links.IDLE_TIMEOUT_MS`."""


class Pull(msgspec.Struct, frozen=True, tag="pull", omit_defaults=True):
    """A long poll for updates. The receiver answers with a `Delta` as soon as it has news, or empty after a while.

    Attributes:
        config_sequence: the sequence of the configuration in force at the sender; -1 for none.
        vector: the version vector of the sender's upstream records; None if unchanged since the last pull on this
            connection.
        usage: by tenant, the units that the sender has admitted since it started. Only sent to controllers without
            share leases.
        sent_ms: when the pull was sent, by the sender's monotonic clock.
        queued_prefill_tokens: by engine, the prompt tokens of the sender's calls that wait for prefill there.
        outcomes: by upstream with recent failures, how many of the sender's calls succeeded and failed there within
            the window.
        records: all upstream records of the sender. Only sent if the last delta on this connection asked for them.
        rollouts: by service with a running roll-out, the sender's samples of it. Services without a change since the
            last pull on this connection are left out.
        encodings: the encodings in which the sender accepts large configurations. Only sent if the last delta on this
            connection asked for them.
        quota_snapshot: what the sender knows about the fleet; sent in the first pull on a connection.
        quota_claim: the share of all quotas that the sender holds; only controllers hold one.
        is_leaving: the sender is a router that is shutting down, so nothing is to be reserved for it.
        unusable_config_sequence: the sequence of a complete configuration that the sender could not apply, and so does
            not want again; -1 for none.
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
    unusable_config_sequence: Sequence = -1


class PrefillQueueUpdate(msgspec.Struct, frozen=True, tag="waiting"):
    """Updates `Pull.queued_prefill_tokens` before the next pull; sent by a router that has just sent a long prompt."""

    tokens: dict[str, Tokens]


class ConfigUpdate(msgspec.Struct, frozen=True):
    """A committed configuration.

    Attributes:
        sequence: the sequence of this configuration.
        base_sequence: the sequence of the configuration to which `body` is a patch; -1 if `body` is a complete
            configuration.
        body: the patch or the complete configuration.
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
    """How long ago a running roll-out was ordered, by the monotonic clock of a process that has known it since then.

    Attributes:
        order_id: identifies the roll-out (`Rollout.order_id`).
        elapsed_ms: the time since the order.
    """

    order_id: str
    elapsed_ms: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_AGE_MS)]


class Delta(msgspec.Struct, frozen=True, tag="delta", omit_defaults=True):
    """The answer to a `Pull`.

    Attributes:
        config: a newer configuration; None for no change. Only sent to routers.
        records: upstream records that the receiver lacks.
        vector: the version vector of the receiver after it has merged `records`.
        controllers: the nodes of all known controllers; empty if unchanged since the last delta on this connection.
        router_count: the number of routers that are connected to the sender.
        quotas: the status of the tenants in `Pull.usage`.
        queued_prefill_tokens: for the busiest engines, the prompt tokens of all other routers that wait there.
        ejected: upstreams that outlier ejection excludes; None if unchanged since the last delta on this connection.
        wants_records: the sender has lost its upstream records, so the next pull should carry those of the receiver.
        compressed_config: sent in place of `config` to a receiver that has named its encodings.
        wants_encodings: a large configuration is ready to be sent, so the next pull should name the encodings that the
            receiver accepts.
        quotas_unknown: the sender holds no share or has no configuration, so `quotas` has no information on any tenant.
        rollout_ages: the age of each running roll-out, by service. Only sent to controllers.
        grants_quotas: whether the sender holds a share of all quotas, so that the receiver may request units from it;
            None if the sender's version has no share leases.
        quota_offer: a share lease that the primary offers to another controller.
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


class HeartbeatReport(msgspec.Struct, frozen=True, tag="heard", omit_defaults=True):
    """What a controller knows of upstreams beside their records; sent to all other controllers.

    Attributes:
        sequences: the upstream heartbeats that arrived at the sender since its last report: the highest sequence by
            upstream id.
        durable_vector: the version vector of the upstream records on the sender's disk; None if unchanged since the
            last report on this connection. Releases that acknowledge departures from memory never send it.
    """

    sequences: dict[str, Counter]
    durable_vector: VersionVector | None = msgspec.field(default=None, name="durable")


class PrimaryRequest(msgspec.Struct, frozen=True, tag="forward"):
    """An operator's call, forwarded to the primary. Without a `command` it reads the configuration."""

    request_id: Counter = msgspec.field(name="ticket")
    command: Command | None


class PrimaryResponse(msgspec.Struct, frozen=True, tag="forwarded"):
    """The outcome of a forwarded call.

    Attributes:
        request_id: as in the `PrimaryRequest`.
        status: an HTTP status; 0 if the outcome is unknown. Submitting the same command again then reveals it.
        detail: why the call was rejected, in one line.
        value: for a read, the configuration as text; empty if there is none yet.
    """

    request_id: Counter = msgspec.field(name="ticket")
    status: Annotated[int, msgspec.Meta(ge=0, le=MAX_STATUS)]
    detail: str = ""
    value: str = ""


class PlacementRequest(msgspec.Struct, frozen=True, tag="place"):
    """Asks which engine of a service owns a prompt prefix.

    Attributes:
        service: the service to whose engines the prefix may be assigned.
        prefix: the name of the prefix.
        prompt_tokens: the length of the prompt.
        known_engine: the engine to which the router has sent the prefix before; None if it has not.
    """

    service: str
    prefix: str = msgspec.field(name="head")
    prompt_tokens: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_TOKENS)] = msgspec.field(name="tokens")
    known_engine: str | None = msgspec.field(default=None, name="known")


class PlacementResponse(msgspec.Struct, frozen=True, tag="placed"):
    """The answer to a `PlacementRequest`.

    Attributes:
        prefix: as in the request.
        engine: the owner; None if no engine is ready.
        is_cached: whether the prefix was placed there before, so that the engine's prefix cache may contain it.
    """

    prefix: str = msgspec.field(name="head")
    engine: str | None
    is_cached: bool = msgspec.field(default=False, name="kept")


class QuotaRequest(msgspec.Struct, frozen=True, tag="quota_request", omit_defaults=True):
    """Requests units of a tenant's quota from a controller; only sent if its last `Delta.grants_quotas` was true.

    Attributes:
        request_id: chosen by the sender; repeated in the response.
        tenant: the tenant to charge.
        units: the units that a client's request uses.
        config_sequence: the sequence of the configuration in force at the sender.
        is_executed_again: the units were already used by another execution of a client's request. They are charged
            without a response.
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
        outcome: whether the units were granted.
        retry_after_s: if the units were refused, when they may be available.
    """

    request_id: Counter
    outcome: QuotaOutcome
    retry_after_s: Annotated[float, msgspec.Meta(ge=0.0, le=MAX_RETRY_AFTER_S)] = 0.0


class QuotaRefund(msgspec.Struct, frozen=True, tag="quota_refund"):
    """Returns units that the receiver granted on this connection and that were not used."""

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
"""All messages, distinguished by their field `type`."""
