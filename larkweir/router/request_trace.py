"""The debug log line of a request: the upstreams it was sent to, why they were selected, and the time of each step.

`benchmarks/fleet_losses.py` reads the fields by name; `docs/operators/fleet-logs.md` describes them.
"""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec
from larkweir_balancing.prompt import Prompt
from larkweir_balancing.upstream_selection import SelectionReason

from larkweir.cluster import log
from larkweir.router.client_request import ClientRequest
from larkweir.router.configuration import Route
from larkweir.router.rollout_tracks import Track
from larkweir.router.upstream_choice import SelectedUpstream


class AttemptTrace(msgspec.Struct, omit_defaults=True):
    """One attempt at an upstream. Times are milliseconds since the request was received."""

    upstream: str
    reason: SelectionReason  # why the upstream was selected
    selected_ms: int = msgspec.field(name="chosen_ms")
    # Tokens queued at the upstream before this request, by the router's estimate.
    backlog_tokens: int = msgspec.field(name="waiting_tokens", default=0)
    prefill_tokens: int = msgspec.field(name="tokens", default=0)  # tokens of this request to prefill
    sent_ms: int | None = msgspec.field(name="written_ms", default=None)
    head_ms: int | None = None
    # When the first event of a stream, or the first chunk of another body, arrived.
    first_event_ms: int | None = msgspec.field(name="first_ms", default=None)
    status: int = 0
    load: str = ""  # `X-Server-Load` of the response: running, waiting, slots
    outcome: str = msgspec.field(name="ending", default="")  # empty if the response was complete
    track: Track | None = None  # None if the service has no roll-out


@dataclass(slots=True)
class RequestTrace:
    """The steps of one request, recorded as they happen. Only used if debug logging is enabled.

    Args:
        received_ms: when the request was received, on the event loop's clock.
    """

    received_ms: float
    placed_ms: int | None = None  # when the lookup of the prefix owner ended, with a result or a time-out
    first_event_ms: int | None = None  # when the first chunk of a body arrived in any attempt
    attempts: list[AttemptTrace] = field(default_factory=list)

    def elapsed_ms(self, now_ms: float) -> int:
        """Milliseconds since the request was received."""
        return round(now_ms - self.received_ms)

    def on_placed(self, now_ms: float) -> None:
        """Record that the lookup of the prefix owner has ended, whether or not an owner was found."""
        self.placed_ms = self.elapsed_ms(now_ms)

    def on_selected(self, selected: SelectedUpstream, now_ms: float) -> None:
        """Record the start of an attempt at the selected upstream."""
        backlog_tokens = round(selected.selector.prefill_backlog_tokens(selected.id))
        self.attempts.append(
            AttemptTrace(
                selected.id, selected.reason, self.elapsed_ms(now_ms), backlog_tokens, track=selected.track
            )
        )

    def on_request_sent(self, prefill_tokens: float, now_ms: float) -> None:
        """Record that the request was sent to the upstream."""
        self.attempts[-1].prefill_tokens = round(prefill_tokens)
        self.attempts[-1].sent_ms = self.elapsed_ms(now_ms)

    def on_head(self, status: int, load: str, now_ms: float) -> None:
        """Record that the head of a response arrived."""
        last = self.attempts[-1]
        last.status, last.load, last.head_ms = status, load, self.elapsed_ms(now_ms)

    def on_first_event(self, now_ms: float) -> None:
        """Record that a chunk of a body arrived. Only the first chunk of a request is recorded."""
        if self.first_event_ms is None:
            self.first_event_ms = self.attempts[-1].first_event_ms = self.elapsed_ms(now_ms)

    def on_ended(self, outcome: str) -> None:
        """Record that the attempt ended without a complete response."""
        if self.attempts:
            self.attempts[-1].outcome = outcome

    def write(
        self, request: ClientRequest, route: Route | None, prompt: Prompt, sent: int, now_ms: float
    ) -> None:
        """Write the log line. `sent`: how many times the request was sent to an upstream."""
        log.debug(
            "request",
            id=request.header(b"x-request-id").decode("latin-1"),
            route=route.name if route is not None else None,
            tokens=request.metadata.total_tokens,
            aim_ms=route.target_latency_ms if route is not None else None,
            head=prompt.prefix,
            head_tokens=round(prompt.prefix_tokens),
            placed_ms=self.placed_ms,
            attempts=self.attempts,
            sent=sent,
            first_ms=self.first_event_ms,
            total_ms=self.elapsed_ms(now_ms),
        )
