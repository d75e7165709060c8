"""Where the heads of prompts are kept, as the controllers place them: asked for once, remembered for a while."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from larkweir_balancing.prompt import Prompt

from larkweir.cluster.messages import PlacementRequest, PlacementResponse

ANSWER_S = 0.04  # a controller answers in a few milliseconds; without it the head's own order decides
BODY_TIMES = (
    2.0  # what a body takes on this router's link, in which other bodies may come, is waited for beside that
)
KNOWN_MS = 30_000.0  # after it the controller is asked again, which keeps its memory of the head alive
HEADS_MOST = 16_384


class Keeper(NamedTuple):
    """The engine that keeps a head, and whether it was sent there before."""

    engine: str
    kept: bool


@dataclass(slots=True)
class _Known:
    keeper: Keeper
    until_ms: float


@dataclass(slots=True)
class _Question:
    timer: asyncio.TimerHandle
    waiting: list[Callable[[Keeper | None], None]] = field(default_factory=list)


class PromptKeepers:
    """A router's memory of placements, and its open questions."""

    def __init__(self, link_mbps: float = 1_000.0) -> None:
        """Knows nothing yet; `ask` is set by whoever holds the links to controllers.

        `link_mbps` is this router's.
        """
        self._link_bytes_per_s = link_mbps * 1e6 / 8.0
        self._loop = asyncio.get_running_loop()
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._open: dict[str, _Question] = {}
        self.ask: Callable[[PlacementRequest], bool] = lambda message: False

    def find(
        self,
        service: str,
        prompt: Prompt,
        body_bytes: int,
        is_ready: Callable[[str], bool],
        then: Callable[[Keeper | None], None],
    ) -> None:
        """Calls `then` with the engine that keeps the head, at once where that is known, else in some time.

        None where nobody says. `body_bytes`: of the request, behind which the answer may come on this router's link.
        """
        known = self._known.get(prompt.prefix)
        now_ms = self._loop.time() * 1000.0
        if known is not None and now_ms < known.until_ms and is_ready(known.keeper.engine):
            then(known.keeper)
            return
        asked = self._open.get(prompt.prefix)
        if asked is not None:
            asked.waiting.append(then)
            return
        before = known.keeper if known is not None and is_ready(known.keeper.engine) else None
        question = PlacementRequest(
            service, prompt.prefix, prompt.tokens, before.engine if before is not None else None
        )
        if not self.ask(question):
            then(before)
            return
        patience_s = ANSWER_S + BODY_TIMES * body_bytes / self._link_bytes_per_s
        timer = self._loop.call_later(patience_s, self._answer, prompt.prefix, before)
        self._open[prompt.prefix] = _Question(timer, [then])

    def placed(self, answer: PlacementResponse, now_ms: float) -> None:
        """A controller's answer."""
        if answer.engine is None:
            self._answer(answer.prefix, None)
            return
        self._known[answer.prefix] = _Known(Keeper(answer.engine, kept=True), now_ms + KNOWN_MS)
        self._known.move_to_end(answer.prefix)
        if len(self._known) > HEADS_MOST:
            self._known.popitem(last=False)
        self._answer(answer.prefix, Keeper(answer.engine, answer.is_cached))

    def _answer(self, head: str, keeper: Keeper | None) -> None:
        question = self._open.pop(head, None)
        if question is None:
            return
        question.timer.cancel()
        for then in question.waiting:
            then(keeper)
