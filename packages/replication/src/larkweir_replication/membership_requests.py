"""The requests of a replica to the group: to become a member, or to be replaced before it stops."""

from __future__ import annotations

from larkweir_replication.messages import Join, Leave
from larkweir_replication.state import ReplicaState
from larkweir_replication.timing import Timing


class MembershipRequests:
    """Repeats a request at its interval, because the primary drops requests that are not repeated."""

    def __init__(self, state: ReplicaState, timing: Timing, now_ms: float) -> None:
        """`state`: the state of the replica that sends the requests."""
        self._state = state
        self._timing = timing
        self._last_join_ms = now_ms
        self._last_leave_ms = now_ms - timing.leave_interval_ms

    def request_join_if_due(self, now_ms: float) -> None:
        """Sends the request to all known nodes, since any of them may be the primary."""
        if now_ms < self._last_join_ms + self._timing.join_interval_ms:
            return
        self._last_join_ms = now_ms
        for node in sorted(self._state.known_nodes - {self._state.node}):
            self._state.send(node, Join())

    def is_leave_due(self, now_ms: float) -> bool:
        """Whether it is time to send the request to leave, or to repeat it."""
        return now_ms >= self._last_leave_ms + self._timing.leave_interval_ms and not self._state.has_left

    def request_leave(self, now_ms: float) -> None:
        """Sends the request to all other members."""
        self._last_leave_ms = now_ms
        for node in self._state.other_members():
            self._state.send(node, Leave())
