"""Golden lines of the wire protocol, as written by version 0.2 of the fleet, with at least one of every message type.

Processes are updated one at a time, so every later version must read and write these lines in the same way. The lines
are in `tests/cluster/golden_messages.jsonl`; this file defines the messages in the same order.
"""

from __future__ import annotations

from pathlib import Path
from typing import get_args

import msgspec
import pytest
from larkweir_balancing.fleet_outlier_detection import OutcomeCounts
from larkweir_quotas.limits import QuotaSnapshot, QuotaStatus
from larkweir_quotas.quota_allocator import QuotaOutcome
from larkweir_quotas.share_leases import ShareClaim, ShareOffer
from larkweir_registry.records import Record, Upstream, UpstreamState
from larkweir_replication.messages import Command
from larkweir_replication.messages import Message as ReplicationMessage
from larkweir_rollouts.samples import RolloutReport, RouteSamples, TrackSamples

from larkweir.cluster.configuration.changes import ConfigurationChange, apply_change, configuration_version
from larkweir.cluster.configuration.documents import make_patch
from larkweir.cluster.configuration.rollout_commands import RolloutAbort, replicated_command
from larkweir.cluster.messages import (
    CompressedConfigUpdate,
    ConfigUpdate,
    Delta,
    HeartbeatReport,
    Hello,
    Message,
    NodeRole,
    Ping,
    PlacementRequest,
    PlacementResponse,
    PrefillQueueUpdate,
    PrimaryRequest,
    PrimaryResponse,
    Pull,
    QuotaRefund,
    QuotaRequest,
    QuotaResponse,
    Replication,
    RolloutAge,
)

LINES = (Path(__file__).parent / "golden_messages.jsonl").read_bytes().splitlines()
REPLICATION = [line for line in LINES if line.startswith(b'{"type":"replication"')]
OTHERS = [line for line in LINES if line not in REPLICATION]

UPSTREAM = Upstream("u-1", "chat", "10.0.0.5:9000", "z2", 8, 41, UpstreamState.DRAINING, 40)
VERSIONED_UPSTREAM = msgspec.structs.replace(UPSTREAM, reported_version="v2")
TARGET = TrackSamples(
    2, {"draft": RouteSamples(7, 1, {0: 2, 31: 6}, {9: 8})}, failures_by_upstream={"u-1": 1}
)
MESSAGES: list[Message] = [
    Hello("10.0.0.1", NodeRole.ROUTER, "a1b2c3d4e5f6"),
    Hello("10.0.0.2", NodeRole.CONTROLLER, "0f1e2d3c4b5a"),
    Ping(),
    Pull(),
    Pull(12, {"10.0.0.2/0f": 7}, {"acme": 32.5}, 1_234.0, {"e-1": 4_096}, {"u-1": OutcomeCounts(5, 2)}),
    PrefillQueueUpdate({}),
    PrefillQueueUpdate({"e-1": 4_096, "e-2": 12}),
    Delta(),
    Delta(
        ConfigUpdate(13, 12, msgspec.Raw(b'{"upsert":{"routes":[]},"remove":{}}')),
        [Record(UPSTREAM, "10.0.0.2/0f", 8)],
        {"10.0.0.2/0f": 8},
        ["10.0.0.2", "10.0.0.3"],
        9,
        {"acme": QuotaStatus(-40, 320, True)},
        {"e-1": 9_000},
        ["u-2"],
    ),
    Delta(ConfigUpdate(3, -1, msgspec.Raw(b'{"generation":4,"routes":[],"services":[]}')), ejected=[]),
    HeartbeatReport({"u-1": 42, "u-2": 7}),
    HeartbeatReport({}, {"10.0.0.1/a": 3}),
    PrimaryRequest(5, None),
    PrimaryRequest(6, Command("0123456789abcdef01234567", 4, '{"patch":true,"base":4,"body":"{}"}')),
    PrimaryResponse(5, 200, "", '{"generation":4}'),
    PrimaryResponse(6, 412, "the version in place is 5, not 4"),
    PrimaryResponse(7, 0),
    PlacementRequest("chat", "6f1d", 5_000.0),
    PlacementRequest("chat", "6f1d", 5_000.5, "e-1"),
    PlacementResponse("6f1d", None),
    PlacementResponse("6f1d", "e-1", True),
    # Added by later versions, which omit these fields unless the receiver needs them.
    Pull(vector={}, records=[Record(UPSTREAM, "10.0.0.2/0f", 8)]),
    Delta(wants_records=True),
    Delta(records=[Record(VERSIONED_UPSTREAM, "10.0.0.2/0f", 9)]),
    Pull(14, rollouts={"chat": RolloutReport("v2/1764771837000", TARGET, TrackSamples(3))}),
    PrimaryRequest(8, replicated_command(RolloutAbort("chat"))),
    Pull(3, encodings=["deflate"]),
    Delta(wants_encodings=True),
    Delta(compressed_config=CompressedConfigUpdate(13, 12, b"deflated")),
    Delta(rollout_ages={"chat": RolloutAge("v2/1764771837000", 4_000.5)}),
    Pull(3, quota_claim=ShareClaim((7, "10.0.0.2"), 200_000, 195)),
    Pull(3, quota_snapshot=QuotaSnapshot(process_count=195)),
    Pull(3, is_leaving=True),
    Delta(grants_quotas=True),
    Delta(grants_quotas=False, quotas_unknown=True),
    Delta(quota_offer=ShareOffer((7, "10.0.0.2"), 250_000)),
    QuotaRequest(9, "acme", 17_020.0, 13),
    QuotaRequest(0, "acme", 17_020.0, is_executed_again=True),
    QuotaResponse(9, QuotaOutcome.GRANTED),
    QuotaResponse(9, QuotaOutcome.REFUSED, 0.25),
    QuotaResponse(9, QuotaOutcome.UNDECIDED),
    QuotaRefund("acme", 17_020.0),
]


@pytest.mark.parametrize(("message", "line"), zip(MESSAGES, OTHERS, strict=True))
def test_a_message_is_written_and_read_the_same(message: Message, line: bytes) -> None:
    assert msgspec.json.encode(message) == line
    assert msgspec.json.decode(line, type=Message) == message


@pytest.mark.parametrize("line", REPLICATION)
def test_a_replication_message_is_read_and_written_the_same(line: bytes) -> None:
    message = msgspec.json.decode(line, type=Message)
    assert isinstance(message, Replication)
    assert msgspec.json.encode(message) == line


def test_every_message_type_has_a_golden_line() -> None:
    assert {type(message) for message in MESSAGES} | {Replication} == set(get_args(Message))
    carried = {type(msgspec.json.decode(line, type=Replication).message) for line in REPLICATION}
    assert carried == set(get_args(ReplicationMessage))


def test_missing_and_unknown_fields_are_accepted() -> None:
    assert msgspec.json.decode(
        b'{"type":"forwarded","ticket":1,"status":200}', type=Message
    ) == PrimaryResponse(1, 200)
    assert msgspec.json.decode(
        b'{"type":"placed","head":"h","engine":null}', type=Message
    ) == PlacementResponse("h", None)
    assert msgspec.json.decode(b'{"type":"pull","added_later":{"a":[1]}}', type=Message) == Pull()


CHANGE = ConfigurationChange(True, 4, '{"generation":5,"upsert":{"tenants":[{"name":"é"}]}}')


def test_a_change_of_the_configuration_and_its_identity() -> None:
    text = '{"patch":true,"base":4,"body":"{\\"generation\\":5,\\"upsert\\":{\\"tenants\\":[{\\"name\\":\\"é\\"}]}}"}'
    assert CHANGE.encode() == text
    assert msgspec.json.decode(text, type=ConfigurationChange) == CHANGE
    assert CHANGE.identity == "2178d9fcc729af6a6dba613f"
    assert ConfigurationChange(False, 0, "{}").identity == "8b690a83cd7ce51a4c90196e"


def test_the_document_after_a_change() -> None:
    complete = '{"generation":4,"routes":[],"services":[{"name":"s","max_conns":3,"kept":{"as":"it is"}}]}'
    first = apply_change("", ConfigurationChange(False, 0, complete).encode()).unwrap()
    assert first == complete
    assert configuration_version(complete) == 4
    assert apply_change(complete, CHANGE.encode()).unwrap() == complete.replace(":4,", ":5,", 1).removesuffix(
        "}"
    ) + (',"tenants":[{"name":"é"}]}')


def test_the_patch_between_two_configurations() -> None:
    old = {"generation": 4, "routes": [{"name": "a"}, {"name": "b"}], "limits": {"max_body_bytes": 1}}
    new = {"generation": 4, "routes": [{"name": "b"}, {"name": "c"}], "limits": {"max_body_bytes": 2}}
    patch = make_patch(old, new)
    unchanged = make_patch(old, old)
    assert patch is not None and unchanged is not None
    assert patch.to_json() == {
        "upsert": {"routes": [{"name": "c"}]},
        "remove": {"routes": ["a"]},
        "limits": {"max_body_bytes": 2},
    }
    assert msgspec.json.encode(unchanged.to_json()) == b'{"upsert":{},"remove":{}}'
    assert patch.apply_to(old) == new
