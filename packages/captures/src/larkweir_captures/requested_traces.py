"""Traces that other hops asked this one to retain, whose records may be yet to come. Pure logic."""

from __future__ import annotations

from collections import OrderedDict

MAX_REQUESTED_TRACES = 4096
MAX_SOURCES = 4  # remembered for each trace, the latest


class RequestedTraces:
    """Traces by the hash of their id."""

    def __init__(self) -> None:
        self._traces: OrderedDict[int, tuple[int, float, tuple[str, ...]]] = OrderedDict()

    def __contains__(self, rv: int) -> bool:
        """Whether there was a request for a trace, perhaps one that has expired."""
        return rv in self._traces

    def add(self, rv: int, importance: int, until_ms: float, source: str) -> None:
        """Hop `source` asks for a trace; the request expires at `until_ms`."""
        known = self._traces.pop(rv, (0, 0.0, ()))
        sources = known[2] if source in known[2] else (*known[2], source)[-MAX_SOURCES:]
        self._traces[rv] = (max(importance, known[0]), max(until_ms, known[1]), sources)
        if len(self._traces) > MAX_REQUESTED_TRACES:
            self._traces.popitem(last=False)

    def find(self, rv: int, now_ms: float) -> tuple[int, tuple[str, ...]]:
        """The importance of a trace to the hops that asked for it, and those hops; 0 if there are none."""
        if rv not in self._traces:
            return 0, ()
        importance, until_ms, sources = self._traces[rv]
        return (importance, sources) if until_ms >= now_ms else (0, ())

    def expire(self, now_ms: float) -> None:
        """Forget the oldest requests, those that have expired."""
        while self._traces and next(iter(self._traces.values()))[1] < now_ms:
            self._traces.popitem(last=False)
