"""What a router notes of a request's way, for its debug log: which upstreams, why these, how long each step took."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from larkweir_balancing.upstream_selection import SelectionReason


class AttemptTrace(msgspec.Struct, omit_defaults=True):
    """One upstream that a request went to. Times are milliseconds since the request was received."""

    upstream: str
    reason: SelectionReason  # why this one
    chosen_ms: int
    waiting_tokens: int = 0  # that were believed to wait there, this request's not among them
    tokens: int = 0  # of this request that were expected to be read
    written_ms: int | None = None
    head_ms: int | None = None
    first_ms: int | None = None  # the first event, or the first piece of a body
    status: int = 0
    load: str = ""  # its own `X-Server-Load`: running, waiting, slots
    ending: str = ""  # where it was no whole answer


@dataclass(slots=True)
class RequestTrace:
    """A request's attempts, filled in as they go on."""

    received_ms: float
    placed_ms: int | None = None  # a controller had said where the head is kept, or nobody had in time
    attempts: list[AttemptTrace] = field(default_factory=list)

    def elapsed_ms(self, now_ms: float) -> int:
        """Milliseconds since the request was received."""
        return round(now_ms - self.received_ms)

    def on_chosen(self, upstream: str, reason: SelectionReason, waiting_tokens: float, now_ms: float) -> None:
        """An attempt begins."""
        self.attempts.append(AttemptTrace(upstream, reason, self.elapsed_ms(now_ms), round(waiting_tokens)))

    def on_request_sent(self, tokens: float, now_ms: float) -> None:
        """The request has been written to the upstream."""
        self.attempts[-1].tokens = round(tokens)
        self.attempts[-1].written_ms = self.elapsed_ms(now_ms)

    def on_head(self, status: int, load: str, now_ms: float) -> None:
        """The head of an answer came."""
        last = self.attempts[-1]
        last.status, last.load, last.head_ms = status, load, self.elapsed_ms(now_ms)

    def on_first_event(self, now_ms: float) -> None:
        """The first piece of a body came."""
        self.attempts[-1].first_ms = self.elapsed_ms(now_ms)

    def on_ended(self, ending: str) -> None:
        """The attempt is over without a whole answer."""
        if self.attempts:
            self.attempts[-1].ending = ending
