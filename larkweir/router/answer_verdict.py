"""What the end of an attempt says of the version that ran it. Pure rules."""

from __future__ import annotations

from enum import Enum, auto
from http import HTTPStatus

from larkweir_balancing.interface import Outcome

SLOW_RESPONSE_FACTOR = 4.0  # times the latency target, after which a deadline is no excuse for an upstream
DEADLINE_MARGIN_MS = (
    100.0  # before the deadline, from which a client that disconnects has waited for its whole time
)


class AnswerVerdict(Enum):
    """How an attempt counts for a version."""

    ANSWERED = auto()
    FAILED = auto()
    NO_EVIDENCE = auto()


def judge_answer(
    outcome: Outcome, status: int, *, is_leaving: bool, is_deadline_over: bool, is_upstream_slow: bool
) -> AnswerVerdict:
    """The verdict on an attempt whose request was sent.

    Args:
        outcome: of the attempt.
        status: of the response; 0 where no head arrived.
        is_leaving: the upstream had announced that it stops: a connection that ends there is no fault of its version.
        is_deadline_over: that of the request, but for `DEADLINE_MARGIN_MS`: clients disconnect then.
        is_upstream_slow: it was silent for much longer than others are, or had `SLOW_RESPONSE_FACTOR` times the target.
    """
    failed = False
    match outcome:
        case Outcome.OK | Outcome.ERROR:
            failed = status >= HTTPStatus.INTERNAL_SERVER_ERROR
            if outcome is Outcome.OK and not failed:
                return AnswerVerdict.ANSWERED
        case Outcome.RESET:
            failed = not is_leaving
        case Outcome.TIMEOUT:
            failed = is_upstream_slow
        case Outcome.CANCELLED:
            failed = is_deadline_over and is_upstream_slow
    return AnswerVerdict.FAILED if failed else AnswerVerdict.NO_EVIDENCE
