"""Heartbeats of a duty's owner, and the repetition of reports that may have been lost. Pure logic; times are
milliseconds.
"""

from __future__ import annotations

HEARTBEAT_INTERVAL_MS = 1500.0  # of an owner's heartbeats, while there is something to do
CHECK_INTERVAL_MS = 1000.0  # the longest pause between two checks of a balancer for anything new
OWNER_TIMEOUT_MS = 4000.0  # without a heartbeat, after which a balancer goes on without an owner
FORGET_MS = 120_000.0  # without any balancer's report, after which a row is dropped
REFRESH_MS = 30_000.0  # after which a balancer repeats a row that has not changed
REPORT_MS = 50.0  # between two reports of one balancer
RESEND_MS = (250.0, 1000.0)  # after which a changed row is repeated, in case it was lost


def heartbeat_due(last_ms: float, now_ms: float) -> bool:
    """Whether a heartbeat is due. All duties of a process have theirs at the same times, to share messages."""
    return last_ms < now_ms // HEARTBEAT_INTERVAL_MS * HEARTBEAT_INTERVAL_MS


class OwnerHeartbeat:
    """Whether there is an owner, as a balancer sees it: by the states that arrive, whatever membership says."""

    __slots__ = ("_fresh", "_received_ms")

    def __init__(self) -> None:
        self._fresh = False
        self._received_ms = float("-inf")

    def received(self) -> None:
        """A state of the owner has arrived."""
        self._fresh = True

    def has_owner(self, now_ms: float) -> bool:
        """Whether there is an owner now."""
        if self._fresh:
            self._fresh, self._received_ms = False, now_ms
        return now_ms < self.until_ms

    @property
    def until_ms(self) -> float:
        """When the owner times out, if nothing arrives until then."""
        return self._received_ms + OWNER_TIMEOUT_MS


class Resend:
    """When a row is sent: at once when it has changed, twice more in case that was lost, then every `REFRESH_MS`."""

    __slots__ = ("_send_count", "_sent_value", "due_ms")

    def __init__(self, now_ms: float) -> None:
        self._sent_value: object = None
        self._send_count = 0
        self.due_ms = now_ms

    def wants(self, value: object, now_ms: float) -> bool:
        """Whether to send `value` now; if so it counts as sent."""
        if value != self._sent_value:
            self._sent_value, self._send_count = value, 0
        elif now_ms < self.due_ms:
            return False
        self.due_ms = now_ms + (
            RESEND_MS[self._send_count] if self._send_count < len(RESEND_MS) else REFRESH_MS
        )
        self._send_count += 1
        return True
