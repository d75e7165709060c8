"""Assigns each prompt prefix that requests share to one engine, so that only one prefix cache has to be filled.

Each prefix is placed by one controller, which routers select with a common hash, so that all routers send the prefix
to the same engine. Rendezvous hashing (highest random weight) gives each prefix its own order of the engines. The
prefix goes to the first engine in this order that is not much busier than the least loaded engine. Under low load the
order alone decides. When all engines start with empty caches, the load limit spreads the prefills over them.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec
from larkweir_balancing.rendezvous import rendezvous_weight

MAX_PREFIXES = 65_536  # the least recently requested prefix is dropped first
REPORT_DELAY_MS = 400.0  # prefixes placed more recently are not yet in the routers' load reports
MAX_EXCESS_TOKENS = 12_000.0  # of waiting prefill above the least loaded engine; more excludes an engine

EngineByPrefix = dict[str, str]
_decoder: msgspec.json.Decoder[EngineByPrefix] = msgspec.json.Decoder(EngineByPrefix)


class Placement(NamedTuple):
    """The engine that owns a prefix. `is_cached`: the prefix was placed there before, so it is in the prefix cache."""

    engine: str
    is_cached: bool


class _RecentPlacement(NamedTuple):
    """A prefill that the routers' load reports do not include yet."""

    placed_ms: float
    engine: str
    tokens: float


class PrefixPlacement:
    """The prefixes that this controller has placed. Times are in milliseconds of a monotonic clock."""

    def __init__(self) -> None:
        """Starts without placements."""
        self._engines: OrderedDict[str, str] = OrderedDict()  # by prefix, least recently requested first
        self._waiting_tokens: Mapping[str, int] = {}
        self._recent: list[_RecentPlacement] = []
        self._outdated: set[str] = set()  # prefixes that routers may have sent elsewhere in the meantime
        self.revision = 0  # incremented by each change of a placement

    def __len__(self) -> int:
        """The number of placed prefixes."""
        return len(self._engines)

    def update_load(self, waiting_tokens: Mapping[str, int]) -> None:
        """Sets, by engine, the prompt tokens of all routers that wait for prefill there."""
        self._waiting_tokens = waiting_tokens

    def mark_outdated(self) -> None:
        """Marks all placements as outdated, after routers could not reach this controller.

        The next request for each prefix may then correct its placement.
        """
        self._outdated = set(self._engines)

    def place(
        self, prefix: str, prompt_tokens: float, ready: Sequence[str], known_engine: str | None, now_ms: float
    ) -> Placement | None:
        """Returns the engine that owns the prefix; None if no engine is ready.

        `ready`: the ready engines of the service. `known_engine`: where the requesting router last sent the prefix.
        """
        engine = self._engines.get(prefix)
        if prefix in self._outdated:
            self._outdated.discard(prefix)
            engine = self._correct_placement(prefix, engine, known_engine, ready)
        is_cached = engine is not None and engine in ready
        if engine is None or not is_cached:
            is_cached = known_engine in ready
            engine = known_engine if known_engine in ready else self._select(prefix, ready, now_ms)
            if engine is None:
                return None
            self._add(prefix, engine)
            self._recent.append(_RecentPlacement(now_ms, engine, prompt_tokens))
        self._engines.move_to_end(prefix)
        return Placement(engine, is_cached)

    def _add(self, prefix: str, engine: str) -> None:
        self._engines[prefix] = engine
        self.revision += 1
        if len(self._engines) > MAX_PREFIXES:
            dropped, _ = self._engines.popitem(last=False)
            self._outdated.discard(dropped)

    def _correct_placement(
        self, prefix: str, engine: str | None, known_engine: str | None, ready: Sequence[str]
    ) -> str | None:
        """Adopts the engine to which a router sent the prefix while this controller was unreachable."""
        if known_engine is None or known_engine == engine or known_engine not in ready:
            return engine
        self._engines[prefix] = known_engine
        self.revision += 1
        return known_engine

    def _select(self, prefix: str, ready: Sequence[str], now_ms: float) -> str | None:
        if not ready:
            return None
        load = self._load(ready, now_ms)
        bound = min(load.values()) + MAX_EXCESS_TOKENS
        return min(
            (engine for engine in ready if load[engine] <= bound),
            key=lambda engine: rendezvous_weight(prefix, engine),
        )

    def _load(self, ready: Sequence[str], now_ms: float) -> dict[str, float]:
        """Returns the waiting tokens by engine, including recent placements."""
        self._recent = [recent for recent in self._recent if recent.placed_ms > now_ms - REPORT_DELAY_MS]
        load = {engine: float(self._waiting_tokens.get(engine, 0)) for engine in ready}
        for recent in self._recent:
            if recent.engine in load:
                load[recent.engine] += recent.tokens
        return load

    def encode(self) -> bytes:
        """Encodes all placements for a later incarnation of this controller."""
        return msgspec.json.encode(dict(self._engines))

    def restore(self, data: bytes) -> bool:
        """Adds the placements that `encode` returned; returns False if they can't be decoded."""
        try:
            self._engines.update(_decoder.decode(data))
        except msgspec.DecodeError:
            return False
        return True
