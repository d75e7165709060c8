"""One attempt at an upstream: what its balancer and the fleet are told of it, and how long it may stay silent."""

from __future__ import annotations

import asyncio
from collections.abc import Callable
from typing import TYPE_CHECKING

from larkweir_balancing.decision_options import OPTIONS
from larkweir_balancing.interface import Outcome
from larkweir_balancing.prompt import Prompt

from larkweir.router.request_log import RequestNote
from larkweir.router.upstream_call import UpstreamConnection

if TYPE_CHECKING:
    from larkweir.router.data_plane import DataPlane

ANNOUNCED_TOKENS = 4_000.0  # to be read, from which other routers are told at once
BAD = frozenset((Outcome.CONNECT_FAILED, Outcome.RESET, Outcome.TIMEOUT, Outcome.ERROR))
GOOD = frozenset((Outcome.OK, Outcome.REJECTED))


class Attempt:
    """From the choice of an upstream to the end of the call there."""

    def __init__(self, plane: DataPlane, service: str, instance: str, prompt: Prompt, *, kept: bool) -> None:
        """Spends the upstream's token. `kept`: the fleet has sent the head of the prompt there before."""
        self._plane = plane
        self._service = service
        self._prompt = prompt
        self._loop = asyncio.get_running_loop()
        self._written_ms = 0.0
        self._counted = True  # its token is spent
        self._judged = False  # how it ends is known to the fleet already
        self._patience: asyncio.TimerHandle | None = None
        self.instance = instance
        self.address = plane.address(instance)
        self.connection: UpstreamConnection | None = None
        balancer = plane.balancer(service)
        self.ahead = balancer.prefill_backlog_tokens(instance)
        self.tokens = balancer.on_attempt_started(instance, prompt, self._now_ms(), is_cached=kept)
        if OPTIONS.announce_long_prompts and self.tokens >= ANNOUNCED_TOKENS and plane.is_engine(service):
            plane.announce()

    def _now_ms(self) -> float:
        return self._loop.time() * 1000.0

    def written(self, connection: UpstreamConnection, overdue: Callable[[], None]) -> None:
        """The request goes out on that connection. `overdue` is called where nothing comes back for too long."""
        self.connection = connection
        self._written_ms = self._now_ms()
        patience_ms = self._plane.balancer(self._service).overdue_after_ms(
            self._prompt, self.tokens + self.ahead
        )
        self._patience = self._loop.call_later(patience_ms / 1000.0, self._wait_no_longer, overdue)

    def _wait_no_longer(self, overdue: Callable[[], None]) -> None:
        self._patience = None
        self._judge(bad=True)
        overdue()

    def first_event(self) -> None:
        """The first piece of an answer has come. An engine has read the prompt then: its token returns."""
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None
        if not self._counted:
            return
        now_ms = self._now_ms()
        balancer = self._plane.balancer(self._service)
        balancer.prefill_time.observe(self.tokens + self.ahead, now_ms - self._written_ms)
        if self._plane.is_engine(self._service):
            self._counted = False
            balancer.on_attempt_released(self.instance, self.tokens, now_ms)

    def shed(self) -> None:
        """The upstream turned the call away though it has places, by its own word."""
        self._judge(bad=True)

    def end(self, outcome: Outcome, note: RequestNote | None) -> None:
        """The call is over."""
        if note is not None and outcome is not Outcome.OK:
            note.ended(outcome.name)
        if self._patience is not None:
            self._patience.cancel()
            self._patience = None
        now_ms = self._now_ms()
        balancer = self._plane.balancer(self._service)
        if self._counted:
            balancer.on_attempt_released(self.instance, self.tokens, now_ms)
        balancer.on_outcome(self.instance, outcome, now_ms)
        if outcome in BAD:
            self._judge(bad=True)
        elif outcome in GOOD:
            self._judge(bad=False)

    def _judge(self, *, bad: bool) -> None:
        if not self._judged:
            self._judged = True
            self._plane.endings.record(self.instance, self._now_ms(), failed=bad)
