"""Encoding of call outcomes as messages, and decoding."""

from __future__ import annotations

import msgspec
import pytest

from larkweir.cluster.messages import PrimaryResponse
from larkweir.controller.call_outcome import (
    UNKNOWN,
    CallOutcome,
    Completed,
    Rejected,
    from_message,
    to_message,
)

OUTCOMES: list[tuple[CallOutcome, bytes]] = [
    (Completed(), b'{"type":"forwarded","ticket":3,"status":200,"detail":"","value":""}'),
    (Completed("{}"), b'{"type":"forwarded","ticket":3,"status":200,"detail":"","value":"{}"}'),
    (Rejected(412, "stale"), b'{"type":"forwarded","ticket":3,"status":412,"detail":"stale","value":""}'),
    (UNKNOWN, b'{"type":"forwarded","ticket":3,"status":0,"detail":"","value":""}'),
]


@pytest.mark.parametrize(("outcome", "line"), OUTCOMES)
def test_an_outcome_is_encoded_with_its_request_id(outcome: CallOutcome, line: bytes) -> None:
    assert msgspec.json.encode(to_message(3, outcome)) == line


@pytest.mark.parametrize(("outcome", "line"), OUTCOMES)
def test_an_outcome_is_decoded_from_its_message(outcome: CallOutcome, line: bytes) -> None:
    assert from_message(msgspec.json.decode(line, type=PrimaryResponse)) == outcome
