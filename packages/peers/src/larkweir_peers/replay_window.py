"""Protection against duplicated and replayed datagrams (RFC 4303 section 3.4.3)."""

from __future__ import annotations

from larkweir_peers.drop_reasons import DropReason


class ReplayWindow:
    """The sequence numbers received from the current process of one peer.

    Each of the last `SIZE` numbers is accepted once. Older numbers are dropped, as they may have been received before.
    """

    __slots__ = ("_highest", "_seen_bits", "process_start_ms")

    SIZE = 1024

    def __init__(self) -> None:
        self.process_start_ms = 0
        self._highest = -1
        self._seen_bits = 0

    def check(self, process_start_ms: int, number: int) -> DropReason | None:
        """Record a sequence number. Returns the reason to drop its datagram, or None if the number is new."""
        if process_start_ms < self.process_start_ms:
            return DropReason.FORMER_INCARNATION
        if process_start_ms > self.process_start_ms:
            self.process_start_ms, self._highest, self._seen_bits = process_start_ms, -1, 0
        ahead = number - self._highest
        if ahead > 0:
            mask = (1 << self.SIZE) - 1
            self._seen_bits = (self._seen_bits << ahead | 1) & mask if ahead < self.SIZE else 1
            self._highest = number
            return None
        if -ahead >= self.SIZE:
            return DropReason.TOO_OLD
        if self._seen_bits >> -ahead & 1:
            return DropReason.DUPLICATE
        self._seen_bits |= 1 << -ahead
        return None
