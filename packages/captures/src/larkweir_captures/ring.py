"""Rules: the last seconds of a hop's records, in a ring that is bounded in time, records and bytes.

As Hindsight keeps traces (Zhang et al., NSDI 2023, section 4): all is kept for a moment, and what nobody asks for is
overwritten, the oldest first.
"""

from __future__ import annotations

from collections import deque
from collections.abc import Iterator

from larkweir_captures.queues import Waiting


class Ring:
    __slots__ = (
        "_bytes",
        "_count",
        "_entries",
        "_found",
        "most_bytes",
        "most_ms",
        "most_records",
        "overwritten",
    )

    def __init__(self, most_ms: float, most_records: int, most_bytes: int) -> None:
        self.most_ms = most_ms
        self.most_records = most_records
        self.most_bytes = most_bytes
        self.overwritten = 0  # younger than `most_ms`: the ring is too small for the load
        self._entries: deque[tuple[float, int, int, int]] = (
            deque()
        )  # (when, which, trace, bytes), oldest first
        self._found: dict[int, list[tuple[int, Waiting]]] = {}
        self._bytes = 0
        self._count = 0

    def __len__(self) -> int:
        return len(self._entries)

    @property
    def bytes(self) -> int:
        return self._bytes

    def put(self, item: Waiting, now_ms: float) -> None:
        self._count += 1
        self._entries.append((now_ms, self._count, item.rv, item.cost))
        self._found.setdefault(item.rv, []).append((self._count, item))
        self._bytes += item.cost
        while len(self._entries) > self.most_records or self._bytes > self.most_bytes:
            self.overwritten += 1
            self._drop()

    def expire(self, now_ms: float) -> None:
        """Let go what is too old: at each tick, not with each record."""
        while self._entries and now_ms - self._entries[0][0] > self.most_ms:
            self._drop()

    def _drop(self) -> None:
        _, which, rv, cost = self._entries.popleft()
        self._bytes -= cost
        items = self._found.get(rv)
        if items and items[0][0] == which:  # else it was taken: its place ages as it would have
            items.pop(0)
            if not items:
                del self._found[rv]

    def has(self, rv: int) -> bool:
        return rv in self._found

    def take(self, rv: int) -> Iterator[Waiting]:
        """A trace's records, which are the taker's from here on. Their places age as they would have."""
        yield from (item for _, item in self._found.pop(rv, ()))
