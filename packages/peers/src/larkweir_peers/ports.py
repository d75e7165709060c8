"""The interfaces of this package: randomness, probes' datagrams, and the clock of the transport."""

from __future__ import annotations

from collections.abc import Callable, MutableSequence
from typing import Any, Protocol


class RandomSource(Protocol):
    """Randomness, such as `random.Random`; with a seed a run can be repeated."""

    def random(self) -> float:
        """A number from 0 to below 1."""
        ...

    def shuffle(self, x: MutableSequence[Any]) -> None:
        """Shuffle in place."""
        ...


class ProbeSender(Protocol):
    """Sends the failure detector's messages. Each method returns the message's sequence number, or None where the send
    limit does not allow it.
    """

    def ping(self, to: str, now_ms: float) -> int | None:
        """Ping a member."""
        ...

    def ping_request(self, to: str, target: str, now_ms: float) -> int | None:
        """Ask a member to ping `target`."""
        ...

    def ack(self, to: str, request_number: int, now_ms: float) -> int | None:
        """Answer a ping, or a ping request whose target has answered."""
        ...

    def nack(self, to: str, request_number: int, now_ms: float) -> int | None:
        """Answer a ping request whose target has not answered yet."""
        ...


class Timer(Protocol):
    """A call that is scheduled."""

    def cancel(self) -> None:
        """Call nothing any more."""
        ...


class Clock(Protocol):
    """The process's clock, in milliseconds, and its timers."""

    def now_ms(self) -> float:
        """The time in milliseconds, on the scale of `at`."""
        ...

    def at(self, due_ms: float, callback: Callable[[], None]) -> Timer:
        """Call at a time of this clock."""
        ...
