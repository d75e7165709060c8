"""What a command does to the newest state: pure logic.

Each state remembers the identities of the latest commands that were applied, so that a command which is sent again is
acknowledged again by whichever replica is the primary (idempotent retries).
"""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

import msgspec
from result import Err, Result

from larkweir_replication.effects import CommandFinished, CommandOutcome
from larkweir_replication.messages import AppliedCommand, Command, Snapshot

ApplyChange = Callable[[str, str], Result[str, object]]
"""Called with the value and a change: the next value, or the reason why the change is rejected."""

MAX_APPLIED_COMMANDS = 8_192  # remembered identities: more than a day has


@dataclass(frozen=True, slots=True)
class PendingCommand:
    """A command that waits for its turn; `ticket` names the caller's question."""

    ticket: int
    command: Command


def evaluate(current: Snapshot, pending: PendingCommand, apply: ApplyChange) -> Snapshot | CommandFinished:
    """The next state, or the end of a command that changes nothing.

    A rejection holds only for a confirmed primary: a newer one may have applied the command.
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
    """The next state: that value, and the command among those that were applied, if it has an identity."""
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
