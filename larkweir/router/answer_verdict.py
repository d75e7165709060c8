"""Decides whether the end of an attempt counts for or against the version that ran it. Pure functions."""

from __future__ import annotations

from enum import Enum, auto
from http import HTTPStatus

from larkweir_balancing.interface import Outcome

# An upstream that takes longer than this multiple of the latency target is too slow, even if the client's deadline
# is short.
SLOW_RESPONSE_FACTOR = 4.0
DEADLINE_MARGIN_MS = 100.0  # a client that disconnects this shortly before the deadline counts as timed out


class AnswerVerdict(Enum):
    """How an attempt is counted for the version that ran it."""

    ANSWERED = auto()
    FAILED = auto()
    NO_EVIDENCE = auto()


def judge_answer(
    outcome: Outcome, status: int, *, is_leaving: bool, is_deadline_over: bool, is_upstream_slow: bool
) -> AnswerVerdict:
    """The verdict on an attempt whose request was sent.

    Args:
        outcome: the outcome of the attempt.
        status: the status of the response; 0 if no head arrived.
        is_leaving: whether the upstream had announced that it is shutting down. A reset by such an upstream is not
            counted against its version.
        is_deadline_over: whether the deadline of the request, less `DEADLINE_MARGIN_MS`, has passed. Clients
            disconnect around that time.
        is_upstream_slow: whether the upstream was silent for much longer than is usual for such a request, or took
            longer than `SLOW_RESPONSE_FACTOR` times the latency target.
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
