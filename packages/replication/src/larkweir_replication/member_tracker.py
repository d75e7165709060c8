"""What the primary knows of machines that come and go: requests to join or leave, and silent members."""

from __future__ import annotations

from larkweir_replication.membership import Candidates, Step, next_step
from larkweir_replication.state import ReplicaState
from larkweir_replication.timing import Timing

REQUEST_EXPIRY_INTERVALS = 3.0  # intervals after which a node that has not repeated its request is forgotten


class MemberTracker:
    """The requests and the silences of one term."""

    def __init__(self, state: ReplicaState, timing: Timing, now_ms: float) -> None:
        """`now_ms`: when the term begins; silence is counted from then on at the earliest."""
        self._state = state
        self._timing = timing
        self._begun_ms = now_ms
        self._last_contact_ms: dict[str, float] = {}
        self._join_requests_ms: dict[str, float] = {}  # of nodes that are no members, by their latest time
        self._leave_requests_ms: dict[str, float] = {}  # of nodes that are about to stop

    def on_contact(self, node: str, now_ms: float) -> None:
        """A message of that node has arrived."""
        self._last_contact_ms[node] = now_ms

    def on_join(self, node: str, now_ms: float) -> None:
        """A replica that is no member stands by."""
        self._join_requests_ms[node] = now_ms

    def on_leave(self, node: str, now_ms: float) -> None:
        """A node is about to stop."""
        self._leave_requests_ms[node] = now_ms

    def recipients(self) -> list[str]:
        """All that are to have the newest state: members, and nodes that stand by or wait to be replaced."""
        state = self._state
        nodes = {*state.other_members(), *self._join_requests_ms, *self._leave_requests_ms}
        return sorted(nodes - {state.node})

    def drop_expired_requests(self, now_ms: float) -> None:
        """Forgets requests that were not repeated, and newcomers that have become members."""
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
        """The next change of members; None where they are to stay."""
        candidates = Candidates(
            standby=list(self._join_requests_ms),
            leaving=list(self._leave_requests_ms),
            replaceable=self._silent_members(self._timing.replace_after_silence_ms, now_ms),
            removable=self._silent_members(self._timing.remove_after_silence_ms, now_ms),
        )
        return next_step(self._state.newest(), target_member_count, self._state.node, candidates)

    def unreachable_members(self, now_ms: float) -> tuple[str, ...]:
        """Members that have not answered lately, sorted by name."""
        return tuple(sorted(self._silent_members(self._timing.unreachable_after_silence_ms, now_ms)))

    def _silent_members(self, silence_ms: float, now_ms: float) -> list[str]:
        """Members that have been silent for `silence_ms` or longer, the longest first."""
        members = self._state.newest().members
        contacts_ms = {node: self._last_contact_ms.get(node, self._begun_ms) for node in members}
        contacts_ms.pop(self._state.node, None)
        silent = [node for node, contact_ms in contacts_ms.items() if now_ms >= contact_ms + silence_ms]
        return sorted(silent, key=lambda node: contacts_ms[node])
