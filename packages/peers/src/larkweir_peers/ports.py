"""The interfaces that this package needs: a random source, a sender of probe messages, and a clock with timers."""

from __future__ import annotations

from collections.abc import Callable, MutableSequence
from typing import Any, Protocol


class RandomSource(Protocol):
    """A source of random numbers, such as `random.Random`; a seeded one makes a run repeatable."""

    def random(self) -> float:
        """A random number in [0, 1)."""
        ...

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Shuffle in place."""
        ...


class ProbeSender(Protocol):
    """Sends the failure detector's messages. Each method returns the sequence number of the message, or None if the
    send limit does not allow it.
    """

    def ping(self, to: str, now_ms: float) -> int | None:
        """Ping a member."""
        ...

    def ping_request(self, to: str, target: str, now_ms: float) -> int | None:
        """Ask a member to ping `target`."""
        ...

    def ack(self, to: str, request_number: int, now_ms: float) -> int | None:
        """Acknowledge a ping, or a ping request whose target has answered."""
        ...

    def nack(self, to: str, request_number: int, now_ms: float) -> int | None:
        """Report that the target of a ping request has not answered yet."""
        ...


class Timer(Protocol):
    """A scheduled callback."""

    def cancel(self) -> None:
        """Cancel the callback."""
        ...


class Clock(Protocol):
    """A clock in milliseconds, with timers."""

    def now_ms(self) -> float:
        """The current time in milliseconds, on the same scale as `at`."""
        ...

    def at(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule `callback` for the time `due_ms` of this clock."""
        ...
