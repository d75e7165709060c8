"""Makes the sampling decision of each request that a node receives. Pure logic."""

from __future__ import annotations

from larkweir_captures.current_thresholds import CurrentThresholds
from larkweir_captures.load_averages import LoadAverages
from larkweir_captures.propagation import SamplingDecision, parse_request_field
from larkweir_captures.sampled_queue import SampledQueue
from larkweir_captures.sampling import key_of, overload_fraction, randomness, rate_of, scaled_threshold

MAX_KNOWN_KINDS = 4096  # routes, classes and tenants whose key and threshold are cached
OVERLOAD_INTERVAL_MS = 10.0  # between two looks at the queue, if nothing was sampled in between


class DecisionMaker:
    """Decides by the thresholds in force, the node's own capacity and its queue of sampled records."""

    def __init__(self, thresholds: CurrentThresholds, loads: LoadAverages, sampled: SampledQueue) -> None:
        self._thresholds = thresholds
        self._loads = loads
        self._sampled = sampled
        self._keys: dict[tuple[str, str, str], int] = {}
        # By kind, while the overload fraction holds: key, threshold, and requests that `loads` has not counted yet.
        self._cache: dict[tuple[str, str, str], list[int]] = {}
        self._table_version = thresholds.version  # of the table that the cached thresholds are of
        self._fraction = 1.0
        self._fraction_until_ms = 0.0

    def first_hop(
        self, trace_id: bytes, route: str, cls: str, tenant: str, now_ms: float
    ) -> SamplingDecision:
        """The decision on a request that comes with none: made here, for all hops."""
        kind = (route, cls, tenant)
        if now_ms >= self._fraction_until_ms:
            self._overload_fraction(now_ms)
        found = self._cache.get(kind)
        if found is None:
            found = self._look_up(kind, now_ms)
        found[2] += 1
        key, threshold, _ = found
        rv = randomness(trace_id)
        if rv >= threshold:
            self._reserve(now_ms)
        return SamplingDecision(
            rv, threshold, key, self._table_version, (), (), True, trace_id.decode("latin-1")
        )

    def later_hop(self, text: str, now_ms: float, trace_id: bytes = b"") -> SamplingDecision | None:
        """The decision in a request's field, its rate lowered if this node is overloaded; None if it is malformed."""
        decision = parse_request_field(text)
        if decision is None:
            return None
        decision.trace_id = trace_id.decode("latin-1")
        table_rate = rate_of(self._thresholds.table_threshold(decision.key))
        self._loads.count_forwarded(decision.key, decision.rate, table_rate)
        decision.threshold = scaled_threshold(decision.threshold, self._overload_fraction(now_ms))
        if decision.captured:
            self._reserve(now_ms)
        return decision

    def invalidate(self) -> None:
        """Forget cached thresholds, as a table, a load or the overload fraction is new; count their requests."""
        for key, _, requests in self._cache.values():
            if requests:
                self._loads.count_first_hop(key, requests)
        self._cache.clear()
        self._table_version = self._thresholds.version

    def _look_up(self, kind: tuple[str, str, str], now_ms: float) -> list[int]:
        """Add a kind to the cache."""
        key = self._keys.get(kind)
        if key is None:
            if len(self._keys) >= MAX_KNOWN_KINDS:
                self._keys.clear()
            key = self._keys[kind] = key_of(*kind)
        if len(self._cache) >= MAX_KNOWN_KINDS:
            self.invalidate()
        required = max(self._thresholds.threshold(key, now_ms), self._loads.local_threshold(key))
        found = self._cache[kind] = [key, scaled_threshold(required, self._fraction), 0]
        return found

    def _overload_fraction(self, now_ms: float) -> float:
        """The fraction of requests that is captured here now: computed after each reservation, and every 10 ms."""
        if now_ms >= self._fraction_until_ms:
            self._fraction_until_ms = now_ms + OVERLOAD_INTERVAL_MS
            self.invalidate()
            self._fraction = overload_fraction(self._sampled.utilization(now_ms))
        return self._fraction

    def _reserve(self, now_ms: float) -> None:
        self._sampled.reserve(now_ms)
        self._fraction_until_ms = now_ms
