"""Commands that order, advance and abort roll-outs of services, and how they change the committed document.

Their encoded form has a tag, unlike that of a `ConfigurationChange`. A repeated command is recognised by the state of
the roll-out in the document, so the replicas need not remember the commands that they have applied.
"""

from __future__ import annotations

import msgspec
from larkweir_replication.messages import Command
from larkweir_rollouts.orders import Advance, OrderConflict, advance, place_order, rollout_of
from larkweir_rollouts.state import Rollout, RolloutState
from result import Err, Ok, Result

from larkweir.cluster.configuration.changes import Rejection, RejectionReason
from larkweir.cluster.configuration.documents import Document
from larkweir.cluster.configuration.rollouts import Rollouts, rollouts_of, service_names, with_rollouts

ABORTED = "aborted by the operator"


class RolloutOrder(msgspec.Struct, frozen=True, tag="rollout_order"):
    """An operator orders a roll-out. `rollout` is its initial state."""

    rollout: Rollout


class RolloutAdvance(msgspec.Struct, frozen=True, tag="rollout_advance"):
    """The primary advances a roll-out by a step. It has no effect if that roll-out is no longer in place or running."""

    step: Advance


class RolloutAbort(msgspec.Struct, frozen=True, tag="rollout_abort"):
    """An operator aborts the running roll-out of a service, which rolls it back. Repeating it has no effect."""

    service: str


RolloutCommand = RolloutOrder | RolloutAdvance | RolloutAbort


def encode(command: RolloutCommand) -> str:
    """Return the command as text, for `commands.apply_command`."""
    return msgspec.json.encode(command).decode()


def replicated_command(command: RolloutCommand) -> Command:
    """Return the command as the replicas store it: without a base version, and without an identity to remember."""
    return Command(identity="", base=0, text=encode(command))


def apply_rollout_command(value: str, text: str) -> Result[str, object]:
    """Return the next committed document as text, or a `Rejection`.

    Args:
        value: the current document as text; empty if there is none yet.
        text: an encoded `RolloutCommand`.
    """
    try:
        command: RolloutCommand = msgspec.json.decode(text, type=RolloutCommand)
    except msgspec.ValidationError as error:  # sent by a controller of a later release
        return Err(Rejection(RejectionReason.UNAVAILABLE, f"this primary does not know the command: {error}"))
    if not value:
        return Err(Rejection(RejectionReason.UNAVAILABLE, "there is no configuration yet"))
    document: Document = msgspec.json.decode(value)
    present = rollouts_of(document)
    match command:
        case RolloutOrder(rollout):
            changed = _ordered(document, present, rollout)
        case RolloutAdvance(step):
            changed = advance(present, step)
        case RolloutAbort(service):
            changed = _aborted(present, service)
    if isinstance(changed, Rejection):
        return Err(changed)
    if changed == present:
        return Ok(value)
    return Ok(msgspec.json.encode(with_rollouts(document, changed)).decode())


def _ordered(document: Document, present: Rollouts, order: Rollout) -> Rollouts | Rejection:
    if order.service not in service_names(document):
        return Rejection(RejectionReason.NOT_FOUND, f"there is no service {order.service}")
    placed = place_order(present, order)
    if isinstance(placed, OrderConflict):
        return Rejection(RejectionReason.CONFLICT, placed.detail)
    return placed


def _aborted(present: Rollouts, service: str) -> Rollouts | Rejection:
    rollout = rollout_of(present, service)
    if rollout is None:
        return Rejection(RejectionReason.NOT_FOUND, f"there was no roll-out of {service}")
    if rollout.state is RolloutState.ROLLED_BACK and rollout.reason == ABORTED:
        return present
    if not rollout.is_running:
        return Rejection(RejectionReason.CONFLICT, f"the roll-out of {service} is {rollout.state}")
    return advance(present, Advance(service, rollout.order_id, RolloutState.ROLLED_BACK, 0.0, ABORTED))
