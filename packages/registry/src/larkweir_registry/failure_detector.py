"""Failure detection by heartbeats that upstreams send to any one of several registries."""

from __future__ import annotations

MAX_MISSED_HEARTBEATS = 3.5  # in a row; one or two may be lost or still in transit from another registry
TIMEOUT_MARGIN_MS = 500.0  # on top of the missed heartbeats, for the delay between registries


class FailureDetector:
    """Tracks when the last heartbeat of each upstream arrived, at this or any other registry.

    All times are milliseconds of this process' monotonic clock.
    """

    def __init__(self, heartbeat_ms: float, now_ms: float) -> None:
        """Start observing at `now_ms`.

        Args:
            heartbeat_ms: the usual interval between heartbeats of one upstream.
            now_ms: the current time; no upstream times out earlier than `timeout_ms` after it.
        """
        self.timeout_ms = MAX_MISSED_HEARTBEATS * heartbeat_ms + TIMEOUT_MARGIN_MS
        self._last_heartbeats: dict[str, tuple[int, float]] = {}  # by upstream: sequence and arrival time
        self._unreported: dict[str, int] = {}
        self._observing_since_ms = now_ms

    def record_heartbeat(self, id_: str, sequence: int, now_ms: float) -> None:
        """Record a heartbeat that arrived at this registry."""
        if self._advance(id_, sequence, now_ms):
            self._unreported[id_] = sequence

    def record_peer_heartbeats(self, sequences: dict[str, int], now_ms: float) -> None:
        """Record the highest sequence of each upstream that another registry reports."""
        for id_, sequence in sequences.items():
            self._advance(id_, sequence, now_ms)

    def take_report(self) -> dict[str, int]:
        """Return the new sequences that arrived here since the last call, to be sent to the other registries."""
        report, self._unreported = self._unreported, {}
        return report

    def reset_observation(self, now_ms: float) -> None:
        """Report no time-outs for `timeout_ms` from now.

        Called after this process was paused or cut off from the others, when it may have missed heartbeats.
        """
        self._observing_since_ms = now_ms

    def last_sequence(self, id_: str) -> int:
        """Return the highest sequence received from an upstream, or -1 if there is none."""
        return self._last_heartbeats.get(id_, (-1, 0.0))[0]

    def timed_out(self, ids: list[str], now_ms: float) -> list[str]:
        """Return those of `ids` from which no registry has received a heartbeat for `timeout_ms`."""
        if now_ms < self._observing_since_ms + self.timeout_ms:
            return []
        return [id_ for id_ in ids if now_ms >= self._last_heartbeats.get(id_, (0, 0.0))[1] + self.timeout_ms]

    def forget(self, id_: str) -> None:
        """Drop the state of an upstream that has gone."""
        self._last_heartbeats.pop(id_, None)
        self._unreported.pop(id_, None)

    def _advance(self, id_: str, sequence: int, now_ms: float) -> bool:
        """Record `sequence` if it is the highest so far, and return whether it was."""
        known = self._last_heartbeats.get(id_)
        if known is not None and known[0] >= sequence:
            return False
        self._last_heartbeats[id_] = (sequence, now_ms)
        return True
