"""Heartbeats of upstreams, heard here or by other registries, and whose silence counts."""

from __future__ import annotations

MAX_MISSED_HEARTBEATS = (
    3.5  # heartbeats in a row; one or two may be on their way to another registry, or lost
)
TIMEOUT_MARGIN_MS = 500.0


class FailureDetector:
    """When each upstream was last heard, by whomever. Times are of this registry's own steady clock."""

    def __init__(self, heartbeat_ms: float, now_ms: float) -> None:
        """`heartbeat_ms`: the usual time from one heartbeat of an upstream to its next."""
        self.timeout_ms = MAX_MISSED_HEARTBEATS * heartbeat_ms + TIMEOUT_MARGIN_MS
        self._last_heartbeats: dict[str, tuple[int, float]] = {}
        self._unreported: dict[str, int] = {}
        self._observing_since_ms = now_ms

    def record_heartbeat(self, id_: str, sequence: int, now_ms: float) -> None:
        """A heartbeat came here."""
        if self._advance(id_, sequence, now_ms):
            self._unreported[id_] = sequence

    def record_peer_heartbeats(self, sequences: dict[str, int], now_ms: float) -> None:
        """Another registry tells what came there since it last told."""
        for id_, sequence in sequences.items():
            self._advance(id_, sequence, now_ms)

    def take_report(self) -> dict[str, int]:
        """What came here since the last call, to be told to the other registries."""
        taken, self._unreported = self._unreported, {}
        return taken

    def reset_observation(self, now_ms: float) -> None:
        """This registry stood still or was cut off: what it did not hear until now proves nothing."""
        self._observing_since_ms = now_ms

    def last_sequence(self, id_: str) -> int:
        """The highest heartbeat known; -1 for none."""
        return self._last_heartbeats.get(id_, (-1, 0.0))[0]

    def timed_out(self, ids: list[str], now_ms: float) -> list[str]:
        """Those of `ids` that nobody has heard for so long that they count as lost."""
        if now_ms < self._observing_since_ms + self.timeout_ms:
            return []
        return [id_ for id_ in ids if now_ms >= self._last_heartbeats.get(id_, (0, 0.0))[1] + self.timeout_ms]

    def forget(self, id_: str) -> None:
        """The upstream has gone."""
        self._last_heartbeats.pop(id_, None)
        self._unreported.pop(id_, None)

    def _advance(self, id_: str, sequence: int, now_ms: float) -> bool:
        known = self._last_heartbeats.get(id_)
        if known is not None and known[0] >= sequence:
            return False
        self._last_heartbeats[id_] = (sequence, now_ms)
        return True
