"""Answers that hold only if this was still the primary after they were requested: reads and rejections."""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from larkweir_replication.effects import CommandFinished, CommandOutcome, Effect, ReadFinished
from larkweir_replication.messages import Snapshot


@dataclass(frozen=True, slots=True)
class _AwaitingConfirmation:
    """`round`: the heartbeat round that confirms it. Exactly one of the other two is given."""

    round: int
    finished: CommandFinished | None
    read_ticket: int | None


class ConfirmationQueue:
    """Keeps answers until a majority has acknowledged the heartbeat round that was sent after the question."""

    def __init__(self) -> None:
        """Nothing waits to be confirmed."""
        self._queue: deque[_AwaitingConfirmation] = deque()

    def add_rejection(self, number: int, finished: CommandFinished) -> None:
        """A command's end, to be announced once that round is confirmed."""
        self._queue.append(_AwaitingConfirmation(number, finished, None))

    def add_read(self, number: int, ticket: int) -> None:
        """A read, to be answered with what is committed once that round is confirmed."""
        self._queue.append(_AwaitingConfirmation(number, None, ticket))

    def confirm(self, number: int, committed: Snapshot | None) -> list[Effect]:
        """The answers that a majority's acknowledgement of that round confirms, in order."""
        effects: list[Effect] = []
        while self._queue and self._queue[0].round <= number:
            answer = self._queue.popleft()
            if answer.finished is not None:
                effects.append(answer.finished)
            if answer.read_ticket is not None:
                effects.append(ReadFinished(answer.read_ticket, committed))
        return effects

    def abandon(self) -> list[Effect]:
        """The answers of a primary that is none any more: nothing is known."""
        effects: list[Effect] = []
        for answer in self._queue:
            if answer.finished is not None:
                effects.append(CommandFinished(answer.finished.ticket, CommandOutcome.UNKNOWN))
            if answer.read_ticket is not None:
                effects.append(ReadFinished(answer.read_ticket, None))
        return effects
