"""A log that repeats itself only after a while. Pure logic but for the clock and the log handed in."""

from __future__ import annotations

from collections.abc import Callable

INTERVAL_MS = 10_000.0  # between two lines of the same topic


class LimitedLog:
    """Log lines by topic, at most one of each per interval."""

    def __init__(self, write: Callable[[str], None], now_ms: Callable[[], float]) -> None:
        self._write, self._now_ms = write, now_ms
        self._logged_ms: dict[str, float] = {}

    def log(self, topic: str, text: str) -> bool:
        """Log a line. Returns False if the topic's last line is too recent."""
        now = self._now_ms()
        if now - self._logged_ms.get(topic, float("-inf")) < INTERVAL_MS:
            return False
        self._logged_ms[topic] = now
        self._write(text)
        return True
