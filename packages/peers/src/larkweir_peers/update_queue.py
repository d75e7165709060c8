"""Membership updates that are still to be passed on (SWIM section 4.1)."""

from __future__ import annotations

from heapq import heapify, heappop, heappush
from typing import NamedTuple

from larkweir_peers.messages import MemberUpdate


class _QueuedUpdate(NamedTuple):
    update: MemberUpdate
    sequence: int


class UpdateQueue:
    """The last update of each member, in the order least sent first, then newest first."""

    def __init__(self) -> None:
        self._latest: dict[bytes, _QueuedUpdate] = {}  # by member
        self._heap: list[tuple[int, int, bytes]] = []  # how often sent, sequence (negative), member
        self._last_sequence = 0

    def __contains__(self, address: bytes) -> bool:
        return address in self._latest

    def add(self, update: MemberUpdate) -> None:
        """Queue an update; it replaces the last one of the same member."""
        self._last_sequence += 1
        self._latest[update.member] = _QueuedUpdate(update, self._last_sequence)
        heappush(self._heap, (0, -self._last_sequence, update.member))
        if len(self._heap) > 2 * len(self._latest) + 64:  # bounds the entries that were replaced
            current = {(-queued.sequence, address) for address, queued in self._latest.items()}
            self._heap = [entry for entry in self._heap if entry[1:] in current]
            heapify(self._heap)

    def discard(self, address: bytes) -> None:
        """Pass the update of a member on no more. Its entry in the heap is skipped later."""
        self._latest.pop(address, None)

    def take_into(self, out: dict[bytes, MemberUpdate], limit: int, max_sends: int) -> None:
        """Add updates to `out`, by member, until it has `limit`. One that was sent `max_sends` times is removed."""
        heap, requeued = self._heap, []
        while heap and len(out) < limit:
            send_count, sequence, address = heappop(heap)
            queued = self._latest.get(address)
            if queued is None or queued.sequence != -sequence:
                continue  # discarded, or replaced by a newer one
            out.setdefault(address, queued.update)
            if send_count + 1 < max_sends:
                requeued.append((send_count + 1, sequence, address))
            else:
                del self._latest[address]
        for entry in requeued:
            heappush(heap, entry)
