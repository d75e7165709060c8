"""Where the heads of prompts are kept, as the controllers place them: asked for once, remembered for a while."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import NamedTuple

from larkweir_balancing.prompt import Prompt

from larkweir.cluster.messages import PlacementRequest, PlacementResponse

CONTROLLER_TIMEOUT_S = (
    0.04  # a controller answers in a few milliseconds; without it the head's own order decides
)
BODY_TRANSFER_FACTOR = (
    2.0  # what a body takes on this router's link, in which other bodies may come, is waited for beside that
)
OWNER_TTL_MS = 30_000.0  # after it the controller is asked again, which keeps its memory of the head alive
MAX_PREFIXES = 16_384


class PrefixOwner(NamedTuple):
    """The engine that keeps a head, and whether it was sent there before."""

    engine: str
    is_cached: bool


@dataclass(slots=True)
class _CachedOwner:
    owner: PrefixOwner
    until_ms: float


@dataclass(slots=True)
class _PendingLookup:
    timer: asyncio.TimerHandle
    waiting: list[Callable[[PrefixOwner | None], None]] = field(default_factory=list)


class PrefixAffinity:
    """A router's memory of placements, and its open questions."""

    def __init__(self, link_mbps: float = 1_000.0) -> None:
        """Knows nothing yet; `ask` is set by whoever holds the links to controllers.

        `link_mbps` is this router's.
        """
        self._link_bytes_per_s = link_mbps * 1e6 / 8.0
        self._loop = asyncio.get_running_loop()
        self._owners: OrderedDict[str, _CachedOwner] = OrderedDict()
        self._lookups: dict[str, _PendingLookup] = {}
        self.send_lookup: Callable[[PlacementRequest], bool] = lambda message: False

    def find_owner(
        self,
        service: str,
        prompt: Prompt,
        body_bytes: int,
        is_ready: Callable[[str], bool],
        on_owner: Callable[[PrefixOwner | None], None],
    ) -> None:
        """Calls `on_owner` with the engine that keeps the head, at once where that is known, else in some time.

        None where nobody says. `body_bytes`: of the request, behind which the answer may come on this router's link.
        """
        cached = self._owners.get(prompt.prefix)
        now_ms = self._loop.time() * 1000.0
        if cached is not None and now_ms < cached.until_ms and is_ready(cached.owner.engine):
            on_owner(cached.owner)
            return
        pending = self._lookups.get(prompt.prefix)
        if pending is not None:
            pending.waiting.append(on_owner)
            return
        last_known = cached.owner if cached is not None and is_ready(cached.owner.engine) else None
        lookup = PlacementRequest(
            service, prompt.prefix, prompt.tokens, last_known.engine if last_known is not None else None
        )
        if not self.send_lookup(lookup):
            on_owner(last_known)
            return
        timeout_s = CONTROLLER_TIMEOUT_S + BODY_TRANSFER_FACTOR * body_bytes / self._link_bytes_per_s
        timer = self._loop.call_later(timeout_s, self._resolve, prompt.prefix, last_known)
        self._lookups[prompt.prefix] = _PendingLookup(timer, [on_owner])

    def on_placed(self, answer: PlacementResponse, now_ms: float) -> None:
        """A controller's answer."""
        if answer.engine is None:
            self._resolve(answer.prefix, None)
            return
        self._owners[answer.prefix] = _CachedOwner(
            PrefixOwner(answer.engine, is_cached=True), now_ms + OWNER_TTL_MS
        )
        self._owners.move_to_end(answer.prefix)
        if len(self._owners) > MAX_PREFIXES:
            self._owners.popitem(last=False)
        self._resolve(answer.prefix, PrefixOwner(answer.engine, answer.is_cached))

    def _resolve(self, head: str, owner: PrefixOwner | None) -> None:
        lookup = self._lookups.pop(head, None)
        if lookup is None:
            return
        lookup.timer.cancel()
        for on_owner in lookup.waiting:
            on_owner(owner)
