"""The ids of requests that ended recently. Pure logic."""

from __future__ import annotations

from collections.abc import Iterable, Iterator


class RecentIds:
    """Ids and the times at which their requests ended, oldest first, limited in number and in age (`retention_ms`)."""

    MAX_IDS = 4096

    def __init__(self) -> None:
        self.retention_ms = 0.0  # how long an id is retained; it never decreases
        self.ended_ms: dict[bytes, float] = {}

    def __contains__(self, trace: bytes) -> bool:
        return trace in self.ended_ms

    def __iter__(self) -> Iterator[bytes]:
        return iter(self.ended_ms)

    def extend_retention(self, longest_deadline_ms: float) -> None:
        """Retain ids for at least twice the longest deadline. A shorter deadline doesn't reduce the retention, since
        open requests may have been accepted with the longer one.
        """
        self.retention_ms = max(self.retention_ms, 2.0 * longest_deadline_ms)

    def add(self, trace: bytes, now_ms: float) -> None:
        """A request with this id has ended at `now_ms`, which must not be earlier than the end of any other id."""
        self.ended_ms[trace] = now_ms
        while self.ended_ms:
            oldest = next(iter(self.ended_ms))
            if len(self.ended_ms) <= self.MAX_IDS and self.ended_ms[oldest] > now_ms - self.retention_ms:
                break
            del self.ended_ms[oldest]

    def items(self) -> Iterable[tuple[bytes, float]]:
        """The ids, each with the time in milliseconds at which its request ended, oldest first."""
        return self.ended_ms.items()

    def merge(self, ids: Iterable[tuple[bytes, float]]) -> None:
        """Add ids that another process has seen, each with the time at which its request ended."""
        known = dict(self.ended_ms)
        for trace, ended_ms in ids:
            known[trace] = max(ended_ms, known.get(trace, 0.0))
        by_end = sorted(known.items(), key=lambda item: item[1])
        self.ended_ms = dict(by_end[-self.MAX_IDS :])
