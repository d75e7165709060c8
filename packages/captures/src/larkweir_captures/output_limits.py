"""A volume that is never passed in any window, whenever the window begins.

The generic cell rate algorithm (ITU-T I.371 annex A) as a leaky bucket of the time at which all that was let out would
have been paid for. In any window of `w` seconds at most `rate * w + burst` goes out. With burst and rate together the
stated volume, a window of a second or longer never holds more than the stated volume times its length, and a shorter
one never more than a second's.
"""

from __future__ import annotations

BURST_S = 0.1  # of a second's volume
MIN_BURST_RECORDS = 1.0  # that a burst holds
MIN_BURST_BYTES = 2048.0  # a record whose own text is cut fits


class LeakyBucket:
    """One quantity."""

    __slots__ = ("_paid_until_ms", "burst", "per_ms")

    def __init__(self, per_s: float, least: float = 1.0) -> None:
        """`per_s`: what a window of one second never passes, at least twice `least`, which a burst always holds."""
        if not per_s >= 2.0 * least:
            raise ValueError(f"{per_s} a second leaves no room for bursts of {least}")
        self.burst = max(per_s * BURST_S, least)
        self.per_ms = (per_s - self.burst) / 1000.0  # per millisecond
        self._paid_until_ms = float("-inf")

    def wait_ms(self, cost: float, now_ms: float) -> float:
        """How long until so much may go: 0 at once; infinite if it is more than a burst can hold."""
        if cost > self.burst:
            return float("inf")
        due = max(self._paid_until_ms, now_ms) + cost / self.per_ms - self.burst / self.per_ms
        return max(0.0, due - now_ms)

    def spend(self, cost: float, now_ms: float) -> None:
        """So much goes out now: `wait_ms` was 0."""
        self._paid_until_ms = max(self._paid_until_ms, now_ms) + cost / self.per_ms

    def exhaust(self, now_ms: float) -> None:
        """As if a whole burst had gone out just now."""
        self._paid_until_ms = max(self._paid_until_ms, now_ms + self.burst / self.per_ms)


class OutputLimit:
    """Records and bytes together."""

    __slots__ = ("bytes", "records")

    def __init__(self, records_per_s: float, bytes_per_s: float) -> None:
        self.records = LeakyBucket(records_per_s, MIN_BURST_RECORDS)
        self.bytes = LeakyBucket(bytes_per_s, MIN_BURST_BYTES)

    @property
    def max_record_bytes(self) -> int:
        """Bytes of a record that can go out at all."""
        return int(self.bytes.burst)

    def wait_ms(self, size: int, now_ms: float) -> float:
        return max(self.records.wait_ms(1.0, now_ms), self.bytes.wait_ms(size, now_ms))

    def exhaust(self, now_ms: float) -> None:
        self.records.exhaust(now_ms)
        self.bytes.exhaust(now_ms)

    def spend(self, size: int, now_ms: float) -> None:
        self.records.spend(1.0, now_ms)
        self.bytes.spend(size, now_ms)
