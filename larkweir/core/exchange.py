"""Rules: one request from its arrival until it is answered and its last attempt has ended."""

from __future__ import annotations

from typing import Protocol

from larkweir.core.clock import Timer
from larkweir.core.message import Headers, Message
from larkweir.core.ports import Attempt, Ticket


class Caller(Protocol):
    """Where an answer goes."""

    def answer(self, status: int, headers: Headers, body: bytes) -> None: ...

    @property
    def peer(self) -> str:
        """The address it asks from, `unix` on a Unix socket, or empty if that is not known."""


class Exchange:
    """One request, from its arrival until it is answered and its last attempt has ended."""

    __slots__ = (
        "attempts",
        "caller",
        "deadline_ms",
        "max_attempts",
        "message",
        "number",
        "out",
        "over",
        "ticket",
        "timer",
        "trace",
    )

    def __init__(
        self,
        number: int,
        caller: Caller,
        message: Message,
        deadline_ms: float,
        trace: bytes,
        max_attempts: int,
    ) -> None:
        self.number = number
        self.caller = caller
        self.message = message
        self.deadline_ms = deadline_ms
        self.trace = trace
        self.max_attempts = max_attempts
        self.attempts: list[Attempt | None] = []  # by their numbers; none for one that was never sent
        self.out = 0  # attempts whose end is still owed to the balancer
        self.over = False  # answered, or the client is gone
        self.timer: Timer | None = None
        self.ticket: Ticket | None = None  # its budget, where there are any
