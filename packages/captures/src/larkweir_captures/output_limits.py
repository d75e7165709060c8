"""Output limits in records and bytes that hold over any window, wherever the window begins.

The generic cell rate algorithm (ITU-T I.371 annex A): a leaky bucket, kept as the time at which it will be empty. In
any window of `w` seconds at most `rate * w + burst` is written. Burst and rate together make the configured limit, so a
window of a second or longer never holds more than the limit times its length, and a shorter one never more than
one second's. Pure logic: the time is handed in, in milliseconds of a monotonic clock.
"""

from __future__ import annotations

BURST_S = 0.1  # of the limit, that may be written at once
MIN_BURST_RECORDS = 1.0
MIN_BURST_BYTES = 2048.0  # a line whose record was replaced by a marker fits


class LeakyBucket:
    """The limit of one quantity."""

    __slots__ = ("_paid_until_ms", "burst", "per_ms")

    def __init__(self, per_s: float, min_burst: float = 1.0) -> None:
        """`per_s`: the most that any window of one second holds. ValueError if it is below twice `min_burst`, the
        smallest burst that is always allowed.
        """
        if not per_s >= 2.0 * min_burst:
            raise ValueError(f"{per_s} a second leaves no room for bursts of {min_burst}")
        self.burst = max(per_s * BURST_S, min_burst)
        self.per_ms = (per_s - self.burst) / 1000.0
        self._paid_until_ms = float("-inf")

    def wait_ms(self, cost: float, now_ms: float) -> float:
        """The time until `cost` may be spent: 0 if at once, infinite if it exceeds the burst."""
        if cost > self.burst:
            return float("inf")
        due = max(self._paid_until_ms, now_ms) + cost / self.per_ms - self.burst / self.per_ms
        return max(0.0, due - now_ms)

    def spend(self, cost: float, now_ms: float) -> None:
        """Account for `cost`. Call it only where `wait_ms` returned 0."""
        self._paid_until_ms = max(self._paid_until_ms, now_ms) + cost / self.per_ms

    def exhaust(self, now_ms: float) -> None:
        """Account for a whole burst, as if it had been spent just now."""
        self._paid_until_ms = max(self._paid_until_ms, now_ms + self.burst / self.per_ms)


class OutputLimit:
    """The limits of records and of bytes together."""

    __slots__ = ("bytes", "records")

    def __init__(self, records_per_s: float, bytes_per_s: float) -> None:
        """ValueError where a limit is below twice its smallest burst."""
        self.records = LeakyBucket(records_per_s, MIN_BURST_RECORDS)
        self.bytes = LeakyBucket(bytes_per_s, MIN_BURST_BYTES)

    @property
    def max_record_bytes(self) -> int:
        """The size of the largest line that can ever be written."""
        return int(self.bytes.burst)

    def wait_ms(self, line_bytes: int, now_ms: float) -> float:
        """The time until a line of this size may be written; infinite if it never may."""
        return max(self.records.wait_ms(1.0, now_ms), self.bytes.wait_ms(line_bytes, now_ms))

    def exhaust(self, now_ms: float) -> None:
        """Account for a whole burst of records and bytes."""
        self.records.exhaust(now_ms)
        self.bytes.exhaust(now_ms)

    def spend(self, line_bytes: int, now_ms: float) -> None:
        """Account for one line."""
        self.records.spend(1.0, now_ms)
        self.bytes.spend(line_bytes, now_ms)
