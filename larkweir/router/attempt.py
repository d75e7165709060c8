"""One attempt at an upstream: what its balancer and the fleet are told of it, and how long it may stay silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.interface import Outcome
from larkweir_balancing.prompt import Prompt

from larkweir.router.request_trace import RequestTrace
from larkweir.router.upstream_connection import UpstreamConnection

if TYPE_CHECKING:
    from larkweir.router.data_plane import DataPlane

MIN_ANNOUNCED_TOKENS = 4_000.0  # to be read, from which other routers are told at once
FAILURES = frozenset((Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR))
SUCCESSES = frozenset((Outcome.OK, Outcome.REJECTED))


class Attempt:
    """From the choice of an upstream to the end of the call there."""

    def __init__(self, plane: DataPlane, service: str, instance: str, prompt: Prompt, *, kept: bool) -> None:
        """Spends the upstream's token. `kept`: the fleet has sent the head of the prompt there before."""
        self._plane = plane
        self._service = service
        self._prompt = prompt
        self._loop = asyncio.get_running_loop()
        self._sent_ms = 0.0
        self._holds_token = True  # its token is spent
        self._is_reported = False  # how it ends is known to the fleet already
        self._overdue_timer: asyncio.TimerHandle | None = None
        self.instance = instance
        self.address = plane.address(instance)
        self.connection: UpstreamConnection | None = None
        balancer = plane.balancer(service)
        self.queued_tokens = balancer.prefill_backlog_tokens(instance)
        self.prefill_tokens = balancer.on_attempt_started(instance, prompt, self._now_ms(), is_cached=kept)
        if (
            OPTIONS.announce_long_prompts
            and self.prefill_tokens >= MIN_ANNOUNCED_TOKENS
            and plane.is_engine(service)
        ):
            plane.announce_waiting()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def on_request_sent(self, connection: UpstreamConnection, on_overdue: Callable[[], None]) -> None:
        """The request goes out on that connection. `on_overdue` is called where nothing comes back for too long."""
        self.connection = connection
        self._sent_ms = self._now_ms()
        patience_ms = self._plane.balancer(self._service).overdue_after_ms(
            self._prompt, self.prefill_tokens + self.queued_tokens
        )
        self._overdue_timer = self._loop.call_later(patience_ms / 1000.0, self._on_timer, on_overdue)

    def _on_timer(self, on_overdue: Callable[[], None]) -> None:
        self._overdue_timer = None
        self._report(bad=True)
        on_overdue()

    def on_first_event(self) -> None:
        """The first piece of an answer has come. An engine has read the prompt then: its token returns."""
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None
        if not self._holds_token:
            return
        now_ms = self._now_ms()
        balancer = self._plane.balancer(self._service)
        balancer.prefill_time.observe(self.prefill_tokens + self.queued_tokens, now_ms - self._sent_ms)
        if self._plane.is_engine(self._service):
            self._holds_token = False
            balancer.on_attempt_released(self.instance, self.prefill_tokens, now_ms)

    def record_shedding(self) -> None:
        """The upstream turned the call away though it has places, by its own word."""
        self._report(bad=True)

    def end(self, outcome: Outcome, trace: RequestTrace | None) -> None:
        """The call is over."""
        if trace is not None and outcome is not Outcome.OK:
            trace.on_ended(outcome.name)
        if self._overdue_timer is not None:
            self._overdue_timer.cancel()
            self._overdue_timer = None
        now_ms = self._now_ms()
        balancer = self._plane.balancer(self._service)
        if self._holds_token:
            balancer.on_attempt_released(self.instance, self.prefill_tokens, now_ms)
        balancer.on_outcome(self.instance, outcome, now_ms)
        if outcome in FAILURES:
            self._report(bad=True)
        elif outcome in SUCCESSES:
            self._report(bad=False)

    def _report(self, *, bad: bool) -> None:
        if not self._is_reported:
            self._is_reported = True
            self._plane.outcomes.record(self.instance, self._now_ms(), failed=bad)
