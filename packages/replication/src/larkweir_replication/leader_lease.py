"""The primary's lease, which depends on the newest round of heartbeats that a majority has acknowledged.

A round that a majority has acknowledged proves that this replica was still the primary when it sent the round (read
index: Ongaro's dissertation 2014, section 6.4), and grants a lease from that time on (leases: Gray and Cheriton 1989).
"""

from __future__ import annotations

from larkweir_replication.messages import Snapshot
from larkweir_replication.timing import Timing

MAX_OPEN_ROUNDS = 64  # number of rounds whose send time is kept


class LeaderLease:
    """Numbers the heartbeat rounds of one term and tracks their acknowledgements."""

    def __init__(self, timing: Timing, now_ms: float) -> None:
        """Starts without a lease, and with the first heartbeat due at once."""
        self._timing = timing
        self.round = 0  # the number of the last round that was sent
        self.granted_from_ms = now_ms - timing.lease_duration_ms
        self._sent_ms: dict[int, float] = {}  # by round
        self._acknowledged_rounds: dict[str, int] = {}  # by node, the newest acknowledged round
        self._next_heartbeat_ms = now_ms

    def is_heartbeat_due(self, now_ms: float) -> bool:
        """Whether it is time to send the next round."""
        return now_ms >= self._next_heartbeat_ms

    def begin_round(self, now_ms: float) -> int:
        """Starts the next round, which is sent now, and returns its number."""
        self.round += 1
        self._sent_ms[self.round] = now_ms
        for old in [one for one in self._sent_ms if one < self.round - MAX_OPEN_ROUNDS]:
            del self._sent_ms[old]
        self._next_heartbeat_ms = now_ms + self._timing.heartbeat_interval_ms
        return self.round

    def acknowledge(self, node: str, number: int) -> None:
        """Records that `node`, possibly this node itself, grants the lease from the time when the round was sent."""
        self._acknowledged_rounds[node] = max(number, self._acknowledged_rounds.get(node, 0))

    def renew(self, snapshot: Snapshot) -> int | None:
        """Extends the lease based on the newest round that a majority of the state's members has acknowledged.

        Returns the number of that round, or None if there is none.
        """
        for number in sorted(set(self._acknowledged_rounds.values()), reverse=True):
            nodes = {node for node, newest in self._acknowledged_rounds.items() if newest >= number}
            if snapshot.has_quorum(nodes):
                sent_ms = self._sent_ms.get(number, self.granted_from_ms)
                self.granted_from_ms = max(self.granted_from_ms, sent_ms)
                return number
        return None

    def is_valid(self, now_ms: float) -> bool:
        """Whether no other primary can have been elected. `lease_margin_ms` allows for clocks of different rates."""
        return now_ms < self.granted_from_ms + self._timing.lease_duration_ms - self._timing.lease_margin_ms
