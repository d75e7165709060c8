"""Tracks requests to join or leave, and silent members, for the primary."""

from __future__ import annotations

from larkweir_replication.membership import Candidates, Step, next_step
from larkweir_replication.state import ReplicaState
from larkweir_replication.timing import Timing

REQUEST_EXPIRY_INTERVALS = 3.0  # a request expires if it is not repeated within this many intervals


class MemberTracker:
    """The membership requests and the last contact with each member during one term."""

    def __init__(self, state: ReplicaState, timing: Timing, now_ms: float) -> None:
        """`now_ms`: when the term begins; silence before that is not counted."""
        self._state = state
        self._timing = timing
        self._begun_ms = now_ms
        self._last_contact_ms: dict[str, float] = {}
        self._join_requests_ms: dict[str, float] = {}  # by non-member, the time of its latest request
        self._leave_requests_ms: dict[str, float] = {}  # the same, by node that is about to stop

    def on_contact(self, node: str, now_ms: float) -> None:
        """Records that a message from `node` has arrived."""
        self._last_contact_ms[node] = now_ms

    def on_join(self, node: str, now_ms: float) -> None:
        """Records that `node`, which is not a member, stands by to become one."""
        self._join_requests_ms[node] = now_ms

    def on_leave(self, node: str, now_ms: float) -> None:
        """Records that `node` is about to stop."""
        self._leave_requests_ms[node] = now_ms

    def recipients(self) -> list[str]:
        """Returns all nodes that need the newest state: members, and nodes that stand by or wait to be replaced."""
        state = self._state
        nodes = {*state.other_members(), *self._join_requests_ms, *self._leave_requests_ms}
        return sorted(nodes - {state.node})

    def drop_expired_requests(self, now_ms: float) -> None:
        """Drops requests that were not repeated, and join requests of nodes that have become members."""
        members = self._state.newest().members
        max_join_age_ms = REQUEST_EXPIRY_INTERVALS * self._timing.join_interval_ms
        max_leave_age_ms = REQUEST_EXPIRY_INTERVALS * self._timing.leave_interval_ms
        for node, requested_ms in list(self._join_requests_ms.items()):
            if node in members or now_ms > requested_ms + max_join_age_ms:
                del self._join_requests_ms[node]
        for node, requested_ms in list(self._leave_requests_ms.items()):
            if now_ms > requested_ms + max_leave_age_ms:
                del self._leave_requests_ms[node]

    def next_step(self, target_member_count: int, now_ms: float) -> Step | None:
        """Returns the next change of members, or None if no change is needed."""
        candidates = Candidates(
            standby=list(self._join_requests_ms),
            leaving=list(self._leave_requests_ms),
            replaceable=self._silent_members(self._timing.replace_after_silence_ms, now_ms),
            removable=self._silent_members(self._timing.remove_after_silence_ms, now_ms),
        )
        return next_step(self._state.newest(), target_member_count, self._state.node, candidates)

    def unreachable_members(self, now_ms: float) -> tuple[str, ...]:
        """Members that have not been heard from recently, sorted by name."""
        return tuple(sorted(self._silent_members(self._timing.unreachable_after_silence_ms, now_ms)))

    def _silent_members(self, silence_ms: float, now_ms: float) -> list[str]:
        """Members that have been silent for at least `silence_ms`, the longest silence first."""
        members = self._state.newest().members
        contacts_ms = {node: self._last_contact_ms.get(node, self._begun_ms) for node in members}
        contacts_ms.pop(self._state.node, None)
        silent = [node for node, contact_ms in contacts_ms.items() if now_ms >= contact_ms + silence_ms]
        return sorted(silent, key=lambda node: contacts_ms[node])
