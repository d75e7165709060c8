"""The prompt tokens that wait for prefill at each engine, as reported by the routers."""

from __future__ import annotations

from collections.abc import Mapping

MIN_REPORTED_TOKENS = 4_000  # routers are not informed of engines with fewer waiting tokens
MAX_REPORTED_ENGINES = 32  # only the busiest engines are reported


class PrefillLoad:
    """Sums the reports of all routers."""

    def __init__(self) -> None:
        """Starts without waiting tokens."""
        self.tokens_by_engine: dict[str, int] = {}  # only engines with waiting tokens; read-only for callers
        self._busiest: dict[str, int] | None = None  # None: must be recomputed

    def replace(self, before: Mapping[str, int], after: Mapping[str, int]) -> None:
        """Replaces a router's previous report `before` by its new report `after`, both in tokens by engine."""
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
        """Returns the load of the busiest engines, minus the tokens in the receiving router's own report."""
        if self._busiest is None:
            busy = [item for item in self.tokens_by_engine.items() if item[1] >= MIN_REPORTED_TOKENS]
            self._busiest = dict(sorted(busy, key=lambda item: -item[1])[:MAX_REPORTED_ENGINES])
        remaining = {engine: tokens - own.get(engine, 0) for engine, tokens in self._busiest.items()}
        return {engine: tokens for engine, tokens in remaining.items() if tokens > 0}
