"""Retries of operators' calls, and the responses to operators."""

from __future__ import annotations

import asyncio

import msgspec
import pytest
from larkweir_replication.messages import MAX_COUNTER, Command

from larkweir.cluster.http_server import Request, Response
from larkweir.cluster.messages import PrimaryRequest
from larkweir.controller import operator_api
from larkweir.controller.call_outcome import UNKNOWN, CallOutcome, Completed, Rejected
from larkweir.controller.operator_api import OperatorApi

PUT = Request("PUT", "/config", {"if-match": "0"}, b"{}")


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "RETRY_PAUSE_S", 0.0)
    monkeypatch.setattr(operator_api, "ANSWER_TIMEOUT_S", 0.2)


class Primary:
    """Returns the given outcomes in order, and then repeats the last one."""

    def __init__(self, *outcomes: CallOutcome) -> None:
        self.outcomes = list(outcomes)
        self.commands: list[Command | None] = []

    async def call(self, command: Command | None) -> CallOutcome:
        self.commands.append(command)
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]


def error(response: Response) -> str:
    return str(msgspec.json.decode(response.body)["error"])


@pytest.mark.parametrize(
    ("outcome", "status", "detail"),
    [
        (Completed(), 200, None),
        (Rejected(412, "stale"), 412, "stale"),
        (Rejected(503, "too old"), 503, "too old"),
        (UNKNOWN, 503, "no primary answers"),
    ],
)
def test_answers_to_a_change(outcome: CallOutcome, status: int, detail: str | None) -> None:
    response = asyncio.run(OperatorApi(Primary(outcome).call).change(PUT))
    assert response.status == status
    assert response.body == b"{}" if detail is None else error(response) == detail


@pytest.mark.parametrize(
    ("outcome", "status", "body"),
    [
        (Completed('{"generation":1}'), 200, b'{"generation":1}'),
        (Completed(), 404, b'{"error":"there is no configuration yet"}'),
        (Rejected(412, "odd"), 503, b'{"error":"odd"}'),
        (UNKNOWN, 503, b'{"error":"no primary answers"}'),
    ],
)
def test_answers_to_a_read(outcome: CallOutcome, status: int, body: bytes) -> None:
    response = asyncio.run(OperatorApi(Primary(outcome).call).get())
    assert (response.status, response.body) == (status, body)


def test_the_same_command_is_retried_while_its_outcome_is_unknown() -> None:
    primary = Primary(UNKNOWN, UNKNOWN, Completed())
    assert asyncio.run(OperatorApi(primary.call).change(PUT)).status == 200
    assert len(primary.commands) == 3
    assert len(set(primary.commands)) == 1


def test_a_rejected_command_is_not_retried() -> None:
    primary = Primary(Rejected(400, "invalid"), Completed())
    assert asyncio.run(OperatorApi(primary.call).change(PUT)).status == 400
    assert len(primary.commands) == 1


@pytest.mark.parametrize("base", ["", "x", "-1", "\u0663", "9" * 17, "9" * 5_000, str(2**53), "9" * 16])
def test_an_invalid_base_version_is_rejected(base: str) -> None:
    primary = Primary(Completed())
    request = Request("PUT", "/config", {"if-match": base}, b"{}")
    response = asyncio.run(OperatorApi(primary.call).change(request))
    assert response.status == 400
    assert "If-Match" in error(response)
    assert primary.commands == []


def test_the_largest_base_version_reaches_the_primary_in_a_message_between_controllers() -> None:
    # Guards against an If-Match that ends the link between two controllers.
    primary = Primary(Rejected(412, "stale"))
    request = Request("PUT", "/config", {"if-match": str(MAX_COUNTER)}, b"{}")
    assert asyncio.run(OperatorApi(primary.call).change(request)).status == 412
    sent = msgspec.json.encode(PrimaryRequest(1, primary.commands[0]))
    assert msgspec.json.decode(sent, type=PrimaryRequest).command == primary.commands[0]
