"""How a command changes the state, and how long it is remembered."""

from __future__ import annotations

import pytest
from larkweir_replication import commands
from larkweir_replication.commands import PendingCommand, evaluate, with_command_applied
from larkweir_replication.effects import CommandFinished, CommandOutcome
from larkweir_replication.messages import AppliedCommand, Command, Snapshot
from replication_factories import snapshot
from result import Err, Ok, Result


def apply(value: str, change: str) -> Result[str, object]:
    """Appends a lower-case letter."""
    return Ok(value + change) if change.islower() else Err(f"no {change}")


def outcome_of(current: Snapshot, command: Command) -> CommandFinished:
    result = evaluate(current, PendingCommand(1, command), apply)
    assert isinstance(result, CommandFinished)
    return result


def test_a_command_makes_the_next_state() -> None:
    following = evaluate(snapshot(4), PendingCommand(1, Command("id", 0, "x")), apply)
    assert isinstance(following, Snapshot)
    assert (following.sequence, following.value) == (5, "x")
    assert following.applied_commands == (AppliedCommand(0, "id"),)


def test_a_repeated_command_is_acknowledged_again_and_changes_nothing() -> None:
    current = with_command_applied(snapshot(), "x", Command("id", 0, "x"))
    assert outcome_of(current, Command("id", 0, "x")) == CommandFinished(1, CommandOutcome.COMMITTED)


def test_a_command_that_the_rules_reject_has_their_reason() -> None:
    assert outcome_of(snapshot(), Command("id", 0, "X")) == CommandFinished(
        1, CommandOutcome.REJECTED, "no X"
    )


def test_only_the_latest_commands_are_remembered(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(commands, "MAX_APPLIED_COMMANDS", 2)
    current = snapshot()
    for base in range(4):
        current = with_command_applied(current, "x", Command(f"id{base}", base, "x"))
    assert current.applied_commands == (AppliedCommand(2, "id2"), AppliedCommand(3, "id3"))
    assert current.latest_forgotten_base == 1
    assert outcome_of(current, Command("id1", 1, "X")).outcome is CommandOutcome.TOO_OLD
    assert outcome_of(current, Command("other", 2, "X")).outcome is CommandOutcome.REJECTED


def test_a_command_without_an_identity_is_not_remembered_and_never_too_old(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(commands, "MAX_APPLIED_COMMANDS", 1)
    current = snapshot(5)
    for number in range(2):
        current = with_command_applied(current, "v", Command(f"id{number}", number, "v"))
    after = with_command_applied(current, "w", Command("", 0, "w"))
    assert after.sequence == current.sequence + 1
    assert after.value == "w"
    assert after.applied_commands == current.applied_commands
    assert current.latest_forgotten_base == 0
    assert outcome_of(after, Command("", 0, "X")).outcome is CommandOutcome.REJECTED
