"""Applies a command to the newest state. Pure logic.

Each state contains the identities of the commands that were applied last, so that any primary can acknowledge a
command again when it is retried (idempotent retries).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Result

from larkweir_replication.effects import CommandFinished, CommandOutcome
from larkweir_replication.messages import AppliedCommand, Command, Snapshot

ApplyChange = Callable[[str, str], Result[str, object]]
"""Takes the value and a change; returns the next value, or the reason why the change is rejected."""

MAX_APPLIED_COMMANDS = 8_192  # identities kept in a state: more commands than there are in a day


@dataclass(frozen=True, slots=True)
class PendingCommand:
    """A queued command; `ticket` identifies the call that submitted it."""

    ticket: int
    command: Command


def evaluate(current: Snapshot, pending: PendingCommand, apply: ApplyChange) -> Snapshot | CommandFinished:
    """Returns the next state, or the outcome of a command that changes nothing.

    A rejection is valid only once this replica is confirmed as the primary: a newer primary may have applied the
    command.
    """
    ticket, command = pending.ticket, pending.command
    if AppliedCommand(command.base, command.identity) in current.applied_commands:
        return CommandFinished(ticket, CommandOutcome.COMMITTED)
    result = apply(current.value, command.text)
    if not isinstance(result, Err):
        return with_command_applied(current, result.ok_value, command)
    if command.identity and command.base <= current.latest_forgotten_base:
        return CommandFinished(ticket, CommandOutcome.TOO_OLD)
    return CommandFinished(ticket, CommandOutcome.REJECTED, result.err_value)


def with_command_applied(current: Snapshot, value: str, command: Command) -> Snapshot:
    """Returns the next state, with the new value; records the command as applied if it has an identity."""
    if not command.identity:
        return msgspec.structs.replace(current, sequence=current.sequence + 1, value=value)
    applied = (*current.applied_commands, AppliedCommand(command.base, command.identity))
    dropped, retained = applied[:-MAX_APPLIED_COMMANDS], applied[-MAX_APPLIED_COMMANDS:]
    return msgspec.structs.replace(
        current,
        sequence=current.sequence + 1,
        value=value,
        applied_commands=retained,
        latest_forgotten_base=max((current.latest_forgotten_base, *(one.base for one in dropped))),
    )
