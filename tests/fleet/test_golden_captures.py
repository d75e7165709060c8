"""The records of requests that captures keep are written as the release before wrote them, byte for byte."""

from __future__ import annotations

from pathlib import Path

from larkweir_balancing.interface import AttemptEnded, ClientGone, Outcome, RequestArrived

from tests.fleet.test_captures_rules import One

GOLDEN = Path(__file__).parent / "golden" / "captures.jsonl"


def written() -> list[bytes]:
    """Lines of requests that ended in each way, and of one whose attempt's answer never came."""
    one = One(slow_ms=100.0)
    first = one.arrive(10.0, 1, b"th:0;rv:80000000000000;k:00000001;n:0.0;by:10.0.0.9:1")
    first.on_answer(b"th:0;by:10.0.0.5:1", True)
    one.tell(40.0, AttemptEnded(1, 0, one.sent[0].server, Outcome.OK, True, 30.0))
    one.arrive(41.0, 2)
    one.tell(42.0, AttemptEnded(2, 0, one.sent[1].server, Outcome.REJECTED, False, 2.0))
    third = one.arrive(43.0, 3)
    third.on_answer(None, True)
    one.tell(44.5, ClientGone(3))
    one.arrive(45.0, 4)
    one.tell(400.25, AttemptEnded(4, 0, one.sent[-1].server, Outcome.OK, True, 355.25))
    fifth = one.arrive(401.0, 5)
    fifth.closed(500)
    refused = one.recorder.baggage_for(None, b"id-7", RequestArrived(7, 0, 1.0), 500.0)
    refused.closed(503)
    return [line for now in (500.0, 600.0, 1_500.0, 4_000.0) for line in one.node.tick(now)]


def test_records_are_written_as_before() -> None:
    assert b"".join(written()) == GOLDEN.read_bytes()
