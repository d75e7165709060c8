"""Finds the engine that owns a prompt's prefix. Controllers assign the owners; lookups are shared and cached."""

from __future__ import annotations

import asyncio
from collections import OrderedDict
from collections.abc import Callable
from dataclasses import dataclass, field

from larkweir_balancing.prompt import Prompt

from larkweir.cluster.messages import PlacementRequest, PlacementResponse
from larkweir.router.response_timeout import ResponseTimeout

# A controller responds in a few milliseconds. Without a response, the last known owner is used if it is ready;
# otherwise rendezvous hashing of the prefix selects the engine.
CONTROLLER_TIMEOUT_S = 0.04
OWNER_TTL_MS = 30_000.0  # then the controller is asked again, which also renews its own entry
MAX_PREFIXES = 16_384  # the prefix with the oldest response is evicted first


@dataclass(frozen=True, slots=True)
class PrefixOwner:
    """The engine that owns a prefix.

    Attributes:
        engine: the id of the engine.
        is_cached: whether the prefix has been sent there before, so that its KV cache may hold the prefix.
    """

    engine: str
    is_cached: bool


@dataclass(frozen=True, slots=True)
class _CachedOwner:
    owner: PrefixOwner
    until_ms: float


@dataclass(slots=True)
class _PendingLookup:
    timer: asyncio.TimerHandle
    callbacks: list[Callable[[PrefixOwner | None], None]] = field(default_factory=list)


class PrefixAffinity:
    """Caches the owners of prefixes, and tracks the lookups that wait for a controller."""

    def __init__(self, link_mbps: float = 1_000.0) -> None:
        """Create an empty cache. `FleetSync` sets `send_lookup`.

        Args:
            link_mbps: the bandwidth of this router's network link, in megabits per second.
        """
        self._timeout = ResponseTimeout(CONTROLLER_TIMEOUT_S, link_mbps)
        self._loop = asyncio.get_running_loop()
        self._owners: OrderedDict[str, _CachedOwner] = OrderedDict()
        self._lookups: dict[str, _PendingLookup] = {}
        # Sends a lookup to a controller; returns whether any controller is connected.
        self.send_lookup: Callable[[PlacementRequest], bool] = lambda message: False

    def find_owner(
        self,
        service: str,
        prompt: Prompt,
        body_bytes: int,
        is_ready: Callable[[str], bool],
        on_owner: Callable[[PrefixOwner | None], None],
    ) -> None:
        """Call `on_owner` with the owner of the prompt's prefix, before returning if the owner is cached.

        Args:
            service: the service of the request.
            prompt: the prompt whose prefix is looked up.
            body_bytes: the size of the request's body, whose transfer may delay the controller's response.
            is_ready: tells whether an engine can take requests.
            on_owner: called exactly once. None means that no engine is ready, or that no controller responded in
                time and no earlier owner is ready.
        """
        cached = self._owners.get(prompt.prefix)
        now_ms = self._loop.time() * 1000.0
        if cached is not None and now_ms < cached.until_ms and is_ready(cached.owner.engine):
            on_owner(cached.owner)
            return
        pending = self._lookups.get(prompt.prefix)
        if pending is not None:
            pending.callbacks.append(on_owner)
            return
        last_known = cached.owner if cached is not None and is_ready(cached.owner.engine) else None
        lookup = PlacementRequest(
            service, prompt.prefix, prompt.tokens, last_known.engine if last_known is not None else None
        )
        if not self.send_lookup(lookup):
            on_owner(last_known)
            return
        timer = self._loop.call_later(
            self._timeout.seconds(body_bytes), self._resolve, prompt.prefix, last_known
        )
        self._lookups[prompt.prefix] = _PendingLookup(timer, [on_owner])

    def on_placed(self, response: PlacementResponse, now_ms: float) -> None:
        """Handle a controller's response: cache the owner, and resolve the lookup unless it has timed out."""
        if response.engine is None:
            self._resolve(response.prefix, None)
            return
        owner = PrefixOwner(response.engine, is_cached=True)  # later requests find the prefix cached
        self._owners[response.prefix] = _CachedOwner(owner, now_ms + OWNER_TTL_MS)
        self._owners.move_to_end(response.prefix)
        if len(self._owners) > MAX_PREFIXES:
            self._owners.popitem(last=False)
        self._resolve(response.prefix, PrefixOwner(response.engine, response.is_cached))

    def _resolve(self, prefix: str, owner: PrefixOwner | None) -> None:
        lookup = self._lookups.pop(prefix, None)
        if lookup is None:
            return
        lookup.timer.cancel()
        for callback in lookup.callbacks:
            callback(owner)
