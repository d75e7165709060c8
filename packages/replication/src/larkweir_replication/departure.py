"""Decides when a node that is about to stop may exit, by what it knows of the group. Pure logic."""

from __future__ import annotations

from collections.abc import Sequence
from enum import StrEnum

from larkweir_replication.state import ReplicaState
from larkweir_replication.timing import Timing


class DepartureReason(StrEnum):
    """Why a leaving node may exit."""

    REPLACED = "replaced"  # another node has taken its place, so that the group loses nothing
    # No node stands by, and the other members are a stable group: a plain restart.
    OTHERS_REACHABLE = "others_reachable"
    TIMED_OUT = "timed_out"  # the wait is over; the next failure may leave the group without a majority


class Departure:
    """The planned exit of one node.

    Two cases look alike at first: a restart, for which no node stands by, and a replacement whose new node has
    already taken the place of a member that failed meanwhile. In the second case, if this node exits, the group has a
    dead member that no node can replace; the next failure, which the group would otherwise tolerate, would leave it
    without a majority forever. So this node remains a member until the failed member is back and stands by, or until
    `Timing.max_leave_ms` is over.
    """

    def __init__(self, state: ReplicaState, timing: Timing) -> None:
        """`state`: the state of the replica that may leave."""
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
        """Records that this node is about to stop. Only the first call counts."""
        if self._begun_ms is None:
            self._begun_ms = now_ms

    def observe_members(self, now_ms: float) -> None:
        """Records when the members change. The first member list that this process sees is not a change."""
        accepted = self._state.accepted
        if accepted is None or accepted.members == self._members:
            return
        if self._members is not None:
            self._members_changed_ms = now_ms
        self._members = accepted.members

    def reason(self, unreachable: Sequence[str] | None, now_ms: float) -> DepartureReason | None:
        """Returns why this node may exit now, or None while it must remain a member.

        `unreachable`: members that the primary has not heard from recently; None if there is no primary.
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
