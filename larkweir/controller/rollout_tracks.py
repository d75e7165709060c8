"""The two tracks of a service with a roll-out: the upstreams of the target version, and all others."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import NamedTuple

from larkweir_registry.records import Upstream
from larkweir_rollouts.state import Rollout, RolloutState

FULL_WEIGHT = 1.0


class Tracks(NamedTuple):
    """The ids of the upstreams on the two tracks of one service."""

    target: list[str]
    others: list[str]


def split_into_tracks(rollout: Rollout, ids: Sequence[str], upstreams: Mapping[str, Upstream]) -> Tracks:
    """Splits upstreams of the roll-out's service by their version. `upstreams`: all known upstreams, by id."""
    target = [id_ for id_ in ids if rollout.is_target(upstreams[id_].version)]
    others = [id_ for id_ in ids if rollout.is_other(upstreams[id_].version)]
    return Tracks(target, others)


def regular_upstreams(
    rollout: Rollout | None, ids: Sequence[str], upstreams: Mapping[str, Upstream]
) -> Sequence[str]:
    """Returns the upstreams of a service that get regular requests.

    Below full weight the target's upstreams are excluded: a prefix that is placed there would draw all of its requests,
    beyond the canary's share.
    """
    if rollout is None:
        return ids
    tracks = split_into_tracks(rollout, ids, upstreams)
    if rollout.effective_weight >= FULL_WEIGHT:
        return tracks.target or ids
    if rollout.state is RolloutState.ROLLED_BACK:
        return tracks.others
    return tracks.others or ids
