"""Which engine owns a prompt prefix that many requests share, so that its prefix cache is filled once.

Each prefix has one controller that places it (routers agree on it by the same hash), so that routers send it to one
engine. A prefix goes to the first engine of its own order (highest random weight hashing) that is not much busier than
the idlest one: under low load that order alone decides, and a start with empty engines spreads the prefills.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec
from larkweir_balancing.rendezvous import rendezvous_weight

MAX_PREFIXES = 65_536  # the one that was requested least recently is dropped first
REPORT_DELAY_MS = 400.0  # a prefix placed so recently is not in the reports of waiting prefill yet
MAX_EXCESS_TOKENS = 12_000.0  # that an engine may have waiting above the idlest one and still be selected

EngineByPrefix = dict[str, str]
_decoder: msgspec.json.Decoder[EngineByPrefix] = msgspec.json.Decoder(EngineByPrefix)


class Placement(NamedTuple):
    """The engine that owns a prefix. `is_cached`: it was placed there before, so that it is in the prefix cache."""

    engine: str
    is_cached: bool


class _RecentPlacement(NamedTuple):
    """A prefill that the reports of waiting tokens do not include yet."""

    placed_ms: float
    engine: str
    tokens: float


class PrefixPlacement:
    """The prefixes that this controller has placed. Times are milliseconds that only rise."""

    def __init__(self) -> None:
        """Nothing is placed yet."""
        self._engines: OrderedDict[str, str] = OrderedDict()  # by prefix, least recently requested first
        self._waiting_tokens: Mapping[str, int] = {}
        self._recent: list[_RecentPlacement] = []
        self._outdated: set[str] = set()  # prefixes that routers may have placed elsewhere meanwhile
        self.revision = 0  # rises with each change of a placement

    def __len__(self) -> int:
        """Prefixes that are placed."""
        return len(self._engines)

    def update_load(self, waiting_tokens: Mapping[str, int]) -> None:
        """By engine, the prompt tokens that wait for prefill there, over all routers."""
        self._waiting_tokens = waiting_tokens

    def mark_outdated(self) -> None:
        """Routers could not reach this controller: the next request for each prefix may correct its placement."""
        self._outdated = set(self._engines)

    def place(
        self, prefix: str, prompt_tokens: float, ready: Sequence[str], known_engine: str | None, now_ms: float
    ) -> Placement | None:
        """The engine that owns the prefix; None where none is ready.

        `ready`: engines of the service. `known_engine`: where the requesting router has sent the prefix before.
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
        """After an absence: where a router has sent the prefix meanwhile."""
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
            (one for one in ready if load[one] <= bound), key=lambda one: rendezvous_weight(prefix, one)
        )

    def _load(self, ready: Sequence[str], now_ms: float) -> dict[str, float]:
        """By engine, the tokens that wait there, recent placements included."""
        self._recent = [one for one in self._recent if one.placed_ms > now_ms - REPORT_DELAY_MS]
        load = {engine: float(self._waiting_tokens.get(engine, 0)) for engine in ready}
        for recent in self._recent:
            if recent.engine in load:
                load[recent.engine] += recent.tokens
        return load

    def encode(self) -> bytes:
        """All placements, for a later incarnation."""
        return msgspec.json.encode(dict(self._engines))

    def restore(self, data: bytes) -> bool:
        """Adds what `encode` returned; False if it can't be decoded."""
        try:
            self._engines.update(_decoder.decode(data))
        except msgspec.DecodeError:
            return False
        return True
