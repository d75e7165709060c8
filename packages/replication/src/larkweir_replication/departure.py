"""When a node that is about to stop may end: pure logic on what it knows of the group."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum

from larkweir_replication.state import ReplicaState
from larkweir_replication.timing import Timing


class DepartureReason(StrEnum):
    """Why a leaving node may end."""

    REPLACED = "replaced"  # another node has taken its place: its end is no loss
    OTHERS_REACHABLE = (
        "others_reachable"  # nobody stands by, and the others are a stable group: a plain restart
    )
    TIMED_OUT = "timed_out"  # the group may be left without a majority by the next loss


class Departure:
    """The planned end of one node.

    Two things look alike at first: a restart, for which nobody stands by, and a replacement whose newcomer has
    taken the place of a member that fell silent meanwhile. In the second case a group that loses this node has a dead
    member that nobody can replace; the next loss, borne otherwise, would leave it without a majority for ever. So
    this node remains a member until the silent one is back and stands by, or until its time is over.
    """

    def __init__(self, state: ReplicaState, timing: Timing) -> None:
        """`state`: of the replica that may leave."""
        self._state = state
        self._timing = timing
        self._members: tuple[str, ...] | None = None
        self._members_changed_ms: float | None = None
        self._begun_ms: float | None = None

    @property
    def is_begun(self) -> bool:
        """Whether this node is about to stop."""
        return self._begun_ms is not None

    def begin(self, now_ms: float) -> None:
        """This node is about to stop. Only the first call counts."""
        if self._begun_ms is None:
            self._begun_ms = now_ms

    def observe_members(self, now_ms: float) -> None:
        """Notes when the members change, from this process' first member list on."""
        accepted = self._state.accepted
        if accepted is None or accepted.members == self._members:
            return
        if self._members is not None:
            self._members_changed_ms = now_ms
        self._members = accepted.members

    def reason(self, unreachable: Sequence[str] | None, now_ms: float) -> DepartureReason | None:
        """Why this node may end now; None where it is to go on as a member.

        `unreachable`: members that a present primary has not heard lately, None where no primary is present.
        """
        if self._begun_ms is None:
            return None
        if self._state.has_left:
            return DepartureReason.REPLACED
        if now_ms >= self._begun_ms + self._timing.max_leave_ms:
            return DepartureReason.TIMED_OUT
        if now_ms >= self._begun_ms + self._timing.min_leave_ms and self._are_others_stable(
            unreachable, now_ms
        ):
            return DepartureReason.OTHERS_REACHABLE
        return None

    def _are_others_stable(self, unreachable: Sequence[str] | None, now_ms: float) -> bool:
        accepted = self._state.accepted
        if accepted is None or not self._state.other_members():
            return True
        if unreachable is None or accepted.previous_members or set(unreachable) - {self._state.node}:
            return False
        changed_ms = self._members_changed_ms
        return changed_ms is None or now_ms >= changed_ms + self._timing.stable_membership_ms
