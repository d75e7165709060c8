"""Prompt tokens that wait for prefill at each engine, as routers report them."""

from __future__ import annotations

from collections.abc import Mapping

MIN_REPORTED_TOKENS = 4_000  # waiting at an engine, from which other routers are informed of it
MAX_REPORTED_ENGINES = 32  # the busiest ones


class PrefillLoad:
    """The sum of the reports of all routers."""

    def __init__(self) -> None:
        """No tokens are waiting."""
        self.tokens_by_engine: dict[
            str, int
        ] = {}  # only engines where some wait; not to be changed by others
        self._busiest: dict[str, int] | None = None  # None: to be computed again

    def replace(self, before: Mapping[str, int], after: Mapping[str, int]) -> None:
        """A router that had reported `before` reports `after`; both by engine, in tokens."""
        if before == after:
            return
        total = self.tokens_by_engine
        for engine, tokens in before.items():
            total[engine] = total.get(engine, 0) - tokens
        for engine, tokens in after.items():
            total[engine] = total.get(engine, 0) + tokens
        for engine in before:
            if total.get(engine, 0) <= 0:
                total.pop(engine, None)
        self._busiest = None

    def without_own(self, own: Mapping[str, int]) -> dict[str, int]:
        """The load of the busiest engines without what one router has reported itself (`own`)."""
        if self._busiest is None:
            busy = [one for one in self.tokens_by_engine.items() if one[1] >= MIN_REPORTED_TOKENS]
            self._busiest = dict(sorted(busy, key=lambda one: -one[1])[:MAX_REPORTED_ENGINES])
        remaining = {engine: tokens - own.get(engine, 0) for engine, tokens in self._busiest.items()}
        return {engine: tokens for engine, tokens in remaining.items() if tokens > 0}
