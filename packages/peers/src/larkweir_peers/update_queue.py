"""The queue of membership updates to gossip (SWIM section 4.1)."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import NamedTuple

from larkweir_peers.messages import MemberUpdate


class _QueuedUpdate(NamedTuple):
    update: MemberUpdate
    sequence: int


class UpdateQueue:
    """The latest update of each member, ordered by number of sends (fewest first), then by age (newest first)."""

    def __init__(self) -> None:
        self._latest: dict[bytes, _QueuedUpdate] = {}  # by member
        self._heap: list[tuple[int, int, bytes]] = []  # number of sends, negated sequence, member
        self._last_sequence = 0

    def __contains__(self, address: bytes) -> bool:
        return address in self._latest

    def add(self, update: MemberUpdate) -> None:
        """Queue an update. It replaces the earlier update of the same member."""
        self._last_sequence += 1
        self._latest[update.member] = _QueuedUpdate(update, self._last_sequence)
        heappush(self._heap, (0, -self._last_sequence, update.member))
        if len(self._heap) > 2 * len(self._latest) + 64:  # limits the number of stale entries
            current = {(-queued.sequence, address) for address, queued in self._latest.items()}
            self._heap = [entry for entry in self._heap if entry[1:] in current]
            heapify(self._heap)

    def discard(self, address: bytes) -> None:
        """Remove the update of a member. `take_into` skips its stale heap entry later."""
        self._latest.pop(address, None)

    def take_into(self, out: dict[bytes, MemberUpdate], limit: int, max_sends: int) -> None:
        """Add updates to `out`, keyed by member, until it has `limit`. Updates sent `max_sends` times are removed."""
        heap, requeued = self._heap, []
        while heap and len(out) < limit:
            send_count, sequence, address = heappop(heap)
            queued = self._latest.get(address)
            if queued is None or queued.sequence != -sequence:
                continue  # discarded, or replaced by a newer update
            out.setdefault(address, queued.update)
            if send_count + 1 < max_sends:
                requeued.append((send_count + 1, sequence, address))
            else:
                del self._latest[address]
        for entry in requeued:
            heappush(heap, entry)
