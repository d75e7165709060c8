"""How a call of the primary ended: one type for each outcome, and its form on the wire."""

from __future__ import annotations

from dataclasses import dataclass

from larkweir.cluster.messages import PrimaryResponse

STATUS_COMPLETED = 200
STATUS_UNKNOWN = 0  # on the wire only


@dataclass(frozen=True, slots=True)
class Completed:
    """The command was carried out, or the read was confirmed. `value`: the configuration that was read, as JSON."""

    value: str = ""


@dataclass(frozen=True, slots=True)
class Rejected:
    """The primary rejected the call. `status`: the HTTP status for the operator."""

    status: int
    detail: str


@dataclass(frozen=True, slots=True)
class Unknown:
    """The call may or may not have taken effect; a retry with the same command shows which."""


CallOutcome = Completed | Rejected | Unknown
UNKNOWN = Unknown()


def to_message(request_id: int, outcome: CallOutcome) -> PrimaryResponse:
    """The answer to the controller that forwarded the call under this id."""
    match outcome:
        case Completed(value):
            return PrimaryResponse(request_id, STATUS_COMPLETED, value=value)
        case Rejected(status, detail):
            return PrimaryResponse(request_id, status, detail)
        case Unknown():
            return PrimaryResponse(request_id, STATUS_UNKNOWN)


def from_message(message: PrimaryResponse) -> CallOutcome:
    """The outcome that a primary's answer states."""
    if message.status == STATUS_COMPLETED:
        return Completed(message.value)
    if message.status == STATUS_UNKNOWN:
        return UNKNOWN
    return Rejected(message.status, message.detail)
