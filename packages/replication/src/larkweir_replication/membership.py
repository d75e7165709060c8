"""Chooses the next members of the group, one step at a time, from what the primary knows. Pure logic.

The target size of the group follows from the number of failures to tolerate. Further machines stand by: they hold the
state, and each can replace a member that leaves or fails. A replacement is one step, which needs a majority of the
previous members and of the next members (joint consensus: Ongaro and Ousterhout 2014, section 6).
"""

from __future__ import annotations

from collections.abc import Sequence
from dataclasses import dataclass

from larkweir_replication.messages import Snapshot


@dataclass(frozen=True, slots=True)
class Candidates:
    """Machines that may join or be removed; each list is in order of preference."""

    standby: Sequence[str]
    leaving: Sequence[str]
    replaceable: Sequence[str]  # silent for `replace_after_silence_ms`: a standby node replaces them
    removable: Sequence[str]  # silent for `remove_after_silence_ms`: a group above its target drops them


@dataclass(frozen=True, slots=True)
class Step:
    """The next members. While `previous_members` is not empty, a majority of them is needed as well."""

    members: tuple[str, ...]
    previous_members: tuple[str, ...] = ()


def next_step(current: Snapshot, target_count: int, primary: str, candidates: Candidates) -> Step | None:
    """Returns the next step from a committed state, or None if no change is needed."""
    if current.previous_members:
        return Step(current.members)
    newcomers = [node for node in candidates.standby if node not in current.members]
    if len(current.members) < target_count:
        return _joint_step(current, leaving=None, newcomer=newcomers[0]) if newcomers else None
    if len(current.members) > target_count:
        return _joint_step(current, leaving=_surplus_member(current, primary, candidates), newcomer=None)
    leaving = _first_member(current, [*candidates.leaving, *candidates.replaceable])
    if leaving is None or not newcomers:
        return None
    return _joint_step(current, leaving, newcomers[0])


def _first_member(current: Snapshot, nodes: Sequence[str]) -> str | None:
    return next((node for node in nodes if node in current.members), None)


def _surplus_member(current: Snapshot, primary: str, candidates: Candidates) -> str:
    """Returns a member that is leaving or silent, else the last one by name that is not the primary."""
    named = _first_member(current, [*candidates.leaving, *candidates.removable])
    return named or max(node for node in current.members if node != primary)


def _joint_step(current: Snapshot, leaving: str | None, newcomer: str | None) -> Step:
    members = {*current.members} - {leaving}
    if newcomer is not None:
        members.add(newcomer)
    return Step(tuple(sorted(node for node in members if node is not None)), current.members)
