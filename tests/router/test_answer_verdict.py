"""Whether the end of an attempt counts for or against the version that ran it."""

from __future__ import annotations

import pytest
from larkweir_balancing.interface import Outcome

from larkweir.router.answer_verdict import AnswerVerdict, judge_answer

ANSWERED, FAILED, NONE = AnswerVerdict.ANSWERED, AnswerVerdict.FAILED, AnswerVerdict.NO_EVIDENCE


@pytest.mark.parametrize(
    ("outcome", "status", "is_leaving", "is_deadline_over", "is_upstream_slow", "verdict"),
    [
        (Outcome.OK, 200, False, False, False, ANSWERED),
        (Outcome.OK, 404, False, False, False, ANSWERED),
        (Outcome.OK, 500, False, False, False, FAILED),
        (
            Outcome.OK,
            503,
            False,
            False,
            False,
            FAILED,
        ),  # relayed, as the upstream did not guarantee that the request was not executed
        (Outcome.OK, 200, True, True, True, ANSWERED),
        (Outcome.ERROR, 500, False, False, False, FAILED),
        (Outcome.ERROR, 500, True, False, False, FAILED),
        (Outcome.ERROR, 429, False, False, False, NONE),
        (Outcome.RESET, 0, False, False, False, FAILED),
        (Outcome.RESET, 200, False, False, False, FAILED),
        (Outcome.RESET, 200, True, False, True, NONE),
        (Outcome.TIMEOUT, 0, False, True, False, NONE),
        (Outcome.TIMEOUT, 0, False, True, True, FAILED),
        (Outcome.TIMEOUT, 0, False, False, True, FAILED),
        (Outcome.CANCELLED, 200, False, False, True, NONE),
        (Outcome.CANCELLED, 200, False, True, False, NONE),
        (Outcome.CANCELLED, 200, False, True, True, FAILED),
        (Outcome.FULL, 503, False, False, True, NONE),
        (Outcome.CONNECT_FAILED, 421, False, False, True, NONE),
        (Outcome.REJECTED, 500, False, False, True, NONE),
        (Outcome.MOOT, 0, False, False, True, NONE),
    ],
)
def test_verdict_of_each_outcome(
    outcome: Outcome,
    status: int,
    is_leaving: bool,
    is_deadline_over: bool,
    is_upstream_slow: bool,
    verdict: AnswerVerdict,
) -> None:
    found = judge_answer(
        outcome,
        status,
        is_leaving=is_leaving,
        is_deadline_over=is_deadline_over,
        is_upstream_slow=is_upstream_slow,
    )
    assert found is verdict
