"""Heartbeats of upstreams, heard here or by other registries, and whose silence counts."""

from __future__ import annotations

BEATS_MISSED = 3.5  # heartbeats in a row; one or two may be on their way to another registry, or lost
GRACE_MS = 500.0


class Liveness:
    """When each upstream was last heard, by whomever. Times are of this registry's own steady clock."""

    def __init__(self, heartbeat_ms: float, now_ms: float) -> None:
        """`heartbeat_ms`: the usual time from one heartbeat of an upstream to its next."""
        self.patience_ms = BEATS_MISSED * heartbeat_ms + GRACE_MS
        self._heard: dict[str, tuple[int, float]] = {}
        self._unreported: dict[str, int] = {}
        self._watching_since_ms = now_ms

    def heard(self, id_: str, sequence: int, now_ms: float) -> None:
        """A heartbeat came here."""
        if self._raise(id_, sequence, now_ms):
            self._unreported[id_] = sequence

    def heard_elsewhere(self, sequences: dict[str, int], now_ms: float) -> None:
        """Another registry tells what came there since it last told."""
        for id_, sequence in sequences.items():
            self._raise(id_, sequence, now_ms)

    def take_report(self) -> dict[str, int]:
        """What came here since the last call, to be told to the other registries."""
        taken, self._unreported = self._unreported, {}
        return taken

    def blinded(self, now_ms: float) -> None:
        """This registry stood still or was cut off: what it did not hear until now proves nothing."""
        self._watching_since_ms = now_ms

    def sequence(self, id_: str) -> int:
        """The highest heartbeat known; -1 for none."""
        return self._heard.get(id_, (-1, 0.0))[0]

    def silent(self, ids: list[str], now_ms: float) -> list[str]:
        """Those of `ids` that nobody has heard for so long that they count as lost."""
        if now_ms < self._watching_since_ms + self.patience_ms:
            return []
        return [id_ for id_ in ids if now_ms >= self._heard.get(id_, (0, 0.0))[1] + self.patience_ms]

    def forget(self, id_: str) -> None:
        """The upstream has gone."""
        self._heard.pop(id_, None)
        self._unreported.pop(id_, None)

    def _raise(self, id_: str, sequence: int, now_ms: float) -> bool:
        known = self._heard.get(id_)
        if known is not None and known[0] >= sequence:
            return False
        self._heard[id_] = (sequence, now_ms)
        return True
