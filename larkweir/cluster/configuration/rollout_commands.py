"""Commands that place, advance and abort roll-outs of services, and what each does to the committed document.

Their encoded form begins with a tag, which a `ConfigurationChange` does not have. A command that is repeated is
recognised by the roll-out that it finds, so that the replicas need not remember it.
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
    """An operator's order. `rollout`: as it begins."""

    rollout: Rollout


class RolloutAdvance(msgspec.Struct, frozen=True, tag="rollout_advance"):
    """The primary's next step; it does nothing where its order is not in place and running any more."""

    step: Advance


class RolloutAbort(msgspec.Struct, frozen=True, tag="rollout_abort"):
    """An operator ends the running roll-out of a service: it is rolled back. One that was aborted stays so."""

    service: str


RolloutCommand = RolloutOrder | RolloutAdvance | RolloutAbort


def encode(command: RolloutCommand) -> str:
    """Return it as text, for `commands.apply_command`."""
    return msgspec.json.encode(command).decode()


def replicated_command(command: RolloutCommand) -> Command:
    """Return it for the replicas. It builds on no version of the configuration, and has no identity to remember."""
    return Command(identity="", base=0, text=encode(command))


def apply_rollout_command(value: str, text: str) -> Result[str, object]:
    """Return the next committed document as text, or a `Rejection`.

    Args:
        value: the present document as text; empty where there is none yet.
        text: an encoded `RolloutCommand`.
    """
    try:
        command: RolloutCommand = msgspec.json.decode(text, type=RolloutCommand)
    except msgspec.ValidationError as error:  # of a controller of a later release
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
