"""Holds back the results of reads and rejections until this replica is confirmed as the primary.

Such a result is valid only if this replica was still the primary after the call arrived.
"""

from __future__ import annotations

from collections import deque
from dataclasses import dataclass

from larkweir_replication.effects import CommandFinished, CommandOutcome, Effect, ReadFinished
from larkweir_replication.messages import Snapshot


@dataclass(frozen=True, slots=True)
class _AwaitingConfirmation:
    """`round`: the heartbeat round that confirms the result. Exactly one of the other two fields is set."""

    round: int
    finished: CommandFinished | None
    read_ticket: int | None


class ConfirmationQueue:
    """Keeps results until a majority has acknowledged a heartbeat round that was sent after the call."""

    def __init__(self) -> None:
        """Creates an empty queue."""
        self._queue: deque[_AwaitingConfirmation] = deque()

    def add_rejection(self, number: int, finished: CommandFinished) -> None:
        """Queues a rejected command, whose caller is notified once that round is confirmed."""
        self._queue.append(_AwaitingConfirmation(number, finished, None))

    def add_read(self, number: int, ticket: int) -> None:
        """Queues a read, which returns the committed state once that round is confirmed."""
        self._queue.append(_AwaitingConfirmation(number, None, ticket))

    def confirm(self, number: int, committed: Snapshot | None) -> list[Effect]:
        """Returns the results that are valid now that a majority has acknowledged that round, in order."""
        effects: list[Effect] = []
        while self._queue and self._queue[0].round <= number:
            answer = self._queue.popleft()
            if answer.finished is not None:
                effects.append(answer.finished)
            if answer.read_ticket is not None:
                effects.append(ReadFinished(answer.read_ticket, committed))
        return effects

    def abandon(self) -> list[Effect]:
        """Returns the results at the end of the term: the outcome of each queued command or read is unknown."""
        effects: list[Effect] = []
        for answer in self._queue:
            if answer.finished is not None:
                effects.append(CommandFinished(answer.finished.ticket, CommandOutcome.UNKNOWN))
            if answer.read_ticket is not None:
                effects.append(ReadFinished(answer.read_ticket, None))
        return effects
