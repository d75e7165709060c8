"""The memory budget that all connections share. Bodies, heads and answers are charged to it while they are buffered."""

from __future__ import annotations


class MemoryBudget:
    """Limits the total number of bytes that all connections buffer. Guards the process's memory limit: there are
    hundreds of connections, and a limit per connection would not bound their sum.
    """

    SHARE = 0.25  # of the process's memory limit; the rest is for the program, its tables and the system's buffers

    def __init__(self, memory_mb: float) -> None:
        self.resize(memory_mb)
        self.used_bytes = 0

    def charge(self, before: int, now: int) -> bool:
        """Change one connection's charge from `before` to `now` bytes. The change is always counted; returns whether
        it is within the limit. A decrease always is.
        """
        self.used_bytes += now - before
        return now <= before or self.used_bytes <= self.max_bytes

    @property
    def is_half_used(self) -> bool:
        """Whether more than half of the limit is in use. Bodies that can be streamed are not buffered then."""
        return 2 * self.used_bytes > self.max_bytes

    @property
    def is_exhausted(self) -> bool:
        """Whether more than the limit is in use. Nothing new may be buffered then."""
        return self.used_bytes > self.max_bytes

    def resize(self, memory_mb: float) -> None:
        """Set the limit to `SHARE` of `memory_mb` MiB. Existing charges are kept."""
        self.max_bytes = int(memory_mb * 1024 * 1024 * self.SHARE)
