"""Responses to operators who order, read and abort roll-outs, by the outcome of the call at the primary."""

from __future__ import annotations

import asyncio
from typing import Any

import msgspec
import pytest
from larkweir_replication.messages import Command
from larkweir_rollouts.schedule import CANARY_WEIGHT
from larkweir_rollouts.state import Rollout, RolloutState

from larkweir.cluster.configuration.rollout_commands import RolloutAbort, RolloutOrder, encode
from larkweir.cluster.http_server import Request, Response
from larkweir.controller import operator_api, rollouts_api
from larkweir.controller.call_outcome import UNKNOWN, CallOutcome, Completed, Rejected
from larkweir.controller.rollouts_api import MAX_BODY_BYTES, RolloutsApi
from tests.controller.rollout_factories import ORDERED_UNIX_MS, document, rollout

BODY = b'{"backend":"s","target_version":"v2","duration_s":12}'
POST = Request("POST", "/rollouts", {}, BODY)
CANARY = rollout(target_weight=CANARY_WEIGHT)


@pytest.fixture(autouse=True)
def short_timeouts(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operator_api, "RETRY_PAUSE_S", 0.0)
    monkeypatch.setattr(operator_api, "ANSWER_TIMEOUT_S", 0.2)
    monkeypatch.setattr(rollouts_api, "READ_BACK_TIMEOUT_S", 0.2)
    monkeypatch.setattr(rollouts_api, "unix_ms", lambda: ORDERED_UNIX_MS)


class Primary:
    """Returns the given outcomes to commands in order, then repeats the last one. Answers reads with its roll-outs."""

    def __init__(
        self, *outcomes: CallOutcome, holds: tuple[Rollout, ...] = (), read: CallOutcome | None = None
    ) -> None:
        self.outcomes = list(outcomes)
        self.commands: list[Command] = []
        value = msgspec.json.encode(document(*holds)).decode()
        self.read = read or Completed(value)

    async def call(self, command: Command | None) -> CallOutcome:
        if command is None:
            return self.read
        self.commands.append(command)
        return self.outcomes.pop(0) if len(self.outcomes) > 1 else self.outcomes[0]


def order(primary: Primary, request: Request = POST) -> Response:
    return asyncio.run(RolloutsApi(primary.call).order(request))


def decoded(response: Response) -> Any:
    return msgspec.json.decode(response.body)


def test_an_order_starts_with_the_canary_weight_and_is_answered_with_its_state() -> None:
    primary = Primary(Completed(), holds=(CANARY,))
    response = order(primary)
    assert [command.text for command in primary.commands] == [encode(RolloutOrder(CANARY))]
    assert response.status == 200
    assert decoded(response) == {
        "state": "running",
        "target_version": "v2",
        "target_weight": CANARY_WEIGHT,
        "reason": "",
        "backend": "s",
        "duration_s": 12.0,
    }


@pytest.mark.parametrize("read", [UNKNOWN, Rejected(503, "odd"), Completed()])
def test_an_order_is_acknowledged_also_where_it_cannot_be_read_back(read: CallOutcome) -> None:
    response = order(Primary(Completed(), read=read))
    assert (response.status, response.body) == (200, b"{}")


def test_an_order_is_retried_while_its_outcome_is_unknown() -> None:
    primary = Primary(UNKNOWN, UNKNOWN, Completed(), holds=(CANARY,))
    assert order(primary).status == 200
    assert len(primary.commands) == 3
    assert len(set(primary.commands)) == 1, "all attempts have the order time of the first"


@pytest.mark.parametrize(
    ("outcome", "status", "detail"),
    [
        (Rejected(409, "another one"), 409, "another one"),
        (Rejected(404, "no service"), 404, "no service"),
        (UNKNOWN, 503, "no primary answers"),
    ],
)
def test_an_order_that_was_not_carried_out(outcome: CallOutcome, status: int, detail: str) -> None:
    response = order(Primary(outcome))
    assert (response.status, decoded(response)) == (status, {"error": detail})


def test_a_body_that_is_too_long_is_not_read() -> None:
    primary = Primary(Completed())
    body = BODY[:-1] + b',"odd":"%s"}' % (b"x" * MAX_BODY_BYTES)
    assert order(primary, Request("POST", "/rollouts", {}, body)).status == 413
    assert primary.commands == []


def test_reads_of_one_and_of_all() -> None:
    ended = rollout(service="t", state=RolloutState.ROLLED_BACK, reason="it failed")
    api = RolloutsApi(Primary(holds=(CANARY, ended)).call)
    found = decoded(asyncio.run(api.get("t")))
    assert (found["state"], found["reason"]) == ("rolled_back", "it failed")
    assert [one["backend"] for one in decoded(asyncio.run(api.list()))] == ["s", "t"]
    assert asyncio.run(api.get("nobody")).status == 404


@pytest.mark.parametrize(
    ("read", "one", "all_"),
    [(Completed(), 404, 200), (UNKNOWN, 503, 503), (Rejected(412, "odd"), 503, 503)],
)
def test_reads_without_a_configuration_or_a_primary(read: CallOutcome, one: int, all_: int) -> None:
    api = RolloutsApi(Primary(read=read).call)
    assert asyncio.run(api.get("s")).status == one
    assert asyncio.run(api.list()).status == all_


def test_an_abort() -> None:
    primary = Primary(Completed(), holds=(rollout(state=RolloutState.ROLLED_BACK),))
    response = asyncio.run(RolloutsApi(primary.call).abort("s"))
    assert [command.text for command in primary.commands] == [encode(RolloutAbort("s"))]
    assert (response.status, decoded(response)["state"]) == (200, "rolled_back")
