"""Which engine keeps the head of a prompt that many requests share.

Each head has one controller that places it (routers agree on it by the same hash), so that routers send it to one
engine and it is read once. A head goes to the first engine of its own order that is not much busier than the idlest
one: in calm times that order alone decides, and a start with empty engines spreads what must be read.
"""

from __future__ import annotations

from collections import OrderedDict
from collections.abc import Mapping, Sequence
from typing import NamedTuple

import msgspec
from larkweir_balancing.engines import weight

HEADS_MOST = 65_536  # the one that was asked for longest ago is forgotten first
RECENT_MS = 400.0  # what was placed so lately is not in the reports of waiting prompts yet
BUSIER_TOKENS = 12_000.0  # that an engine may have waiting above the idlest and still be taken in its turn

Placements = dict[str, str]
_decoder: msgspec.json.Decoder[Placements] = msgspec.json.Decoder(Placements)


class Placement(NamedTuple):
    """Where a head is kept, and whether it was there before."""

    engine: str
    kept: bool


class PromptPlacement:
    """The heads that this controller has placed. Times are milliseconds that only rise."""

    def __init__(self) -> None:
        """Nothing is placed yet."""
        self._engines: OrderedDict[str, str] = OrderedDict()  # by head
        self._waiting: Mapping[str, int] = {}
        self._recent: list[tuple[float, str, float]] = []
        self._outdated: set[str] = set()  # heads that others may have placed anew meanwhile
        self.changes = 0

    def __len__(self) -> int:
        """Heads that are placed."""
        return len(self._engines)

    def busy_with(self, waiting: Mapping[str, int]) -> None:
        """By engine, the prompt tokens that wait to be read there, over all routers."""
        self._waiting = waiting

    def was_away(self) -> None:
        """Routers did not reach this controller for a while: of each head, the next that asks may know better."""
        self._outdated = set(self._engines)

    def place(
        self, head: str, tokens: float, ready: Sequence[str], known: str | None, now_ms: float
    ) -> Placement | None:
        """The engine that keeps the head; None where none is ready.

        `tokens`: of the prompt. `known`: where the router that asks has sent it before.
        """
        engine = self._engines.get(head)
        if head in self._outdated:
            self._outdated.discard(head)
            engine = self._corrected(head, engine, known, ready)
        kept = engine is not None and engine in ready
        if engine is None or not kept:
            kept = known in ready
            engine = known if known in ready else self._choose(head, ready, now_ms)
            if engine is None:
                return None
            self._engines[head] = engine
            self._recent.append((now_ms, engine, tokens))
            self.changes += 1
            if len(self._engines) > HEADS_MOST:
                forgotten, _ = self._engines.popitem(last=False)
                self._outdated.discard(forgotten)
        self._engines.move_to_end(head)
        return Placement(engine, kept)

    def _corrected(
        self, head: str, engine: str | None, known: str | None, ready: Sequence[str]
    ) -> str | None:
        """After an absence: where a router has sent the head meanwhile."""
        if known is None or known == engine or known not in ready:
            return engine
        self._engines[head] = known
        self.changes += 1
        return known

    def _choose(self, head: str, ready: Sequence[str], now_ms: float) -> str | None:
        if not ready:
            return None
        busy = self._busy(ready, now_ms)
        bound = min(busy.values()) + BUSIER_TOKENS
        return min((one for one in ready if busy[one] <= bound), key=lambda one: weight(head, one))

    def _busy(self, ready: Sequence[str], now_ms: float) -> dict[str, float]:
        self._recent = [one for one in self._recent if one[0] > now_ms - RECENT_MS]
        busy = {engine: float(self._waiting.get(engine, 0)) for engine in ready}
        for _, engine, tokens in self._recent:
            if engine in busy:
                busy[engine] += tokens
        return busy

    def encode(self) -> bytes:
        """All placements, for a later life."""
        return msgspec.json.encode(dict(self._engines))

    def restore(self, data: bytes) -> bool:
        """Takes what `encode` gave; False where it can't be read."""
        try:
            self._engines.update(_decoder.decode(data))
        except msgspec.DecodeError:
            return False
        return True
