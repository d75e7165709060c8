"""Where the heads of prompts are kept, as the controllers place them: asked for once, remembered for a while."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from larkweir.system.messages import Place
from mulleinhitch.engines import Prompt

ANSWER_S = 0.015  # a controller answers in a few milliseconds; without it the head's own order decides
KNOWN_MS = 30_000.0  # after it the controller is asked again, which keeps its memory of the head alive
HEADS_MOST = 16_384


@dataclass(slots=True)
class _Known:
    engine: str
    until_ms: float


@dataclass(slots=True)
class _Question:
    timer: asyncio.TimerHandle
    waiting: list[Callable[[str | None], None]] = field(default_factory=list)


class PromptKeepers:
    """A router's memory of placements, and its open questions."""

    def __init__(self) -> None:
        """Knows nothing yet; `ask` is set by whoever holds the links to controllers."""
        self._loop = asyncio.get_running_loop()
        self._known: OrderedDict[str, _Known] = OrderedDict()
        self._open: dict[str, _Question] = {}
        self.ask: Callable[[Place], bool] = lambda message: False

    def find(
        self,
        service: str,
        prompt: Prompt,
        is_ready: Callable[[str], bool],
        then: Callable[[str | None], None],
    ) -> None:
        """Calls `then` with the engine that keeps the head, at once where that is known, else within `ANSWER_S`.

        None where nobody says.
        """
        known = self._known.get(prompt.head)
        now_ms = self._loop.time() * 1000.0
        if known is not None and now_ms < known.until_ms and is_ready(known.engine):
            then(known.engine)
            return
        question = self._open.get(prompt.head)
        if question is not None:
            question.waiting.append(then)
            return
        before = known.engine if known is not None and is_ready(known.engine) else None
        if not self.ask(Place(service, prompt.head, prompt.tokens, before)):
            then(before)
            return
        timer = self._loop.call_later(ANSWER_S, self._unanswered, prompt.head, before)
        self._open[prompt.head] = _Question(timer, [then])

    def placed(self, head: str, engine: str | None, now_ms: float) -> None:
        """A controller's answer."""
        if engine is not None:
            self._known[head] = _Known(engine, now_ms + KNOWN_MS)
            self._known.move_to_end(head)
            if len(self._known) > HEADS_MOST:
                self._known.popitem(last=False)
        self._answer(head, engine)

    def _unanswered(self, head: str, before: str | None) -> None:
        self._answer(head, before)

    def _answer(self, head: str, engine: str | None) -> None:
        question = self._open.pop(head, None)
        if question is None:
            return
        question.timer.cancel()
        for then in question.waiting:
            then(engine)
