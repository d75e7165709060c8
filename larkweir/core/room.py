"""Rules: the memory that all connections share: bodies, heads, answers are booked while they are held."""

from __future__ import annotations


class Room:
    """Bytes that connections may hold together. Guards the process's memory limit, which bounds for each
    connection alone would not: there are hundreds of them.
    """

    SHARE = 0.25  # of the memory limit; the rest is the program, its tables, and what the system keeps aside

    def __init__(self, memory_mb: float) -> None:
        self.resize(memory_mb)
        self.used = 0

    def book(self, before: int, now: int) -> bool:
        """One holder's change, booked in any case; whether it may hold that much more."""
        self.used += now - before
        return now <= before or self.used <= self.most

    @property
    def scarce(self) -> bool:
        """Whether more than half is in use: what can be passed on is not kept then."""
        return 2 * self.used > self.most

    @property
    def full(self) -> bool:
        """Whether all of it is in use: nothing new may be held."""
        return self.used > self.most

    def resize(self, memory_mb: float) -> None:
        """Take another limit; what is held already stays."""
        self.most = int(memory_mb * 1024 * 1024 * self.SHARE)
