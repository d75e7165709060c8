"""Outcomes of a call to the primary: one type for each outcome, and its conversion to and from a message."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir.cluster.messages import PrimaryResponse

STATUS_COMPLETED = 200
STATUS_UNKNOWN = 0  # only in messages between controllers


@dataclass(frozen=True, slots=True)
class Completed:
    """The command was executed or the read was confirmed. `value`: the configuration that was read, as JSON."""

    value: str = ""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The primary rejected the call. `status`: the HTTP status that the operator receives."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call may or may not have taken effect; retrying the same command determines which."""


CallOutcome = Completed | Rejected | Unknown
UNKNOWN = Unknown()


def to_message(request_id: int, outcome: CallOutcome) -> PrimaryResponse:
    """Returns the response to the controller that forwarded the call with this request id."""
    match outcome:
        case Completed(value):
            return PrimaryResponse(request_id, STATUS_COMPLETED, value=value)
        case Rejected(status, detail):
            return PrimaryResponse(request_id, status, detail)
        case Unknown():
            return PrimaryResponse(request_id, STATUS_UNKNOWN)


def from_message(message: PrimaryResponse) -> CallOutcome:
    """Returns the outcome that a response of the primary contains."""
    if message.status == STATUS_COMPLETED:
        return Completed(message.value)
    if message.status == STATUS_UNKNOWN:
        return UNKNOWN
    return Rejected(message.status, message.detail)
